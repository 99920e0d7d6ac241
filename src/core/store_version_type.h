/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file store_version_type.h A version of the store, with the one order that versions have. */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cottonspool {

/**
 * A version of the store. A store that comes back from a copy gives numbers out a second time, for other content: its era, which rises
 * with each such return, tells the two apart. Ordered by number alone, six of eight instances put a change of the configuration in force
 * 2.6 s after it was acknowledged, where 2 s are allowed (a recorded day).
 */
struct StoreVersion {
	uint64_t epoch = 0;  ///< Which life of the store gave it out; 0 for a store that does not tell.
	uint64_t number = 0; ///< Counter of all writes of that life.

	auto operator<=>(const StoreVersion &) const = default;

	/** @return Whether it is a version at all; nothing is known before the first one. */
	bool IsKnown() const { return *this != StoreVersion{}; }
};

/** @return \a version for logs. */
inline std::string FormatVersion(const StoreVersion &version)
{
	return std::to_string(version.epoch) + ':' + std::to_string(version.number);
}

} // namespace cottonspool
