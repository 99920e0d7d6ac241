/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file event_splitter.cpp Implementation of the splitter for server-sent events. */

#include "generation/event_splitter.h"
#include <algorithm>
#include <charconv>
#include <utility>

namespace cottonspool {

/** @return The number in the "id" line of \a event, if there is one. */
static std::optional<uint64_t> FindId(std::string_view event)
{
	while (!event.empty()) {
		size_t end = std::min(event.find('\n'), event.size());
		std::string_view line = event.substr(0, end);
		event.remove_prefix(std::min(end + 1, event.size()));
		if (!line.starts_with("id:")) continue;
		line.remove_prefix(3);
		while (line.starts_with(' ')) line.remove_prefix(1);
		uint64_t id = 0;
		auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
		if (parsed.ec == std::errc()) return id;
	}
	return std::nullopt;
}

bool EventSplitter::Add(std::string_view bytes)
{
	this->buffer.append(bytes);
	return this->buffer.size() <= MAX_EVENT_BYTES + bytes.size();
}

std::optional<RawEvent> EventSplitter::Next()
{
	// An event ends with an empty line; lines end with LF or CRLF.
	for (size_t at = this->buffer.find('\n', this->searched); at != std::string::npos; at = this->buffer.find('\n', at + 1)) {
		size_t next = at + 1;
		if (next < this->buffer.size() && this->buffer[next] == '\r') next++;
		if (next >= this->buffer.size()) {
			this->searched = at;
			return std::nullopt;
		}
		if (this->buffer[next] != '\n') continue;
		RawEvent event{this->buffer.substr(0, next + 1), std::nullopt};
		event.id = FindId(event.bytes);
		this->buffer.erase(0, next + 1);
		this->searched = 0;
		return event;
	}
	this->searched = this->buffer.size();
	return std::nullopt;
}

std::string EventSplitter::TakeRemainder()
{
	this->searched = 0;
	return std::exchange(this->buffer, {});
}

} // namespace cottonspool
