/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_type.h Plain types of HTTP messages and limits. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** One header field. */
struct HttpHeader {
	std::string name;  ///< Name; compared without regard to case.
	std::string value; ///< Value.
};

/** Header fields in order. */
using HttpHeaders = std::vector<HttpHeader>;

/** @return The value of the field \a name, or an empty text. */
std::string_view FindHeader(const HttpHeaders &headers, std::string_view name);

/** One request as received. */
struct HttpRequest {
	std::string method;  ///< "GET", "POST", …
	std::string path;    ///< Path without the query.
	std::string query;   ///< What follows "?", without it.
	HttpHeaders headers; ///< Header fields.
	std::string body;    ///< Whole body.
};

/** @return The value of \a key in \a query ("a=1&b=2"), or an empty text. */
std::string QueryValue(std::string_view query, std::string_view key);

/** Limits on what callers may send. */
struct HttpLimits {
	size_t max_body_bytes = 4U << 20;                    ///< Largest request body; a larger one is answered 413.
	Duration request_timeout = std::chrono::seconds(10); ///< Longest time for a request to come in whole.
	uint32_t max_connections = 8192;                     ///< Most open connections; further ones are closed at once.
	size_t max_backlog_bytes = 256U << 10;               ///< Unsent answer bytes from which a stream is paused.
};

/** How an HTTP call to another process ended. */
enum class HttpCallOutcome : uint8_t {
	Answered, ///< The whole answer came.
	NotSent,  ///< Certain: no byte of the request has left.
	Broken,   ///< The connection broke after bytes of the request had left.
	TimedOut, ///< A limit passed after bytes of the request had left.
};

/** End of an HTTP call. */
struct HttpCallResult {
	HttpCallOutcome kind = HttpCallOutcome::NotSent; ///< How it ended.
	int status = 0;                                  ///< Status, if the head of the answer came; 0 otherwise.
	std::string message;                             ///< What was wrong.
};

} // namespace cottonspool
