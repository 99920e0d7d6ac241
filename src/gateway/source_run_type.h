/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file source_run_type.h What is known of a run at the engine that it leaves. */

#pragma once

#include <cstdint>

namespace cottonspool {

/** What is known of a run at the engine that it leaves, and by which sign. A closed connection is none: the engine may work on. */
enum class SourceRun : uint8_t {
	MayRun,      ///< Nothing says that it has ended.
	Stopped,     ///< The engine answered that it stopped the run.
	Absent,      ///< The engine answered that it has no such run, after the run's connection had ended.
	Unreachable, ///< The run's connection has ended, and the engine does not answer.
};

/** @return The name of \a run for logs. */
const char *SourceRunName(SourceRun run);

} // namespace cottonspool
