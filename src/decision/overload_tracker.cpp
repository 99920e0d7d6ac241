/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_tracker.cpp When callers that are refused should come back. */

#include "decision/overload_tracker.h"
#include <algorithm>

namespace cottonspool {

/** Times the age of the load that a caller is told; see OverloadTracker: longer helps in long loads, and all wait for it after short ones.
 */
static constexpr double AGE_FACTOR = 4;
static constexpr double SPREAD_MIN = 0.75; ///< Least part of the time that a caller is told, and
static constexpr double SPREAD_MAX = 1.25; ///< largest.

Duration OverloadTracker::RetryAfter(Duration drain, uint64_t random, TimePoint now) const
{
	double part = static_cast<double>(random) / static_cast<double>(UINT64_MAX);
	double spread = SPREAD_MIN + (SPREAD_MAX - SPREAD_MIN) * part;
	return FromSeconds(std::max(Seconds(drain), AGE_FACTOR * Seconds(this->Age(now))) * spread);
}

} // namespace cottonspool
