/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_fingerprint.h What makes two requests the same one that comes again: a hash of all that does not change between tries. */

#pragma once

#include "core/id_type.h"
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** Fingerprint of a request: equal for all tries of it, at whatever instance. */
using RequestFingerprint = StrongId<struct RequestFingerprintTag, uint64_t>;

/** What of a request stays the same when its caller sends it again. Its id, its time limit and the key it bears need not. */
struct RequestIdentity {
	std::string_view method;  ///< Method.
	std::string_view host;    ///< Host, without a port.
	std::string_view path;    ///< Path with the query.
	std::string_view account; ///< Client account; empty for none.
	std::string_view body;    ///< Whole body.
};

/** @return The fingerprint of the request \a identity, the same on every instance; never zero, which stands for none. */
RequestFingerprint ComputeFingerprint(const RequestIdentity &identity);

/** @return \a fingerprint as 16 hexadecimal digits. */
std::string FormatFingerprint(RequestFingerprint fingerprint);

/** @return The fingerprint that \a text spells, or nothing. */
std::optional<RequestFingerprint> ParseFingerprint(std::string_view text);

} // namespace cottonspool
