/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file retry_budget.h Bounds the share of attempts that are retries, and spreads them in time. */

#pragma once

#include "core/time_type.h"
#include <cstdint>

namespace cottonspool {

/** Bounds of retries. */
struct RetryLimits {
	double ratio = 0.1;                                    ///< Retries earned by each first attempt.
	double burst = 10;                                     ///< Most retries saved up.
	Duration backoff_base = std::chrono::milliseconds(50); ///< Longest first pause.
	Duration backoff_max = std::chrono::seconds(2);        ///< Longest pause.
};

/** A token bucket filled by first attempts and emptied by retries. */
class RetryBudget {
public:
	explicit RetryBudget(RetryLimits limits) : limits(limits), tokens(limits.burst) {}

	/** From now on at most \a burst retries are saved up. */
	void SetBurst(double burst);

	/** A first attempt was made. */
	void OnFirstAttempt();

	/** @return Whether a retry may be made; if so it has been counted. */
	[[nodiscard]] bool TryRetry();

	/** @return Pause before retry number \a attempt (from 1), with full jitter from the random number \a random. */
	Duration Backoff(uint32_t attempt, uint64_t random) const;

private:
	RetryLimits limits; ///< Bounds.
	double tokens;      ///< Retries that may be made now.
};

} // namespace cottonspool
