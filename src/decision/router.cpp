/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file router.cpp The headroom router and the baseline routers it is compared with. */

#include "core/hash_func.h"
#include "decision/router_base.h"
#include <algorithm>
#include <limits>

namespace cottonspool {

static constexpr double PREFIX_BONUS = 0.40;      ///< Pressure that a cached prefix compensates for.
static constexpr double INTERVAL_WEIGHT = 0.4;    ///< Weight of the relative deviation of the time between tokens from the median.
static constexpr double CALLS_WEIGHT = 0.02;      ///< Weight of each call at the target, as a larger batch slows down each step.
static constexpr double MAX_PRESSURE = 1.5;       ///< Pressure above which no call overcommits a target.
static constexpr double FIRST_TOKEN_WEIGHT = 1.5; ///< Weight of the expected time to first token relative to the latency objective.

/** Pressure that a certainly late call counts for: several full targets, and more than the penalty of 1.2 for another hall. */
static constexpr double LATENESS_WEIGHT = 3.0;

/**
 * Largest random addition to the score of a target. Views are 150 to 450 ms old, so without it all instances send their calls to the same
 * best target at the same time. It depends on call and target only; see SpreadOf().
 */
static constexpr double SPREAD_WEIGHT = 1.0;

/**
 * Weight of the penalty on fast targets for calls that lose nothing on a slow one. It grows with the target's pressure, so that loaded
 * fast targets are kept for other calls, but idle ones are used. A full target of half the largest time factor has a penalty of 0.3.
 */
static constexpr double FAST_TARGET_WEIGHT = 0.6;

/** Difference in expected loss between the targets from which on a call has the same claim to the fast ones as any other. */
static constexpr double FULL_CLAIM_LOSS = 0.25;

/** @return Score penalty for the position of the hall of \a target in the preferences of \a call. */
static double HallPenalty(const CallSpec &call, const TargetState &target)
{
	double penalty = 0;
	for (const HallPreference &preference : call.halls) {
		if (preference.hall == target.hall) return penalty;
		penalty += call.other_hall_penalty;
	}
	return penalty;
}

/** @return Whether \a call should avoid \a target. */
static bool IsAvoided(const CallSpec &call, TargetNumber target)
{
	return std::find(call.avoid.begin(), call.avoid.end(), target) != call.avoid.end();
}

/** @return A copy of \a call without targets to avoid, if only those may get it; nothing if there are others. */
static std::optional<CallSpec> RelaxAvoidance(const CallSpec &call, const TargetTable &targets, TimePoint now)
{
	if (call.avoid.empty() || call.exclude_avoided) return std::nullopt;
	for (TargetNumber number : targets.ForModel(call.model)) {
		if (!IsAvoided(call, number) && targets.IsEligible(targets.Get(number), call, now)) return std::nullopt;
	}
	CallSpec relaxed = call;
	relaxed.avoid.clear();
	return relaxed;
}

/** @return The targets that may get \a call now and are not to be avoided. */
static std::vector<TargetNumber> EligibleTargets(const CallSpec &call, const TargetTable &targets, TimePoint now)
{
	std::vector<TargetNumber> usable;
	for (TargetNumber number : targets.ForModel(call.model)) {
		const TargetState &target = targets.Get(number);
		if (targets.IsEligible(target, call, now) && !IsAvoided(call, number)) usable.push_back(number);
	}
	return usable;
}

/** @return Number of calls at \a target: those in its last report and own ones sent since. */
static double ReportedLoad(const TargetState &target)
{
	double sent_since = static_cast<double>(target.in_flight.size()) - target.known_calls_at_report;
	return target.report.running + target.report.waiting + std::max(0.0, sent_since);
}

/** @return A number from 0 to 1 that depends on \a call and \a target only, so that it is the same in each pass. */
static double SpreadOf(const CallSpec &call, TargetNumber target)
{
	static constexpr uint64_t STEPS = 1U << 20;
	uint64_t seed = HashText("placement", call.id.value) ^ static_cast<uint64_t>(call.arrived.time_since_epoch().count());
	return static_cast<double>(HashText("target", seed + target.value) % STEPS) / static_cast<double>(STEPS);
}

namespace {

/** Chooses the target with the best score (pressure, speed, cached prefix, hall) among those with headroom for the expected length. */
class HeadroomRouter : public Router {
public:
	explicit HeadroomRouter(HeadroomRules rules) : rules(rules) {}

	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		if (std::optional<CallSpec> relaxed = RelaxAvoidance(call, targets, now)) return this->Choose(*relaxed, targets, now);
		std::optional<TargetNumber> best = this->FindBest(call, targets, now, this->rules.use_headroom);
		// Interactive calls may overcommit, as the engine runs them first and preempts the calls of other classes.
		bool interactive = call.service_class == ServiceClass::Interactive && call.generated;
		bool may_overcommit = (interactive || now >= call.overcommit_from) && (!call.generated || this->rules.use_overcommit);
		if (call.memory_margin > 0) may_overcommit = false;
		return best || !may_overcommit ? best : this->FindBest(call, targets, now, false);
	}

private:
	/** A target that may get the call. */
	struct Candidate {
		TargetNumber number;
		ExpectedLateness lateness; ///< Expected lateness of the call there.
		double factor = 0;         ///< Expected time factor; 0 if the pool has no time factors.
	};

