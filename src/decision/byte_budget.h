/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file byte_budget.h How many bytes of one kind a link may carry. */

#pragma once

#include "core/time_type.h"
#include <algorithm>

namespace cottonspool {

/** Bytes that may be sent: so many a second, of which some seconds' worth may be saved up. */
class ByteBudget {
public:
	/**
	 * @param per_second Bytes a second.
	 * @param saved Longest time for which they are saved up.
	 */
	ByteBudget(double per_second, Duration saved) : per_second(per_second), most(per_second * Seconds(saved)) {}

	/** @return Whether \a bytes may be sent now; they are taken off then. */
	[[nodiscard]] bool Take(double bytes, TimePoint now)
	{
		this->left = std::min(this->most, this->left + this->per_second * Seconds(now - this->refilled_at));
		this->refilled_at = now;
		if (bytes > this->left) return false;
		this->left -= bytes;
		return true;
	}

private:
	double per_second;     ///< Bytes a second.
	double most;           ///< Most that are saved up.
	double left = 0;       ///< What may be sent.
	TimePoint refilled_at; ///< When that was last worked out.
};

} // namespace cottonspool
