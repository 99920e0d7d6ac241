/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file compressed_message.cpp Long messages between instances, compressed. */

#include "peer/compressed_message.h"
#include <zlib.h>

namespace cottonspool {

static constexpr size_t COMPRESSION_MIN_BYTES = 4096;  ///< Bytes from which a message is compressed.
static constexpr size_t MAX_MESSAGE_BYTES = 64U << 20; ///< Bytes of the longest message that is taken.
static constexpr char MARK = 'Z';                      ///< First byte; messages in CBOR are arrays, whose first bytes are 0x80 to 0x9f.
static constexpr size_t HEADER_BYTES = 5;              ///< The mark, and the length of the message in four bytes, the highest first.
static constexpr int COMPRESSION_LEVEL = Z_BEST_SPEED; ///< Slow machines write them too.

std::string CompressMessage(std::string message)
{
	if (message.size() < COMPRESSION_MIN_BYTES || message.size() > MAX_MESSAGE_BYTES) return message;
	uLongf length = compressBound(message.size());
	std::string packed(HEADER_BYTES + length, '\0');
	packed[0] = MARK;
	for (size_t i = 1; i < HEADER_BYTES; i++) packed[i] = static_cast<char>(message.size() >> (8 * (HEADER_BYTES - 1 - i)));
	auto *to = reinterpret_cast<Bytef *>(packed.data() + HEADER_BYTES);
	if (compress2(to, &length, reinterpret_cast<const Bytef *>(message.data()), message.size(), COMPRESSION_LEVEL) != Z_OK) return message;
	packed.resize(HEADER_BYTES + length);
	return packed;
}

bool IsCompressed(const std::string &bytes)
{
	return bytes.size() >= HEADER_BYTES && bytes[0] == MARK;
}

Result<std::string> DecompressMessage(const std::string &bytes)
{
	if (!IsCompressed(bytes)) return Error{Step::Peer, "message", "not compressed"};
	size_t told = 0;
	for (size_t i = 1; i < HEADER_BYTES; i++) told = told << 8 | static_cast<unsigned char>(bytes[i]);
	// No stream of zlib grows by more than a thousand times: what tells more is no message, and takes no memory.
	static constexpr size_t MAX_EXPANSION = 1032;
	if (told > MAX_MESSAGE_BYTES || told > MAX_EXPANSION * bytes.size()) return Error{Step::Peer, "message", "too long"};
	std::string message(told, '\0');
	uLongf length = told;
	const auto *from = reinterpret_cast<const Bytef *>(bytes.data() + HEADER_BYTES);
	int result = uncompress(reinterpret_cast<Bytef *>(message.data()), &length, from, bytes.size() - HEADER_BYTES);
	if (result != Z_OK || length != told) return Error{Step::Peer, "message", "not what it was compressed from"};
	return message;
}

} // namespace cottonspool
