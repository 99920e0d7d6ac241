/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_message.h Heads of HTTP/1.1 messages, and a parser of requests, using http-parser. */

#pragma once

#include "http/http_type.h"
#include <functional>
#include <memory>
#include <optional>

namespace cottonspool {

/** Head of a received request or answer. */
struct HttpHead {
	std::string method;             ///< Method (requests).
	std::string target;             ///< Path with query, as received (requests).
	int status = 0;                 ///< Status (answers).
	std::string reason;             ///< Reason phrase (answers).
	HttpHeaders headers;            ///< Header fields, as received.
	std::optional<uint64_t> length; ///< Content-Length, if present.
	bool keep_alive = false;        ///< The connection may be reused after this message.
	bool chunked = false;           ///< The body is sent in chunks.
	bool http_1_0 = false;          ///< The sender speaks HTTP/1.0, so that it does not know chunks.
};

/** @return How the end of a body after \a head is marked, for logs: "length", "chunks" or "close"; empty without a head. */
const char *FramingName(const HttpHead &head);

/** Error of the parser of requests. */
enum class HttpReadError : uint8_t {
	None,          ///< No error.
	Malformed,     ///< Not valid HTTP, or ambiguous framing.
	HeadersTooBig, ///< The head exceeds its size limit.
	BodyTooBig,    ///< The body exceeds its size limit.
};

/** Incremental parser of a sequence of requests. It stops after each request until Resume(). */
class RequestReader {
public:
	RequestReader();
	~RequestReader();
	RequestReader(const RequestReader &) = delete;
	RequestReader &operator=(const RequestReader &) = delete;

	std::function<void(HttpHead &&)> on_head;      ///< The head of a request is complete.
	std::function<void(std::string_view)> on_body; ///< A part of the body was received; the transfer coding is removed.
	std::function<void()> on_complete;             ///< The request is complete.

	size_t max_head_bytes = 64U << 10; ///< Size limit of a head.

	/** Parse \a bytes; those behind a complete request are buffered. @return Whether the input is valid so far. */
	bool Add(std::string_view bytes);

	/** Continue with the next request. @return Whether the input is valid so far. */
	bool Resume();

	/** @return Whether the parser stopped after a complete request. */
	bool IsPaused() const { return this->paused; }

	/** @return Whether a request has been received in part. */
	bool IsInsideMessage() const { return this->inside; }

	/** @return Number of bytes buffered behind the last complete request. */
	size_t BufferedBytes() const { return this->buffered.size(); }

	/** @return The error after Add() or Resume() returned false. */
	HttpReadError Error() const { return this->error; }

	struct Parser;

private:
	bool Parse(std::string_view bytes);

	std::unique_ptr<Parser> parser;            ///< State of http-parser.
	std::string buffered;                      ///< Bytes buffered behind a complete request.
	size_t head_bytes = 0;                     ///< Size of the current head so far.
	bool paused = false;                       ///< Stopped until Resume().
	bool inside = false;                       ///< A request has been received in part.
	HttpReadError error = HttpReadError::None; ///< Error, if any.

	friend struct Parser;
};

/** @return The standard reason phrase for \a status. */
const char *ReasonPhrase(int status);

/** Append "NAME: VALUE" lines of \a headers to \a out. */
void AppendHeaders(std::string &out, const HttpHeaders &headers);

/** @return Whether \a name is a hop-by-hop field or one that frames the message. */
bool IsConnectionField(std::string_view name);

/** @return \a headers without hop-by-hop fields, including those named by "Connection". */
HttpHeaders WithoutConnectionFields(const HttpHeaders &headers);

} // namespace cottonspool
