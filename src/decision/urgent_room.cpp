/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file urgent_room.cpp Learned memory of the calls of each route priority. */

#include "decision/urgent_room.h"
#include <algorithm>

namespace cottonspool {

static constexpr double NEED_SMOOTHING = 0.05; ///< Weight of the newest call in the smoothed memory.

void UrgentRoom::OnCall(ModelNumber pool, int priority, double tokens)
{
	auto [entry, added] = this->needs.try_emplace({pool.value, priority}, tokens);
	if (!added) entry->second += NEED_SMOOTHING * (tokens - entry->second);
}

double UrgentRoom::RoomFor(ModelNumber pool, int priority, double tokens) const
{
	double room = 0;
	auto own = this->needs.find({pool.value, priority});
	double own_need = own == this->needs.end() ? tokens : own->second;
	// The entries of a pool are in order of priority, the most urgent first.
	for (auto entry = this->needs.lower_bound({pool.value, 0}); entry != this->needs.end(); ++entry) {
		auto [entry_pool, entry_priority] = entry->first;
		if (entry_pool != pool.value || entry_priority >= priority) break;
		if (entry->second < own_need) room = std::max(room, entry->second);
	}
	return room;
}

} // namespace cottonspool
