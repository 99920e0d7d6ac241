/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_limit.cpp Rate limit that a target advertises in its answers. */

#include "decision/target_limit.h"

namespace cottonspool {

bool TargetLimit::OnAnswer(const TargetSigns &signs, TimePoint asked, TimePoint now)
{
	if (signs.limit == SignState::Unreadable) return false;
	bool names = signs.limit == SignState::Said;
	bool loosens = this->named && (!names || signs.limit_per_s > this->per_second);
	if (loosens && asked <= this->heard) return false;
	bool changed = names != this->named || (names && signs.limit_per_s != this->per_second);
	// Borrowed shares were computed from the higher limit.
	if (names && this->named && signs.limit_per_s < this->per_second) this->leases.DropBorrowed();
	this->named = names;
	if (!names) return changed;
	this->per_second = signs.limit_per_s;
	this->heard = now;
	return changed;
}

} // namespace cottonspool
