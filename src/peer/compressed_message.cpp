/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file compressed_message.cpp Compression of long messages between instances. */

#include "peer/compressed_message.h"
#include <zlib.h>

namespace cottonspool {

static constexpr size_t COMPRESSION_MIN_BYTES = 4096;  ///< Shorter messages are not compressed.
static constexpr size_t MAX_MESSAGE_BYTES = 64U << 20; ///< Size limit of a decompressed message.
static constexpr char MARK = 'Z';                      ///< First byte; CBOR messages are arrays, whose first byte is 0x80 to 0x9f.
static constexpr size_t HEADER_BYTES = 5; ///< The mark, and the length of the message as a 32-bit number in network byte order.
static constexpr int COMPRESSION_LEVEL = Z_BEST_SPEED; ///< Keeps the load of slow machines low.

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
	if (!IsCompressed(bytes)) return Error{Step::Peer, "message", "not a compressed message"};
	size_t declared = 0;
	for (size_t i = 1; i < HEADER_BYTES; i++) declared = declared << 8 | static_cast<unsigned char>(bytes[i]);
	// zlib expands data by at most this factor; rejects false lengths before memory is allocated.
	static constexpr size_t MAX_EXPANSION = 1032;
	if (declared > MAX_MESSAGE_BYTES || declared > MAX_EXPANSION * bytes.size())
		return Error{Step::Peer, "message", "length exceeds the limit"};
	std::string message(declared, '\0');
	uLongf length = declared;
	const auto *from = reinterpret_cast<const Bytef *>(bytes.data() + HEADER_BYTES);
	int result = uncompress(reinterpret_cast<Bytef *>(message.data()), &length, from, bytes.size() - HEADER_BYTES);
	if (result != Z_OK || length != declared) return Error{Step::Peer, "message", "corrupt compressed data"};
	return message;
}

} // namespace cottonspool
