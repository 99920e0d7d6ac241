/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file migration_schedule.cpp Implementation of the schedule of copy requests. */

#include "decision/migration_schedule.h"
#include <algorithm>

namespace cottonspool {

bool MigrationSchedule::AwaitsEvent() const
{
	return this->limits.event_driven && this->events < this->required_events;
}

bool MigrationSchedule::IsDue(uint64_t headroom_revision, bool reading_paused, TimePoint now) const
{
	bool headroom_changed = this->limits.event_driven && this->without_headroom && headroom_revision != this->revision_seen;
	if (now < this->not_before && !headroom_changed) return false;
	return !this->AwaitsEvent() || reading_paused;
}

void MigrationSchedule::OnRequested()
{
	this->events_at_request = this->events;
	this->without_headroom = false;
	this->no_headroom_logged = false;
}

void MigrationSchedule::OnNoRun(TimePoint now)
{
	// An event that arrived while the request was under way shows that the run runs again.
	this->required_events = this->events_at_request + 1;
	// An engine that never finds a run must not be asked at every event.
	bool repeated = ++this->missing_in_a_row > 1;
	this->not_before = this->limits.event_driven && !repeated ? now : now + this->limits.retry_delay;
}

void MigrationSchedule::OnFailed(Duration delay, TimePoint now)
{
	this->missing_in_a_row = 0;
	this->not_before = now + delay;
}

bool MigrationSchedule::OnNoHeadroom(uint64_t headroom_revision, TimePoint now)
{
	this->without_headroom = true;
	this->revision_seen = headroom_revision;
	this->not_before = now + this->limits.retry_delay;
	bool log = !this->limits.event_driven || !this->no_headroom_logged;
	this->no_headroom_logged = true;
	return log;
}

std::vector<TargetNumber> MigrationSchedule::Refused() const
{
	std::vector<TargetNumber> targets;
	for (const Refusal &refusal : this->refusals) targets.push_back(refusal.target);
	return targets;
}

bool MigrationSchedule::ForgetRefusals(TimePoint now)
{
	if (!this->limits.event_driven) {
		this->refusals.clear();
		return false;
	}
	return std::erase_if(this->refusals, [&](const Refusal &refusal) { return now - refusal.at >= this->limits.retry_delay; }) > 0;
}

void MigrationSchedule::OnMigrated()
{
	*this = MigrationSchedule(this->limits);
	// The copy was made of a running run, so the new engine has something to copy before its first event.
	this->required_events = 0;
}

} // namespace cottonspool
