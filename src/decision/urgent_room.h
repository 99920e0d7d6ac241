/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file urgent_room.h Memory that generations of less urgent routes leave free at a target for those of more urgent routes. */

#pragma once

#include "core/id_type.h"
#include <map>
#include <utility>

namespace cottonspool {

/**
 * Answers a burst of long generations that fills the memory of all engines of a pool. Memory is then only freed when a long generation
 * ends, so that short ones of a more urgent route, which need little memory for a short time, wait behind them and start too late. A call
 * therefore leaves free, at the target it is sent to, the room for one call of the more urgent route that needs the most. Routes that need
 * more memory than the call itself don't count: room for those would keep out several small calls for a large one.
 */
class UrgentRoom {
public:
	/** Learn that a call of a route with \a priority, expected to need \a tokens of memory, has arrived for \a pool. */
	void OnCall(ModelNumber pool, int priority, double tokens);

	/**
	 * @param tokens Expected memory of the call.
	 * @return Memory, in tokens, that a call of a route with \a priority has to leave free at its target; zero if no route of the pool is
	 *         both more urgent and smaller.
	 */
	double RoomFor(ModelNumber pool, int priority, double tokens) const;

private:
	/** Smoothed memory of a call, in tokens, by pool and route priority. */
	std::map<std::pair<uint32_t, int>, double> needs;
};

} // namespace cottonspool
