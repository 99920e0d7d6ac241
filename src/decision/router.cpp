/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file router.cpp Choice of a target: headroom (ours) and the baselines. */

#include "core/hash_func.h"
#include "decision/router_base.h"
#include <algorithm>
#include <limits>

namespace cottonspool {

static constexpr double PREFIX_BONUS = 0.40;      ///< Pressure that a cached prefix outweighs, among targets that have room.
static constexpr double INTERVAL_WEIGHT = 0.4;    ///< Weight of the time between tokens against its median.
static constexpr double CALLS_WEIGHT = 0.02;      ///< Weight of one call at the target: more calls make each step longer.
static constexpr double MAX_PRESSURE = 1.5;       ///< Pressure from which even an interactive call waits.
static constexpr double FIRST_TOKEN_WEIGHT = 1.5; ///< Weight of the wait for the first token, as a part of the objective.

/** @return Penalty of the hall of \a target for \a call, which may run there. */
static double HallPenalty(const CallSpec &call, const TargetState &target)
{
	double penalty = 0;
	for (const HallPreference &preference : call.halls) {
		if (preference.hall == target.hall) return penalty;
		penalty += call.other_hall_penalty;
	}
	return penalty;
}

/** @return Whether \a call is not to go to \a target again. */
static bool IsAvoided(const CallSpec &call, TargetNumber target)
{
	return std::find(call.avoid.begin(), call.avoid.end(), target) != call.avoid.end();
}

/** @return \a call with nothing to avoid, if no target is left for it otherwise; nothing if one is. */
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

/** @return The targets that may get \a call now. */
static std::vector<TargetNumber> EligibleTargets(const CallSpec &call, const TargetTable &targets, TimePoint now)
{
	std::vector<TargetNumber> usable;
	for (TargetNumber number : targets.ForModel(call.model)) {
		const TargetState &target = targets.Get(number);
		if (targets.IsEligible(target, call, now) && !IsAvoided(call, number)) usable.push_back(number);
	}
	return usable;
}

/** @return Load as a naive balancer sees it: the last report plus own calls that it cannot contain yet. */
static double ReportedLoad(const TargetState &target)
{
	double fresh = static_cast<double>(target.in_flight.size()) - target.known_calls_at_report;
	return target.report.running + target.report.waiting + std::max(0.0, fresh);
}

namespace {

/** Ours: room for the expected length first, then the least pressure, a cached prefix, and the preferred hall. */
class HeadroomRouter : public Router {
public:
	explicit HeadroomRouter(HeadroomRules rules) : rules(rules) {}

	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		if (std::optional<CallSpec> relaxed = RelaxAvoidance(call, targets, now)) return this->Choose(*relaxed, targets, now);
		std::optional<TargetNumber> best = this->Best(call, targets, now, this->rules.use_headroom);
		// An interactive call does not wait for room: it goes first at the engine, and what it takes is kept free by the other classes.
		bool interactive = call.service_class == ServiceClass::Interactive && call.generated;
		bool may_overcommit = (interactive || now >= call.overcommit_from) && (!call.generated || this->rules.use_overcommit);
		return best || !may_overcommit ? best : this->Best(call, targets, now, false);
	}

private:
	std::optional<TargetNumber> Best(const CallSpec &call, const TargetTable &targets, TimePoint now, bool require_headroom) const
	{
		std::optional<TargetNumber> best;
		double best_score = std::numeric_limits<double>::max();
		for (TargetNumber number : targets.ForModel(call.model)) {
			const TargetState &target = targets.Get(number);
			if (!targets.IsEligible(target, call, now) || IsAvoided(call, number)) continue;
			if (require_headroom && !this->HasHeadroom(call, target, targets, now)) continue;
			if (!require_headroom && this->rules.use_headroom && targets.Pressure(target, now) > MAX_PRESSURE) continue;
			double score = this->Score(call, target, targets, now) + HallPenalty(call, target);
			if (score >= best_score) continue;
			best = number;
			best_score = score;
		}
		return best;
	}

	bool HasHeadroom(const CallSpec &call, const TargetState &target, const TargetTable &targets, TimePoint now) const
	{
		double need = targets.Need(target, call);
		if (targets.Allowance(target, call, now) >= need) return true;
		bool idle = target.in_flight.empty() && target.report.running + target.report.waiting == 0;
		return idle && target.sent_since_report == 0;
	}

	double Score(const CallSpec &call, const TargetState &target, const TargetTable &targets, TimePoint now) const
	{
		double score = targets.Pressure(target, now) + CALLS_WEIGHT * ReportedLoad(target);
		if (this->rules.use_first_token && call.generated && call.objective > Duration(0))
			score += FIRST_TOKEN_WEIGHT * Seconds(targets.FirstTokenWait(target, call, now)) / Seconds(call.objective);
		if (this->rules.use_interval && target.median_interval > 0)
			score += INTERVAL_WEIGHT * (target.interval / target.median_interval - 1);
		bool cached = this->rules.use_prefix && TargetTable::HasPrefix(target, call.prefix);
		return cached ? score - PREFIX_BONUS : score;
	}

	HeadroomRules rules; ///< Switches.
};

/** Baseline: each target in turn. */
class RoundRobinRouter : public Router {
public:
	std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) override
	{
		std::vector<TargetNumber> usable = EligibleTargets(call, targets, now);
		if (usable.empty()) return std::nullopt;
		return usable[this->next++ % usable.size()];
	}

private:
	uint64_t next = 0; ///< Calls routed so far.
};

/** Baseline: the least reported load. */
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

/** Baseline: the less loaded of two random targets. */
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
	uint64_t Random() { return HashText("two-choices", this->seed + 0x9e3779b97f4a7c15ULL * ++this->drawn); }

	uint64_t seed;      ///< Seed of the draws.
	uint64_t drawn = 0; ///< Draws so far.
};

/** Baseline, from the paper: a weighted sum of the caller's rank (delay) and the target's rank (cost) of each target. */
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
			double score = BETA * Rank(usable, number, delay) + (1 - BETA) * Rank(usable, number, cost);
			if (score >= best_score) continue;
			best = number;
			best_score = score;
		}
		return best;
	}

private:
	static constexpr double BETA = 0.5; ///< Weight of the caller's side.

	template <typename Key> static double Rank(const std::vector<TargetNumber> &all, TargetNumber of, Key key)
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
