/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_restrictions.h May a target get a request now; if not, why, and until when: all that keeps requests from it, in one place.
 */

#pragma once

#include "decision/cold_start.h"
#include "decision/restriction_type.h"
#include "decision/target_rate_limit.h"

namespace cottonspool {

/** All that keeps requests from one target, whatever the request. */
struct TargetRestrictions {
	bool known = false;      ///< The configuration in force names it.
	bool ready = false;      ///< It has reported at least once, or is a service without reports.
	bool draining = false;   ///< Gets nothing new; see TargetTable::MarkDraining().
	bool evacuated = false;  ///< Its hall is emptied: gets nothing new until that is taken back.
	TimePoint ejected_until; ///< Gets nothing new before this.
	bool probing = false;    ///< One call is on its way to find out whether it is well again.
	TimePoint paused_until;  ///< It has asked this instance for nothing before.
	ColdStart cold;          ///< Keeps what it gets while it is cold to what it bears.
	TargetRateLimit limit;   ///< Keeps what it gets to the limit that it names.

	/**
	 * @param exclude_cold A cold target gets nothing at all.
	 * @return Whether it may get a request at \a now.
	 */
	AdmissionVerdict CheckAdmission(TimePoint now, bool exclude_cold) const;

	/** A request of this instance goes there. */
	void OnSent(TimePoint now);
};

} // namespace cottonspool
