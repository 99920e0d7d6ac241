/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hash_func.h Stable hashes (xxHash) and rendezvous choice. */

#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** @return The 64-bit hash of \a text; the same on every instance and version. */
uint64_t HashText(std::string_view text, uint64_t seed = 0);

/**
 * Choose the \a count names that score highest for \a key (rendezvous hashing): every instance that knows the same
 * names chooses the same ones, and a name that comes or goes moves only what it held.
 * @return The chosen names, best first; all of them when there are no more than \a count.
 */
std::vector<std::string> RendezvousChoice(std::string_view key, const std::vector<std::string> &names, size_t count);

} // namespace cottonspool
