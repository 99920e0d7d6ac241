/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_prefill.cpp Estimate of the prefill rate and of the time until pending prefills are done. */

#include "decision/target_table.h"
#include <algorithm>

namespace cottonspool {

static constexpr uint32_t PREFILL_SAMPLE_MIN_TOKENS = 256; ///< Minimum prompt length, in tokens, for a sample of the prefill rate.
static constexpr double PREFILL_RATE_SMOOTHING = 0.05;     ///< Weight of the newest sample.
static constexpr double PREFILL_RATE_MIN = 500;            ///< Lower bound of a sample, in tokens per second.
static constexpr double PREFILL_RATE_MAX = 50000;          ///< Upper bound of a sample, in tokens per second.

void TargetTable::OnPrefillQueued(TargetState &target, InFlightCall &flight, TimePoint now) const
{
	if (!target.engine || flight.generated > 0) return;
	flight.prefills_alone = target.pending_prefills == 0;
	if (flight.prefills_alone) target.prefill_done_at = now;
	target.pending_prefills++;
	target.prefill_done_at = std::max(now, target.prefill_done_at) + this->PrefillTime(target, flight.call.prompt_tokens, now);
}

void TargetTable::OnPrefillDone(TargetState &target, const InFlightCall &flight, TimePoint now)
{
	if (!target.engine || target.pending_prefills == 0) return;
	target.pending_prefills--;
	if (!flight.prefills_alone || flight.generated == 0) return;
	double elapsed = Seconds(now - flight.sent);
	if (elapsed <= 0 || flight.call.prompt_tokens < PREFILL_SAMPLE_MIN_TOKENS) return;
	std::optional<double> factor = target.speed.Factor(now);
	// Where speeds differ, the time at a target of unknown speed tells nothing about the usual rate.
	if (!factor && this->StatesSpeeds(target)) return;
	double rate = std::clamp(flight.call.prompt_tokens / elapsed * factor.value_or(1), PREFILL_RATE_MIN, PREFILL_RATE_MAX);
	this->prefill_rate += PREFILL_RATE_SMOOTHING * (rate - this->prefill_rate);
}

Duration TargetTable::PrefillTime(const TargetState &target, uint32_t prompt_tokens, TimePoint now) const
{
	return FromSeconds(prompt_tokens / this->prefill_rate * target.speed.Factor(now).value_or(1));
}

Duration TargetTable::PrefillWait(const TargetState &target, TimePoint now)
{
	if (target.pending_prefills == 0) return Duration(0);
	return std::max(Duration(0), std::chrono::duration_cast<Duration>(target.prefill_done_at - now));
}

Duration TargetTable::FirstTokenWait(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	Duration remote_wait = std::chrono::duration_cast<Duration>(target.remote_prefill_done_at - now);
	return std::max(remote_wait, PrefillWait(target, now)) + this->PrefillTime(target, call.prompt_tokens, now);
}

Duration TargetTable::FirstTokenWaitAt(const TargetState &target, const CallSpec &call, double factor, TimePoint now) const
{
	Duration remote_wait = std::chrono::duration_cast<Duration>(target.remote_prefill_done_at - now);
	return std::max(remote_wait, PrefillWait(target, now)) + FromSeconds(call.prompt_tokens * factor / this->prefill_rate);
}

} // namespace cottonspool
