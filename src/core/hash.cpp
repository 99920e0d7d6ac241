/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hash.cpp Implementation of the stable hashes (xxHash) and of rendezvous hashing. */

#define XXH_INLINE_ALL
#include "core/hash_func.h"
#include <algorithm>
#include <xxhash.h>

namespace cottonspool {

uint64_t HashText(std::string_view text, uint64_t seed)
{
	return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::vector<std::string> RendezvousChoice(std::string_view key, const std::vector<std::string> &names, size_t count)
{
	uint64_t seed = HashText(key);
	std::vector<std::pair<uint64_t, const std::string *>> scored;
	scored.reserve(names.size());
	for (const std::string &name : names) scored.emplace_back(HashText(name, seed), &name);
	std::sort(scored.begin(), scored.end(), [](const auto &a, const auto &b) {
		if (a.first != b.first) return a.first > b.first;
		return *a.second < *b.second;
	});
	if (scored.size() > count) scored.resize(count);
	std::vector<std::string> chosen;
	chosen.reserve(scored.size());
	for (const auto &entry : scored) chosen.push_back(*entry.second);
	return chosen;
}

} // namespace cottonspool
