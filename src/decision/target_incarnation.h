/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_incarnation.h Identity of one incarnation of a target: its id and the start time of its process. */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cottonspool {

/**
 * One incarnation of a target. A target may restart under the same id; its runs, load, backups, caches and failures don't outlive the
 * process, so all tables and all updates between instances refer to incarnations.
 */
struct TargetIncarnation {
	std::string id;          ///< Id of the target in the target list.
	uint64_t started_ms = 0; ///< Start time of the process by the target's clock, in milliseconds since the Unix epoch; 0 if unknown.

	auto operator<=>(const TargetIncarnation &) const = default;

	/**
	 * @return The name: the id and, if known, a short form of the start time, as "id@start". The short form wraps around after about
	 *         25 days; it is used because names are frequent in messages between instances.
	 */
	std::string Name() const;

	/** @return Whether the start time \a other_start_ms belongs to another incarnation than this one; false if either is unknown. */
	bool IsOtherIncarnation(uint64_t other_start_ms) const
	{
		return this->started_ms != 0 && other_start_ms != 0 && other_start_ms != this->started_ms;
	}
};

} // namespace cottonspool
