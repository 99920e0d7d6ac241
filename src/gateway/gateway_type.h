/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_type.h Limits of a gateway, and one request as it is served. */

#pragma once

#include "decision/backup_choice.h"
#include "decision/dispatcher.h"
#include "decision/forward_choice.h"
#include "decision/memory_budget.h"
#include "decision/migration_schedule.h"
#include "decision/pool_reachability.h"
#include "decision/route_table.h"
#include "decision/speed_probes.h"
#include "decision/target_registry.h"
#include "gateway/crash_records.h"
#include "gateway/peer_exchange.h"
#include "platform/wire_request.h"
#include "store/table_watch.h"

namespace cottonspool {

/** Timeouts and limits of a gateway. */
struct GatewayLimits {
	Duration tick = std::chrono::milliseconds(25);        ///< Interval of the main timer; timeouts are noticed at most this late.
	Duration suspend_threshold = std::chrono::seconds(1); ///< Time without a tick after which the process counts as having been suspended.
	/** Interval at which an engine's load report is fetched, by one instance for all. */
	Duration report_poll_interval = std::chrono::milliseconds(600);
	/** The same while the store is unavailable, when only reports tell which engines drain. */
	Duration report_poll_interval_store_down = std::chrono::milliseconds(200);
	Duration target_scan_interval = std::chrono::milliseconds(100); ///< Interval between scans of all targets; there may be thousands.
	/** Assumed age of a report on arrival, as the operators of the engines state it. */
	Duration report_age = std::chrono::milliseconds(400);
	/**
	 * Assumed age of another hall's load figures: up to two publishing periods, as they include calls that this hall announced before.
	 */
	Duration hall_load_age = std::chrono::milliseconds(450);
	Duration report_timeout = std::chrono::milliseconds(800); ///< Time after which fetching a report is abandoned.
	/** Timeout for connecting to a target; shorter than the retransmission of a lost packet. */
	Duration connect = std::chrono::milliseconds(150);
	double queue_wait_fraction = 0.22; ///< Fraction of the latency objective that a request may wait in the queue before it is rejected.
	double overcommit_fraction = 0.08; ///< Fraction of the latency objective after which a request goes to a target without headroom.
	Duration answer_margin = std::chrono::milliseconds(30); ///< Time before a request's deadline at which the final answer is given.
	/** Longest idle time of a reused connection for requests that may run only once; a stale connection could lose such a request. */
	Duration single_run_max_idle = std::chrono::milliseconds(1500);
	size_t max_buffered_answer_bytes = 8U << 20; ///< Answers of plain services up to this size are buffered completely before they are
	                                             ///< forwarded; failures may not exceed it.
	/** Time for which an instance that stops keeps running after it failed readiness, even without requests. */
	Duration drain_delay = std::chrono::milliseconds(2600);
	/** Time before the platform kills the process at which the remaining requests are aborted. */
	Duration kill_margin = std::chrono::milliseconds(250);
	MigrationScheduleLimits migration;                                 ///< When copies of runs that migrate are requested.
	Duration migration_min_remaining = std::chrono::milliseconds(300); ///< Runs that are expected to finish sooner are not migrated.
	Duration migration_stop_timeout = std::chrono::milliseconds(800);  ///< Time within which an engine says that it stopped a run.
	/** Time after the drain notice in which a stopped run may return to the draining engine if the new one rejects it. */
	Duration return_to_source_window = std::chrono::seconds(1);
	/** Fraction of the expected wait for the engine's network link after which a copy is requested, so that the link never idles. */
	double copy_lead_fraction = 0.9;
	double report_takeover_periods =
	        2.2; ///< Report intervals without a report from peers after which this instance fetches the report itself.
	Duration liveness_timeout = std::chrono::milliseconds(300); ///< Timeout of a liveness probe.
	Duration crash_suspect_window = std::chrono::seconds(2); ///< Time after its start in which a run may have caused a crash of its engine.
	Duration survival_period = std::chrono::seconds(1);      ///< Time for which a target has to live on after a complete answer.
	CrashRecordLimits crash_record_limits;                   ///< Writing of crash records.
	/** Following the table of crash records; it is read together with the table of targets. */
	WatchLimits crash_table_watch{.wait = std::chrono::seconds(10)};
	ExchangeLimits exchange; ///< Exchange with other instances.
	/** Fraction of the objective for the gap between tokens after which a silent engine is abandoned, if a copy of the run exists. */
	double silence_fraction = 0.72;
	/** Engines in the local hall from which its instances use only these and exchange updates only inside the hall. */
	size_t hall_scope_enter_engines = 8;
	size_t hall_scope_leave_engines = 4; ///< Engines in the local hall below which that ends; lower, as hysteresis.
	/** Pressure by which a target in another hall has to be better, as a network partition cuts off what runs there. */
	double other_hall_penalty = 1.2;
	bool use_migration = true;        ///< Migrate runs away from draining engines.
	bool count_pending_copies = true; ///< Count the memory of a copy in progress at the engine that receives it.
	bool use_drain_notice = true;     ///< Use the drain notice in an engine's own report.
	bool use_target_speeds = true;    ///< Use and share the speeds that targets state, and probe for them.
	SpeedProbeLimits speed_probes;    ///< Probes for the speed of targets.
	/** Timeout of such a probe, shorter than the interval between two. */
	Duration speed_probe_timeout = std::chrono::milliseconds(600);
	double retry_slack = 50;              ///< Retries beyond the ratio to requests that all instances together may make.
	ReachLimits reach;                    ///< Detection of pools that cannot be reached.
	ForwardLimits forward;                ///< Passing requests on to other instances.
	MemoryLimits memory;                  ///< Bytes held for callers and targets that read slowly.
	BackupRules backup;                   ///< Copies of runs at other engines.
	DispatchLimits dispatch;              ///< Dispatching of requests.
	HeadroomRules router;                 ///< Choice of a target by headroom.
	RegistryLimits registry;              ///< Registry of targets.
	WatchLimits watch{.keep_rows = true}; ///< Following the tables of the store.
};

/** One request as it is served. */
struct RelayRequest {
	RequestInfo info;            ///< What the request's headers say.
	Route route;                 ///< Route that was in force when the request arrived.
	std::string pool;            ///< Pool that was chosen.
	std::string account;         ///< Client account; empty for none.
	EnginePool engines;          ///< Properties of the pool's engines; unused for a plain service.
	bool can_back_up = false;    ///< Whether a copy of its run can be kept at another engine.
	int priority_level = 0;      ///< Priority; 0 goes first.
	CallSpec spec;               ///< The request as the dispatcher sees it.
	TimePoint response_deadline; ///< Latest time for the final answer.
	std::string passed_by;       ///< Instance that passed the request on; empty if it came from its caller.
};

struct NodeSettings;

/** @return The limits of an instance with \a settings. */
GatewayLimits GatewayLimitsFor(const NodeSettings &settings);

} // namespace cottonspool
