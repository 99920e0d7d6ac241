/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file pending_signals.h Signals of targets that wait to be sent to the other instances, merged by target. */

#pragma once

#include "decision/target_signals.h"
#include <map>
#include <vector>

namespace cottonspool {

/** Signals that wait to be sent to the other instances. */
class PendingSignals {
public:
	/**
	 * Add \a update; its newer parts replace those of earlier updates of the same target, and the others stay.
	 * @param stated_at When the target was asked for, or stated, what is in the update; the ages in \a update are ignored.
	 */
	void Add(const TargetSignalUpdate &update, TimePoint stated_at);

	/** @return The pending signals with their ages at \a now; none are pending afterwards. */
	std::vector<TargetSignalUpdate> Take(TimePoint now);

private:
	/** Pending signals of one target. */
	struct Pending {
		TargetSignalUpdate update;
		TimePoint requested_at; ///< When the request was sent whose answer contained the drain notice or rate limit.
		TimePoint sampled_at;   ///< When the time factor was stated.
	};

	std::map<std::string, Pending> pending; ///< Pending signals by target.
};

} // namespace cottonspool
