/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_sums.cpp Load of targets, including the load that other data halls publish. */

#include "decision/target_table.h"

namespace cottonspool {

static constexpr Duration TOLD_LIFE = std::chrono::milliseconds(1500); ///< Time after which the load published by a hall is ignored.

HeldLoad TargetTable::KnownAt(const TargetState &target)
{
	return {target.known_tokens, static_cast<uint32_t>(target.in_flight.size())};
}

HeldLoad TargetTable::OthersAt(const TargetState &target, TimePoint now)
{
	HeldLoad reported;
	reported.tokens = std::max(0.0, static_cast<double>(target.report.used_tokens) - target.known_at_report);
	uint32_t calls = target.report.running + target.report.waiting;
	reported.calls = calls > target.known_calls_at_report ? calls - target.known_calls_at_report : 0;
	if (target.engine) reported.tokens += static_cast<double>(target.report.waiting_tokens);
	HeldLoad told;
	for (const auto &[hall, load] : target.told) {
		if (now - load.heard > TOLD_LIFE) continue;
		told.tokens += load.held.tokens;
		told.calls += load.held.calls;
	}
	// Reports can be older than the halls' figures, and those can lack migrated calls, so the larger value is used.
	return {std::max(reported.tokens, told.tokens), std::max(reported.calls, told.calls)};
}

HeldLoad TargetTable::HeldAt(const TargetState &target, TimePoint now) const
{
	HeldLoad known = KnownAt(target);
	HeldLoad others = OthersAt(target, now);
	return {known.tokens + others.tokens, known.calls + others.calls};
}

void TargetTable::OnToldByHall(const std::string &hall, const std::map<TargetNumber, HeldLoad> &held, TimePoint now)
{
	for (TargetState &target : this->targets) target.told.erase(hall);
	for (const auto &[number, load] : held) this->targets[number.value].told[hall] = {load, now};
}

} // namespace cottonspool
