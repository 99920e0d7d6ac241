/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_placement.cpp Admission to targets by data hall, cold start, pauses and rate limits. */

#include "decision/placement_table.h"
#include "decision/target_table.h"

namespace cottonspool {

void TargetTable::SetEvacuatedHalls(const std::set<std::string> &halls)
{
	this->evacuated_halls = halls;
	for (TargetState &target : this->targets) target.restrictions.evacuated = halls.contains(target.hall);
}

void TargetTable::SetCold(TargetNumber number, TimePoint end, RateShare share)
{
	this->targets[number.value].restrictions.cold.ExtendTo(end);
	this->SetColdShare(number, share);
}

void TargetTable::SetColdShare(TargetNumber number, RateShare share)
{
	this->targets[number.value].restrictions.cold.SetShare(share);
}

AdmissionVerdict TargetTable::CheckAdmission(const TargetState &target, const CallSpec &call, TimePoint now)
{
	if (!target.models.contains(call.model)) return {Restriction::OtherPool};
	if (!MayRunIn(call, target.hall)) return {Restriction::OtherHall};
	return target.restrictions.CheckAdmission(now, call.exclude_cold);
}

TimePoint TargetTable::FreeAt(const CallSpec &call, TimePoint now, RestrictionCounts *counts) const
{
	TimePoint free_at = TimePoint::max();
	for (TargetNumber number : this->ForModel(call.model)) {
		AdmissionVerdict verdict = CheckAdmission(this->Get(number), call, now);
		(*counts)[static_cast<size_t>(verdict.bound)]++;
		// A probe can end and a first report can arrive at any time.
		bool soon = verdict.IsFree() || verdict.bound == Restriction::Probing || verdict.bound == Restriction::Unlisted;
		free_at = std::min(free_at, soon ? now : verdict.until);
	}
	return free_at;
}

bool TargetTable::OnSignals(TargetNumber target, const TargetSignals &signals, TimePoint asked, TimePoint now)
{
	TargetState &state = this->targets[target.value];
	// A later, shorter pause does not cut a longer one short.
	state.restrictions.paused_until = std::max(state.restrictions.paused_until, now + signals.pause);
	return state.restrictions.limit.OnAnswer(signals, asked, now);
}

bool TargetTable::OnAnswerSignals(TargetNumber target, const TargetSignals *signals, TimePoint asked, TimePoint now)
{
	RefusalGuard &refusals = this->targets[target.value].restrictions.refusals;
	if (signals != nullptr) return refusals.OnAnswer(*signals, asked, now);
	refusals.OnUnanswered();
	return false;
}

void TargetTable::SetRefusalShare(TargetNumber target, size_t instance_count, RateShare share)
{
	this->targets[target.value].restrictions.refusals.SetShare(instance_count, share);
}

void TargetTable::OnRequestSent(TargetNumber target, TimePoint now)
{
	this->targets[target.value].restrictions.OnSent(now);
}

} // namespace cottonspool
