/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file placement_table.cpp Implementation of the placement of requests. */

#include "decision/placement_table.h"
#include <algorithm>

namespace cottonspool {

/**
 * Time for which evacuations stay in effect after a restore of the store. Operators write them again within seconds; until then it is safer
 * to keep a hall unused than to send requests to a hall that is being evacuated.
 */
static constexpr Duration RESTORE_HOLD = std::chrono::seconds(10);

bool MayRunIn(const CallSpec &call, const std::string &hall)
{
	if (call.halls.empty()) return true;
	return std::any_of(call.halls.begin(), call.halls.end(),
	                   [&](const HallPreference &preference) { return preference.hall == hall && preference.weight > 0; });
}

void PlacementTable::SetEvacuated(const std::string &hall, bool is_listed)
{
	// An explicit change takes precedence over what was known before the restore.
	this->held_after_restore.erase(hall);
	if (is_listed) this->evacuated.insert(hall);
	if (!is_listed) this->evacuated.erase(hall);
}

void PlacementTable::SetAllEvacuated(const std::set<std::string> &halls)
{
	for (const std::string &hall : halls) this->held_after_restore.erase(hall);
	this->evacuated = halls;
}

void PlacementTable::OnStoreRestored(TimePoint now)
{
	for (const std::string &hall : this->Evacuated(now)) this->held_after_restore[hall] = now + RESTORE_HOLD;
}

std::set<std::string> PlacementTable::Evacuated(TimePoint now) const
{
	std::set<std::string> halls = this->evacuated;
	for (const auto &[hall, until] : this->held_after_restore) {
		if (now < until) halls.insert(hall);
	}
	return halls;
}

bool PlacementTable::IsAllowedRegion(const std::vector<std::string> &home_regions, const std::string &region) const
{
	return home_regions.empty() || std::find(home_regions.begin(), home_regions.end(), region) != home_regions.end();
}

std::vector<HallPreference> PlacementTable::HallsFor(const Route &route, const ClientAccount *account) const
{
	std::vector<HallPreference> halls;
	auto add = [&](const std::string &hall, const std::string &region) {
		bool is_allowed = this->IsAllowedRegion(route.home_regions, region) &&
		                  (account == nullptr || this->IsAllowedRegion(account->home_regions, region));
		if (is_allowed) halls.push_back({hall, 1});
	};
	auto own = this->regions.find(this->own_hall);
	add(this->own_hall, own == this->regions.end() ? std::string() : own->second);
	for (const auto &[hall, region] : this->regions) {
		if (hall != this->own_hall) add(hall, region);
	}
	return halls;
}

} // namespace cottonspool
