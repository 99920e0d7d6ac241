/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_places.cpp Admission to targets by data hall, cold start, pauses and rate limits. */

#include "decision/place_table.h"
#include "decision/target_table.h"

namespace cottonspool {

void TargetTable::SetEmptiedHalls(const std::set<std::string> &halls)
{
	this->emptied_halls = halls;
	for (TargetState &target : this->targets) target.bounds.emptied = halls.contains(target.hall);
}

void TargetTable::SetCold(TargetNumber number, TimePoint end, RateShare share)
{
	TargetState &target = this->targets[number.value];
	target.bounds.cold.SetShare(share);
	target.bounds.cold.ExtendTo(end);
}

BoundVerdict TargetTable::Judge(const TargetState &target, const CallSpec &call, TimePoint now)
{
	if (!target.models.contains(call.model)) return {Bound::OtherPool};
	if (!MayRunIn(call, target.hall)) return {Bound::OtherHall};
	return target.bounds.Judge(now, call.avoid_cold);
}

TimePoint TargetTable::FreeAt(const CallSpec &call, TimePoint now, BoundCounts *counts) const
{
	TimePoint free_at = TimePoint::max();
	for (TargetNumber number : this->ForModel(call.model)) {
		BoundVerdict verdict = Judge(this->Get(number), call, now);
		(*counts)[static_cast<size_t>(verdict.bound)]++;
		// A probe can end and a first report can arrive at any time.
		bool soon = verdict.IsFree() || verdict.bound == Bound::Probed || verdict.bound == Bound::Unlisted;
		free_at = std::min(free_at, soon ? now : verdict.until);
	}
	return free_at;
}

bool TargetTable::OnSigns(TargetNumber target, const TargetSigns &signs, TimePoint asked, TimePoint now)
{
	TargetState &state = this->targets[target.value];
	// A later, shorter pause does not cut a longer one short.
	state.bounds.paused_until = std::max(state.bounds.paused_until, now + signs.pause);
	return state.bounds.limit.OnAnswer(signs, asked, now);
}

void TargetTable::NoteRequest(TargetNumber target, TimePoint now)
{
	this->targets[target.value].bounds.OnSent(now);
}

} // namespace cottonspool
