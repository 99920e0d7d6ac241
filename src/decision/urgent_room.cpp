/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file urgent_room.cpp Learned memory of the calls of each route priority. */

#include "decision/urgent_room.h"
#include <algorithm>

namespace cottonspool {

static constexpr double MIN_WEIGHT = 0.05; ///< Weight of the newest call in a mean once there have been many.

void UrgentRoom::OnCall(ModelNumber pool, int priority, double tokens, uint32_t max_output)
{
	CallNeeds &known = this->needs[{pool.value, priority}];
	known.calls++;
	// One of many instances sees few calls, so all of the first ones count alike.
	double weight = std::max(MIN_WEIGHT, 1.0 / known.calls);
	known.tokens += weight * (tokens - known.tokens);
	known.output += weight * (max_output - known.output);
}

double UrgentRoom::RoomFor(ModelNumber pool, int priority) const
{
	auto own = this->needs.find({pool.value, priority});
	if (own == this->needs.end()) return 0;
	double room = 0;
	// The entries of a pool are in order of priority, the most urgent first.
	for (auto entry = this->needs.lower_bound({pool.value, 0}); entry != own; ++entry) {
		if (entry->second.output < own->second.output) room = std::max(room, entry->second.tokens);
	}
	return room;
}

} // namespace cottonspool
