/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file store_version_type.h Version of the store and its order. */

#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace cottonspool {

/**
 * Version of the store. A store that is restored from a backup assigns the same numbers again to other content, so each restore increments
 * the epoch, and versions are ordered by epoch first.
 */
struct StoreVersion {
	uint64_t epoch = 0;  ///< Epoch of the store; 0 if the store does not report one.
	uint64_t number = 0; ///< Counter of all writes in that epoch.

	auto operator<=>(const StoreVersion &) const = default;

	/** @return Whether a version has been received. */
	bool IsKnown() const { return *this != StoreVersion{}; }
};

/** @return \a version formatted for logs. */
inline std::string FormatVersion(const StoreVersion &version)
{
	return std::to_string(version.epoch) + ':' + std::to_string(version.number);
}

} // namespace cottonspool
