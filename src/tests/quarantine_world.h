/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_world.h Instances, targets and a request that ends each target which begins it, in simulated time. */

#pragma once

#include "decision/quarantine.h"
#include <optional>
#include <pcg_random.hpp>

namespace cottonspool {

/** How such a world is laid out. */
struct QuarantineLayout {
	size_t instances = 8;          ///< Instances.
	size_t targets = 30;           ///< Targets.
	uint32_t innocent_tries = 2;   ///< Times that the caller of an innocent request sends it, at most.
	double innocents_per_s = 60;   ///< Innocent requests that begin in a second, at any instance.
	double crashes_per_s = 0;      ///< Targets that end in a second for other reasons.
	double restarts_per_s = 0;     ///< Instances that start anew in a second.
	bool crasher = true;           ///< A request that ends targets comes again and again.
	Duration longest_news{800000}; ///< Longest time until another instance knows of an end.
	Duration contact{3000000};     ///< Time after the third end from which sends of that request are counted.
	Duration length{60000000};     ///< Length of a day.
	QuarantineLimits limits;       ///< When a request is quarantined.
};

/** What came of a day. */
struct QuarantineDay {
	size_t ended = 0;             ///< Targets that ended under the request.
	size_t sent_late = 0;         ///< Its sends later than a contact time after the third of them, by instances that have run for as long.
	size_t innocents_ended = 0;   ///< Innocent requests that ended with targets.
	size_t innocents_refused = 0; ///< Innocent requests that were refused.
};

/** Play a day. */
QuarantineDay PlayQuarantineDay(const QuarantineLayout &layout, uint64_t seed);

} // namespace cottonspool
