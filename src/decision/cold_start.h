/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cold_start.h How many requests a target gets while it is cold: this instance's share of what it bears. */

#pragma once

#include "core/time_type.h"
#include <deque>
#include <string>
#include <vector>

namespace cottonspool {

/** What one instance may send in one window. */
struct ColdShare {
	uint32_t most = 0;                        ///< Requests in each window.
	Duration window{std::chrono::seconds(1)}; ///< Length of a window; any span of this length counts.

	bool operator==(const ColdShare &) const = default;
};

/**
 * A cold target bears some requests a second, from all instances together, and falls over beyond. Instances that see one at the
 * same moment share that rate by what they all know already: the names of the instances. Nobody has to talk, and a cut between
 * them takes nothing from it. Those that the target's name chooses by rendezvous get one request more than the others, so that 300
 * instances and 25 requests a second make 25 instances with one each.
 * @param per_second What the target bears in a second.
 * @param instances Names of all instances, this one included; one that doesn't know most of them has to pass none.
 */
ColdShare ShareColdRate(const std::string &target, double per_second, const std::vector<std::string> &instances, const std::string &own);

/** One target's start: while it is cold, this instance keeps to its share. */
class ColdStart {
public:
	/** The target is cold until \a end at least. */
	void ExtendTo(TimePoint end) { this->cold_until = std::max(this->cold_until, end); }

	/** From now on this instance may send \a to_keep. */
	void SetShare(ColdShare to_keep) { this->share = to_keep; }

	/** @return Whether the target is cold at \a now. */
	bool IsCold(TimePoint now) const { return now < this->cold_until; }

	/** @return Whether this instance may send it a request at \a now. */
	bool MaySend(TimePoint now) const;

	/** This instance sends it a request. */
	void OnSent(TimePoint now);

private:
	ColdShare share;             ///< What this instance may send.
	TimePoint cold_until;        ///< End of the start.
	std::deque<TimePoint> sends; ///< Requests sent in the last window.
};

} // namespace cottonspool
