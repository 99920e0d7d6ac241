/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_load.cpp Load of targets, including the load that other data halls publish. */

#include "decision/target_table.h"

namespace cottonspool {

static constexpr Duration HALL_LOAD_TTL = std::chrono::milliseconds(1500); ///< Time after which the load published by a hall is ignored.

HeldLoad TargetTable::KnownLoadAt(const TargetState &target)
{
	return {target.known_tokens, static_cast<uint32_t>(target.in_flight.size())};
}

HeldLoad TargetTable::WithHallLoads(const TargetState &target, HeldLoad reported, TimePoint now)
{
	HeldLoad from_halls;
	for (const auto &[hall, load] : target.hall_loads) {
		if (now - load.received_at > HALL_LOAD_TTL) continue;
		from_halls.tokens += load.held.tokens;
		from_halls.calls += load.held.calls;
	}
	// Reports can be older than the halls' figures, and those can lack migrated calls, so the larger value is used.
	return {std::max(reported.tokens, from_halls.tokens), std::max(reported.calls, from_halls.calls)};
}

HeldLoad TargetTable::OthersLoadAt(const TargetState &target, TimePoint now)
{
	HeldLoad reported;
	reported.tokens = std::max(0.0, static_cast<double>(target.report.used_tokens) - target.known_at_report);
	uint32_t calls = target.report.running + target.report.waiting;
	reported.calls = calls > target.known_calls_at_report ? calls - target.known_calls_at_report : 0;
	if (target.engine) reported.tokens += static_cast<double>(target.report.waiting_tokens);
	return WithHallLoads(target, reported, now);
}

HeldLoad TargetTable::UnknownLoadInReport(const TargetState &target)
{
	const LoadReport &report = target.report;
	// A known call that waited is in known_at_report, but not in used_tokens, so its prompt must not count as unknown.
	double tokens = static_cast<double>(report.used_tokens) + static_cast<double>(report.waiting_tokens);
	uint32_t calls = report.running + report.waiting;
	uint32_t known = target.known_calls_at_report + target.ended_at_report.calls;
	return {std::max(0.0, tokens - target.known_at_report - target.ended_at_report.tokens), calls > known ? calls - known : 0};
}

double TargetTable::MigrationHeadroom(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	double capacity = static_cast<double>(target.report.capacity_tokens) * this->limits.fill[static_cast<size_t>(call.service_class)];
	double own = target.known_tokens + target.growth * target.known_residual;
	return capacity - own - this->CommittedFor(target, WithHallLoads(target, UnknownLoadInReport(target), now));
}

HeldLoad TargetTable::TotalLoadAt(const TargetState &target, TimePoint now) const
{
	HeldLoad known = KnownLoadAt(target);
	HeldLoad others = OthersLoadAt(target, now);
	return {known.tokens + others.tokens, known.calls + others.calls};
}

void TargetTable::OnHallLoad(const std::string &hall, const std::map<TargetNumber, HeldLoad> &held, TimePoint now)
{
	this->headroom_revision++;
	for (TargetState &target : this->targets) target.hall_loads.erase(hall);
	for (const auto &[number, load] : held) this->targets[number.value].hall_loads[hall] = {load, now};
}

} // namespace cottonspool
