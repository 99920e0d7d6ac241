/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file libfuzzer.cpp Entry point for clang's libFuzzer; the environment variable COTTONSPOOL_DECODER names the decoder to test. */

#include "decoders.h"
#include <cstdlib>
#include <cstring>

/** Called by libFuzzer with each input. */
extern "C" int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const cottonspool::FuzzedDecoder *decoder = [] {
		const char *name = std::getenv("COTTONSPOOL_DECODER");
		for (const cottonspool::FuzzedDecoder &each : cottonspool::FuzzedDecoders()) {
			if (name != nullptr && strcmp(each.name, name) == 0) return &each;
		}
		std::abort();
	}();
	decoder->decode(std::string(reinterpret_cast<const char *>(data), size));
	return 0;
}
