/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file copy_order.cpp Implementation of the order of copies. */

#include "decision/copy_order.h"
#include <algorithm>
#include <tuple>

namespace cottonspool {

/** Fraction of the time left within which a run has to finish to count as saved without a copy; expected lengths are often too short. */
static constexpr double SAFE_FINISH_FRACTION = 0.5;

/** Groups of runs; smaller ones are copied first. */
enum class CopyGroup : uint8_t {
	Savable,   ///< A copy can be complete before the engine shuts down.
	Finishing, ///< Probably finishes before the shutdown.
	Lost,      ///< The copy takes longer than the time left.
};

/** @return The group of \a run. */
static CopyGroup GroupOf(const CopyCandidate &run, const EnginePool &pool, const CopyOrderRules &rules)
{
	if (!rules.rescue_order || !rules.time_left) return CopyGroup::Savable;
	if (Seconds(run.remaining) <= Seconds(*rules.time_left) * SAFE_FINISH_FRACTION) return CopyGroup::Finishing;
	return CopyTime(pool, run.tokens) > *rules.time_left ? CopyGroup::Lost : CopyGroup::Savable;
}

Duration CopyDelay(CallId own, std::span<const CopyCandidate> candidates, const EnginePool &pool, const CopyOrderRules &rules)
{
	auto key = [&](const CopyCandidate &run) { return std::tuple(GroupOf(run, pool, rules), run.tokens, run.id); };
	auto self = std::find_if(candidates.begin(), candidates.end(), [&](const CopyCandidate &run) { return run.id == own; });
	if (self == candidates.end()) return Duration(0);
	Duration wait{0};
	for (const CopyCandidate &other : candidates) {
		if (other.id == own || other.remaining < rules.min_remaining) continue;
		// The link must not be kept free for a run that the engine cannot copy.
		if (rules.rescue_order && !other.has_event) continue;
		if (key(other) < key(*self)) wait += CopyTime(pool, other.tokens);
	}
	return wait;
}

} // namespace cottonspool
