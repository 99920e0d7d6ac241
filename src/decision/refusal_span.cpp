/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file refusal_span.cpp Retry-After for calls that are rejected because of overload. */

#include "decision/refusal_span.h"
#include <algorithm>

namespace cottonspool {

/** Ratio of the Retry-After to the time for which the overload has lasted; see RefusalSpan. */
static constexpr double AGE_FACTOR = 4;
static constexpr double SPREAD_LEAST = 0.75; ///< Lower bound of the jitter factor.
static constexpr double SPREAD_MOST = 1.25;  ///< Upper bound of the jitter factor.

Duration RefusalSpan::RetryAfter(Duration drain, uint64_t random, TimePoint now) const
{
	double part = static_cast<double>(random) / static_cast<double>(UINT64_MAX);
	double spread = SPREAD_LEAST + (SPREAD_MOST - SPREAD_LEAST) * part;
	return FromSeconds(std::max(Seconds(drain), AGE_FACTOR * Seconds(this->Age(now))) * spread);
}

} // namespace cottonspool