	/** Relation of a call to all of its candidates. */
	struct Claim {
		double slowest = 0; ///< Largest expected time factor of a candidate.
		double part = 1;    ///< 0 if the call loses nothing on a slow candidate; 1 if it needs a fast one.
	};

	/** @return The target with the best score; nothing if none is admissible. */
	std::optional<TargetNumber> FindBest(const CallSpec &call, const TargetTable &targets, TimePoint now, bool require_headroom) const
	{
		std::vector<Candidate> candidates = this->FindCandidates(call, targets, now, require_headroom);
		Claim claim = ClaimOf(call, candidates, targets, now);
		std::optional<TargetNumber> best;
		double best_score = std::numeric_limits<double>::max();
		for (const Candidate &candidate : candidates) {
			const TargetState &target = targets.Get(candidate.number);
			double score = this->Score(call, candidate, claim, targets, now) + HallPenalty(call, target);
			if (score >= best_score) continue;
			best = candidate.number;
			best_score = score;
		}
		return best;
	}

	/** @return The admissible targets. */
	std::vector<Candidate> FindCandidates(const CallSpec &call, const TargetTable &targets, TimePoint now, bool require_headroom) const
	{
		std::vector<Candidate> candidates;
		for (TargetNumber number : targets.ForModel(call.model)) {
			const TargetState &target = targets.Get(number);
			if (!targets.IsEligible(target, call, now) || IsAvoided(call, number)) continue;
			if (require_headroom && !this->HasHeadroom(call, target, targets, now)) continue;
			if (!require_headroom && this->rules.use_headroom && targets.Pressure(target, now) > MAX_PRESSURE) continue;
			candidates.push_back({number, {}, 0});
			if (!call.generated) continue;
			TimeFactors factors = targets.PlacementFactors(target, now);
			if (factors.empty()) continue;
			candidates.back().lateness = targets.LatenessAt(target, call, factors, now);
			candidates.back().factor = MeanOverFactors(factors, [](double factor) { return factor; });
		}
		return candidates;
	}

	/** @return The claim of \a call to the faster ones of \a candidates. */
	static Claim ClaimOf(const CallSpec &call, const std::vector<Candidate> &candidates, const TargetTable &targets, TimePoint now)
	{
		if (candidates.empty()) return {};
		auto by_factor = [](const Candidate &one, const Candidate &other) { return one.factor < other.factor; };
		auto [fastest, slowest] = std::minmax_element(candidates.begin(), candidates.end(), by_factor);
		if (fastest->factor <= 0) return {};
		double lost = targets.GapLossAtFactor(call, slowest->factor, now) - targets.GapLossAtFactor(call, fastest->factor, now);
		return {slowest->factor, std::clamp(lost / FULL_CLAIM_LOSS, 0.0, 1.0)};
	}

	/** @return Whether \a target has headroom for \a call, or is idle. */
	bool HasHeadroom(const CallSpec &call, const TargetState &target, const TargetTable &targets, TimePoint now) const
	{
		double margin = call.memory_margin * static_cast<double>(target.report.capacity_tokens);
		double need = targets.MemoryNeed(target, call) + std::max(call.urgent_room, margin);
		if (targets.Headroom(target, call, now) >= need) return true;
		bool idle = target.in_flight.empty() && target.report.running + target.report.waiting == 0;
		return idle && target.sent_since_report == 0;
	}

