/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_trace.cpp Traces of recent calls. */

#include "instance/call_trace.h"

namespace cottonspool {

void CallTraceBuffer::Add(const std::string &request, TimePoint at, std::string text)
{
	if (this->max_calls == 0) return;
	auto [found, added] = this->events.try_emplace(request);
	if (added) {
		this->order.push_back(request);
		if (this->order.size() > this->max_calls) {
			this->events.erase(this->order.front());
			this->order.pop_front();
		}
	}
	if (found->second.size() < MAX_EVENTS) found->second.push_back({at, std::move(text)});
}

std::vector<TraceEvent> CallTraceBuffer::Find(const std::string &request) const
{
	auto found = this->events.find(request);
	return found == this->events.end() ? std::vector<TraceEvent>{} : found->second;
}

} // namespace cottonspool
