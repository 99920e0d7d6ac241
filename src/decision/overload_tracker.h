/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_tracker.h For how long calls have been refused for want of room, and when coming back is worth it. */

#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace cottonspool {

/**
 * The load that it answers: more calls than room for some seconds, and callers who come back once. Nobody tells when such a load ends.
 * If no length is likelier than another, four of five loads that have lasted a second are over within four more. A caller who is told
 * the time in which the queue drains, a few tenths of a second, comes back into the same load and is refused for good.
 * Longer helps further callers in long loads, but all wait for it after short ones.
 */
class OverloadTracker {
public:
	/** A call is refused at \a now. */
	void OnRejected(TimePoint now)
	{
		if (now - this->last > QUIET_PERIOD) this->first = now;
		this->last = now;
	}

	/** @return For how long calls have been refused without a quiet second. */
	Duration Age(TimePoint now) const { return now - this->last > QUIET_PERIOD ? Duration(0) : now - this->first; }

	/**
	 * @param drain Time in which what waits now is expected to be sent.
	 * @param random Spreads those that are refused together: a herd that comes back at once would be refused again.
	 * @return Time after which a caller refused now should come back.
	 */
	Duration RetryAfter(Duration drain, uint64_t random, TimePoint now) const;

private:
	static constexpr Duration QUIET_PERIOD = std::chrono::seconds(1); ///< Time without refusals after which the load is over.

	TimePoint first; ///< First refusal of the present load.
	TimePoint last;  ///< Last one.
};

} // namespace cottonspool
