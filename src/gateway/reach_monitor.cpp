/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file reach_monitor.cpp Probes of the targets of pools that may be lost. */

#include "gateway/reach_monitor.h"
#include <algorithm>

namespace cottonspool {

void ReachMonitor::OnDoubt(ModelNumber pool, ReachDoubt doubt, TimePoint now)
{
	if (this->StateOf(pool).OnDoubt(doubt, now)) this->BeginRound(pool, this->limits.probes, now);
}

std::vector<ReachTarget> ReachMonitor::Select(std::vector<ReachTarget> targets, size_t count)
{
	if (targets.size() <= count) return targets;
	std::map<std::string, std::vector<ReachTarget>> halls;
	for (ReachTarget &target : targets) halls[target.hall].push_back(std::move(target));
	std::vector<ReachTarget> selected;
	for (size_t i = 0; selected.size() < count; i++) {
		for (auto &[hall, members] : halls) {
			if (i < members.size() && selected.size() < count) selected.push_back(members[(this->rounds + i) % members.size()]);
		}
	}
	return selected;
}

void ReachMonitor::BeginRound(ModelNumber pool, size_t count, TimePoint now)
{
	this->rounds++;
	std::vector<ReachTarget> targets = this->Select(this->targets_of(pool), count);
	std::vector<TargetNumber> numbers;
	for (const ReachTarget &target : targets) numbers.push_back(target.number);
	this->StateOf(pool).BeginRound(numbers, now);
	for (size_t i = 0; i < targets.size(); i++) {
		uint64_t number = this->next_probe++;
		Probe &probe = this->probes[number];
		bool first = i < this->limits.first_probes;
		probe = {pool, std::move(targets[i]), first ? now : now + this->limits.first_delay, {}};
		if (first) this->Connect(number, probe);
	}
}

void ReachMonitor::Connect(uint64_t number, Probe &probe)
{
	this->connects++;
	std::shared_ptr<TcpStream> stream = TcpStream::Connect(this->loop, probe.target.address);
	stream->on_open = [this, number] { this->EndProbe(number, ReachResult::Connected); };
	stream->on_end = [this, number](TcpEnd end, const char *) {
		this->EndProbe(number, end == TcpEnd::Refused ? ReachResult::Refused : ReachResult::Silent);
	};
	probe.streams.push_back(std::move(stream));
}

void ReachMonitor::CloseProbes(ModelNumber pool)
{
	std::erase_if(this->probes, [pool](auto &each) {
		if (each.second.pool != pool) return false;
		for (const std::shared_ptr<TcpStream> &stream : each.second.streams) stream->Close();
		return true;
	});
}

void ReachMonitor::EndProbe(uint64_t number, ReachResult result)
{
	auto found = this->probes.find(number);
	if (found == this->probes.end()) return;
	Probe probe = std::move(found->second);
	this->probes.erase(found);
	for (const std::shared_ptr<TcpStream> &stream : probe.streams) stream->Close();
	TimePoint now = MonotonicNow();
	PoolReachability &state = this->StateOf(probe.pool);
	Duration lost_for = state.IsLost() ? now - state.LostSince() : Duration(0);
	bool changed = state.OnProbed(probe.target.number, result, now);
	if (!state.IsProbing()) this->CloseProbes(probe.pool);
	if (changed) this->handler(probe.pool, state.IsLost(), lost_for);
}

void ReachMonitor::OnTick(TimePoint now)
{
	std::vector<uint64_t> late;
	for (auto &[number, probe] : this->probes) {
		Duration age = now - probe.begun_at;
		bool first_due = probe.streams.empty() && age >= Duration(0);
		bool second_due = probe.streams.size() == 1 && age >= this->limits.repeat_delay;
		if (age >= this->limits.connect_timeout) {
			late.push_back(number);
		} else if (first_due || second_due) {
			this->Connect(number, probe);
		}
	}
	for (uint64_t number : late) this->EndProbe(number, ReachResult::Silent);
	for (auto &[pool, state] : this->pools) {
		if (state.IsRetryDue(now)) this->BeginRound(pool, this->limits.probes_while_lost, now);
	}
}

bool ReachMonitor::IsLost(ModelNumber pool) const
{
	auto found = this->pools.find(pool);
	return found != this->pools.end() && found->second.IsLost();
}

bool ReachMonitor::IsDoubted(ModelNumber pool) const
{
	auto found = this->pools.find(pool);
	return found != this->pools.end() && found->second.IsDoubted();
}

void ReachMonitor::Shutdown()
{
	for (auto &[number, probe] : this->probes) {
		for (const std::shared_ptr<TcpStream> &stream : probe.streams) stream->Close();
	}
	this->probes.clear();
}

} // namespace cottonspool
