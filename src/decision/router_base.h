/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file router_base.h The choice of a target for one call: the interface, ours, and the baselines it is measured against. */

#pragma once

#include "decision/target_table.h"
#include <memory>

namespace cottonspool {

/** Chooses a target for one call. */
class Router {
public:
	virtual ~Router() = default;

	/** @return The target to send \a call to now, or nothing when it has to wait. */
	virtual std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) = 0;
};

/** Switches of the headroom router, each measured by leaving it out. */
struct HeadroomRules {
	bool use_headroom = true;    ///< Let a call wait while no target has room for its expected length.
	bool use_interval = true;    ///< Prefer targets whose tokens come faster than their like's.
	bool use_overcommit = true;  ///< Let interactive generations, and those whose time to press has come, go without room, up to a bound.
	bool use_prefix = true;      ///< Prefer a target that has the prompt's beginning cached.
	bool use_first_token = true; ///< Prefer a target that reads the prompt soon.
};

/** Make the router named \a name ("headroom", "round-robin", "least-load", "two-choices", "rank-weighted"). @return Null for no such name.
 */
std::unique_ptr<Router> MakeRouter(std::string_view name, uint64_t seed, HeadroomRules rules = {});

} // namespace cottonspool
