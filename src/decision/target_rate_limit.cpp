/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_rate_limit.cpp The limit that a target names with its answers. */

#include "decision/target_rate_limit.h"

namespace cottonspool {

bool TargetRateLimit::OnAnswer(const TargetSignals &signals, TimePoint asked, TimePoint now)
{
	if (signals.limit == SignalState::Unreadable) return false;
	bool names = signals.limit == SignalState::Present;
	bool loosens = this->named && (!names || signals.limit_per_s > this->per_second);
	if (loosens && asked <= this->heard) return false;
	bool changed = names != this->named || (names && signals.limit_per_s != this->per_second);
	// What was lent by a higher limit is more than the lower one bears.
	if (names && this->named && signals.limit_per_s < this->per_second) this->leases.DropBorrowed();
	this->named = names;
	if (!names) return changed;
	this->per_second = signals.limit_per_s;
	this->heard = now;
	return changed;
}

} // namespace cottonspool
