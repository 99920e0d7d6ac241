/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_message.h Reading HTTP/1.1 messages out of a connection's bytes, by http-parser; and writing their heads. */

#pragma once

#include "http/http_type.h"
#include <functional>
#include <memory>
#include <optional>

namespace cottonspool {

/** Head of a request or of an answer, as received. */
struct HttpHead {
	std::string method;             ///< Method (requests).
	std::string target;             ///< Path with the query, unaltered (requests).
	int status = 0;                 ///< Status (answers).
	std::string reason;             ///< Text behind the status (answers).
	HttpHeaders headers;            ///< Header fields in order, as spelt.
	std::optional<uint64_t> length; ///< Content-Length, if there is one.
	bool keep_alive = false;        ///< The connection may be used again after this message.
	bool chunked = false;           ///< The body comes in chunks.
};

/** What went wrong with a message. */
enum class HttpReadError : uint8_t {
	None,          ///< Nothing.
	Malformed,     ///< Not HTTP, or ambiguous about where it ends.
	HeadersTooBig, ///< The head is longer than allowed.
	BodyTooBig,    ///< The body is longer than allowed.
};

/** Reads messages of one kind, one after another. It stops behind each message until Resume(). */
class HttpReader {
public:
	enum class Kind : uint8_t { Requests, Answers };

	explicit HttpReader(Kind kind);
	~HttpReader();
	HttpReader(const HttpReader &) = delete;
	HttpReader &operator=(const HttpReader &) = delete;

	std::function<void(HttpHead &&)> on_head;      ///< The head of a message came.
	std::function<void(std::string_view)> on_body; ///< A part of the body, without transfer coding.
	std::function<void()> on_complete;             ///< The message is whole.

	size_t max_head_bytes = 64U << 10; ///< Longest head.
	bool answers_head_request = false; ///< The answer has no body, whatever its fields say.

	/** Take in bytes; what follows a whole message is kept for later. @return False once the input is unusable. */
	bool Add(std::string_view bytes);

	/** The other side has closed: an answer without a length is whole now. */
	void AddEof();

	/** Go on with what follows the last message. @return As Add(). */
	bool Resume();

	/** @return Whether it waits behind a whole message. */
	bool IsPaused() const { return this->paused; }

	/** @return Whether a message has begun and is not whole. */
	bool IsInsideMessage() const { return this->inside; }

	/** @return Bytes kept behind the last whole message. */
	size_t BufferedBytes() const { return this->buffered.size(); }

	/** @return What was wrong, when Add() or Resume() returned false. */
	HttpReadError Error() const { return this->error; }

	struct Parser;

private:
	bool Parse(std::string_view bytes);

	std::unique_ptr<Parser> parser;            ///< http-parser's state.
	std::string buffered;                      ///< Bytes behind a whole message.
	size_t head_bytes = 0;                     ///< Bytes of the running head.
	bool paused = false;                       ///< Waits for Resume().
	bool inside = false;                       ///< Inside a message.
	HttpReadError error = HttpReadError::None; ///< What was wrong.

	friend struct Parser;
};

/** @return The usual text for \a status. */
const char *ReasonPhrase(int status);

/** Append "NAME: VALUE" lines of \a headers to \a out. */
void AppendHeaders(std::string &out, const HttpHeaders &headers);

/** @return Whether \a name is a field that concerns one connection only, or the framing of one message. */
bool IsConnectionField(std::string_view name);

/** @return \a headers without the fields of one connection, those that "Connection" names included. */
HttpHeaders WithoutConnectionFields(const HttpHeaders &headers);

} // namespace cottonspool
