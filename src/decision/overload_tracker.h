/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_tracker.h Duration of the present overload, and the Retry-After derived from it. */

#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace cottonspool {

/**
 * Tracks for how long calls have been rejected because of overload. The queue's drain time is too short a Retry-After, as callers then
 * come back into the same overload. The remaining duration of an overload is unknown but tends to grow with its age, so the
 * Retry-After is a multiple of the age.
 */
class OverloadTracker {
public:
	/** Handle the rejection of a call because of overload. */
	void OnRejected(TimePoint now)
	{
		if (now - this->last > QUIET_PERIOD) this->first = now;
		this->last = now;
	}

	/** @return Duration of the present overload; zero if there is none. */
	Duration Age(TimePoint now) const { return now - this->last > QUIET_PERIOD ? Duration(0) : now - this->first; }

	/**
	 * @param drain Expected time until the calls that wait now are dispatched.
	 * @param random Random number for the jitter, so that callers rejected together don't come back together.
	 * @return Retry-After for a call that is rejected at \a now.
	 */
	Duration RetryAfter(Duration drain, uint64_t random, TimePoint now) const;

private:
	static constexpr Duration QUIET_PERIOD = std::chrono::seconds(1); ///< Time without rejections after which the overload is over.

	TimePoint first; ///< Time of the first rejection of the present overload.
	TimePoint last;  ///< Time of the latest rejection.
};

} // namespace cottonspool
