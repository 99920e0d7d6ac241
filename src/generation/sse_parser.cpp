/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sse_parser.cpp Implementation of the parser for server-sent events. */

#include "generation/sse_parser.h"
#include <charconv>

namespace cottonspool {

/** Parses a "field: value" line into \a event. */
static void TakeLine(std::string_view line, SseEvent *event)
{
	size_t colon = line.find(':');
	if (colon == 0 || colon == std::string_view::npos) return;
	std::string_view field = line.substr(0, colon);
	std::string_view value = line.substr(colon + 1);
	if (!value.empty() && value.front() == ' ') value.remove_prefix(1);
	if (field == "event") event->name = value;
	if (field == "data") {
		if (!event->data.empty()) event->data += '\n';
		event->data.append(value);
	}
	uint64_t number = 0;
	if (field != "id") return;
	auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), number);
	if (error == std::errc() && end == value.data() + value.size()) event->id = number;
}

bool SseParser::Add(std::string_view bytes)
{
	if (this->position > 0) {
		this->buffer.erase(0, this->position);
		this->position = 0;
	}
	for (char c : bytes) {
		if (c != '\r') this->buffer += c;
	}
	size_t last = this->buffer.rfind("\n\n");
	size_t unfinished = last == std::string::npos ? this->buffer.size() : this->buffer.size() - last;
	return unfinished <= MAX_EVENT_BYTES;
}

std::optional<SseEvent> SseParser::Next()
{
	while (true) {
		size_t end = this->buffer.find("\n\n", this->position);
		if (end == std::string::npos) return std::nullopt;
		std::string_view block(this->buffer.data() + this->position, end - this->position);
		this->position = end + 2;
		SseEvent event;
		while (!block.empty()) {
			std::string_view line = block.substr(0, block.find('\n'));
			block.remove_prefix(std::min(block.size(), line.size() + 1));
			TakeLine(line, &event);
		}
		if (event.id || !event.data.empty() || !event.name.empty()) return event;
	}
}

void SseParser::Reset()
{
	this->buffer.clear();
	this->position = 0;
}

} // namespace cottonspool
