/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file restriction_type.h Restrictions that keep requests from a target. */

#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <string>

namespace cottonspool {

/** Why a target must not get a request. If several restrictions apply, the first one in this order is reported. */
enum class Restriction : uint8_t {
	None,      ///< No restriction.
	OtherPool, ///< The target does not serve the requested model or service.
	OtherHall, ///< The request must not run in the target's data hall.
	Unlisted,  ///< The target is not configured, or has not reported yet.
	Draining,  ///< The target is draining and accepts no new requests.
	Evacuated, ///< The target's data hall has been evacuated.
	Ejected,   ///< The target is ejected after failures or failed connects.
	Probing,   ///< A probe request is in flight after an ejection.
	Paused,    ///< The target asked this instance to pause.
	Cold,      ///< The target is cold and this instance's share of its cold-start rate is used up.
	Limit,     ///< This instance's share of the target's advertised rate limit is used up.
	Brittle,   ///< The target is brittle and might have to refuse the request.
};
constexpr size_t RESTRICTION_COUNT = 12;

/** @return The name of \a bound as written in logs. */
const char *RestrictionName(Restriction bound);

/** Result of an admission check: whether a target may get a request, and until when not. */
struct AdmissionVerdict {
	Restriction bound = Restriction::None; ///< The restriction that applies.
	TimePoint until = TimePoint::max();    ///< When the restriction expires; max() if it does not expire by itself.

	/** @return Whether the target may get the request. */
	bool IsFree() const { return this->bound == Restriction::None; }
};

/** Number of targets to which each restriction applies. */
using RestrictionCounts = std::array<uint32_t, RESTRICTION_COUNT>;

/** @return \a counts as written in logs, for example "pause:2,limit:1"; zero counts are omitted. */
std::string FormatRestrictions(const RestrictionCounts &counts);

} // namespace cottonspool
