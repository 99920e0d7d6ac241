/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_restrictions.cpp Restrictions that keep requests from a target. */

#include "decision/target_restrictions.h"

namespace cottonspool {

const char *RestrictionName(Restriction bound)
{
	static constexpr std::array<const char *, RESTRICTION_COUNT> NAMES{
	        "none", "other-pool", "other-hall", "unlisted", "leaving", "emptied", "ejected", "probed", "pause", "cold", "limit", "brittle"};
	return NAMES[static_cast<size_t>(bound)];
}

std::string FormatRestrictions(const RestrictionCounts &counts)
{
	std::string text;
	for (size_t i = 0; i < RESTRICTION_COUNT; i++) {
		if (counts[i] == 0) continue;
		if (!text.empty()) text += ',';
		text += std::string(RestrictionName(static_cast<Restriction>(i))) + ':' + std::to_string(counts[i]);
	}
	return text;
}

AdmissionVerdict TargetRestrictions::CheckAdmission(TimePoint now, bool exclude_cold) const
{
	if (!this->known || !this->ready) return {Restriction::Unlisted};
	if (this->draining) return {Restriction::Draining};
	if (this->evacuated) return {Restriction::Evacuated};
	if (now < this->ejected_until) return {Restriction::Ejected, this->ejected_until};
	if (this->probing) return {Restriction::Probing};
	if (now < this->paused_until) return {Restriction::Paused, this->paused_until};
	bool cold = this->cold.IsCold(now);
	if (cold && (exclude_cold || !this->cold.MaySend(now))) return {Restriction::Cold, this->cold.FreeAt(now)};
	if (!this->limit.MaySend(now)) return {Restriction::Limit, this->limit.FreeAt(now)};
	if (!this->refusals.MaySend(now)) return {Restriction::Brittle, this->refusals.FreeAt(now)};
	return {};
}

void TargetRestrictions::OnSent(TimePoint now)
{
	this->cold.OnSent(now);
	this->limit.OnSent(now);
	this->refusals.OnSent(now);
}

} // namespace cottonspool
