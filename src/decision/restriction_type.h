/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file restriction_type.h Why a target gets no request, and until when. */

#pragma once

#include "core/time_type.h"
#include <array>
#include <cstdint>
#include <string>

namespace cottonspool {

/** Why a target gets no request. Where several reasons hold, the one named first is told. */
enum class Restriction : uint8_t {
	None,      ///< It may get one.
	OtherPool, ///< It does not answer for the model or service.
	OtherHall, ///< The request may not run in its hall.
	Unlisted,  ///< The configuration does not name it, or it has not reported yet.
	Draining,  ///< It leaves: gets nothing new any more.
	Evacuated, ///< Its hall is emptied.
	Ejected,   ///< It failed, or could not be reached.
	Probing,   ///< One request is on its way to find out whether it is well again.
	Paused,    ///< It has asked this instance for a pause.
	Cold,      ///< It is cold, and this instance's share of what it bears is used up.
	Limit,     ///< This instance's share of the limit that it names is used up.
};
constexpr size_t RESTRICTION_COUNT = 11;

/** @return The name of \a bound as written in logs. */
const char *RestrictionName(Restriction bound);

/** Whether a target may get a request, and until when it may not. */
struct AdmissionVerdict {
	Restriction bound = Restriction::None; ///< What keeps the request from it.
	TimePoint until = TimePoint::max();    ///< When that ends if nothing else happens; max() where time alone does not end it.

	/** @return Whether it may get the request. */
	bool IsFree() const { return this->bound == Restriction::None; }
};

/** Number of targets for which each bound held. */
using RestrictionCounts = std::array<uint32_t, RESTRICTION_COUNT>;

/** @return \a counts as written in logs: each bound that holds for some targets, with their number. */
std::string FormatRestrictions(const RestrictionCounts &counts);

} // namespace cottonspool
