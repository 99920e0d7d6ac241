/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file placement_table.h Places: which data halls are emptied, and in which halls a request may run. */

#pragma once

#include "decision/request_type.h"
#include "decision/serving_type.h"
#include <map>
#include <set>

namespace cottonspool {

/** @return Whether \a call may run in \a hall: it names no halls, or this one with a weight. */
bool MayRunIn(const CallSpec &call, const std::string &hall);

/**
 * Data halls, the regions they lie in, and those that the operators have emptied: their targets get nothing new. A store that comes back
 * from a copy may lack what they had written; they write it again, and until then, for a bounded time, it holds all the same.
 */
class PlacementTable {
public:
	PlacementTable(std::string own_hall, std::map<std::string, std::string> regions)
	    : own_hall(std::move(own_hall)), regions(std::move(regions))
	{
	}

	/** The halls lie in \a regions from now on, by the name of the hall. */
	void SetRegions(std::map<std::string, std::string> regions_by_hall) { this->regions = std::move(regions_by_hall); }

	/** The operators' list names \a hall as emptied, or no longer does. */
	void SetEvacuated(const std::string &hall, bool evacuated);

	/** The operators' list was read whole: it names \a halls. */
	void SetAllEvacuated(const std::set<std::string> &halls);

	/** The store has come back from a copy; the whole list follows. What it has forgotten holds on for a while. */
	void OnStoreRestored(TimePoint now);

	/** @return Halls that are emptied at \a now. */
	std::set<std::string> Evacuated(TimePoint now) const;

	/**
	 * @param account Client account of the request; null for none.
	 * @return Halls in which a request of \a route and \a account may run, the own one first: those in the home regions of both, as far
	 *         as they have any. Empty when there is none.
	 */
	std::vector<HallPreference> HallsFor(const Route &route, const ClientAccount *account) const;

private:
	bool IsAllowedRegion(const std::vector<std::string> &home_regions, const std::string &region) const;

	std::string own_hall;                       ///< Hall of this instance.
	std::map<std::string, std::string> regions; ///< Region of each hall.
	std::set<std::string> evacuated;            ///< Halls that the operators' list names as emptied.
	std::map<std::string, TimePoint>
	        held_after_restore; ///< Halls that it named in a former store, and until when they stay emptied unlisted.
};

} // namespace cottonspool
