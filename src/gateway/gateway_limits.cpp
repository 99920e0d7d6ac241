/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_limits.cpp The limits of an instance, from what the platform allows. */

#include "gateway/gateway_type.h"
#include "platform/node_settings.h"

namespace cottonspool {

/** Part of a run's expected growth for which room is kept: runs seldom hold the most at the same time. */
static constexpr double GROWTH_RESERVE = 0.4;

static constexpr double BYTES_PER_MBIT = 125000;      ///< Bytes in a megabit.
static constexpr double FORWARD_LINK_FRACTION = 0.2;  ///< Part of the link that rows passed on to other instances may take.
static constexpr double SNAPSHOT_LINK_FRACTION = 0.5; ///< Part of the link that tables handed to instances that start may take.
static constexpr double ASSUMED_INSTANCES =
        20; ///< Instances among which the slack of the retry budget is shared until their number is known.

GatewayLimits GatewayLimitsFor(const NodeSettings &settings)
{
	GatewayLimits limits;
	RetryLimits pool;
	pool.ratio = settings.platform_bounds.retry_ratio * 0.9;
	pool.burst = std::max(1.0, settings.platform_bounds.retry_slack / ASSUMED_INSTANCES);
	limits.dispatch.pool_retry = pool;
	limits.retry_slack = settings.platform_bounds.retry_slack;
	limits.exchange.link_mbps = settings.link_mbps;
	limits.exchange.bootstrap = settings.bootstrap;
	if (settings.link_mbps > 0) limits.exchange.forward_bytes_per_s = settings.link_mbps * BYTES_PER_MBIT * FORWARD_LINK_FRACTION;
	if (settings.link_mbps > 0) limits.exchange.snapshot_bytes_per_s = settings.link_mbps * BYTES_PER_MBIT * SNAPSHOT_LINK_FRACTION;
	// The one who reads may be cut off right after an answer: its next call hangs for wait and slack, then the others' patience
	// runs out one after another. All of it has to fit into the time in which a change has to be known everywhere.
	const PlatformBounds &platform_bounds = settings.platform_bounds;
	Duration bound = std::min({platform_bounds.config_apply, platform_bounds.drain, platform_bounds.empty});
	limits.watch.wait = bound * 5 / 20;
	limits.watch.slack = bound * 2 / 20;
	limits.watch.takeover_delay = bound * 8 / 20;
	limits.watch.takeover_delay_step = bound / 40;
	limits.watch.max_takeover_delay = bound * 12 / 20;
	// The store may return right after a call was made in vain: that call, the pause behind it and the next answer have to fit
	// into the calm time after which the bounds hold again, with a quarter of it left to pass on what was read.
	limits.watch.max_read_timeout = platform_bounds.recovery * 9 / 20;
	limits.watch.min_read_timeout = std::min<Duration>(limits.watch.min_read_timeout, limits.watch.max_read_timeout);
	limits.watch.max_backoff = platform_bounds.recovery * 6 / 20;
	// Engines that are sent more than they have room for preempt runs and read their prompts again. Their reports don't tell
	// preemptions, so the room kept for growth cannot be learned from them.
	limits.router.use_overcommit = false;
	limits.dispatch.targets.use_growth_feedback = false;
	limits.dispatch.targets.growth_start = GROWTH_RESERVE;
	limits.dispatch.retry.backoff_base = std::chrono::milliseconds(5);
	limits.dispatch.retry.backoff_max = std::chrono::milliseconds(40);
	limits.dispatch.retry_after_min = std::chrono::milliseconds(100);
	// Callers keep to a third of the time that is left to them: of the longest limits in use, 39 s, that is 13 s.
	limits.dispatch.retry_after_max = std::chrono::seconds(15);
	return limits;
}

} // namespace cottonspool
