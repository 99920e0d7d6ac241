/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_tracker.cpp Retry-After for calls that are rejected because of overload. */

#include "decision/overload_tracker.h"
#include <algorithm>

namespace cottonspool {

/** Ratio of the Retry-After to the time for which the overload has lasted; see OverloadTracker. */
static constexpr double AGE_FACTOR = 4;
static constexpr double SPREAD_MIN = 0.75; ///< Lower bound of the jitter factor.
static constexpr double SPREAD_MAX = 1.25; ///< Upper bound of the jitter factor.

Duration OverloadTracker::RetryAfter(Duration drain, uint64_t random, TimePoint now) const
{
	double part = static_cast<double>(random) / static_cast<double>(UINT64_MAX);
	double spread = SPREAD_MIN + (SPREAD_MAX - SPREAD_MIN) * part;
	return FromSeconds(std::max(Seconds(drain), AGE_FACTOR * Seconds(this->Age(now))) * spread);
}

} // namespace cottonspool
