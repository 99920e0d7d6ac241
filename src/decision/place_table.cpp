/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file place_table.cpp Places: which data halls are emptied, and in which halls a request may run. */

#include "decision/place_table.h"
#include <algorithm>

namespace cottonspool {

bool MayRunIn(const CallSpec &call, const std::string &hall)
{
	if (call.halls.empty()) return true;
	return std::any_of(call.halls.begin(), call.halls.end(),
	                   [&](const HallPreference &preference) { return preference.hall == hall && preference.weight > 0; });
}

bool PlaceTable::SetEmptied(const std::string &hall, bool is_emptied)
{
	return is_emptied ? this->emptied.insert(hall).second : this->emptied.erase(hall) > 0;
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
