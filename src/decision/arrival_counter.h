/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file arrival_counter.h Counter of recently arrived calls for each pool. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace cottonspool {

/** Counts the calls that arrived for each pool within about one rate limit window (RATE_LIMIT_WINDOW). */
class ArrivalCounter {
public:
	/** Count a call for \a pool that arrived at \a now. */
	void OnCall(const std::string &pool, TimePoint now) { this->Advance(pool, now).current++; }

	/** @return Calls for \a pool that arrived within the last two to four seconds. */
	uint32_t Recent(const std::string &pool, TimePoint now)
	{
		const WindowCount &count = this->Advance(pool, now);
		return count.current + count.previous;
	}

private:
	static constexpr Duration HALF_WINDOW = std::chrono::milliseconds(2100); ///< Length of each of the two half windows.

	/** Calls for one pool, counted in two consecutive half windows. */
	struct WindowCount {
		uint32_t current = 0;   ///< Calls in the current half window.
		uint32_t previous = 0;  ///< Calls in the previous half window.
		TimePoint window_start; ///< Start of the current half window.
	};

	/** @return The count of \a pool, after moving on to the half window that contains \a now. */
	WindowCount &Advance(const std::string &pool, TimePoint now)
	{
		WindowCount &count = this->pools[pool];
		Duration passed = now - count.window_start;
		if (passed < HALF_WINDOW) return count;
		count = {0, passed < 2 * HALF_WINDOW ? count.current : 0, now};
		return count;
	}

	std::map<std::string, WindowCount> pools; ///< Counts by name of the pool.
};

} // namespace cottonspool
