/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_type.h Plain types of the gateway: its limits, and one request as it is served. */

#pragma once

#include "decision/backup_choice.h"
#include "decision/dispatcher.h"
#include "decision/route_table.h"
#include "decision/target_registry.h"
#include "gateway/crash_records.h"
#include "gateway/peer_exchange.h"
#include "platform/wire_request.h"
#include "store/table_watch.h"

namespace cottonspool {

/** Times and bounds of a gateway. */
struct GatewayLimits {
	Duration tick = std::chrono::milliseconds(25); ///< Time between ticks; bounds how late a time limit is acted on.
	Duration suspend_threshold =
	        std::chrono::seconds(1); ///< Time without a tick after which the machine was suspended, or the process stood still.
	Duration report_poll_interval = std::chrono::milliseconds(600); ///< Time between reports asked of an engine, by one instance for all.
	Duration report_poll_interval_store_down =
	        std::chrono::milliseconds(200);                         ///< The same while the store is away: only reports tell who leaves.
	Duration target_scan_interval = std::chrono::milliseconds(100); ///< Time between looks through all targets: there may be thousands.
	Duration report_age = std::chrono::milliseconds(400);     ///< Age of a report when it arrives, as the engines' operators state it.
	Duration hall_load_age = std::chrono::milliseconds(450);  ///< Age of what another hall tells of its targets: a call of this hall's is
	                                                          ///< told there and comes back with the sum, each after a period at most.
	Duration report_timeout = std::chrono::milliseconds(800); ///< Time after which a report is not waited for.
	Duration connect = std::chrono::milliseconds(
	        150); ///< Longest time to connect to a target: many round trips; a lost packet is repeated too late to wait for.
	double queue_wait_fraction = 0.22;                      ///< Part of the objective that a request may wait here before it is refused.
	double overcommit_fraction = 0.08;                      ///< Part of the objective after which a request goes to a target without room.
	Duration answer_margin = std::chrono::milliseconds(30); ///< Time before a limit at which the final answer is given.
	Duration single_run_max_idle =
	        std::chrono::milliseconds(1500); ///< Longest rest of a connection for a request that may run once: a stale one would cost it.
	size_t max_buffered_answer_bytes = 8U << 20;            ///< Answers of plain services up to this size are held until whole.
	Duration drain_delay = std::chrono::milliseconds(2600); ///< Time between failing readiness and ending while nothing is left to do.
	Duration kill_margin = std::chrono::milliseconds(250);  ///< Time before the platform's kill at which what is left is cut.
	Duration migration_retry_delay = std::chrono::milliseconds(60);    ///< Pause before a move that was refused is tried again.
	Duration migration_min_remaining = std::chrono::milliseconds(300); ///< Runs that are expected to end sooner stay where they are.
	double copy_lead_fraction =
	        0.9; ///< Part of the expected wait for the link after which a copy is asked for, so that the link never rests.
	double report_takeover_periods = 2.2; ///< Times between reports after which one that a peer should have told is read here.
	Duration liveness_timeout = std::chrono::milliseconds(300); ///< Longest wait for a sign of life of a target that broke a send off.
	Duration crash_suspect_window = std::chrono::seconds(2);    ///< Time for which a run that has begun may still be what ends its engine.
	CrashRecordLimits crash_record_limits;                      ///< Writing of ends of targets under requests.
	WatchLimits crash_table_watch{
	        .wait = std::chrono::seconds(10)}; ///< Following them: whoever follows the targets does, at the least cost.
	ExchangeLimits exchange;                   ///< Exchange with other instances.
	double silence_fraction = 0.72; ///< Part of the longest good pause after which a silent engine is taken for lost, if there is a copy.
	size_t hall_scope_enter_engines = 8; ///< Engines in the own hall from which its instances keep to them and to each other.
	size_t hall_scope_leave_engines = 4; ///< Engines below which they no longer do; lower, so that a few departures change nothing.
	double other_hall_penalty = 1.2;  ///< Pressure by which another hall's target must be better: a cut hall stops what it has elsewhere.
	bool use_migration = true;        ///< Runs move away from engines that leave.
	bool count_pending_copies = true; ///< What a copy under way takes at its engine counts there.
	bool use_drain_notice = true;     ///< An engine's notice in its own report counts.
	double retry_slack = 50;          ///< Retries beyond their share of the requests that all instances together may make.
	BackupRules backup;               ///< Copies of runs.
	DispatchLimits dispatch;          ///< Decisions.
	HeadroomRules router;             ///< Choice of targets.
	RegistryLimits registry;          ///< Targets.
	WatchLimits watch{.keep_rows = true}; ///< Store.
};

/** One request as it is served. */
struct RelayRequest {
	RequestInfo info;            ///< What the caller's fields say.
	Route route;                 ///< Route, as it was in force when the request came.
	std::string pool;            ///< Pool that was drawn.
	std::string account;         ///< Client account; empty for none.
	EnginePool engines;          ///< What is known of the pool's engines; of no use for a plain service.
	bool can_back_up = false;    ///< A copy of its run can be kept at another engine.
	int priority_level = 0;      ///< Order; 0 goes first.
	CallSpec spec;               ///< For the dispatcher.
	TimePoint response_deadline; ///< When the final answer is due at the latest.
};

struct NodeSettings;

/** @return The limits of an instance with \a settings. */
GatewayLimits GatewayLimitsFor(const NodeSettings &settings);

} // namespace cottonspool
