/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_restrictions.h All restrictions on the requests to one target, and the check against them. */

#pragma once

#include "decision/cold_start.h"
#include "decision/refusal_guard.h"
#include "decision/restriction_type.h"
#include "decision/target_rate_limit.h"

namespace cottonspool {

/** Restrictions on the requests to one target that don't depend on the request. */
struct TargetRestrictions {
	bool known = false;      ///< Whether the current configuration contains the target.
	bool ready = false;      ///< Whether it has sent a load report, or is a service without reports.
	bool draining = false;   ///< Whether it is draining; see TargetTable::MarkDraining().
	bool evacuated = false;  ///< Whether its data hall has been evacuated.
	TimePoint ejected_until; ///< End of its ejection.
	bool probing = false;    ///< Whether a probe request is in flight after an ejection.
	TimePoint paused_until;  ///< End of the pause that it requested from this instance.
	ColdStart cold;          ///< Rate limit during its cold start.
	TargetRateLimit limit;   ///< Rate limit that it advertises.
	RefusalGuard refusals;   ///< Bound on its refusals while it is brittle.

	/**
	 * @param exclude_cold Whether a cold target may get no request at all.
	 * @return Whether the target may get a request at \a now.
	 */
	AdmissionVerdict CheckAdmission(TimePoint now, bool exclude_cold) const;

	/** Count a request of this instance that is sent to the target. */
	void OnSent(TimePoint now);
};

} // namespace cottonspool
