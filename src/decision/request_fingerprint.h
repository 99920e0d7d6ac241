/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_fingerprint.h Fingerprints of requests, by which retries of a caller are recognised. */

#pragma once

#include "core/id_type.h"
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** Hash of a request that is equal for all attempts of its caller, on all instances; zero stands for none. */
using RequestFingerprint = StrongId<struct RequestFingerprintTag, uint64_t>;

/** The parts of a request that are equal when its caller retries it; request id, time limit and API key may differ. */
struct RequestIdentity {
	std::string_view method;  ///< HTTP method.
	std::string_view host;    ///< Host without the port.
	std::string_view path;    ///< Path with the query.
	std::string_view account; ///< Client account; empty for none.
	std::string_view body;    ///< Complete body.
};

/** @return The fingerprint of the request \a identity; never zero. */
RequestFingerprint ComputeFingerprint(const RequestIdentity &identity);

/** @return \a fingerprint as 16 hexadecimal digits. */
std::string FormatFingerprint(RequestFingerprint fingerprint);

/** @return The fingerprint in \a text, or nothing if it is malformed or zero. */
std::optional<RequestFingerprint> ParseFingerprint(std::string_view text);

} // namespace cottonspool
