/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load.cpp What data halls tell each other of their engines. */

#include "decision/hall_load.h"

namespace cottonspool {

/** @return \a load as it is told of \a target, whose prompts are read within \a wait. */
static TargetSum MakeSum(const TargetState &target, const HeldLoad &load, Duration wait)
{
	TargetSum sum;
	sum.target = target.name;
	sum.held_tokens = static_cast<uint32_t>(std::max(0.0, load.tokens));
	sum.calls = load.calls;
	sum.wait_ms = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
	return sum;
}

HallLoadMessage HallLoad::Tell(TimePoint now) const
{
	HallLoadMessage message;
	message.hall = this->own_hall;
	for (uint32_t i = 0; i < this->targets.Size(); i++) {
		const TargetState &target = this->targets.Get(TargetNumber{i});
		if (!target.bounds.known || !target.engine) continue;
		if (target.hall == this->own_hall) {
			TargetSum sum = MakeSum(target, this->targets.HeldAt(target, now), TargetTable::ReadingWait(target, now));
			if (sum.held_tokens + sum.calls + sum.wait_ms > 0) message.at_home.push_back(std::move(sum));
		} else if (!target.in_flight.empty()) {
			message.abroad.push_back(MakeSum(target, TargetTable::KnownAt(target), Duration(0)));
		}
	}
	return message;
}

std::vector<ReportNews> HallLoad::OnMessage(const HallLoadMessage &message, TimePoint now)
{
	std::vector<ReportNews> reports;
	if (message.hall == this->own_hall) return reports;
	std::set<TargetNumber> before = std::move(this->in_use[message.hall]);
	std::set<TargetNumber> &used = this->in_use[message.hall] = {};
	for (const TargetSum &sum : message.at_home) {
		std::optional<TargetNumber> number = this->targets.Find(sum.target);
		if (!number || this->targets.Get(*number).hall != message.hall) continue;
		this->targets.NoteToldWait(*number, now + std::chrono::milliseconds(sum.wait_ms));
		LoadReport report;
		report.capacity_tokens = this->targets.Get(*number).report.capacity_tokens;
		report.used_tokens = sum.held_tokens;
		report.running = sum.calls;
		reports.push_back({sum.target, report});
		used.insert(*number);
	}
	for (TargetNumber number : before) {
		if (used.contains(number)) continue;
		// What is not told any more has become empty.
		this->targets.NoteToldWait(number, now);
		LoadReport report;
		report.capacity_tokens = this->targets.Get(number).report.capacity_tokens;
		reports.push_back({this->targets.Get(number).name, report});
	}
	std::map<TargetNumber, HeldLoad> there;
	for (const TargetSum &sum : message.abroad) {
		std::optional<TargetNumber> number = this->targets.Find(sum.target);
		bool home = number && this->targets.Get(*number).hall == this->own_hall;
		if (home) there[*number] = {static_cast<double>(sum.held_tokens), sum.calls};
	}
	this->targets.OnToldByHall(message.hall, there, now);
	return reports;
}

} // namespace cottonspool
