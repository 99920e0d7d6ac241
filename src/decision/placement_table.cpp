/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file placement_table.cpp Places: which data halls are emptied, and in which halls a request may run. */

#include "decision/placement_table.h"
#include <algorithm>

namespace cottonspool {

/** Time for which a hall stays emptied that a store has forgotten: operators write again within seconds of its return, and a hall too many
 *  that is empty costs less than one that is used while they empty it. */
static constexpr Duration FORGOTTEN_HOLDS = std::chrono::seconds(10);

bool MayRunIn(const CallSpec &call, const std::string &hall)
{
	if (call.halls.empty()) return true;
	return std::any_of(call.halls.begin(), call.halls.end(),
	                   [&](const HallPreference &preference) { return preference.hall == hall && preference.weight > 0; });
}

void PlaceTable::SetListed(const std::string &hall, bool is_listed)
{
	// Either way it is the operators' word of now.
	this->forgotten.erase(hall);
	if (is_listed) this->listed.insert(hall);
	if (!is_listed) this->listed.erase(hall);
}

void PlaceTable::SetAllListed(const std::set<std::string> &halls)
{
	for (const std::string &hall : halls) this->forgotten.erase(hall);
	this->listed = halls;
}

void PlaceTable::OnOtherStore(TimePoint now)
{
	for (const std::string &hall : this->Emptied(now)) this->forgotten[hall] = now + FORGOTTEN_HOLDS;
}

std::set<std::string> PlaceTable::Emptied(TimePoint now) const
{
	std::set<std::string> halls = this->listed;
	for (const auto &[hall, until] : this->forgotten) {
		if (now < until) halls.insert(hall);
	}
	return halls;
}

bool PlaceTable::IsHome(const std::vector<std::string> &homes, const std::string &region) const
{
	return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

std::vector<HallPreference> PlaceTable::HallsFor(const Route &route, const ClientAccount *account) const
{
	std::vector<HallPreference> halls;
	auto add = [&](const std::string &hall, const std::string &region) {
		bool home = this->IsHome(route.homes, region) && (account == nullptr || this->IsHome(account->homes, region));
		if (home) halls.push_back({hall, 1});
	};
	auto own = this->regions.find(this->own_hall);
	add(this->own_hall, own == this->regions.end() ? std::string() : own->second);
	for (const auto &[hall, region] : this->regions) {
		if (hall != this->own_hall) add(hall, region);
	}
	return halls;
}

} // namespace cottonspool
