/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file placement_table.h Placement of requests: evacuated data halls, and the halls in which a request may run. */

#pragma once

#include "decision/request_type.h"
#include "decision/serving_type.h"
#include <map>
#include <set>

namespace cottonspool {

/** @return Whether \a call may run in \a hall: it names no halls, or names this one with a positive weight. */
bool MayRunIn(const CallSpec &call, const std::string &hall);

/**
 * Data halls with their regions, and the halls that operators have evacuated: targets there receive no new requests. A store that was
 * restored from a backup may have lost recent evacuations, so they remain in effect for a limited time until the operators write them
 * again.
 */
class PlacementTable {
public:
	PlacementTable(std::string own_hall, std::map<std::string, std::string> regions)
	    : own_hall(std::move(own_hall)), regions(std::move(regions))
	{
	}

	/** Replaces the region of each hall. */
	void SetRegions(std::map<std::string, std::string> regions_by_hall) { this->regions = std::move(regions_by_hall); }

	/** Handles a change of one entry in the operators' list of evacuated halls. */
	void SetEvacuated(const std::string &hall, bool evacuated);

	/** Handles a complete read of the operators' list of evacuated halls. */
	void SetAllEvacuated(const std::set<std::string> &halls);

	/** Handles the restore of the store from a backup: keeps the current evacuations in effect for a limited time. */
	void OnStoreRestored(TimePoint now);

	/** @return Halls that are evacuated at \a now. */
	std::set<std::string> Evacuated(TimePoint now) const;

	/**
	 * @param account Client account of the request; null for none.
	 * @return Halls in which a request of \a route and \a account may run, this instance's hall first: those in the home regions of both.
	 * An empty list of home regions allows all regions.
	 */
	std::vector<HallPreference> HallsFor(const Route &route, const ClientAccount *account) const;

private:
	bool IsAllowedRegion(const std::vector<std::string> &home_regions, const std::string &region) const;

	std::string own_hall;                                ///< Hall of this instance.
	std::map<std::string, std::string> regions;          ///< Region of each hall.
	std::set<std::string> evacuated;                     ///< Halls in the operators' list of evacuated halls.
	std::map<std::string, TimePoint> held_after_restore; ///< Halls evacuated before the store was restored, and the end of that hold.
};

} // namespace cottonspool
