/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sse_parser.h Parser for server-sent events. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** A server-sent event. */
struct SseEvent {
	std::optional<uint64_t> id; ///< Number in the "id" field, if there is one.
	std::string name;           ///< "event" field; empty if there is none.
	std::string data;           ///< "data" fields, joined by newlines.
};

/** Parses a byte stream into events, with a bounded buffer. */
class SseParser {
public:
	/** Appends \a bytes. @return False if an event is longer than MAX_EVENT_BYTES, so that the stream has to be aborted. */
	bool Add(std::string_view bytes);

	/** @return The next complete event, if there is one. */
	std::optional<SseEvent> Next();

	/** Discards an incomplete event, before the stream resumes on another connection. */
	void Reset();

	static constexpr size_t MAX_EVENT_BYTES = 1U << 20; ///< Maximum length of an event.

private:
	std::string buffer;  ///< Received bytes.
	size_t position = 0; ///< Number of bytes in the buffer that are already parsed.
};

} // namespace cottonspool
