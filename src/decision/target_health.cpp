/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_health.cpp Which targets are well: those that fail, cannot be reached or are slow. */

#include "decision/target_table.h"
#include <algorithm>

namespace cottonspool {

static constexpr size_t SLOW_MIN_TARGETS = 3; ///< Fewest measured targets from which a median says something.
static constexpr double INTERVAL_DECAY = 0.1; ///< Part of the way to the median that an idle target's figure goes in a second.

uint32_t TargetTable::OnEnded(TargetNumber number, CallId call, SendResult result, TimePoint now)
{
	TargetState &target = this->targets[number.value];
	if (!target.in_flight.contains(call)) return 0;
	uint32_t generated = this->RemoveCall(target, call, now);
	target.restrictions.probing = false;
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

void TargetTable::OnSent(TargetNumber number, const CallSpec &call, TimePoint now)
{
	this->OnPeerCallSent(number, call, now);
	// Only own calls find out whether it is well again: how those of peers end is not told here, and they would be waited for for ever.
	TargetState &target = this->targets[number.value];
	if (target.ejections > 0) target.restrictions.probing = true;
}

void TargetTable::EjectUnreachable(TargetState &target, TimePoint now)
{
	// While a hall is cut off, targets that had answered with failures stood ejected, and all calls went to the one that could
	// not be reached. One that answers at all serves more, so those come back before this one goes.
	bool others = false;
	for (ModelNumber model : target.models) {
		for (TargetNumber number : this->ForModel(model)) {
			TargetState &other = this->targets[number.value];
			if (&other == &target || other.restrictions.draining || other.connect_failures >= this->limits.eject_connect_failures) continue;
			others = true;
			other.failures = other.ejections = 0;
			other.restrictions.ejected_until = TimePoint{};
		}
	}
	if (others) this->Eject(target, now);
}

bool TargetTable::MayEject(const TargetState &target, TimePoint now) const
{
	for (ModelNumber model : target.models) {
		const std::vector<TargetNumber> &alike = this->ForModel(model);
		auto out = std::count_if(alike.begin(), alike.end(), [&](TargetNumber other) {
			const TargetState &state = this->Get(other);
			return &state == &target || now < state.restrictions.ejected_until || state.restrictions.draining;
		});
		if (static_cast<size_t>(out) * 2 > alike.size()) return false;
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
		auto middle = intervals.begin() + static_cast<long>(intervals.size() / 2);
		std::nth_element(intervals.begin(), middle, intervals.end());
		for (TargetNumber number : numbers) {
			TargetState &target = this->targets[number.value];
			target.median_interval = *middle;
			// Without own calls there the figure ages towards the median, so that a target that was slow is tried again.
			if (target.in_flight.empty() && target.interval > 0) target.interval += INTERVAL_DECAY * (*middle - target.interval);
			target.slow = target.interval > this->limits.slow_factor * *middle;
		}
	}
}

} // namespace cottonspool
