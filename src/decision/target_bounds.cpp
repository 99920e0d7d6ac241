/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_bounds.cpp Restrictions that keep requests from a target. */

#include "decision/target_bounds.h"

namespace cottonspool {

const char *BoundName(Bound bound)
{
	static constexpr std::array<const char *, BOUND_COUNT> NAMES{"none",    "other-pool", "other-hall", "unlisted", "leaving", "emptied",
	                                                             "ejected", "probed",     "pause",      "cold",     "limit"};
	return NAMES[static_cast<size_t>(bound)];
}

std::string FormatBounds(const BoundCounts &counts)
{
	std::string text;
	for (size_t i = 0; i < BOUND_COUNT; i++) {
		if (counts[i] == 0) continue;
		if (!text.empty()) text += ',';
		text += std::string(BoundName(static_cast<Bound>(i))) + ':' + std::to_string(counts[i]);
	}
	return text;
}

BoundVerdict TargetBounds::Judge(TimePoint now, bool avoid_cold) const
{
	if (!this->known || !this->ready) return {Bound::Unlisted};
	if (this->leaving) return {Bound::Leaving};
	if (this->emptied) return {Bound::Emptied};
	if (now < this->ejected_until) return {Bound::Ejected, this->ejected_until};
	if (this->probing) return {Bound::Probed};
	if (now < this->paused_until) return {Bound::Pause, this->paused_until};
	bool cold = this->cold.IsCold(now);
	if (cold && (avoid_cold || !this->cold.MaySend(now))) return {Bound::Cold, this->cold.FreeAt(now)};
	if (!this->limit.MaySend(now)) return {Bound::Limit, this->limit.FreeAt(now)};
	return {};
}

void TargetBounds::OnSent(TimePoint now)
{
	this->cold.OnSent(now);
	this->limit.OnSent(now);
}

} // namespace cottonspool
