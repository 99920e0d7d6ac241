/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file byte_budget.h Token bucket that limits the bytes of one kind of traffic on a link. */

#pragma once

#include "core/time_type.h"
#include <algorithm>

namespace cottonspool {

/** Token bucket for bytes: refills at a fixed rate up to the bytes of a given time span. */
class ByteBudget {
public:
	/**
	 * @param per_second Refill rate, in bytes per second.
	 * @param burst_span Time span whose refill the bucket can hold.
	 */
	ByteBudget(double per_second, Duration burst_span) : per_second(per_second), capacity(per_second * Seconds(burst_span)) {}

	/** @return Whether \a bytes may be sent now; if so they are deducted. */
	[[nodiscard]] bool Take(double bytes, TimePoint now)
	{
		this->available = std::min(this->capacity, this->available + this->per_second * Seconds(now - this->refilled_at));
		this->refilled_at = now;
		if (bytes > this->available) return false;
		this->available -= bytes;
		return true;
	}

private:
	double per_second;     ///< Refill rate, in bytes per second.
	double capacity;       ///< Capacity of the bucket, in bytes.
	double available = 0;  ///< Bytes that may be sent now.
	TimePoint refilled_at; ///< Time of the last refill.
};

} // namespace cottonspool
