/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file router_base.h Interface of the routers, which choose a target for a call. */

#pragma once

#include "decision/target_table.h"
#include <memory>

namespace cottonspool {

/** Chooses a target for one call. */
class Router {
public:
	virtual ~Router() = default;

	/** @return The target to send \a call to now, or nothing if it has to wait. */
	virtual std::optional<TargetNumber> Choose(const CallSpec &call, const TargetTable &targets, TimePoint now) = 0;
};

/** Switches of the headroom router, to measure the effect of each mechanism. */
struct HeadroomRules {
	bool use_headroom = true;    ///< Let a call wait while no target has headroom for its expected length.
	bool use_interval = true;    ///< Prefer targets with a shorter time between tokens than the median.
	bool use_overcommit = true;  ///< Let interactive calls, and others after CallSpec::overcommit_from, overcommit a target up to a limit.
	bool use_prefix = true;      ///< Prefer targets that have the prompt's prefix cached.
	bool use_first_token = true; ///< Prefer targets with a short time to first token.
};

/**
 * Create the router \a name: "headroom" or one of the baselines "round-robin", "least-load", "two-choices" and "rank-weighted".
 * @return Null if there is no such router.
 */
std::unique_ptr<Router> MakeRouter(std::string_view name, uint64_t seed, HeadroomRules rules = {});

} // namespace cottonspool
