/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_simulation.cpp Implementation of the simulation of instances that share a rate limit. */

#include "tests/limit_simulation.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

using std::chrono::milliseconds;

static constexpr Duration TICK = milliseconds(25);
static constexpr Duration ANSWER = milliseconds(60);        ///< Time until the target answers.
static constexpr Duration HALF_WINDOW = milliseconds(2100); ///< Half of the window over which calls are counted.

LimitSimulation::LimitSimulation(LimitLayout given, uint32_t seed) : layout(given), random(seed)
{
	for (size_t i = 0; i < this->layout.instances; i++) {
		this->instances.push_back({.name = "instance-" + std::to_string(i), .started = this->now - std::chrono::hours(1)});
		if (i < std::max<size_t>(1, this->InHall())) this->hall.push_back(this->instances.back().name);
	}
	size_t count = this->layout.owners == 0 ? this->hall.size() : this->layout.owners;
	this->owners = RendezvousChoice("target", this->hall, count);
	for (size_t i = 0; i < this->instances.size(); i++) {
		if (this->RateAt(i) > 0) this->instances[i].next_call = this->now + this->Gap(this->RateAt(i));
		this->After(TICK * static_cast<int>(this->random() % 1000) / 1000, [this, i] { this->Tick(i); });
		if (this->RateAt(i) > 0) this->After(this->Gap(this->RateAt(i)), [this, i] { this->Call(i); });
	}
}

double LimitSimulation::RateAt(size_t number) const
{
	double all = this->layout.load * this->layout.per_second;
	switch (this->layout.callers) {
	case CallersAt::Everywhere:
		return all / static_cast<double>(this->instances.size());
	case CallersAt::OneHall:
		return number < this->hall.size() ? all / static_cast<double>(this->hall.size()) : 0;
	case CallersAt::OneInstance:
		return number == 0 ? all : 0;
	}
	return 0;
}

Duration LimitSimulation::Gap(double per_second)
{
	double uniform = (this->random() + 1.0) / 4294967297.0;
	return FromSeconds(-std::log(uniform) / per_second);
}

TargetSignals LimitSimulation::Signals() const
{
	TargetSignals signals;
	signals.limit = this->rate_limit ? SignalState::Present : SignalState::Absent;
	signals.limit_per_s = this->rate_limit.value_or(0);
	return signals;
}

void LimitSimulation::Send(size_t from, size_t to, std::function<void(Instance &)> action)
{
	this->messages++;
	if ((from < this->partition_at) != (to < this->partition_at)) return;
	uint64_t incarnation = this->instances[to].incarnation;
	this->After(milliseconds(1 + this->random() % 4), [this, to, incarnation, action = std::move(action)] {
		Instance &receiver = this->instances[to];
		if (receiver.paused) return;
		if (receiver.incarnation == incarnation) action(receiver);
	});
}

void LimitSimulation::Share(size_t number)
{
	Instance &instance = this->instances[number];
	RateShare share = ShareRate("target", instance.limit.Bound(), this->owners, instance.name);
	// An instance that has just restarted does not know which parts it has lent before.
	if (this->layout.lease && this->now - instance.started < LEASE_TERM + share.window) share.max_requests = 0;
	instance.limit.SetShare(share);
}

void LimitSimulation::Tick(size_t number)
{
	this->After(TICK, [this, number] { this->Tick(number); });
	Instance &instance = this->instances[number];
	if (instance.paused) return;
	if (this->now - instance.counted >= HALF_WINDOW) {
		instance.calls_before = instance.calls;
		instance.calls = 0;
		instance.counted = this->now;
	}
	if (!instance.limit.IsActive()) return;
	this->Share(number);
	bool in_hall = number < this->hall.size();
	bool just_started = this->now - instance.started < LEASE_TERM + instance.limit.Share().window;
	if (!this->layout.lease || !in_hall || just_started) return;
	std::vector<std::string> other_owners = this->owners;
	std::erase(other_owners, instance.name);
	uint32_t demand = instance.calls + instance.calls_before;
	for (const LeaseRequest &request : instance.limit.BuildRequests(other_owners, demand, this->now)) {
		size_t owner = static_cast<size_t>(std::stoul(request.owner.substr(9)));
		this->Send(number, owner, [this, number, owner, request, name = instance.name](Instance &lender) {
			uint32_t granted = lender.limit.Lend(name, request.wanted, lender.calls + lender.calls_before, this->now);
			this->Send(owner, number,
			           [request, granted](Instance &borrower) { borrower.limit.OnGranted(request.owner, request.number, granted); });
		});
	}
}

void LimitSimulation::Call(size_t number)
{
	this->After(this->Gap(this->RateAt(number)), [this, number] { this->Call(number); });
	Instance &instance = this->instances[number];
	if (instance.paused) return;
	instance.calls++;
	if (!instance.limit.MaySend(this->now)) return;
	instance.limit.OnSent(this->now);
	TimePoint requested_at = this->now;
	this->After(milliseconds(this->random() % 150), [this, number, requested_at, incarnation = instance.incarnation] {
		this->arrivals.push_back(this->now);
		this->After(ANSWER, [this, number, requested_at, incarnation, signals = this->Signals()] {
			Instance &answered = this->instances[number];
			if (answered.incarnation != incarnation) return;
			if (!answered.limit.OnAnswer(signals, requested_at, this->now)) return;
			for (size_t other = 0; other < this->instances.size(); other++) {
				if (other == number) continue;
				this->Send(number, other,
				           [this, signals, requested_at](Instance &peer) { peer.limit.OnAnswer(signals, requested_at, this->now); });
			}
			this->messages -= this->instances.size() - 1;
		});
	});
}

void LimitSimulation::Pass(Duration time)
{
	TimePoint end = this->now + time;
	while (!this->events.empty() && this->events.begin()->first <= end) {
		auto event = this->events.extract(this->events.begin());
		this->now = event.key();
		event.mapped()();
	}
	this->now = end;
}

void LimitSimulation::SetRateLimit(std::optional<double> per_second)
{
	this->rate_limit = per_second;
}

void LimitSimulation::Restart(size_t number)
{
	Instance &instance = this->instances[number];
	instance.limit = TargetRateLimit();
	// A restarted instance learns the limit from its first peer.
	if (this->rate_limit) instance.limit.OnAnswer(this->Signals(), this->now, this->now);
	instance.started = this->now;
	instance.calls = instance.calls_before = 0;
	instance.paused = false;
	instance.incarnation++;
}

size_t LimitSimulation::MaxInWindow(TimePoint since) const
{
	std::vector<TimePoint> counted;
	for (TimePoint arrival : this->arrivals) {
		if (arrival >= since) counted.push_back(arrival);
	}
	std::sort(counted.begin(), counted.end());
	size_t max_requests = 0;
	for (size_t first = 0, last = 0; last < counted.size(); last++) {
		while (counted[last] - counted[first] >= RATE_LIMIT_WINDOW) first++;
		max_requests = std::max(max_requests, last - first + 1);
	}
	return max_requests;
}

size_t LimitSimulation::ArrivedSince(TimePoint since) const
{
	return static_cast<size_t>(std::count_if(this->arrivals.begin(), this->arrivals.end(), [&](TimePoint at) { return at >= since; }));
}

} // namespace cottonspool
