/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_speed.h How long work takes at a target, relative to the usual time. */

#pragma once

#include <vector>

namespace cottonspool {

/** A possible time factor of a target. */
struct WeightedFactor {
	double factor = 1; ///< Time that work takes, relative to the usual time; 2 means twice as long.
	double weight = 1; ///< Probability of this factor.
};

/** Possible time factors of a target with weights that sum to 1; empty if nothing is known. */
using TimeFactors = std::vector<WeightedFactor>;

} // namespace cottonspool
