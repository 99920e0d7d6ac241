/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue.cpp Calls that wait at an instance. */

#include "decision/call_queue.h"
#include <algorithm>

namespace cottonspool {

bool CallQueue::Push(const CallSpec &call, double tokens)
{
	if (this->index.size() >= this->limits.max_calls) return false;
	ClassFlows &lines = this->classes[static_cast<size_t>(call.service_class)];
	auto line = lines.lines.find(KeyOf(this->limits, call));
	if (line != lines.lines.end() && line->second.calls.size() >= this->limits.max_calls_per_account) return false;
	this->Insert(call, tokens, false);
	return true;
}

void CallQueue::PushFront(const CallSpec &call, double tokens)
{
	this->Insert(call, tokens, true);
}

void CallQueue::Insert(const CallSpec &call, double tokens, bool front)
{
	ClassFlows &lines = this->classes[static_cast<size_t>(call.service_class)];
	FlowKey key = KeyOf(this->limits, call);
	Flow &line = lines.lines[key];
	ModelFlows &model = lines.models[call.model.value];
	if (line.calls.empty()) {
		line.tag = std::max(line.tag, lines.clock);
		model.order.emplace(line.tag, key);
	}
	Waiting waiting{call, tokens};
	auto later = [](const Waiting &a, const Waiting &b) { return a.call.priority > b.call.priority; };
	auto place = front ? line.calls.begin() : std::upper_bound(line.calls.begin(), line.calls.end(), waiting, later);
	line.calls.insert(place, waiting);
	line.tokens += tokens;
	model.tokens += tokens;
	lines.calls++;
	this->index.emplace(call.id, std::make_pair(call.service_class, key));
	this->deadlines.emplace(call.deadline, call.id);
}

void CallQueue::Unlink(ClassFlows &lines, FlowKey key)
{
	auto &order = lines.models[ModelOf(key)].order;
	auto [first, last] = order.equal_range(lines.lines[key].tag);
	for (auto it = first; it != last; ++it) {
		if (it->second != key) continue;
		order.erase(it);
		return;
	}
}

void CallQueue::PopHead(ClassFlows &lines, FlowKey key, bool charge)
{
	Flow &line = lines.lines[key];
	Waiting head = line.calls.front();
	this->Unlink(lines, key);
	ModelFlows &model = lines.models[ModelOf(key)];
	line.calls.pop_front();
	line.tokens -= head.tokens;
	model.tokens -= head.tokens;
	lines.calls--;
	if (charge) {
		lines.clock = std::max(lines.clock, line.tag);
		line.tag += head.tokens / std::max(head.call.account_weight, 1e-6);
	}
	if (!line.calls.empty()) model.order.emplace(line.tag, key);
	if (model.order.empty()) lines.models.erase(ModelOf(key));
	this->index.erase(head.call.id);
	auto [first, last] = this->deadlines.equal_range(head.call.deadline);
	for (auto it = first; it != last; ++it) {
		if (it->second != head.call.id) continue;
		this->deadlines.erase(it);
		break;
	}
	if (line.calls.empty() && lines.lines.size() > MAX_IDLE_FLOWS) lines.lines.erase(key);
}

bool CallQueue::Remove(CallId call)
{
	auto found = this->index.find(call);
	if (found == this->index.end()) return false;
	ClassFlows &lines = this->classes[static_cast<size_t>(found->second.first)];
	FlowKey key = found->second.second;
	Flow &line = lines.lines[key];
	auto waiting = std::find_if(line.calls.begin(), line.calls.end(), [&](const Waiting &w) { return w.call.id == call; });
	std::rotate(line.calls.begin(), waiting, waiting + 1);
	this->PopHead(lines, key, false);
	return true;
}

std::vector<CallSpec> CallQueue::TakeExpired(TimePoint now)
{
	std::vector<CallSpec> expired;
	while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
		CallId call = this->deadlines.begin()->second;
		auto [service_class, key] = this->index.at(call);
		const Flow &line = this->classes[static_cast<size_t>(service_class)].lines[key];
		auto waiting = std::find_if(line.calls.begin(), line.calls.end(), [&](const Waiting &w) { return w.call.id == call; });
		expired.push_back(waiting->call);
		this->Remove(call);
	}
	return expired;
}

double CallQueue::TokensAhead(const CallSpec &call) const
{
	auto own_class = static_cast<size_t>(call.service_class);
	double ahead = 0;
	for (size_t i = 0; i < own_class; i++) {
		auto model = this->classes[i].models.find(call.model.value);
		if (model != this->classes[i].models.end()) ahead += model->second.tokens;
	}
	const ClassFlows &lines = this->classes[own_class];
	auto model = lines.models.find(call.model.value);
	if (model == lines.models.end()) return ahead;
	if (!this->limits.fair) return ahead + model->second.tokens;
	auto own = lines.lines.find(KeyOf(this->limits, call));
	double own_tokens = own == lines.lines.end() ? 0 : own->second.tokens;
	size_t active = model->second.order.size() + (own_tokens > 0 ? 0 : 1);
	return ahead + std::min(model->second.tokens, own_tokens * static_cast<double>(active));
}

void CallQueue::Correct(const CallSpec &call, double tokens)
{
	ClassFlows &lines = this->classes[static_cast<size_t>(call.service_class)];
	FlowKey key = KeyOf(this->limits, call);
	auto found = lines.lines.find(key);
	if (found == lines.lines.end()) return;
	bool linked = !found->second.calls.empty();
	if (linked) this->Unlink(lines, key);
	found->second.tag += tokens / std::max(call.account_weight, 1e-6);
	if (linked) lines.models[call.model.value].order.emplace(found->second.tag, key);
}

} // namespace cottonspool
