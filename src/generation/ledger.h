/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ledger.h The order of one stream's tokens: each once, in order, from one generation. */

#pragma once

#include <cstdint>
#include <string>

namespace cottonspool {

/** What is to be done with a token that has come from an engine. */
enum class TokenVerdict : uint8_t {
	Deliver,   ///< It is the next one: pass it on.
	Duplicate, ///< It was passed on before: drop it.
	Gap,       ///< Something before it is missing: resume after Delivered().
	Foreign,   ///< It belongs to another generation: drop it.
};

/** Keeps one answer to one generation. */
class GenerationLedger {
public:
	/** Start over with \a generation. @pre Delivered() is 0: a stream that has begun keeps its generation for good. */
	void Bind(std::string generation);

	/** Judge token number \a index (from 1) of \a generation; a delivered one is counted. */
	TokenVerdict Accept(const std::string &generation, uint64_t index);

	/** @return Number of the last token passed on; 0 before the first. */
	uint64_t Delivered() const { return this->delivered; }

	/** @return The generation that the stream is bound to. */
	const std::string &Generation() const { return this->generation; }

	/** Drop what was held back from the caller, so that another generation may answer. @pre Nothing was shown to the caller. */
	void Reset();

private:
	std::string generation; ///< Generation of the stream.
	uint64_t delivered = 0; ///< Tokens passed on.
};

} // namespace cottonspool
