/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file arrival_counter.h How many calls for a pool came lately. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>

namespace cottonspool {

/** Counts the calls for each pool over about the span in which a target that names a limit counts what it gets. */
class ArrivalCounter {
public:
	/** A call for \a pool has come. */
	void OnCall(const std::string &pool, TimePoint now) { this->At(pool, now).present++; }

	/** @return Calls for \a pool in the last two to four seconds. */
	uint32_t Recent(const std::string &pool, TimePoint now)
	{
		const Count &count = this->At(pool, now);
		return count.present + count.before;
	}

private:
	static constexpr Duration HALF_WINDOW = std::chrono::milliseconds(2100); ///< Half of the span that is counted.

	/** Calls for one pool. */
	struct Count {
		uint32_t present = 0; ///< In the present half.
		uint32_t before = 0;  ///< In the one before.
		TimePoint since;      ///< When the present one began.
	};

	Count &At(const std::string &pool, TimePoint now)
	{
		Count &count = this->pools[pool];
		Duration passed = now - count.since;
		if (passed < HALF_WINDOW) return count;
		count = {0, passed < 2 * HALF_WINDOW ? count.present : 0, now};
		return count;
	}

	std::map<std::string, Count> pools; ///< By pool.
};

} // namespace cottonspool
