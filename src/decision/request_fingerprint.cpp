/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_fingerprint.cpp Fingerprints of requests. */

#include "decision/request_fingerprint.h"
#include "core/hash_func.h"
#include <charconv>

namespace cottonspool {

static constexpr size_t TEXT_LENGTH = 16; ///< Length of a formatted fingerprint, in hexadecimal digits.

RequestFingerprint ComputeFingerprint(const RequestIdentity &identity)
{
	uint64_t hash = HashText(identity.method);
	for (std::string_view part : {identity.host, identity.path, identity.account, identity.body}) hash = HashText(part, hash);
	return RequestFingerprint{hash == 0 ? 1 : hash};
}

std::string FormatFingerprint(RequestFingerprint fingerprint)
{
	static constexpr char HEX[] = "0123456789abcdef";
	std::string text(TEXT_LENGTH, '0');
	for (size_t i = 0; i < TEXT_LENGTH; i++) text[TEXT_LENGTH - 1 - i] = HEX[fingerprint.value >> (4 * i) & 15];
	return text;
}

std::optional<RequestFingerprint> ParseFingerprint(std::string_view text)
{
	RequestFingerprint fingerprint;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), fingerprint.value, 16);
	bool whole = text.size() == TEXT_LENGTH && parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
	if (!whole || fingerprint.value == 0) return std::nullopt;
	return fingerprint;
}

} // namespace cottonspool
