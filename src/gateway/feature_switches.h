/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file feature_switches.h Features that can be switched off or on one by one, for ablation measurements. */

#pragma once

#include "core/error_type.h"
#include "gateway/gateway_type.h"
#include <span>

namespace cottonspool {

/** A feature that can be switched. */
struct FeatureSwitch {
	const char *name;
	const char *effect;                   ///< Effect of the switch, for the help text.
	void (*apply)(GatewayLimits &limits); ///< Sets the switch in the limits of an instance.
};

/** @return All features that can be switched. */
std::span<const FeatureSwitch> FeatureSwitches();

/** Apply the switches \a names, separated by commas, to \a limits. @return An error that names the first unknown one. */
Result<void> ApplySwitches(std::string_view names, GatewayLimits &limits);

} // namespace cottonspool
