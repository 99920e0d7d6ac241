/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cold_start.h How many requests a target gets while it is cold: this instance's share of what it bears. */

#pragma once

#include "decision/rate_share.h"
#include <algorithm>

namespace cottonspool {

/** One target's start: while it is cold, it bears some requests a second from all instances together, and falls over beyond. */
class ColdStart {
public:
	/** The target is cold until \a end at least. */
	void ExtendTo(TimePoint end) { this->cold_until = std::max(this->cold_until, end); }

	/** From now on this instance may send \a share. */
	void SetShare(RateShare share)
	{
		this->max_requests = share.max_requests;
		this->gate.SetWindow(share.window);
	}

	/** @return Whether the target is cold at \a now. */
	bool IsCold(TimePoint now) const { return now < this->cold_until; }

	/** @return Whether this instance may send it a request at \a now. */
	bool MaySend(TimePoint now) const
	{
		if (!this->IsCold(now)) return true;
		return this->gate.SentInWindow(now) < this->max_requests;
	}

	/** @return When this instance may send it a request at the earliest. */
	TimePoint FreeAt(TimePoint now) const
	{
		return this->IsCold(now) ? std::min(this->cold_until, this->gate.FreeAt(this->max_requests, now)) : now;
	}

	/** This instance sends it a request. */
	void OnSent(TimePoint now) { this->gate.OnSent(now); }

private:
	uint32_t max_requests = 0;              ///< This instance's share of each window.
	RateGate gate{std::chrono::seconds(1)}; ///< What it has sent.
	TimePoint cold_until;                   ///< End of the start.
};

} // namespace cottonspool
