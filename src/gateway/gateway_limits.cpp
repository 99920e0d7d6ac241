/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_limits.cpp Derives the limits of an instance from those of the platform. */

#include "gateway/gateway_type.h"
#include "platform/node_settings.h"
#include <algorithm>

namespace cottonspool {

/** Fraction of a run's expected growth that is reserved; runs seldom reach their maximum at the same time. */
static constexpr double GROWTH_RESERVE = 0.4;

static constexpr double BYTES_PER_MBIT = 125000;
/** The settings do not say which kind of megabyte they mean; this is the smaller one. */
static constexpr uint64_t BYTES_PER_MB = 1000000;
/** Part of the memory that one buffered answer may take: many callers may wait for a target whose answers never end. */
static constexpr size_t ANSWER_MEMORY_DIVISOR = 256;
static constexpr size_t MIN_BUFFERED_ANSWER_BYTES = 256U << 10;
static constexpr double FORWARD_LINK_FRACTION = 0.2;  ///< Fraction of the network link for forwarding rows to other instances.
static constexpr double SNAPSHOT_LINK_FRACTION = 0.5; ///< Fraction of the network link for sending table snapshots to instances that start.
/** Assumed number of instances that share the slack of the retry budget until the real one is known. */
static constexpr double ASSUMED_INSTANCES = 20;

GatewayLimits GatewayLimitsFor(const NodeSettings &settings)
{
	GatewayLimits limits;
	RetryLimits pool;
	pool.ratio = settings.platform_bounds.retry_ratio * 0.9;
	pool.burst = std::max(1.0, settings.platform_bounds.retry_slack / ASSUMED_INSTANCES);
	// What the process before this one has used of the slack counts for as long as its window lasts.
	pool.starts_empty = !settings.bootstrap;
	limits.dispatch.pool_retry = pool;
	limits.memory.memory_bytes = settings.memory_mb * BYTES_PER_MB;
	if (limits.memory.memory_bytes > 0)
		limits.max_buffered_answer_bytes = std::clamp<size_t>(limits.memory.memory_bytes / ANSWER_MEMORY_DIVISOR, MIN_BUFFERED_ANSWER_BYTES,
		                                                      limits.max_buffered_answer_bytes);
	limits.retry_slack = settings.platform_bounds.retry_slack;
	limits.exchange.link_mbps = settings.link_mbps;
	limits.exchange.bootstrap = settings.bootstrap;
	if (settings.link_mbps > 0) limits.exchange.forward_bytes_per_s = settings.link_mbps * BYTES_PER_MBIT * FORWARD_LINK_FRACTION;
	if (settings.link_mbps > 0) limits.exchange.snapshot_bytes_per_s = settings.link_mbps * BYTES_PER_MBIT * SNAPSHOT_LINK_FRACTION;
	// The instance that reads for all may be partitioned right after an answer: its next call times out, then the takeover delays
	// of the others expire one after another. All of that has to fit into the time in which a change must be known everywhere.
	const PlatformBounds &platform_bounds = settings.platform_bounds;
	Duration bound = std::min({platform_bounds.config_apply, platform_bounds.drain, platform_bounds.empty});
	limits.return_to_source_window = platform_bounds.drain / 2;
	limits.registry.drain_bound = platform_bounds.drain;
	limits.registry.min_expiry_gap = 2 * settings.heartbeat;
	limits.watch.wait = bound * 5 / 20;
	limits.watch.slack = bound * 2 / 20;
	limits.watch.takeover_delay = bound * 8 / 20;
	limits.watch.takeover_delay_step = bound / 40;
	limits.watch.max_takeover_delay = bound * 12 / 20;
	limits.watch.batch_delay = std::min<Duration>(limits.watch.batch_delay, bound / 10);
	// The store may recover right after a call was sent in vain: the rest of that call, the backoff and the next answer have to fit
	// into the recovery time that the platform grants, with a quarter of it left for forwarding the rows.
	limits.watch.max_read_timeout = platform_bounds.recovery * 9 / 20;
	limits.watch.min_read_timeout = std::min<Duration>(limits.watch.min_read_timeout, limits.watch.max_read_timeout);
	limits.watch.max_backoff = platform_bounds.recovery * 6 / 20;
	// Overcommitted engines preempt runs and repeat their prefill. Their reports don't show preemptions, so the reserve for growth
	// cannot adapt to them.
	limits.router.use_overcommit = false;
	limits.dispatch.targets.use_growth_feedback = false;
	limits.dispatch.targets.growth_start = GROWTH_RESERVE;
	limits.dispatch.use_rescue_order = true;
	// Limiting accounts costs some throughput, so that only operators who ask for it get it.
	limits.dispatch.shares.use = false;
	// Counting all that is known saves more runs of draining engines, but fills the others until they preempt more runs than were saved.
	limits.dispatch.targets.use_migration_headroom = false;
	limits.dispatch.retry.backoff_base = std::chrono::milliseconds(5);
	limits.dispatch.retry.backoff_max = std::chrono::milliseconds(40);
	limits.dispatch.retry_after_min = std::chrono::milliseconds(100);
	// Callers wait at most a third of their remaining time: 13 s of the longest timeout in use, 39 s.
	limits.dispatch.retry_after_max = std::chrono::seconds(15);
	return limits;
}

} // namespace cottonspool
