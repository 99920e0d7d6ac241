/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file answer_reader.h Parses HTTP/1.1 answers, using Boost.Beast, and refuses those that break RFC 9110 or RFC 9112. */

#pragma once

#include "net/http_message.h"

namespace cottonspool {

/**
 * Incremental parser of a sequence of answers. It stops after each answer until Resume().
 *
 * Everything that a server sends is read by this parser, whichever library holds the connection, so that an answer is sound or malformed
 * for all of them alike. Where the RFCs leave the choice, an answer is malformed: a status line without the blank behind the status, lines
 * that end with LF alone, and blanks between the name of a field and its colon. Folded fields are joined, as RFC 9112, section 5.2, allows.
 */
class AnswerReader {
public:
	AnswerReader();
	~AnswerReader();
	AnswerReader(const AnswerReader &) = delete;
	AnswerReader &operator=(const AnswerReader &) = delete;

	std::function<void(HttpHead &&)> on_head;      ///< The head of an answer is complete and sound.
	std::function<void(std::string_view)> on_body; ///< A part of the body was received; the transfer coding is removed.
	std::function<void()> on_complete;             ///< The answer is complete.

	size_t max_head_bytes = 64U << 10; ///< Size limit of a head, of the line of a chunk's size, and of the fields behind the last chunk.
	bool answers_head_request = false; ///< The next answer is to a HEAD request, so that it has no body.

	/** Parse \a bytes; those behind a complete answer are buffered. @return Whether the input is sound so far. */
	bool Add(std::string_view bytes);

	/** Handle the end of the input, which completes an answer without a length. */
	void AddEof();

	/** Continue with the next answer. @return Whether the input is sound so far. */
	bool Resume();

	/** @return Whether the parser stopped after a complete answer. */
	bool IsPaused() const { return this->paused; }

	/** @return Number of bytes that were not passed on yet: of an incomplete head or line, or behind a complete answer. */
	size_t BufferedBytes() const { return this->unparsed.size(); }

	/** @return What breaks the protocol, with the first bytes of the place, after Add() or Resume() returned false. */
	const std::string &Fault() const { return this->fault; }

	class Parser;

private:
	bool Parse(std::string_view bytes);
	/** Check the bytes that wait for more. @param in_head Whether they are all of a head so far. @return Whether they are sound so far. */
	bool CheckIncomplete(bool in_head);
	/** Set the fault. @param near The bytes from the fault on. @return False. */
	bool Fail(const char *what, std::string_view near);

	std::unique_ptr<Parser> parser; ///< Boost.Beast's parser of the current answer; null before its head is complete.
	std::string unparsed;           ///< Bytes of an incomplete head or of a line of a chunk, or behind a complete answer.
	bool paused = false;            ///< Stopped until Resume().
	std::string fault;              ///< What breaks the protocol; empty for nothing so far.
};

} // namespace cottonspool
