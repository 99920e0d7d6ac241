/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.cpp Implementation of the quarantine of requests. */

#include "decision/quarantine.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

static constexpr size_t FEW_RECORDS = 256; ///< Up to this number of records, each change takes effect at once.
/** Least time between updates with more records; an update then takes some milliseconds. */
static constexpr Duration MIN_UPDATE_INTERVAL = std::chrono::milliseconds(100);
static constexpr size_t MAX_SHARED = 64;      ///< Limit of the rules of other instances.
static constexpr uint32_t MAX_DOUBLINGS = 10; ///< Limit of the exponent of the quarantine of known parts.

bool Quarantine::Add(const CrashRecord &crash, TimePoint now, bool from_snapshot)
{
	if (crash.fingerprint.value == 0 || this->IsFull()) return false;
	TimePoint counted_from = from_snapshot ? now - this->limits.known_part_span : now;
	bool added =
	        this->crashes[crash.fingerprint].emplace(crash.incarnation, Crash{crash.shared, now, counted_from, this->next_order++}).second;
	if (added) this->count++;
	this->outdated |= added;
	return added;
}

void Quarantine::Remove(const CrashRecord &crash)
{
	auto found = this->crashes.find(crash.fingerprint);
	if (found == this->crashes.end() || found->second.erase(crash.incarnation) == 0) return;
	if (found->second.empty()) this->crashes.erase(found);
	this->count--;
	this->outdated = true;
}

FeatureList Quarantine::OnSurvived(const RequestFeatures &features, TimePoint sent_at, TimePoint now)
{
	this->recent.Note(features.shared, now);
	std::map<RequestFeature, size_t> cleared;
	for (auto &[fingerprint, incarnations] : this->crashes) {
		for (auto &[incarnation, crash] : incarnations) {
			if (crash.learned_at >= sent_at) continue;
			std::erase_if(crash.shared, [&](const RequestFeature &feature) {
				bool innocent = feature.kind == FeatureKind::PromptPart && features.Has(feature);
				if (innocent) cleared[feature]++;
				return innocent;
			});
		}
	}
	size_t refuted = std::erase_if(this->shared, [&](const FeatureList &harmful) { return features.HasAll(harmful); });
	this->outdated |= !cleared.empty() || refuted > 0;
	FeatureList suspected;
	for (const auto &[feature, crashes_cleared] : cleared) {
		if (crashes_cleared >= this->limits.holdback_crashes) suspected.push_back(feature);
	}
	return suspected;
}

void Quarantine::Clear(const RequestFeature &feature, const CrashRecord &crash)
{
	auto request = this->crashes.find(crash.fingerprint);
	if (request == this->crashes.end()) return;
	auto found = request->second.find(crash.incarnation);
	if (found != request->second.end()) this->outdated |= std::erase(found->second.shared, feature) > 0;
}

void Quarantine::AddShared(const FeatureList &features)
{
	if (this->shared.size() >= MAX_SHARED || features.empty()) return;
	this->outdated |= this->shared.insert(features).second;
}

void Quarantine::RemoveShared(const FeatureList &features)
{
	this->outdated |= this->shared.erase(features) > 0;
}

std::vector<CrashRecord> Quarantine::All() const
{
	std::vector<CrashRecord> all;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		for (const auto &[incarnation, crash] : incarnations) all.push_back({fingerprint, incarnation, crash.shared});
	}
	return all;
}

std::vector<CrashRecord> Quarantine::CrashesOf(RequestFingerprint fingerprint) const
{
	std::vector<CrashRecord> records;
	auto found = this->crashes.find(fingerprint);
	if (found == this->crashes.end()) return records;
	for (const auto &[incarnation, crash] : found->second) records.push_back({fingerprint, incarnation, crash.shared});
	return records;
}

std::vector<CrashRecord> Quarantine::ClearedBySuccess(RequestFingerprint fingerprint) const
{
	std::vector<CrashRecord> records = this->CrashesOf(fingerprint);
	auto learned_at = [this](const CrashRecord &crash) { return this->crashes.at(crash.fingerprint).at(crash.incarnation).learned_at; };
	std::stable_sort(records.begin(), records.end(),
	                 [&](const CrashRecord &a, const CrashRecord &b) { return learned_at(a) < learned_at(b); });
	records.resize(std::min(records.size(), this->limits.cleared_per_success));
	return records;
}

std::vector<CrashRecord> Quarantine::Expired(TimePoint now) const
{
	std::vector<CrashRecord> expired;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		for (const auto &[incarnation, crash] : incarnations) {
			if (now - crash.learned_at > this->limits.retention) expired.push_back({fingerprint, incarnation, crash.shared});
		}
	}
	return expired;
}

/** @return Probability of \a count or more events if \a expected ones are expected (Poisson distribution). */
static double ProbabilityOfAtLeast(size_t count, double expected)
{
	double term = std::exp(-expected);
	double fewer = 0;
	for (size_t i = 0; i < count; i++) {
		fewer += term;
		term *= expected / static_cast<double>(i + 1);
	}
	return std::max(0.0, 1 - fewer);
}

