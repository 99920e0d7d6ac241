/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_incarnation.cpp Names of target incarnations. */

#include "decision/target_incarnation.h"

namespace cottonspool {

std::string TargetIncarnation::Name() const
{
	static constexpr char DIGITS[] = "0123456789abcdefghijklmnopqrstuvwxyz";
	static constexpr uint64_t BASE = 36;
	static constexpr int PLACES = 6;
	if (this->started_ms == 0) return this->id;
	std::string start(PLACES, '0');
	uint64_t rest = this->started_ms;
	for (int i = PLACES - 1; i >= 0; i--, rest /= BASE) start[static_cast<size_t>(i)] = DIGITS[rest % BASE];
	return this->id + "@" + start;
}

} // namespace cottonspool
