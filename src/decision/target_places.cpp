/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_places.cpp Which targets may get new work by where they are and whether they are cold. */

#include "decision/place_table.h"
#include "decision/target_table.h"

namespace cottonspool {

void TargetTable::SetEmptiedHalls(const std::set<std::string> &halls)
{
	this->emptied_halls = halls;
	for (TargetState &target : this->targets) target.emptied = halls.contains(target.hall);
}

void TargetTable::SetCold(TargetNumber number, TimePoint end, ColdShare share)
{
	TargetState &target = this->targets[number.value];
	target.cold.SetShare(share);
	target.cold.ExtendTo(end);
}

bool TargetTable::MayGet(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	if (!this->IsUsable(target, call.model, now) || !MayRunIn(call, target.hall)) return false;
	return call.avoid_cold ? !target.cold.IsCold(now) : target.cold.MaySend(now);
}

} // namespace cottonspool
