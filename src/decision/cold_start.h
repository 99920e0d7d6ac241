/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cold_start.h Rate limit of a target during its cold start. */

#pragma once

#include "decision/rate_share.h"
#include <algorithm>

namespace cottonspool {

/**
 * Limits the requests to a target that has just started: while it is cold, it can handle only a few requests per second from all instances
 * together.
 */
class ColdStart {
public:
	/** Extends the cold phase to \a end if it would end earlier. */
	void ExtendTo(TimePoint end) { this->cold_until = std::max(this->cold_until, end); }

	/** Sets the share of the target's rate limit that this instance may use. */
	void SetShare(RateShare share)
	{
		this->max_requests = share.max_requests;
		this->gate.SetWindow(share.window);
	}

	/** @return Whether the target is cold at \a now. */
	bool IsCold(TimePoint now) const { return now < this->cold_until; }

	/** @return Whether this instance may send a request to the target at \a now. */
	bool MaySend(TimePoint now) const
	{
		if (!this->IsCold(now)) return true;
		return this->gate.SentInWindow(now) < this->max_requests;
	}

	/** @return The earliest time at which this instance may send a request to the target. */
	TimePoint FreeAt(TimePoint now) const
	{
		return this->IsCold(now) ? std::min(this->cold_until, this->gate.FreeAt(this->max_requests, now)) : now;
	}

	/** Counts a request that this instance sends to the target. */
	void OnSent(TimePoint now) { this->gate.OnSent(now); }

private:
	uint32_t max_requests = 0;              ///< Requests that this instance may send in each window.
	RateGate gate{std::chrono::seconds(1)}; ///< Requests that this instance has sent.
	TimePoint cold_until;                   ///< End of the cold phase.
};

} // namespace cottonspool
