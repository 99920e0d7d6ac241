/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_incarnation.h One life of a target, from its start to its end: what everything that is known of it belongs to. */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cottonspool {

/**
 * A target may start again under the id that it had. Nothing of its former life is true of it then: runs, load, copies, prompts read,
 * failures, departures. So every table of the core, and all news between instances, name lives.
 */
struct TargetIncarnation {
	std::string id;          ///< Id under which it is listed.
	uint64_t started_ms = 0; ///< Start of this life by its own clock, in milliseconds since the epoch; 0 if it tells none.

	auto operator<=>(const TargetIncarnation &) const = default;

	/**
	 * @return Its name: the id, and where it tells its start, that in a short form. Two lives of an id have the same one only if they
	 *         began a multiple of 25 days apart, to the millisecond; news name lives often, and the whole number takes twice as many bytes.
	 */
	std::string Name() const;

	/** @return Whether a target that tells \a told as its start is another life than this one. */
	bool IsOtherIncarnation(uint64_t told) const { return this->started_ms != 0 && told != 0 && told != this->started_ms; }
};

} // namespace cottonspool
