/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_message.h Parses HTTP/1.1 messages, using http-parser, and formats their heads. */

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

/** Error of the parser. */
enum class HttpReadError : uint8_t {
	None,          ///< No error.
	Malformed,     ///< Not valid HTTP, or ambiguous framing.
	HeadersTooBig, ///< The head exceeds its size limit.
	BodyTooBig,    ///< The body exceeds its size limit.
};

/** Incremental parser of a sequence of messages. It stops after each message until Resume(). */
class HttpReader {
public:
	enum class Kind : uint8_t { Requests, Answers };

	explicit HttpReader(Kind kind);
	~HttpReader();
	HttpReader(const HttpReader &) = delete;
	HttpReader &operator=(const HttpReader &) = delete;

	std::function<void(HttpHead &&)> on_head;      ///< The head of a message is complete.
	std::function<void(std::string_view)> on_body; ///< A part of the body was received; the transfer coding is removed.
	std::function<void()> on_complete;             ///< The message is complete.

	size_t max_head_bytes = 64U << 10; ///< Size limit of a head.
	bool answers_head_request = false; ///< The next answer is to a HEAD request, so that it has no body.

	/** Parse \a bytes; those behind a complete message are buffered. @return Whether the input is valid so far. */
	bool Add(std::string_view bytes);

	/** Handle the end of the input, which completes an answer without a length. */
	void AddEof();

	/** Continue with the next message. @return Whether the input is valid so far. */
	bool Resume();

	/** @return Whether the parser stopped after a complete message. */
	bool IsPaused() const { return this->paused; }

	/** @return Whether a message has been received in part. */
	bool IsInsideMessage() const { return this->inside; }

	/** @return Number of bytes buffered behind the last complete message. */
	size_t BufferedBytes() const { return this->buffered.size(); }

	/** @return The error after Add() or Resume() returned false. */
	HttpReadError Error() const { return this->error; }

	struct Parser;

private:
	bool Parse(std::string_view bytes);

	std::unique_ptr<Parser> parser;            ///< State of http-parser.
	std::string buffered;                      ///< Bytes buffered behind a complete message.
	size_t head_bytes = 0;                     ///< Size of the current head so far.
	bool paused = false;                       ///< Stopped until Resume().
	bool inside = false;                       ///< A message has been received in part.
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
