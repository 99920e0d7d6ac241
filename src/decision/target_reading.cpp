/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_reading.cpp Estimate of the prefill rate and of the time until pending prefills are done. */

#include "decision/target_table.h"
#include <algorithm>

namespace cottonspool {

static constexpr uint32_t PROMPT_RATE_LEAST = 256;    ///< Minimum prompt length, in tokens, for a sample of the prefill rate.
static constexpr double PROMPT_RATE_SMOOTHING = 0.05; ///< Weight of the newest sample.
static constexpr double PROMPT_RATE_MIN = 500;        ///< Lower bound of a sample, in tokens per second.
static constexpr double PROMPT_RATE_MAX = 50000;      ///< Upper bound of a sample, in tokens per second.

void TargetTable::NotePromptSent(TargetState &target, InFlightCall &flight, TimePoint now) const
{
	if (!target.engine || flight.generated > 0) return;
	flight.reads_alone = target.unread_prompts == 0;
	if (flight.reads_alone) target.prompts_read_at = now;
	target.unread_prompts++;
	target.prompts_read_at = std::max(now, target.prompts_read_at) + FromSeconds(flight.call.prompt_tokens / this->prompt_rate);
}

void TargetTable::NotePromptRead(TargetState &target, const InFlightCall &flight, TimePoint now)
{
	if (!target.engine || target.unread_prompts == 0) return;
	target.unread_prompts--;
	if (!flight.reads_alone || flight.generated == 0) return;
	double took = Seconds(now - flight.sent);
	if (took <= 0 || flight.call.prompt_tokens < PROMPT_RATE_LEAST) return;
	double rate = std::clamp(flight.call.prompt_tokens / took, PROMPT_RATE_MIN, PROMPT_RATE_MAX);
	this->prompt_rate += PROMPT_RATE_SMOOTHING * (rate - this->prompt_rate);
}

Duration TargetTable::ReadingWait(const TargetState &target, TimePoint now)
{
	if (target.unread_prompts == 0) return Duration(0);
	return std::max(Duration(0), std::chrono::duration_cast<Duration>(target.prompts_read_at - now));
}

Duration TargetTable::FirstTokenWait(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	Duration told = std::chrono::duration_cast<Duration>(target.told_read_at - now);
	return std::max(told, ReadingWait(target, now)) + FromSeconds(call.prompt_tokens / this->prompt_rate);
}

} // namespace cottonspool
