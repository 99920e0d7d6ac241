/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_hypothesis.cpp Implementation of the search for the causes of crashes. */

#include "decision/crash_hypothesis.h"
#include <algorithm>
#include <map>
#include <set>

namespace cottonspool {

namespace {

/** A crashed incarnation. */
struct Crash {
	TimePoint learned_at;   ///< When the crash became known.
	TimePoint counted_from; ///< See CrashEvidence.
	uint64_t order = 0;     ///< See CrashEvidence.
	size_t suspects = 0;    ///< Requests that may have caused it.
	bool explained = false; ///< Whether a chosen hypothesis explains it.
};

/** A feature that may be a cause. */
struct Candidate {
	CrashHypothesis hypothesis;
	std::vector<size_t> incarnations; ///< Numbers of the crashed incarnations, in the order of the crashes.
	bool is_accepted = false;         ///< Whether the hypothesis is accepted, given what is explained already.
};

/** Explains one set of crashes. */
class CrashExplainer {
public:
	CrashExplainer(const std::vector<CrashEvidence> &evidence, const HypothesisRules &rules) : evidence(evidence), rules(rules) {}

	std::vector<CrashHypothesis> Run()
	{
		this->FindCrashes();
		this->FindCandidates();
		this->ChooseWholeRequests();
		this->JudgeCandidates();
		while (const Candidate *best = this->Best()) {
			this->Choose(*best);
			this->JudgeCandidates();
		}
		return std::move(this->chosen);
	}

private:
	void FindCrashes()
	{
		std::map<std::string_view, size_t> numbers;
		for (const CrashEvidence &entry : this->evidence) {
			size_t number = numbers.try_emplace(entry.incarnation, numbers.size()).first->second;
			this->number_of_entry.push_back(number);
			if (number == this->crashes.size()) this->crashes.push_back({entry.learned_at, entry.counted_from, entry.order});
			Crash &crash = this->crashes[number];
			crash.learned_at = std::min(crash.learned_at, entry.learned_at);
			crash.counted_from = std::min(crash.counted_from, entry.counted_from);
			crash.order = std::min(crash.order, entry.order);
			crash.suspects++;
		}
	}

	void FindCandidates()
	{
		std::map<RequestFeature, std::vector<size_t>> entries_by_feature;
		for (size_t i = 0; i < this->evidence.size(); i++) {
			for (const RequestFeature &feature : this->evidence[i].features) {
				if (feature.kind != FeatureKind::Account) entries_by_feature[feature].push_back(i);
			}
		}
		for (const auto &[feature, entries] : entries_by_feature) {
			std::set<std::pair<uint64_t, size_t>> ordered;
			for (size_t entry : entries) ordered.emplace(this->crashes[this->number_of_entry[entry]].order, this->number_of_entry[entry]);
			if (ordered.size() < this->rules.min_crashes) continue;
			Candidate candidate;
			for (const auto &[order, number] : ordered) candidate.incarnations.push_back(number);
			this->Describe(feature, entries, &candidate);
			this->candidates.push_back(std::move(candidate));
		}
	}

	/**
	 * Choose the whole requests that are causes, each for itself: that a part of its prompt explains its crashes as well must not let a
	 * request off that its caller repeats, as the part may be cleared by another request.
	 */
	void ChooseWholeRequests()
	{
		this->JudgeCandidates();
		auto is_whole = [](const Candidate &candidate) { return candidate.hypothesis.features.front().kind == FeatureKind::WholeRequest; };
		for (const Candidate &candidate : this->candidates) {
			if (!candidate.is_accepted || !is_whole(candidate)) continue;
			this->Add(candidate.hypothesis);
			// With no more crashes, it may as well have been beside the cause.
			if (candidate.incarnations.size() <= this->rules.min_crashes) continue;
			for (size_t number : candidate.incarnations) this->crashes[number].explained = true;
		}
		std::erase_if(this->candidates, is_whole);
	}

	/** Set what the hypothesis of \a candidate, that \a feature crashed the targets of \a entries, says independently of others. */
	void Describe(const RequestFeature &feature, const std::vector<size_t> &entries, Candidate *candidate) const
	{
		CrashHypothesis &hypothesis = candidate->hypothesis;
		hypothesis.crashes = candidate->incarnations.size();
		hypothesis.oldest = TimePoint::max();
		hypothesis.newest = TimePoint::min();
		for (size_t number : candidate->incarnations) {
			hypothesis.oldest = std::min(hypothesis.oldest, this->crashes[number].learned_at);
			hypothesis.newest = std::max(hypothesis.newest, this->crashes[number].learned_at);
		}
		FeatureList common = this->evidence[entries.front()].features;
		for (size_t i : entries) {
			const FeatureList &features = this->evidence[i].features;
			FeatureList both;
			std::set_intersection(common.begin(), common.end(), features.begin(), features.end(), std::back_inserter(both));
			common = std::move(both);
		}
		this->SetFeatures(feature, common, &hypothesis);
	}

	/** Judge all candidates by the crashes that are not explained yet. */
	void JudgeCandidates()
	{
		std::vector<std::pair<uint64_t, size_t>> suspects; // Order and suspects of the unexplained crashes.
		for (const Crash &crash : this->crashes) {
			if (!crash.explained) suspects.emplace_back(crash.order, crash.suspects);
		}
		std::sort(suspects.begin(), suspects.end());
		std::vector<size_t> sums{0}; // Suspects of the first crashes.
		for (const auto &[order, count] : suspects) sums.push_back(sums.back() + count);
		for (Candidate &candidate : this->candidates) this->Judge(suspects, sums, &candidate);
	}

