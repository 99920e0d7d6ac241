/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_simulation.h Simulation of instances, targets and a request that crashes each target that executes it. */

#pragma once

#include "decision/quarantine.h"
#include <optional>
#include <pcg_random.hpp>

namespace cottonspool {

/** Parameters of the simulation. */
struct QuarantineLayout {
	size_t instances = 8;              ///< Number of instances.
	size_t targets = 30;               ///< Number of targets.
	uint32_t innocent_tries = 2;       ///< Maximum number of times that a caller sends an innocent request.
	double innocents_per_s = 60;       ///< Innocent requests per second, each at a random instance.
	double crashes_per_s = 0;          ///< Crashes of targets per second for other reasons.
	double restarts_per_s = 0;         ///< Restarts of instances per second.
	bool crasher = true;               ///< Whether a request that crashes targets is sent repeatedly.
	Duration max_update_delay{800000}; ///< Maximum time until another instance learns of a crash.
	Duration contact{3000000};         ///< Time after the third crash from which sends of the crashing request are counted.
	Duration length{60000000};         ///< Simulated time.
	QuarantineLimits limits;           ///< Limits of the quarantine.
};

/** Result of a simulation. */
struct QuarantineResult {
	size_t crashed = 0;            ///< Targets that the request crashed.
	size_t sent_late = 0;          ///< Its sends more than the contact time after the third crash, by instances up for as long.
	size_t innocents_lost = 0;     ///< Innocent requests that were lost in crashes.
	size_t innocents_rejected = 0; ///< Innocent requests that were rejected.
};

/** Runs the simulation. */
QuarantineResult SimulateQuarantine(const QuarantineLayout &layout, uint64_t seed);

} // namespace cottonspool
