/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load.h Aggregated target load that data halls send each other. */

#pragma once

#include "decision/peer_load.h"

namespace cottonspool {

/** Aggregated load of one target. */
struct TargetLoadSum {
	std::string target;       ///< Name of the target.
	uint32_t held_tokens = 0; ///< KV cache held by calls, in tokens.
	uint32_t calls = 0;       ///< Number of calls.
	uint32_t wait_ms = 0;     ///< Time until all pending prompts are prefilled, in milliseconds.
};

/** Load summary that one data hall sends to the others. */
struct HallLoadMessage {
	std::string hall;                          ///< Hall that sends the summary.
	bool forwarded = false;                    ///< The summary was forwarded by an instance of the receiver's hall.
	std::vector<TargetLoadSum> local_targets;  ///< Targets in the sender's hall that have load, with the calls of all halls.
	std::vector<TargetLoadSum> remote_targets; ///< Targets in other halls, with the calls from the sender's hall only.

	/** @return Whether there is no load to report. */
	bool IsEmpty() const { return this->local_targets.empty() && this->remote_targets.empty(); }
};

/**
 * Exchanges aggregated target load between halls. Inside a hall the instances know each other's individual calls. For targets of other
 * halls they use these sums, as their size grows with the number of targets in use instead of with the number of calls. Without them an
 * instance would treat the targets of other halls as idle.
 */
class HallLoad {
public:
	HallLoad(TargetTable &targets, std::string own_hall) : targets(targets), own_hall(std::move(own_hall)) {}

	/** @return The load summary of this instance's hall at \a now. */
	HallLoadMessage BuildMessage(TimePoint now) const;

	/** Handles the load summary of another hall. @return The load of that hall's targets, to be applied like their load reports. */
	std::vector<ReportUpdate> OnMessage(const HallLoadMessage &message, TimePoint now);

private:
	TargetTable &targets;                                           ///< Table of all targets.
	std::string own_hall;                                           ///< Hall of this instance.
	std::map<std::string, std::set<TargetNumber>> reported_targets; ///< Targets with load in the last summary of each other hall.
};

} // namespace cottonspool
