/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file event_splitter.h Splitter for a stream of server-sent events that keeps the bytes of each event unchanged. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** A complete event as received. */
struct RawEvent {
	std::string bytes;          ///< All bytes of the event, including the empty line at its end.
	std::optional<uint64_t> id; ///< Number in the "id" line, if there is one.
};

/**
 * Splits a stream into events. An incomplete event is held back, so that after a lost connection the stream can resume with the next event.
 */
class EventSplitter {
public:
	/** Appends \a bytes. @return False if an event is longer than MAX_EVENT_BYTES, so that the stream has to be aborted. */
	[[nodiscard]] bool Add(std::string_view bytes);

	/** @return The next complete event, if there is one. */
	std::optional<RawEvent> Next();

	/** @return Number of bytes of the incomplete event. */
	size_t RemainderBytes() const { return this->buffer.size(); }

	/** @return Whether an event was received in part; line breaks alone are no event. */
	bool IsInsideEvent() const { return this->buffer.find_first_not_of("\r\n") != std::string::npos; }

	/** @return The bytes of the incomplete event, which are removed from the buffer. */
	std::string TakeRemainder();

	static constexpr size_t MAX_EVENT_BYTES = 1U << 20; ///< Maximum length of an event.

private:
	std::string buffer;  ///< Bytes that have not been returned.
	size_t searched = 0; ///< Number of bytes that contain no end of an event.
};

} // namespace cottonspool
