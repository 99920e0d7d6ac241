/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_limits.cpp The limits of an instance, from what the platform allows. */

#include "gateway/gateway_type.h"
#include "platform/node_settings.h"

namespace cottonspool {

static constexpr double SHARED_BY = 20; ///< Instances among which the slack of the retry budget is divided; none talks to the others about it.

GatewayLimits GatewayLimitsFor(const NodeSettings &settings)
{
	GatewayLimits limits;
	RetryLimits pool;
	pool.ratio = settings.bounds.retry_ratio * 0.9;
	pool.burst = std::max(1.0, settings.bounds.retry_slack / SHARED_BY);
	limits.dispatch.pool_retry = pool;
	limits.dispatch.retry.backoff_base = std::chrono::milliseconds(5);
	limits.dispatch.retry.backoff_max = std::chrono::milliseconds(40);
	limits.dispatch.retry_after_min = std::chrono::milliseconds(100);
	limits.dispatch.retry_after_max = std::chrono::seconds(5);
	return limits;
}

} // namespace cottonspool
