/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file update_age_type.h How old the changes may be that an update of a table brings. */

#pragma once

#include "core/time_type.h"

namespace cottonspool {

/** How old the changes in an update of a table may be: the store acknowledged them after the view that they update was complete. */
struct UpdateAge {
	Duration longest{0};         ///< Longest possible time since the store acknowledged the oldest change.
	bool after_failures = false; ///< Reads of the store failed in that time.
};

} // namespace cottonspool
