/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ledger.h Token order of a stream: each token once, in order, and from one generation. */

#pragma once

#include <cstdint>
#include <string>

namespace cottonspool {

/** How to handle a token that an engine has sent. */
enum class TokenVerdict : uint8_t {
	Deliver,   ///< It is the next token: deliver it.
	Duplicate, ///< It was delivered before: drop it.
	Gap,       ///< An earlier token is missing: resume after Delivered().
	Foreign,   ///< It belongs to another generation: drop it.
};

/** Ensures that a stream delivers the tokens of a single generation without gaps or duplicates. */
class GenerationLedger {
public:
	/** Binds the stream to \a generation. @pre Delivered() is 0, as a started stream must keep its generation. */
	void Bind(std::string generation);

	/** Checks token number \a index (from 1) of \a generation, and counts it if it is to be delivered. */
	TokenVerdict Accept(const std::string &generation, uint64_t index);

	/** @return Number of the last delivered token; 0 before the first one. */
	uint64_t Delivered() const { return this->delivered; }

	/** @return The generation to which the stream is bound. */
	const std::string &Generation() const { return this->generation; }

	/**
	 * Unbinds the stream, so that another generation can answer.
	 * @pre All counted tokens were buffered, and none was sent to the caller.
	 */
	void Reset();

private:
	std::string generation; ///< Generation of the stream.
	uint64_t delivered = 0; ///< Number of delivered tokens.
};

} // namespace cottonspool
