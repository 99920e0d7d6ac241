/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_rate_limit.cpp Rate limit that a target advertises in its answers. */

#include "decision/target_rate_limit.h"

namespace cottonspool {

bool TargetRateLimit::OnAnswer(const TargetSignals &signals, TimePoint requested_at, TimePoint now)
{
	if (signals.limit == SignalState::Unreadable) return false;
	bool advertises = signals.limit == SignalState::Present;
	bool raises = this->active && (!advertises || signals.limit_per_s > this->per_second);
	if (raises && requested_at <= this->reported_at) return false;
	bool changed = advertises != this->active || (advertises && signals.limit_per_s != this->per_second);
	// Borrowed shares were computed from the higher limit.
	if (advertises && this->active && signals.limit_per_s < this->per_second) this->leases.DropBorrowed();
	this->active = advertises;
	if (!advertises) return changed;
	this->per_second = signals.limit_per_s;
	this->reported_at = now;
	return changed;
}

} // namespace cottonspool
