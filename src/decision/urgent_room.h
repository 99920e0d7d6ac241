/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file urgent_room.h Memory that generations of less urgent routes leave free at a target for those of more urgent routes. */

#pragma once

#include "core/id_type.h"
#include <map>
#include <utility>

namespace cottonspool {

/**
 * Computes the memory that a call leaves free for calls of more urgent routes. It is for bursts of long generations that fill the memory of
 * all engines of a pool. Memory is then only freed when a long generation ends, so that short ones of a more urgent route, which need
 * little memory for a short time, wait behind them and start too late. A call therefore leaves free, at the target it is sent to, the room
 * for one call of the more urgent route that needs the most. Routes whose calls hold memory for longer than the call's own route don't
 * count: room for those would keep out many brief calls for a long one.
 */
class UrgentRoom {
public:
	/**
	 * Learn from a call of a route with \a priority that has arrived for \a pool.
	 * @param tokens Expected memory of the call.
	 * @param max_output Maximum number of its output tokens, which stands for the time that it holds the memory.
	 */
	void OnCall(ModelNumber pool, int priority, double tokens, uint32_t max_output);

	/**
	 * @return Memory, in tokens, that a call of a route with \a priority has to leave free at its target; zero if no route of the pool is
	 *         both more urgent and briefer.
	 */
	double RoomFor(ModelNumber pool, int priority) const;

private:
	/** Learned properties of the calls of one priority. */
	struct CallNeeds {
		double tokens = 0; ///< Mean memory of a call, in tokens.
		double output = 0; ///< Mean of the maximum number of output tokens.
		uint32_t calls = 0;
	};

	std::map<std::pair<uint32_t, int>, CallNeeds> needs; ///< Needs of calls by pool and route priority.
};

} // namespace cottonspool
