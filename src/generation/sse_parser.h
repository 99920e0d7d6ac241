/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sse_parser.h Server-sent events out of a stream of bytes. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** One event. */
struct SseEvent {
	std::optional<uint64_t> id; ///< Number in the "id" field, if it had one.
	std::string name;           ///< "event" field; empty for a plain one.
	std::string data;           ///< "data" fields, joined by line ends.
};

/** Splits bytes into events; holds at most a bounded part of an unfinished one. */
class SseParser {
public:
	/** Add bytes. @return False when an event is longer than the bound; the stream is then to be given up. */
	bool Add(std::string_view bytes);

	/** @return The next whole event, or nothing. */
	std::optional<SseEvent> Next();

	/** Forget an unfinished event, before another connection goes on. */
	void Reset();

	static constexpr size_t MAX_EVENT_BYTES = 1U << 20; ///< Longest event.

private:
	std::string buffer;  ///< Bytes not yet taken.
	size_t position = 0; ///< Bytes of the buffer already taken.
};

} // namespace cottonspool