	/** @return Score of \a candidate for \a call without the hall penalty; the smallest is best. */
	double Score(const CallSpec &call, const Candidate &candidate, const Claim &claim, const TargetTable &targets, TimePoint now) const
	{
		const TargetState &target = targets.Get(candidate.number);
		double pressure = targets.Pressure(target, now);
		double score = pressure + CALLS_WEIGHT * ReportedLoad(target);
		if (candidate.factor > 0) {
			score += LATENESS_WEIGHT * (candidate.lateness.loss + candidate.lateness.harm);
			score += SPREAD_WEIGHT * SpreadOf(call, candidate.number);
			double advantage = 1 - candidate.factor / claim.slowest;
			score += FAST_TARGET_WEIGHT * (1 - claim.part) * advantage * pressure;
		} else {
			score = this->AddSpeed(score, call, target, targets, now);
		}
		bool cached = this->rules.use_prefix && TargetTable::HasPrefix(target, call.prefix);
		return cached ? score - PREFIX_BONUS : score;
	}

	/** @return \a score with the measured speed of \a target, in a pool without time factors. */
	double AddSpeed(double score, const CallSpec &call, const TargetState &target, const TargetTable &targets, TimePoint now) const
	{
		if (this->rules.use_first_token && call.generated && call.objective > Duration(0))
			score += FIRST_TOKEN_WEIGHT * Seconds(targets.FirstTokenWait(target, call, now)) / Seconds(call.objective);
		if (this->rules.use_interval && target.median_interval > 0)
			score += INTERVAL_WEIGHT * (target.interval / target.median_interval - 1);
		return score;
	}

	HeadroomRules rules;
};

/** Baseline: round robin. */
class RoundRobinRouter : public Router {
public:
	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		std::vector<TargetNumber> usable = EligibleTargets(call, targets, now);
		if (usable.empty()) return std::nullopt;
		return usable[this->next_index++ % usable.size()];
	}

private:
	uint64_t next_index = 0; ///< Calls routed so far.
};

/** Baseline: the target with the fewest calls. */
class LeastLoadRouter : public Router {
public:
	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		std::optional<TargetNumber> best;
		for (TargetNumber number : EligibleTargets(call, targets, now)) {
			if (!best || ReportedLoad(targets.Get(number)) < ReportedLoad(targets.Get(*best))) best = number;
		}
		return best;
	}
};

/** Baseline: the target with fewer calls of two random ones. */
class TwoChoicesRouter : public Router {
public:
	explicit TwoChoicesRouter(uint64_t seed) : seed(seed) {}

	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		std::vector<TargetNumber> usable = EligibleTargets(call, targets, now);
		if (usable.empty()) return std::nullopt;
		TargetNumber first = usable[this->Random() % usable.size()];
		TargetNumber second = usable[this->Random() % usable.size()];
		return ReportedLoad(targets.Get(second)) < ReportedLoad(targets.Get(first)) ? second : first;
	}

private:
	uint64_t Random() { return HashText("two-choices", this->seed + 0x9e3779b97f4a7c15ULL * ++this->draw_count); }

	uint64_t seed;           ///< Seed of the draws.
	uint64_t draw_count = 0; ///< Draws so far.
};

/** Baseline: the smallest weighted sum of a target's rank by expected delay and its rank by number of calls. */
class RankWeightedRouter : public Router {
public:
	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		std::vector<TargetNumber> usable = EligibleTargets(call, targets, now);
		if (usable.empty()) return std::nullopt;
		auto delay = [&](TargetNumber n) { return targets.Get(n).interval * (1 + targets.Get(n).report.waiting); };
		auto cost = [&](TargetNumber n) { return ReportedLoad(targets.Get(n)); };
		TargetNumber best = usable.front();
		double best_score = std::numeric_limits<double>::max();
		for (TargetNumber number : usable) {
			double score = BETA * RankOf(usable, number, delay) + (1 - BETA) * RankOf(usable, number, cost);
			if (score >= best_score) continue;
			best = number;
			best_score = score;
		}
		return best;
	}

private:
	static constexpr double BETA = 0.5; ///< Weight of the rank by delay.

	/** @return Number of targets in \a all with a smaller key than \a of. */
	template <typename Key> static double RankOf(const std::vector<TargetNumber> &all, TargetNumber of, Key key)
	{
		return static_cast<double>(std::count_if(all.begin(), all.end(), [&](TargetNumber other) { return key(other) < key(of); }));
	}
};

} // namespace

std::unique_ptr<Router> MakeRouter(std::string_view name, uint64_t seed, HeadroomRules rules)
{
	if (name == "headroom") return std::make_unique<HeadroomRouter>(rules);
	if (name == "round-robin") return std::make_unique<RoundRobinRouter>();
	if (name == "least-load") return std::make_unique<LeastLoadRouter>();
	if (name == "two-choices") return std::make_unique<TwoChoicesRouter>(seed);
	if (name == "rank-weighted") return std::make_unique<RankWeightedRouter>();
	return nullptr;
}

} // namespace cottonspool