/** @return Probability that the crashes that \a hypothesis explains happened under such requests by chance. */
static double ChanceOf(const CrashHypothesis &hypothesis)
{
	return ProbabilityOfAtLeast(hypothesis.unexplained - 1, hypothesis.by_chance);
}

/** @return Whether \a hypothesis concerns one request, as its caller repeats it. */
static bool IsWholeRequest(const CrashHypothesis &hypothesis)
{
	return hypothesis.features.front().kind == FeatureKind::WholeRequest;
}

bool Quarantine::IsAccepted(const CrashHypothesis &hypothesis) const
{
	if (hypothesis.crashes < std::min(this->limits.holdback_crashes, this->limits.crash_threshold)) return false;
	double chance = ChanceOf(hypothesis);
	if (IsWholeRequest(hypothesis) || chance < this->limits.chance) return true;
	bool judges = this->recent.IsReliable();
	if (hypothesis.is_shared && (!judges || hypothesis.has_new || chance < this->limits.shared_chance)) return true;
	bool lasts = hypothesis.unexplained >= this->limits.crash_threshold && hypothesis.span >= this->limits.known_part_span;
	return judges && lasts && !hypothesis.has_new && hypothesis.share_of_crashes >= this->limits.known_part_share;
}

bool Quarantine::IsCertain(const CrashHypothesis &hypothesis) const
{
	if (IsWholeRequest(hypothesis)) return hypothesis.crashes >= this->limits.crash_threshold;
	return ChanceOf(hypothesis) < this->limits.certain_chance;
}

TimePoint Quarantine::QuarantineEnd(const CrashHypothesis &hypothesis) const
{
	if (this->IsCertain(hypothesis)) return hypothesis.oldest + this->limits.retention;
	if (IsWholeRequest(hypothesis)) return hypothesis.newest + this->limits.holdback;
	// Sound requests may have the same features, and none can show that it is sound meanwhile: short at first, then ever longer.
	size_t doublings = std::min<size_t>(hypothesis.crashes - this->limits.holdback_crashes, MAX_DOUBLINGS);
	return hypothesis.newest + std::min(this->limits.retention, this->limits.holdback * (int64_t{1} << doublings));
}

void Quarantine::UpdateRules(TimePoint now) const
{
	if (!this->outdated) return;
	if (this->count > FEW_RECORDS && now - this->updated_at < MIN_UPDATE_INTERVAL) return;
	this->outdated = false;
	this->updated_at = now;
	std::vector<CrashEvidence> evidence;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		for (const auto &[incarnation, crash] : incarnations) {
			FeatureList features{WholeRequest(fingerprint)};
			if (this->limits.use_parts) features.insert(features.end(), crash.shared.begin(), crash.shared.end());
			evidence.push_back({incarnation, std::move(features), crash.learned_at, crash.counted_from, crash.order});
		}
	}
	HypothesisRules judge;
	judge.share = [this](const RequestFeature &feature) { return this->recent.Share(feature); };
	judge.is_new = [this](const RequestFeature &feature) { return this->recent.IsNew(feature); };
	judge.is_accepted = [this](const CrashHypothesis &hypothesis) { return this->IsAccepted(hypothesis); };
	judge.shared.assign(this->shared.begin(), this->shared.end());
	judge.min_crashes = std::min(this->limits.holdback_crashes, this->limits.crash_threshold);
	this->rules.clear();
	for (const CrashHypothesis &hypothesis : ExplainCrashes(evidence, judge)) {
		bool found_here = !IsWholeRequest(hypothesis) && ChanceOf(hypothesis) < this->limits.chance;
		this->rules.push_back({hypothesis.features, hypothesis.crashes, this->QuarantineEnd(hypothesis), found_here});
	}
}

std::vector<QuarantineRule> Quarantine::Rules(TimePoint now) const
{
	this->UpdateRules(now);
	std::vector<QuarantineRule> active;
	for (const QuarantineRule &rule : this->rules) {
		if (rule.until > now) active.push_back(rule);
	}
	return active;
}

const QuarantineRule *Quarantine::RuleFor(const RequestFeatures &features, TimePoint now) const
{
	this->UpdateRules(now);
	const QuarantineRule *longest = nullptr;
	for (const QuarantineRule &rule : this->rules) {
		bool applies = rule.until > now && features.HasAll(rule.features);
		if (applies && (longest == nullptr || rule.until > longest->until)) longest = &rule;
	}
	return longest;
}

Duration Quarantine::RemainingTime(const RequestFeatures &features, TimePoint now) const
{
	const QuarantineRule *rule = this->RuleFor(features, now);
	return rule == nullptr ? Duration(0) : std::chrono::duration_cast<Duration>(rule->until - now);
}

Suspicion Quarantine::Assess(const RequestFeatures &features, TimePoint now) const
{
	if (this->crashes.empty()) return Suspicion::None;
	if (this->RuleFor(features, now) != nullptr) return Suspicion::Quarantined;
	return this->crashes.contains(features.fingerprint) ? Suspicion::Suspected : Suspicion::None;
}

} // namespace cottonspool
