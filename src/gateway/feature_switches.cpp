/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file feature_switches.cpp Mechanisms that can be switched one by one. */

#include "gateway/feature_switches.h"
#include <algorithm>
#include <limits>

namespace cottonspool {

/** The mechanisms; all are on unless the effect says that it is switched on. */
static constexpr FeatureSwitch SWITCHES[] = {
        {"moves", "a run stays at an engine that leaves", [](GatewayLimits &l) { l.use_migration = false; }},
        {"copies-in-turn", "copies of runs that leave an engine together are asked for at once",
         [](GatewayLimits &l) { l.copy_lead_fraction = 0; }},
        {"own-hall-first", "the own hall's targets are not preferred", [](GatewayLimits &l) { l.other_hall_penalty = 0; }},
        {"room", "a call does not wait for room at an engine", [](GatewayLimits &l) { l.router.use_headroom = false; }},
        {"first-token", "the wait for the first token is not looked at", [](GatewayLimits &l) { l.router.use_first_token = false; }},
        {"cached-prefix", "a cached beginning of the prompt is not looked at", [](GatewayLimits &l) { l.router.use_prefix = false; }},
        {"interval", "the time between tokens is not looked at", [](GatewayLimits &l) { l.router.use_interval = false; }},
        {"room-binds", "generations go to engines without room, up to a bound", [](GatewayLimits &l) { l.router.use_overcommit = true; }},
        {"growth-kept", "switched on: the room kept for growth is adapted to preemptions that reports tell",
         [](GatewayLimits &l) { l.dispatch.targets.use_growth_feedback = true; }},
        {"pressing", "no plain call goes to a service without room",
         [](GatewayLimits &l) { l.overcommit_fraction = std::numeric_limits<double>::infinity(); }},
        {"learned-lengths", "expected lengths are not learned", [](GatewayLimits &l) { l.dispatch.lengths.learn = false; }},
        {"retry-failed", "a repeatable call that failed at a target is not sent to another",
         [](GatewayLimits &l) { l.dispatch.retry_failed = false; }},
        {"ejection", "targets that fail in a row are not ejected",
         [](GatewayLimits &l) { l.dispatch.targets.eject_failures = std::numeric_limits<uint32_t>::max(); }},
        {"early-refusal", "a call is not refused before its wait is over", [](GatewayLimits &l) { l.dispatch.refuse_early = false; }},
        {"peer-news", "instances do not tell each other of their calls", [](GatewayLimits &l) { l.exchange.publish_calls = false; }},
        {"shared-reports", "each instance reads each engine's reports", [](GatewayLimits &l) { l.exchange.share_reports = false; }},
        {"hall-scope", "news go to the instances of all halls",
         [](GatewayLimits &l) { l.hall_scope_enter_engines = std::numeric_limits<size_t>::max(); }},
        {"hall-load", "halls don't tell each other the load of their targets",
         [](GatewayLimits &l) { l.exchange.publish_hall_load = false; }},
        {"fresh-connection", "calls that run once use connections that have rested",
         [](GatewayLimits &l) { l.single_run_max_idle = std::chrono::hours(1); }},
        {"own-notice", "an engine's notice in its own report is not looked at", [](GatewayLimits &l) { l.use_drain_notice = false; }},
        {"lapse-grace", "rows that lapsed while the store was away count as departures",
         [](GatewayLimits &l) {
	         l.registry.expiry_grace = Duration(0);
	         l.registry.mass_expiry_min_rows = std::numeric_limits<size_t>::max();
         }},
        {"copy-room", "what a copy under way takes at its engine is not counted", [](GatewayLimits &l) { l.count_pending_copies = false; }},
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
		auto found = std::find_if(std::begin(SWITCHES), std::end(SWITCHES), [&](const FeatureSwitch &rule) { return rule.name == name; });
		if (found == std::end(SWITCHES)) {
			return Error{Step::Settings, "--switch", "'" + std::string(name) + "' is no mechanism; --switch=help lists them"};
		};
		found->apply(limits);
	}
	return outcome::success();
}

} // namespace cottonspool
