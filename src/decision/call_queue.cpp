/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue.cpp Queue of waiting calls: start-time fair queueing by class, model and account. */

#include "decision/call_queue.h"
#include <algorithm>

namespace cottonspool {

bool CallQueue::Push(const CallSpec &call, double tokens)
{
	if (this->index.size() >= this->limits.max_calls) return false;
	ClassFlows &flows = this->classes[static_cast<size_t>(call.service_class)];
	auto flow = flows.by_key.find(KeyOf(this->limits, call));
	if (flow != flows.by_key.end() && flow->second.calls.size() >= this->limits.max_calls_per_account) return false;
	this->Insert(call, tokens, false);
	return true;
}

void CallQueue::PushFront(const CallSpec &call, double tokens)
{
	this->Insert(call, tokens, true);
}

void CallQueue::Insert(const CallSpec &call, double tokens, bool front)
{
	ClassFlows &flows = this->classes[static_cast<size_t>(call.service_class)];
	FlowKey key = KeyOf(this->limits, call);
	Flow &flow = flows.by_key[key];
	ModelFlows &model = flows.models[call.model.value];
	if (flow.calls.empty()) {
		flow.virtual_start = std::max(flow.virtual_start, flows.virtual_time);
		model.order.emplace(flow.virtual_start, key);
	}
	Waiting waiting{call, tokens};
	auto higher_priority = [](const Waiting &a, const Waiting &b) { return a.call.priority > b.call.priority; };
	auto position = front ? flow.calls.begin() : std::upper_bound(flow.calls.begin(), flow.calls.end(), waiting, higher_priority);
	flow.calls.insert(position, waiting);
	flow.tokens += tokens;
	model.tokens += tokens;
	flows.calls++;
	this->index.emplace(call.id, std::make_pair(call.service_class, key));
	this->deadlines.emplace(call.deadline, call.id);
}

void CallQueue::Unlink(ClassFlows &flows, FlowKey key)
{
	auto &order = flows.models[ModelOf(key)].order;
	auto [first, last] = order.equal_range(flows.by_key[key].virtual_start);
	for (auto it = first; it != last; ++it) {
		if (it->second != key) continue;
		order.erase(it);
		return;
	}
}

void CallQueue::PopHead(ClassFlows &flows, FlowKey key, bool charge)
{
	Flow &flow = flows.by_key[key];
	Waiting head = flow.calls.front();
	this->Unlink(flows, key);
	ModelFlows &model = flows.models[ModelOf(key)];
	flow.calls.pop_front();
	flow.tokens -= head.tokens;
	model.tokens -= head.tokens;
	flows.calls--;
	if (charge) {
		flows.virtual_time = std::max(flows.virtual_time, flow.virtual_start);
		flow.virtual_start += head.tokens / std::max(head.call.account_weight, 1e-6);
	}
	if (!flow.calls.empty()) model.order.emplace(flow.virtual_start, key);
	if (model.order.empty()) flows.models.erase(ModelOf(key));
	this->index.erase(head.call.id);
	auto [first, last] = this->deadlines.equal_range(head.call.deadline);
	for (auto it = first; it != last; ++it) {
		if (it->second != head.call.id) continue;
		this->deadlines.erase(it);
		break;
	}
	if (flow.calls.empty() && flows.by_key.size() > MAX_IDLE_FLOWS) flows.by_key.erase(key);
}

bool CallQueue::Remove(CallId call)
{
	auto found = this->index.find(call);
	if (found == this->index.end()) return false;
	ClassFlows &flows = this->classes[static_cast<size_t>(found->second.first)];
	FlowKey key = found->second.second;
	Flow &flow = flows.by_key[key];
	auto waiting = std::find_if(flow.calls.begin(), flow.calls.end(), [&](const Waiting &w) { return w.call.id == call; });
	std::rotate(flow.calls.begin(), waiting, waiting + 1);
	this->PopHead(flows, key, false);
	return true;
}

std::vector<CallSpec> CallQueue::TakeExpired(TimePoint now)
{
	std::vector<CallSpec> expired;
	while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
		CallId call = this->deadlines.begin()->second;
		auto [service_class, key] = this->index.at(call);
		const Flow &flow = this->classes[static_cast<size_t>(service_class)].by_key[key];
		auto waiting = std::find_if(flow.calls.begin(), flow.calls.end(), [&](const Waiting &w) { return w.call.id == call; });
		expired.push_back(waiting->call);
		this->Remove(call);
	}
	return expired;
}

double CallQueue::TokensAhead(const CallSpec &call) const
{
	auto class_index = static_cast<size_t>(call.service_class);
	double ahead = 0;
	for (size_t i = 0; i < class_index; i++) {
		auto model = this->classes[i].models.find(call.model.value);
		if (model != this->classes[i].models.end()) ahead += model->second.tokens;
	}
	const ClassFlows &flows = this->classes[class_index];
	auto model = flows.models.find(call.model.value);
	if (model == flows.models.end()) return ahead;
	if (!this->limits.fair) return ahead + model->second.tokens;
	auto own = flows.by_key.find(KeyOf(this->limits, call));
	double own_tokens = own == flows.by_key.end() ? 0 : own->second.tokens;
	size_t active = model->second.order.size() + (own_tokens > 0 ? 0 : 1);
	return ahead + std::min(model->second.tokens, own_tokens * static_cast<double>(active));
}

void CallQueue::AdjustCharge(const CallSpec &call, double tokens)
{
	ClassFlows &flows = this->classes[static_cast<size_t>(call.service_class)];
	FlowKey key = KeyOf(this->limits, call);
	auto found = flows.by_key.find(key);
	if (found == flows.by_key.end()) return;
	bool linked = !found->second.calls.empty();
	if (linked) this->Unlink(flows, key);
	found->second.virtual_start += tokens / std::max(call.account_weight, 1e-6);
	if (linked) flows.models[call.model.value].order.emplace(found->second.virtual_start, key);
}

} // namespace cottonspool
