/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file retry_budget.cpp Retry budget and backoff. */

#include "decision/retry_budget.h"
#include <algorithm>

namespace cottonspool {

void RetryBudget::SetBurst(double burst)
{
	this->limits.burst = burst;
	this->tokens = std::min(this->tokens, burst);
}

void RetryBudget::OnFirstAttempt()
{
	this->tokens = std::min(this->limits.burst, this->tokens + this->limits.ratio);
}

void RetryBudget::OnAttemptWithdrawn()
{
	this->tokens = std::max(0.0, this->tokens - this->limits.ratio);
}

void RetryBudget::OnRetryWithdrawn()
{
	this->tokens = std::min(this->limits.burst, this->tokens + 1);
}

bool RetryBudget::TryRetry()
{
	if (this->tokens < 1) return false;
	this->tokens -= 1;
	return true;
}

Duration RetryBudget::Backoff(uint32_t attempt, uint64_t random) const
{
	uint32_t doublings = std::min<uint32_t>(attempt > 0 ? attempt - 1 : 0, 16);
	Duration longest = std::min<Duration>(this->limits.backoff_base * (1U << doublings), this->limits.backoff_max);
	return Duration(static_cast<int64_t>(random % static_cast<uint64_t>(longest.count() + 1)));
}

} // namespace cottonspool
