/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file feature_switches.cpp Features that can be switched off or on one by one. */

#include "gateway/feature_switches.h"
#include <algorithm>
#include <limits>

namespace cottonspool {

/** All features are on by default, unless the effect says "switched on". */
static constexpr FeatureSwitch SWITCHES[] = {
        {"moves", "runs are not migrated away from draining engines", [](GatewayLimits &l) { l.use_migration = false; }},
        {"copies-in-turn", "copies of all runs that leave an engine are requested at once instead of one after another",
         [](GatewayLimits &l) { l.copy_lead_fraction = 0; }},
        {"event-driven-moves", "copies of runs are requested at fixed intervals, also of runs that wait at their engine",
         [](GatewayLimits &l) {
	         l.migration.event_driven = false;
	         l.dispatch.targets.use_migration_headroom = false;
	         l.dispatch.use_rescue_order = false;
         }},
        {"own-hall-first", "targets in the local hall are not preferred", [](GatewayLimits &l) { l.other_hall_penalty = 0; }},
        {"room", "requests do not wait for headroom at an engine", [](GatewayLimits &l) { l.router.use_headroom = false; }},
        {"first-token", "the expected time to first token is ignored", [](GatewayLimits &l) { l.router.use_first_token = false; }},
        {"cached-prefix", "cached prompt prefixes are ignored", [](GatewayLimits &l) { l.router.use_prefix = false; }},
        {"interval", "the time between tokens is ignored", [](GatewayLimits &l) { l.router.use_interval = false; }},
        {"lateness", "placement ignores how late calls will be at engines that state their speed",
         [](GatewayLimits &l) { l.dispatch.targets.use_lateness = false; }},
        {"room-binds", "generations may overcommit engines, up to a limit", [](GatewayLimits &l) { l.router.use_overcommit = true; }},
        {"growth-kept", "switched on: the memory reserved for growth adapts to preemptions in engines' reports",
         [](GatewayLimits &l) { l.dispatch.targets.use_growth_feedback = true; }},
        {"urgent-room", "generations leave no memory free for those of more urgent routes",
         [](GatewayLimits &l) { l.dispatch.leave_urgent_room = false; }},
        {"pressing", "plain requests never go to a service without headroom",
         [](GatewayLimits &l) { l.overcommit_fraction = std::numeric_limits<double>::infinity(); }},
        {"learned-lengths", "output lengths are not learned", [](GatewayLimits &l) { l.dispatch.lengths.learn = false; }},
        {"retry-failed", "a repeatable request that failed at a target is not retried at another",
         [](GatewayLimits &l) { l.dispatch.retry_failed = false; }},
        {"ejection", "targets with consecutive failures are not ejected",
         [](GatewayLimits &l) { l.dispatch.targets.eject_failures = std::numeric_limits<uint32_t>::max(); }},
        {"early-refusal", "requests are not rejected before their wait limit", [](GatewayLimits &l) { l.dispatch.refuse_early = false; }},
        {"peer-news", "instances do not publish their calls to peers", [](GatewayLimits &l) { l.exchange.publish_calls = false; }},
        {"shared-reports", "each instance fetches the reports of all engines itself",
         [](GatewayLimits &l) { l.exchange.share_reports = false; }},
        {"hall-scope", "updates go to the instances of all halls",
         [](GatewayLimits &l) { l.hall_scope_enter_engines = std::numeric_limits<size_t>::max(); }},
        {"hall-load", "halls do not publish the load of their targets to other halls",
         [](GatewayLimits &l) { l.exchange.publish_hall_load = false; }},
        {"fresh-connection", "requests that may run only once reuse idle connections",
         [](GatewayLimits &l) { l.single_run_max_idle = std::chrono::hours(1); }},
        {"own-notice", "the drain notice in an engine's report is ignored", [](GatewayLimits &l) { l.use_drain_notice = false; }},
        {"lapse-grace", "targets whose rows expired while the store was unavailable count as gone",
         [](GatewayLimits &l) {
	         l.registry.expiry_grace = Duration(0);
	         l.registry.mass_expiry_min_rows = std::numeric_limits<size_t>::max();
         }},
        {"account-shares", "switched on: client accounts are limited to their share of a scarce pool's memory",
         [](GatewayLimits &l) { l.dispatch.shares.use = true; }},
        {"copy-room", "the memory of copies in progress is not counted", [](GatewayLimits &l) { l.count_pending_copies = false; }},
        {"target-speeds", "the speeds that targets state are not used, shared or probed for",
         [](GatewayLimits &l) { l.use_target_speeds = false; }},
        {"held-memory-bound", "the bytes held for callers and targets that read slowly are not bounded in sum",
         [](GatewayLimits &l) { l.memory.use = false; }},
        {"migration-headroom", "switched on: the headroom for runs that migrate counts all that is known",
         [](GatewayLimits &l) { l.dispatch.targets.use_migration_headroom = true; }},
        {"pass-on", "requests are not passed on to other instances while no target of their pool can be reached",
         [](GatewayLimits &l) { l.forward.use = false; }},
        {"harmful-parts", "only whole requests, and no parts of their prompts, are quarantined for crashing targets",
         [](GatewayLimits &l) { l.dispatch.quarantine.use_parts = false; }},
        {"backups", "switched on: copies of all long runs are kept at other engines", [](GatewayLimits &l) { l.backup.use = true; }},
};

std::span<const FeatureSwitch> FeatureSwitches()
{
	return SWITCHES;
}

Result<void> ApplySwitches(std::string_view names, GatewayLimits &limits)
{
	while (!names.empty()) {
		std::string_view name = names.substr(0, names.find(','));
		names.remove_prefix(std::min(names.size(), name.size() + 1));
		auto found =
		        std::find_if(std::begin(SWITCHES), std::end(SWITCHES), [&](const FeatureSwitch &feature) { return feature.name == name; });
		if (found == std::end(SWITCHES)) {
			return Error{Step::Settings, "--switch", "'" + std::string(name) + "' is not a known feature; --switch=help lists them"};
		};
		found->apply(limits);
	}
	return outcome::success();
}

} // namespace cottonspool
