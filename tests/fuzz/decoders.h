/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file decoders.h The decoders of untrusted bytes, with valid messages as seeds for the fuzzers. */

#pragma once

#include <string>
#include <vector>

namespace cottonspool {

/** A decoder of untrusted bytes. */
struct FuzzedDecoder {
	const char *name;                    ///< Name, also of its folder in the corpus.
	void (*decode)(const std::string &); ///< Decodes any bytes; may reject them, but not crash or throw.
	std::vector<std::string> seeds;      ///< Valid messages, to be mutated.
};

/** @return All decoders. */
const std::vector<FuzzedDecoder> &FuzzedDecoders();

} // namespace cottonspool
