/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file packed_message.cpp Compression of long messages between instances. */

#include "peer/packed_message.h"
#include <zlib.h>

namespace cottonspool {

static constexpr size_t PACKED_FROM = 4096;        ///< Shorter messages are not compressed.
static constexpr size_t UNPACKED_MOST = 64U << 20; ///< Size limit of a decompressed message.
static constexpr char MARK = 'Z';                  ///< First byte; CBOR messages are arrays, whose first byte is 0x80 to 0x9f.
static constexpr size_t HEAD = 5;                  ///< The mark, and the length of the message as a 32-bit number in network byte order.
static constexpr int LEVEL = Z_BEST_SPEED;         ///< Keeps the load of slow machines low.

std::string PackMessage(std::string message)
{
	if (message.size() < PACKED_FROM || message.size() > UNPACKED_MOST) return message;
	uLongf length = compressBound(message.size());
	std::string packed(HEAD + length, '\0');
	packed[0] = MARK;
	for (size_t i = 1; i < HEAD; i++) packed[i] = static_cast<char>(message.size() >> (8 * (HEAD - 1 - i)));
	auto *to = reinterpret_cast<Bytef *>(packed.data() + HEAD);
	if (compress2(to, &length, reinterpret_cast<const Bytef *>(message.data()), message.size(), LEVEL) != Z_OK) return message;
	packed.resize(HEAD + length);
	return packed;
}

bool IsPacked(const std::string &bytes)
{
	return bytes.size() >= HEAD && bytes[0] == MARK;
}

Result<std::string> UnpackMessage(const std::string &bytes)
{
	if (!IsPacked(bytes)) return Error{Step::Peer, "message", "not a compressed message"};
	size_t told = 0;
	for (size_t i = 1; i < HEAD; i++) told = told << 8 | static_cast<unsigned char>(bytes[i]);
	// zlib expands data by at most this factor; rejects false lengths before memory is allocated.
	static constexpr size_t MOST_GROWTH = 1032;
	if (told > UNPACKED_MOST || told > MOST_GROWTH * bytes.size()) return Error{Step::Peer, "message", "length exceeds the limit"};
	std::string message(told, '\0');
	uLongf length = told;
	const auto *from = reinterpret_cast<const Bytef *>(bytes.data() + HEAD);
	int result = uncompress(reinterpret_cast<Bytef *>(message.data()), &length, from, bytes.size() - HEAD);
	if (result != Z_OK || length != told) return Error{Step::Peer, "message", "corrupt compressed data"};
	return message;
}

} // namespace cottonspool
