/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file retry_budget.h Retry budget, which limits retries to a fraction of first attempts, and exponential backoff. */

#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace cottonspool {

/** Parameters of a retry budget. */
struct RetryLimits {
	double ratio = 0.1;                                    ///< Retries added to the budget by each first attempt.
	double burst = 10;                                     ///< Maximum number of retries in the budget.
	bool starts_empty = false;                             ///< Only first attempts fill the budget; otherwise it is full at the start.
	Duration backoff_base = std::chrono::milliseconds(50); ///< Maximum delay before the first retry; doubles with each further one.
	Duration backoff_max = std::chrono::seconds(2);        ///< Maximum delay before any retry.
};

/** Token bucket that first attempts fill and retries empty. */
class RetryBudget {
public:
	explicit RetryBudget(RetryLimits limits) : limits(limits), tokens(limits.starts_empty ? 0 : limits.burst) {}

	/** Set the maximum number of retries in the budget. */
	void SetBurst(double burst);

	/** Handle a first attempt. */
	void OnFirstAttempt();

	/** Handle that a first attempt did not take place: no target has got it. */
	void OnAttemptWithdrawn();

	/** Handle that a retry for which TryRetry() was called does not take place. */
	void OnRetryWithdrawn();

	/** @return Whether a retry may be made; if so it is deducted from the budget. */
	[[nodiscard]] bool TryRetry();

	/** @return Delay before retry number \a attempt (from 1), with full jitter from the random number \a random. */
	Duration Backoff(uint32_t attempt, uint64_t random) const;

private:
	RetryLimits limits;
	double tokens; ///< Retries in the budget.
};

} // namespace cottonspool
