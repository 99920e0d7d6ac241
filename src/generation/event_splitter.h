/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file event_splitter.h Cuts a stream of server-sent events into whole events without changing a byte of them. */

#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cottonspool {

/** One whole event, as it came. */
struct RawEvent {
	std::string bytes;          ///< All its bytes, with the empty line that ends it.
	std::optional<uint64_t> id; ///< Number in its "id" line, if it has one.
};

/** Cuts a stream into events. What is not yet whole is held back, so that a stream that breaks can go on elsewhere. */
class EventSplitter {
public:
	/** Add bytes. @return False when an event is longer than MAX_EVENT_BYTES: the stream is to be given up. */
	[[nodiscard]] bool Add(std::string_view bytes);

	/** @return The next whole event, or nothing. */
	std::optional<RawEvent> Next();

	/** @return Bytes of the event that is not whole; forgotten afterwards. */
	std::string TakeRemainder();

	static constexpr size_t MAX_EVENT_BYTES = 1U << 20; ///< Longest event.

private:
	std::string buffer;  ///< Bytes not yet handed out.
	size_t searched = 0; ///< Bytes in which no end of an event was found.
};

} // namespace cottonspool
