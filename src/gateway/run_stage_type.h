/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file run_stage_type.h How far a target has come with a send. */

#pragma once

#include <cstdint>

namespace cottonspool {

/** How far a target has come with a send. */
enum class RunStage : uint8_t {
	Waiting, ///< Not known to have begun it.
	Started, ///< It has begun it, shortly before.
	Stable,  ///< It has run it for longer than it takes to end under it.
};

} // namespace cottonspool
