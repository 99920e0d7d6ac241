/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_type.h Types for HTTP messages, limits and results. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

inline constexpr int FIRST_FINAL_STATUS = 200; ///< Lower ones belong to interim answers, which an answer of another status follows.

/** One header field. */
struct HttpHeader {
	std::string name;  ///< Field name; case-insensitive.
	std::string value; ///< Field value.
};

/** Header fields in order. */
using HttpHeaders = std::vector<HttpHeader>;

/** @return The value of the field \a name, or an empty string. */
std::string_view FindHeader(const HttpHeaders &headers, std::string_view name);

/** A received request. */
struct HttpRequest {
	std::string method;  ///< Method, such as "GET".
	std::string path;    ///< Path without the query.
	std::string query;   ///< Query string without the "?".
	HttpHeaders headers; ///< Header fields.
	std::string body;    ///< Complete body.
};

/** @return The percent-decoded value of \a key in \a query ("a=1&b=2"), or an empty string. */
std::string QueryValue(std::string_view query, std::string_view key);

/** Limits on what callers may send. */
struct HttpLimits {
	size_t max_body_bytes = 4U << 20;                    ///< Largest request body; a larger one is rejected with 413.
	Duration request_timeout = std::chrono::seconds(10); ///< Timeout for receiving a complete request.
	uint32_t max_connections = 8192;                     ///< Most open connections; further ones are closed immediately.
	size_t max_backlog_bytes = 256U << 10;               ///< Unsent answer data from which reading the upstream is paused.
};

/** Outcome of a client's HTTP call. */
enum class HttpCallOutcome : uint8_t {
	Answered, ///< The complete answer was received.
	NotSent,  ///< No byte of the request was sent.
	Broken,   ///< The connection failed after bytes of the request were sent.
	TimedOut, ///< A timeout expired after bytes of the request were sent.
};

/** Result of a client's HTTP call. */
struct HttpCallResult {
	HttpCallOutcome kind = HttpCallOutcome::NotSent; ///< Outcome.
	int status = 0;                                  ///< HTTP status; 0 if no answer head was received.
	std::string message;                             ///< Description of the error.
	bool malformed = false;                          ///< The answer broke HTTP; the message says what is wrong.
};

} // namespace cottonspool
