/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file decoders.h Every decoder of bytes from outside, with valid messages to begin from. */

#pragma once

#include <string>
#include <vector>

namespace cottonspool {

/** One decoder. */
struct FuzzedDecoder {
	const char *name;                    ///< Name, and folder of its corpus.
	void (*decode)(const std::string &); ///< Decodes any bytes; may refuse them, never fail on them.
	std::vector<std::string> seeds;      ///< Valid messages.
};

/** @return All of them. */
const std::vector<FuzzedDecoder> &FuzzedDecoders();

} // namespace cottonspool
