/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_load.cpp Load of targets, including the load that other data halls publish. */

#include "decision/target_table.h"

namespace cottonspool {

static constexpr Duration HALL_LOAD_TTL = std::chrono::milliseconds(1500); ///< Time after which the load published by a hall is ignored.

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
	HeldLoad from_halls;
	for (const auto &[hall, load] : target.hall_loads) {
		if (now - load.received_at > HALL_LOAD_TTL) continue;
		from_halls.tokens += load.held.tokens;
		from_halls.calls += load.held.calls;
	}
	// Reports can be older than the halls' figures, and those can lack migrated calls, so the larger value is used.
	return {std::max(reported.tokens, from_halls.tokens), std::max(reported.calls, from_halls.calls)};
}

TimeFactors TargetTable::TimeFactorsOf(const TargetState &target, TimePoint /* now */) const
{
	if (target.base_factor > 0) return {{target.base_factor, 1}};
	TimeFactors factors;
	for (ModelNumber model : target.models) {
		for (TargetNumber other : this->ForModel(model)) {
			if (this->Get(other).base_factor > 0) factors.push_back({this->Get(other).base_factor, 1});
		}
	}
	for (WeightedFactor &possible : factors) possible.weight = 1.0 / static_cast<double>(factors.size());
	return factors;
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
