/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_print.cpp Fingerprints of requests. */

#include "decision/request_print.h"
#include "core/hash_func.h"
#include <charconv>

namespace cottonspool {

static constexpr size_t TEXT_LENGTH = 16; ///< Length of a formatted fingerprint, in hexadecimal digits.

RequestPrint PrintRequest(const RequestIdentity &identity)
{
	uint64_t hash = HashText(identity.method);
	for (std::string_view part : {identity.host, identity.path, identity.account, identity.body}) hash = HashText(part, hash);
	return RequestPrint{hash == 0 ? 1 : hash};
}

std::string PrintText(RequestPrint print)
{
	static constexpr char HEX[] = "0123456789abcdef";
	std::string text(TEXT_LENGTH, '0');
	for (size_t i = 0; i < TEXT_LENGTH; i++) text[TEXT_LENGTH - 1 - i] = HEX[print.value >> (4 * i) & 15];
	return text;
}

std::optional<RequestPrint> ParsePrint(std::string_view text)
{
	RequestPrint print;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), print.value, 16);
	bool whole = text.size() == TEXT_LENGTH && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
	if (!whole || print.value == 0) return std::nullopt;
	return print;
}

} // namespace cottonspool
