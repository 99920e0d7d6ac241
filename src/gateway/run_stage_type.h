/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file run_stage_type.h Progress of a request at its target. */

#pragma once

#include <cstdint>

namespace cottonspool {

/** Progress of a request at its target. */
enum class RunStage : uint8_t {
	Waiting, ///< Not known to have started.
	Started, ///< Started so recently that it may still crash the target.
	Stable,  ///< Running for longer than a request that crashes its target would.
};

} // namespace cottonspool
