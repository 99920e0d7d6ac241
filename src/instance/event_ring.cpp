/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file event_ring.cpp Traces of recent calls. */

#include "instance/event_ring.h"

namespace cottonspool {

void EventRing::Add(const std::string &request, TimePoint at, std::string text)
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

std::vector<CallEvent> EventRing::Find(const std::string &request) const
{
	auto found = this->events.find(request);
	return found == this->events.end() ? std::vector<CallEvent>{} : found->second;
}

} // namespace cottonspool
