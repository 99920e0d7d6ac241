/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file backup_choice.h Which engine keeps a copy of a run, so that it can go on there when its own engine is lost. */

#pragma once

#include "decision/target_table.h"

namespace cottonspool {

/** Rules of that choice. */
struct BackupRules {
	bool use = false;                ///< Keep copies at all; see docs/design/decisions.md for why not.
	double max_pressure = 0.62;      ///< Memory planned to be filled at an engine, with the copy, up to which it takes one.
	double same_hall_penalty = 0.25; ///< Pressure that an engine in another hall than the run's may be worse by.
	Duration min_remaining = std::chrono::milliseconds(1000); ///< Runs expected to end sooner are not worth a copy.
};

/**
 * Choose the engine that keeps a copy of the run of \a call at \a holder.
 * @return Nothing when no engine has memory to spare, or the run is not worth it.
 */
std::optional<TargetNumber> ChooseBackup(const CallSpec &call, TargetNumber holder, const TargetTable &targets, const BackupRules &rules,
                                         TimePoint now);

} // namespace cottonspool
