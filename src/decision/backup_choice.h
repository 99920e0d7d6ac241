/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file backup_choice.h Choice of the engine that keeps a backup of a run's KV cache, from which the run resumes if its engine fails. */

#pragma once

#include "decision/target_table.h"

namespace cottonspool {

/** Parameters of the choice. */
struct BackupRules {
	bool use = false;                ///< Whether backups are made at all; docs/design/decisions.md explains why they are off by default.
	double max_pressure = 0.62;      ///< Highest memory pressure, including the backup, of an engine that gets one.
	double same_hall_penalty = 0.25; ///< Pressure added to the score of engines in the run's own hall.
	Duration min_remaining = std::chrono::milliseconds(1000); ///< Runs with a shorter expected remaining time get no backup.
};

/**
 * Choose the engine that keeps a backup of the run of \a call, which \a holder executes.
 * @return Nothing if backups are off, the run is about to end, or no engine has enough free memory.
 */
std::optional<TargetNumber> ChooseBackup(const CallSpec &call, TargetNumber holder, const TargetTable &targets, const BackupRules &rules,
                                         TimePoint now);

} // namespace cottonspool
