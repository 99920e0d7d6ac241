/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file feature_switches.h Mechanisms that can be switched one by one, to measure what each of them is worth. */

#pragma once

#include "core/error_type.h"
#include "gateway/gateway_type.h"
#include <span>

namespace cottonspool {

/** One mechanism that can be switched. */
struct FeatureSwitch {
	const char *name;                     ///< Name on the command line.
	const char *effect;                   ///< What an instance does once it is switched.
	void (*apply)(GatewayLimits &limits); ///< Switches it in the limits of an instance.
};

/** @return All mechanisms that can be switched. */
std::span<const FeatureSwitch> FeatureSwitches();

/** Switch the mechanisms \a names, separated by commas, in \a limits. @return An error that names the first one that there is not. */
Result<void> ApplySwitches(std::string_view names, GatewayLimits &limits);

} // namespace cottonspool
