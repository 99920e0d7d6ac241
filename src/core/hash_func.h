/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hash_func.h Stable hashes (xxHash) and rendezvous hashing. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** @return The 64-bit hash of \a text; the same on every instance and in every version. */
uint64_t HashText(std::string_view text, uint64_t seed = 0);

/**
 * Selects the \a count names with the highest score for \a key (rendezvous hashing). All instances that know the same names select the same
 * ones, and an added or removed name affects only its own selections.
 * @return The selected names, best first; all names if there are at most \a count.
 */
std::vector<std::string> RendezvousChoice(std::string_view key, const std::vector<std::string> &names, size_t count);

} // namespace cottonspool
