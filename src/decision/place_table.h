/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file place_table.h Places: which data halls are emptied, and in which halls a request may run. */

#pragma once

#include "decision/request_type.h"
#include "decision/serving_type.h"
#include <map>
#include <set>

namespace cottonspool {

/** @return Whether \a call may run in \a hall: it names no halls, or this one with a weight. */
bool MayRunIn(const CallSpec &call, const std::string &hall);

/** Data halls, the regions they lie in, and those that the operators have emptied: their targets get nothing new. */
class PlaceTable {
public:
	PlaceTable(std::string own_hall, std::map<std::string, std::string> regions)
	    : own_hall(std::move(own_hall)), regions(std::move(regions))
	{
	}

	/** The halls lie in \a regions from now on, by the name of the hall. */
	void SetRegions(std::map<std::string, std::string> regions_by_hall) { this->regions = std::move(regions_by_hall); }

	/** \a hall is emptied, or taken back. @return Whether that is a change. */
	bool SetEmptied(const std::string &hall, bool emptied);

	/** @return Halls that are emptied. */
	const std::set<std::string> &Emptied() const { return this->emptied; }

	/**
	 * @param account Client account of the request; null for none.
	 * @return Halls in which a request of \a route and \a account may run, the own one first: those in the home regions of both, as far
	 *         as they have any. Empty when there is none.
	 */
	std::vector<HallPreference> HallsFor(const Route &route, const ClientAccount *account) const;

private:
	bool IsHome(const std::vector<std::string> &homes, const std::string &region) const;

	std::string own_hall;                       ///< Hall of this instance.
	std::map<std::string, std::string> regions; ///< Region of each hall.
	std::set<std::string> emptied;              ///< Halls that are emptied.
};

} // namespace cottonspool
