/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_health.cpp Outlier ejection: targets that fail or cannot be reached, and detection of slow ones. */

#include "decision/target_table.h"
#include <algorithm>

namespace cottonspool {

static constexpr size_t SLOW_MIN_TARGETS = 3; ///< Minimum number of targets with measurements for a median.
static constexpr double INTERVAL_DECAY = 0.1; ///< Fraction by which an idle target's interval approaches the median per second.

uint32_t TargetTable::OnEnded(TargetNumber number, CallId call, SendResult result, TimePoint now)
{
	TargetState &target = this->targets[number.value];
	if (!target.in_flight.contains(call)) return 0;
	uint32_t generated = this->RemoveCall(target, call, now);
	target.restrictions.probing = false;
	if (result == SendResult::Unreachable) target.restrictions.refusals.OnUnanswered();
	target.connect_failures = result == SendResult::Unreachable ? target.connect_failures + 1 : 0;
	if (result == SendResult::Rejected) return generated;
	if (result == SendResult::Answered) {
		target.failures = target.ejections = 0;
		target.restrictions.ejected_until = TimePoint{};
	} else if (target.connect_failures >= this->limits.eject_connect_failures) {
		this->EjectUnreachable(target, now);
	} else if (++target.failures >= this->limits.eject_failures && this->MayEject(target, now)) {
		this->Eject(target, now);
	}
	return generated;
}

void TargetTable::OnReachable(TargetNumber number)
{
	TargetState &target = this->targets[number.value];
	target.connect_failures = target.failures = target.ejections = 0;
	target.restrictions.ejected_until = TimePoint{};
}

void TargetTable::OnSent(TargetNumber number, const CallSpec &call, TimePoint now)
{
	this->OnPeerCallSent(number, call, now, 0, call.account);
	// Calls of peers are no probes, as this instance does not learn how they end.
	TargetState &target = this->targets[number.value];
	if (target.ejections > 0) target.restrictions.probing = true;
	if (call.gap_objective > Duration(0)) this->outlooks[call.model.value].SetObjective(call.gap_objective);
}

void TargetTable::EjectUnreachable(TargetState &target, TimePoint now)
{
	// A target that answers, even with failures, is better than an unreachable one. So ejected targets that can be reached are
	// reinstated first; otherwise all calls could go to the unreachable one.
	bool has_alternative = false;
	for (ModelNumber model : target.models) {
		for (TargetNumber number : this->ForModel(model)) {
			TargetState &other = this->targets[number.value];
			if (&other == &target || other.restrictions.draining || other.connect_failures >= this->limits.eject_connect_failures) continue;
			has_alternative = true;
			other.failures = other.ejections = 0;
			other.restrictions.ejected_until = TimePoint{};
		}
	}
	if (has_alternative) this->Eject(target, now);
}

bool TargetTable::MayEject(const TargetState &target, TimePoint now) const
{
	for (ModelNumber model : target.models) {
		const std::vector<TargetNumber> &same_model = this->ForModel(model);
		auto unavailable = std::count_if(same_model.begin(), same_model.end(), [&](TargetNumber other) {
			const TargetState &state = this->Get(other);
			return &state == &target || now < state.restrictions.ejected_until || state.restrictions.draining;
		});
		if (static_cast<size_t>(unavailable) * 2 > same_model.size()) return false;
	}
	return true;
}

void TargetTable::Eject(TargetState &target, TimePoint now)
{
	auto length = this->limits.eject_base * (1U << std::min<uint32_t>(target.ejections, 10));
	target.restrictions.ejected_until = now + std::min<Duration>(length, this->limits.eject_max);
	target.ejections++;
}

void TargetTable::UpdateSlowTargets()
{
	for (const auto &[model, numbers] : this->by_model) {
		std::vector<double> intervals;
		for (TargetNumber number : numbers) {
			if (this->Get(number).interval > 0) intervals.push_back(this->Get(number).interval);
		}
		if (intervals.size() < SLOW_MIN_TARGETS) continue;
		auto median = intervals.begin() + static_cast<long>(intervals.size() / 2);
		std::nth_element(intervals.begin(), median, intervals.end());
		for (TargetNumber number : numbers) {
			TargetState &target = this->targets[number.value];
			target.median_interval = *median;
			// The interval of an idle target decays towards the median, so that a slow target is tried again.
			if (target.in_flight.empty() && target.interval > 0) target.interval += INTERVAL_DECAY * (*median - target.interval);
			target.slow = target.interval > this->limits.slow_factor * *median;
		}
	}
}

} // namespace cottonspool
