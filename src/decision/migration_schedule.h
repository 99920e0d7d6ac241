/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file migration_schedule.h Decides when the copy of a run that leaves its engine is requested. No I/O: events and times in. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include <vector>

namespace cottonspool {

/** Limits of a MigrationSchedule. */
struct MigrationScheduleLimits {
	/** Delay before a migration that failed is tried again, and longest time between choices of an engine while none has headroom. */
	Duration retry_delay = std::chrono::milliseconds(60);
	/** Wait for the run's events and for changes of headroom; otherwise everything is tried again after the delay. */
	bool event_driven = true;
};

/**
 * Decides when the copy of one run is requested. An engine has nothing to copy before the run has produced an event, or while it is
 * preempted, so that a request is due only after an event. While no engine has headroom, the choice is due again when headroom may have
 * changed.
 */
class MigrationSchedule {
public:
	explicit MigrationSchedule(MigrationScheduleLimits limits) : limits(limits) {}

	/** Handle an event of the run from its present engine. */
	void OnEvent() { this->events++; }

	/** @return Whether the copy is requested as soon as the next event arrives. */
	bool AwaitsEvent() const;

	/**
	 * @param headroom_revision Number that changes whenever headroom may have changed; see TargetTable::HeadroomRevision().
	 * @param reading_paused Whether the engine's answer is not being read at present, so that events go unnoticed.
	 * @return Whether an engine may be chosen and the copy requested at \a now.
	 */
	bool IsDue(uint64_t headroom_revision, bool reading_paused, TimePoint now) const;

	/** Handle the request of a copy. */
	void OnRequested();

	/** The engine answered that it has no such run: the run waits there, or was preempted. */
	void OnNoRun(TimePoint now);

	/** The attempt failed otherwise; the next one is due after \a delay. */
	void OnFailed(Duration delay, TimePoint now);

	/** No engine had headroom. @return Whether this is to be logged: once until the next request. */
	bool OnNoHeadroom(uint64_t headroom_revision, TimePoint now);

	/** The engine \a target rejected the run or its copy. */
	void OnRefused(TargetNumber target, TimePoint now) { this->refusals.push_back({target, now}); }

	/** @return The engines that rejected the run and are not to be chosen. */
	std::vector<TargetNumber> Refused() const;

	/**
	 * Forget rejections, as no other engine can take the run.
	 * @return Whether any was forgotten, so that the choice may be repeated at once.
	 */
	bool ForgetRefusals(TimePoint now);

	/** The run has migrated to another engine. */
	void OnMigrated();

private:
	/** An engine that rejected the run. */
	struct Refusal {
		TargetNumber target;
		TimePoint at; ///< When it rejected the run.
	};

	MigrationScheduleLimits limits;
	uint64_t events = 0;            ///< Events from the present engine.
	uint64_t required_events = 1;   ///< Events from the present engine after which a copy may be requested.
	uint64_t events_at_request = 0; ///< Events from the present engine when the last copy was requested.
	uint32_t missing_in_a_row = 0;  ///< Consecutive answers that the engine has no such run.
	TimePoint not_before;           ///< Earliest time of the next attempt.
	bool without_headroom = false;  ///< Whether the last choice found no engine with headroom.
	uint64_t revision_seen = 0;     ///< Headroom revision of that choice.
	bool no_headroom_logged = false;
	std::vector<Refusal> refusals; ///< Engines that rejected the run.
};

} // namespace cottonspool
