/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_load.cpp What is at targets, summed up, for other data halls and from them. */

#include "decision/target_table.h"

namespace cottonspool {

static constexpr Duration HALL_LOAD_TTL = std::chrono::milliseconds(1500); ///< Time after which what a hall told of its calls is forgotten.

HeldLoad TargetTable::KnownLoadAt(const TargetState &target)
{
	return {target.known_tokens, static_cast<uint32_t>(target.in_flight.size())};
}

HeldLoad TargetTable::OthersLoadAt(const TargetState &target, TimePoint now)
{
	HeldLoad reported;
	reported.tokens = std::max(0.0, static_cast<double>(target.report.used_tokens) - target.known_at_report);
	uint32_t calls = target.report.running + target.report.waiting;
	reported.calls = calls > target.known_calls_at_report ? calls - target.known_calls_at_report : 0;
	if (target.engine) reported.tokens += static_cast<double>(target.report.waiting_tokens);
	HeldLoad hall_loads;
	for (const auto &[hall, load] : target.hall_loads) {
		if (now - load.heard > HALL_LOAD_TTL) continue;
		hall_loads.tokens += load.held.tokens;
		hall_loads.calls += load.held.calls;
	}
	// A report is older than what halls tell, and what they tell may lack calls that came by a move: neither may be less.
	return {std::max(reported.tokens, hall_loads.tokens), std::max(reported.calls, hall_loads.calls)};
}

HeldLoad TargetTable::TotalLoadAt(const TargetState &target, TimePoint now) const
{
	HeldLoad known = KnownLoadAt(target);
	HeldLoad others = OthersLoadAt(target, now);
	return {known.tokens + others.tokens, known.calls + others.calls};
}

void TargetTable::OnHallLoad(const std::string &hall, const std::map<TargetNumber, HeldLoad> &held, TimePoint now)
{
	for (TargetState &target : this->targets) target.hall_loads.erase(hall);
	for (const auto &[number, load] : held) this->targets[number.value].hall_loads[hall] = {load, now};
}

} // namespace cottonspool
