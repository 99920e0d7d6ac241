/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load.h What data halls tell each other of their engines: a sum for each, some times a second. */

#pragma once

#include "decision/peer_load.h"

namespace cottonspool {

/** What is at one target, summed up. */
struct TargetLoadSum {
	std::string target;       ///< Target.
	uint32_t held_tokens = 0; ///< Memory held by calls, in tokens.
	uint32_t calls = 0;       ///< Calls there.
	uint32_t wait_ms = 0;     ///< Time until all prompts that are there have been read, in milliseconds.
};

/** What one data hall tells the others. */
struct HallLoadMessage {
	std::string hall;                          ///< Hall that tells it.
	bool forwarded = false;                    ///< It was passed on by an instance of the receiver's hall.
	std::vector<TargetLoadSum> local_targets;  ///< Its own targets at which something is, with the calls of all halls.
	std::vector<TargetLoadSum> remote_targets; ///< Targets of other halls, with the calls of this hall's instances.

	/** @return Whether it tells that nothing is anywhere. */
	bool IsEmpty() const { return this->local_targets.empty() && this->remote_targets.empty(); }
};

/**
 * Instances of a hall know each other's calls one by one; of other halls' targets they know the sums that those halls tell. A hall
 * that knew nothing of the others' engines took them for empty, and the calls sent there came late. Sums grow with the number of targets
 * that are in use, not with calls times instances.
 */
class HallLoad {
public:
	HallLoad(TargetTable &targets, std::string own_hall) : targets(targets), own_hall(std::move(own_hall)) {}

	/** @return What the own hall tells the others at \a now. */
	HallLoadMessage BuildMessage(TimePoint now) const;

	/** Take in what another hall tells. @return The loads of its own targets, to be taken like their reports. */
	std::vector<ReportUpdate> OnMessage(const HallLoadMessage &message, TimePoint now);

private:
	TargetTable &targets;                                           ///< Targets.
	std::string own_hall;                                           ///< Hall of this instance.
	std::map<std::string, std::set<TargetNumber>> reported_targets; ///< Targets of other halls at which something was, as told last.
};

} // namespace cottonspool