	/** Judge \a candidate. @param sums Sums of \a suspects, which are those of the unexplained crashes in order. */
	void Judge(const std::vector<std::pair<uint64_t, size_t>> &suspects, const std::vector<size_t> &sums, Candidate *candidate) const
	{
		CrashHypothesis &hypothesis = candidate->hypothesis;
		hypothesis.unexplained = 0;
		size_t first = 0;
		size_t last = 0;
		TimePoint counted_from = TimePoint::max();
		TimePoint newest = TimePoint::min();
		for (size_t number : candidate->incarnations) {
			const Crash &crash = this->crashes[number];
			if (crash.explained) continue;
			if (hypothesis.unexplained++ == 0) first = number;
			last = number;
			counted_from = std::min(counted_from, crash.counted_from);
			newest = std::max(newest, crash.learned_at);
		}
		candidate->is_accepted = false;
		if (hypothesis.unexplained < this->rules.min_crashes) return;
		auto position = [&](size_t number) {
			return static_cast<size_t>(
			        std::lower_bound(suspects.begin(), suspects.end(), std::pair(this->crashes[number].order, size_t{0})) -
			        suspects.begin());
		};
		size_t from = position(first);
		size_t to = position(last) + 1;
		hypothesis.span = std::chrono::duration_cast<Duration>(newest - counted_from);
		hypothesis.share_of_crashes = static_cast<double>(hypothesis.unexplained) / static_cast<double>(to - from);
		// Each crash after the first may have concerned these features by chance, as often as its suspects have them.
		hypothesis.by_chance = this->ShareOf(hypothesis) * static_cast<double>(sums[to] - sums[from + 1]);
		candidate->is_accepted = this->rules.is_accepted(hypothesis);
	}

	/** @return Share of recent successful requests that had the rarest part of \a hypothesis. */
	double ShareOf(const CrashHypothesis &hypothesis) const
	{
		double share = 1;
		for (const RequestFeature &feature : hypothesis.features) {
			if (feature.kind == FeatureKind::PromptPart) share = std::min(share, this->rules.share(feature));
		}
		return share;
	}

	/**
	 * Set the features of \a hypothesis to those of \a common, which all its requests have, that it concerns.
	 * @param cause Feature that may be the cause.
	 */
	void SetFeatures(const RequestFeature &cause, const FeatureList &common, CrashHypothesis *hypothesis) const
	{
		auto is_new_part = [this](const RequestFeature &feature) {
			return feature.kind == FeatureKind::PromptPart && this->rules.is_new(feature);
		};
		for (const FeatureList &harmful : this->rules.shared) {
			bool about_cause = std::binary_search(harmful.begin(), harmful.end(), cause);
			if (!about_cause || !std::includes(common.begin(), common.end(), harmful.begin(), harmful.end())) continue;
			hypothesis->is_shared = true;
			hypothesis->has_new = std::any_of(harmful.begin(), harmful.end(), is_new_part);
			hypothesis->features = harmful;
			return;
		}
		// The whole request has all the others.
		hypothesis->has_new = !common.empty() && common.front().kind == FeatureKind::WholeRequest;
		if (hypothesis->has_new) {
			hypothesis->features = {common.front()};
			return;
		}
		hypothesis->has_new = std::any_of(common.begin(), common.end(), is_new_part);
		for (const RequestFeature &feature : common) {
			bool concerned = feature.kind == FeatureKind::Account || !hypothesis->has_new || is_new_part(feature);
			if (concerned) hypothesis->features.push_back(feature);
		}
	}

	/** @return The accepted candidate that explains most of the unexplained crashes; null if there is none. */
	const Candidate *Best() const
	{
		const Candidate *best = nullptr;
		auto rank = [](const Candidate &candidate) {
			const CrashHypothesis &hypothesis = candidate.hypothesis;
			return std::tuple(hypothesis.unexplained, hypothesis.has_new, hypothesis.features.size());
		};
		for (const Candidate &candidate : this->candidates) {
			if (candidate.is_accepted && (best == nullptr || rank(candidate) > rank(*best))) best = &candidate;
		}
		return best;
	}

	/** Add the hypothesis of \a best, and those that explain the same crashes. */
	void Choose(const Candidate &best)
	{
		for (const Candidate &candidate : this->candidates) {
			if (!candidate.is_accepted || candidate.incarnations != best.incarnations) continue;
			this->Add(candidate.hypothesis);
		}
		for (size_t number : best.incarnations) this->crashes[number].explained = true;
	}

	/** Add \a hypothesis to the chosen ones, unless one of them has the same features. */
	void Add(const CrashHypothesis &hypothesis)
	{
		auto same = [&](const CrashHypothesis &each) { return each.features == hypothesis.features; };
		if (std::none_of(this->chosen.begin(), this->chosen.end(), same)) this->chosen.push_back(hypothesis);
	}

	const std::vector<CrashEvidence> &evidence;
	const HypothesisRules &rules;
	std::vector<Crash> crashes;          ///< Crashed incarnations by number.
	std::vector<size_t> number_of_entry; ///< Number of the incarnation of each entry of the evidence.
	std::vector<Candidate> candidates;
	std::vector<CrashHypothesis> chosen;
};

} // namespace

std::vector<CrashHypothesis> ExplainCrashes(const std::vector<CrashEvidence> &evidence, const HypothesisRules &rules)
{
	return CrashExplainer(evidence, rules).Run();
}

} // namespace cottonspool
