/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway.h One instance on the operators' platform: connects sockets, timers and the store to the decisions. */

#pragma once

#include "core/name_table.h"
#include "decision/arrival_counter.h"
#include "decision/decision_executor.h"
#include "decision/placement_table.h"
#include "gateway/crash_records.h"
#include "gateway/crash_watch.h"
#include "gateway/held_memory.h"
#include "gateway/peer_exchange.h"
#include "gateway/reach_monitor.h"
#include "gateway/relay_call.h"
#include "gateway/survival_watch.h"
#include "metrics/metrics.h"
#include "platform/node_settings.h"
#include "platform/wire_engine.h"
#include "platform/wire_store.h"
#include <pcg_random.hpp>

namespace cottonspool {

/** Another instance that accepts requests. */
struct InstanceAddress {
	std::string name;
	Endpoint address;
};

/** One instance on the platform. All its work runs on the thread of one event loop. */
class Gateway {
public:
	Gateway(uv_loop_s *loop, NodeSettings settings, std::string settings_path, GatewayLimits limits);
	~Gateway();
	Gateway(const Gateway &) = delete;
	Gateway &operator=(const Gateway &) = delete;

	/** Start listening and reading the store; requests are served once a configuration is known. */
	Result<void> Start();

	/** Start to stop: fail readiness, finish what is in flight, then end the event loop. A second call ends it at once. */
	void Stop();

	/** Read the settings file again. */
	void Reload();

	/** Execute decisions of the dispatcher. */
	void Execute(Decisions decisions);

	/** Remove \a call, which has got its final answer. */
	void OnCallFinished(CallId call);

	/** Apply the load and the signals in the head of \a target's answer to \a request, which was sent at \a requested_at. */
	void OnAnswerHead(const RelayRequest &request, TargetNumber target, const AnswerInfo &answer, TimePoint requested_at);

	/** Publish that a generation of this instance runs at \a target, or has advanced there. @param at_once Don't wait for a batch. */
	void OnCallProgress(const RelayRequest &request, TargetNumber target, bool at_once);

	/**
	 * Count the memory of \a request's run at \a target, to which it is being copied, here and at the peers.
	 * Without this, all runs that leave an engine at the same time would choose the same new engine.
	 */
	void OnCopyStarted(const RelayRequest &request, TargetNumber target);

	/** Stop counting the copy, which was used or abandoned. */
	void OnCopyFinished(const RelayRequest &request, TargetNumber target);

	/** Publish that a generation of this instance is at no target for now. */
	void OnCallUnassigned(CallId call) { this->peers.PublishCallEnded(call); }

	/** @return The account of \a request, to be published to peers; nothing without client accounts, or if their shares are not in use. */
	std::optional<std::string> SharedAccountOf(const RelayRequest &request) const;

	/** @return Halls in which the run of \a request may continue under the configuration in force. */
	std::vector<HallPreference> HallsFor(const RelayRequest &request) const;

	/** \a target interrupted the send of \a request, which had progressed to \a stage. */
	void OnSendInterrupted(const RelayRequest &request, TargetNumber target, RunStage stage, TimePoint now);

	/** The send of \a request to \a target was cancelled, as its caller disconnected. */
	void OnSendCancelled(const RelayRequest &request, TargetNumber target, RunStage stage, TimePoint now);

	/** The run of \a request succeeded: clear it of crashes that happened under it. */
	void OnAnsweredSuccessfully(const RelayRequest &request);

	/** Log why \a request is quarantined. */
	void LogQuarantined(const RelayRequest &request);

	/** \a target has answered \a request, sent at \a sent_at, completely; that speaks for its parts if the target lives on. */
	void OnRunEnded(const RelayRequest &request, TargetNumber target, TimePoint sent_at);

	/** A request with \a features, sent at \a sent_at, has not crashed its target. */
	void OnRunSurvived(const RequestFeatures &features, TimePoint sent_at);

	/** @return Whether no target of the pool of \a request can be reached from here. */
	bool IsPoolLost(const RelayRequest &request) const;

	/** @return Whether that is so, or is being found out. */
	bool IsPoolDoubted(const RelayRequest &request) const;

	/** No connection to \a target could be established. */
	void OnTargetUnreachable(TargetNumber target);

	/** Bytes of a target's answer to \a request have arrived. */
	void OnTargetAnswered(const RelayRequest &request) { this->reach.OnAnswer(request.spec.model, MonotonicNow()); }

	/** \a target has not answered for a while. */
	void OnTargetSilent(TargetNumber target);

	/** @return An instance to pass \a request on to, which counts as passed to it; nothing if none may take it. */
	std::optional<InstanceAddress> ChooseInstance(const RelayRequest &request, const std::vector<std::string> &refused_by, TimePoint now);

	/** \a request is no longer at \a instance. */
	void OnPassEnded(const RelayRequest &request, const std::string &instance, ForwardResult result);

	/** @return Retry-After for a request that no instance can serve. */
	Duration PoolLostRetryAfter(const RelayRequest &request);

	/** @return The name of this instance. */
	const std::string &Name() const { return this->settings.name; }

	/** @return The version of the configuration in force. */
	uint64_t ConfigurationVersion() const { return this->routes.Configuration().version; }

	/** @return Name and incarnation of \a target. */
	const TargetIncarnation &IncarnationOf(TargetNumber target) const { return this->records[target.value].incarnation; }

	/** @return The address of \a target. */
	const Endpoint &AddressOf(TargetNumber target) const { return this->records[target.value].address; }

	/** @return Whether a request may still be sent to \a target, which may have left some time after the store acknowledged that. */
	bool MaySendTo(TargetNumber target, TimePoint now) const { return now < this->records[target.value].last_send; }

	/** @return The limits on callers that are in force. */
	const FrontLimits &ActiveFrontLimits() const { return this->front.limits; }

	/** @return Requests aborted by the end of the process. */
	size_t AbortedCalls() const { return this->aborted_calls; }

	GatewayLimits limits;  ///< Timeouts and limits.
	HttpUpstream upstream; ///< HTTP client for the targets and the store.
	Metrics metrics;
	Dispatcher dispatcher;

private:
	/** Record the crash that \a check has found, or drop the suspicion. */
	void OnCrashChecked(const CrashCheck &check);
	/** Apply changes of the table of crash records to the quarantine. */
	void OnCrashRecords(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint now);
	/** Another instance has found that \a feature did not cause \a crashes by itself. */
	void OnFeatureCleared(const RequestFeature &feature, const std::vector<CrashRecord> &crashes);
	/** Another instance has found that requests with all of \a features crash their targets, or this was \a removed from the table. */
	void OnHarmfulReported(const FeatureList &features, bool removed);
	/** Log and apply changes of what is quarantined. */
	void OnQuarantineChanged(TimePoint now);
	/** Take back quarantined requests that have not run for long. */
	void CancelQuarantined();
	/** Write pending crash records, and remove expired ones. */
	void ExpireCrashRecords(TimePoint now);
	/** Apply a report that a peer has fetched. */
	void OnPeerReport(const ReportUpdate &update);
	/** Log \a report beside the load that was estimated before. */
	void LogReport(TargetNumber target, const LoadReport &report);
	/** Apply the load of another hall's targets. */
	void OnHallLoad(const HallLoadMessage &message);
	/** Apply a report that was made about \a age ago. */
	void ApplyReport(TargetNumber target, LoadReport report, Duration age);
	/** What the gateway stores about one target beside what the dispatcher does. */
	struct TargetRecord {
		Endpoint address;
		std::string pool;
		TargetIncarnation incarnation;
		bool engine = false;                    ///< Whether it is an engine, which has load reports.
		TimePoint last_send = TimePoint::max(); ///< Last time at which a request may be sent to it, as it leaves.
		uint64_t reports = 0;                   ///< Reports applied so far.
		TimePoint next_report;                  ///< When to fetch the next report.
		TimePoint idle_at;                      ///< When it was last known to be idle.
		TimePoint reported_at;                  ///< When the last report arrived, fetched here or by a peer.
		TimePoint report_deadline;              ///< When the fetch in progress times out.
		uint64_t report_call = 0;               ///< Fetch in progress; 0 for none.
		TargetSignals signals;                  ///< Its signals, as last logged.
		TimePoint signals_logged_at;
		std::optional<double> factor_as_logged; ///< Its time factor, as last logged.
		bool limited_as_logged = false;         ///< Whether the last logged change set a rate limit, rather than removed it.
		TimePoint limit_logged_at;
	};

	/** Apply the load that a plain service sends with its answers. */
	void OnLoadHeader(TargetNumber target, const TargetLoad &load);
	/** The target incarnation \a target has announced that it drains. @param source Where the notice came from, for logs. */
	void OnTargetDrainNotice(const std::string &target, const char *source, TimePoint now);
	/** The rate limit of \a target has changed, according to the answer to a request sent at \a requested_at. @param source As for logs. */
	void OnLimitChanged(TargetNumber target, const char *source, TimePoint requested_at, TimePoint now);
	/** \a target has become brittle, is so no longer, or bears another number of refusals. */
	void OnBrittleChanged(TargetNumber target, TimePoint now);
	/** Recompute this instance's share of the refusals that the brittle \a target bears. */
	void UpdateRefusalShare(TargetNumber target, TimePoint now);
	/** Apply what another instance has learned from a target. */
	void OnPeerSignals(const TargetSignalUpdate &update);
	/** Apply the time factor that \a target stated to this instance. @param source As for logs: answer or probe. */
	void OnTimeFactor(TargetNumber target, double factor, const char *source, TimePoint now);
	/** Apply the time factor in \a update, if there is one. */
	void OnPeerTimeFactor(const TargetSignalUpdate &update, TimePoint now);
	/** @return The time factors of all usable targets of known speed. */
	std::vector<TargetSignalUpdate> KnownSpeeds(TimePoint now) const;
	/** Probe the targets whose speed this instance has to find out, and abandon late probes. */
	void ProbeSpeeds(TimePoint now);
	/** Ask \a target for its speed. */
	void ProbeSpeed(TargetNumber target, TimePoint now);
	/** Log the speed of \a target if it is new or has changed. */
	void LogSpeed(TargetNumber target, const char *source, TimePoint now);
	/** @return Number of usable targets of known speed. */
	size_t TargetsWithSpeed(TimePoint now) const;
	/** @return The state of the rate limit of \a target, for the peers. */
	TargetSignalUpdate LimitUpdateOf(TargetNumber target, TimePoint now) const;
	/** @return All rate limits, drain notices and speeds known here, for an instance that has just connected. */
	std::vector<TargetSignalUpdate> KnownSignals(TimePoint now) const;
	/** @return Names of the instances that share the rate limits of targets in \a hall; see PeerExchange::SharersOf(). */
	const std::vector<std::string> &SharersOf(const std::string &hall);
	/**
	 * @return Whether this instance has restarted so recently that what its former incarnation has used of a budget that all instances
	 *         divide may still count; it uses none of the budget until then.
	 * @param counts_for Time for which a use of the budget counts.
	 */
	bool HasJustStarted(Duration counts_for, TimePoint now) const;
	/**
	 * @return The share of this instance in the \a limit of \a target, which \a sharers divide.
	 * @param lent_for Time for which shares of this limit are lent to other instances.
	 */
	RateShare ShareOf(const std::string &target, RateLimit limit, const std::vector<std::string> &sharers, Duration lent_for,
	                  TimePoint now) const;
	/** Recompute this instance's shares of what cold targets bear, and forget those that are cold no longer. */
	void RefreshColdShares(TimePoint now);
	/** @return This instance's share of what the cold target \a number, of \a pool, bears. */
	RateShare ColdShareOf(TargetNumber number, const Pool &pool, TimePoint now) const;
	/** Recompute this instance's share of the rate limit of \a target. */
	void UpdateLimitShare(TargetNumber target, TimePoint now);
	/** Request leases of the rate limit of \a target from its other sharers, as far as callers here need more. */
	void RequestLeases(TargetNumber target, TimePoint now);
	/** Answer another instance's request for a part of this one's share. @return The part granted. */
	uint32_t OnLeaseRequest(const LeaseRequestMessage &request);
	/** Apply the answer to a lease request. */
	void OnLeaseGrant(const LeaseGrantMessage &grant);
	/** Recompute the shares of all rate limits, as the set of instances may have changed. */
	void RefreshLimits(TimePoint now);
	/** Limit accounts to their shares only while the calls of most peers are known. */
	void UpdateShareView();
	/** Log the accounts that have gone above or below their share. */
	void LogShareChanges();
	/** Log the signals in \a target's answer to \a request if they are new. */
	void LogSignals(const RelayRequest &request, TargetNumber target, const TargetSignals &signals, TimePoint now);

	/** Serve \a request of a caller, or of another instance that passes it on. */
	void HandleRequest(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request);
	/** Serve a request that another instance passes on. */
	void HandleForwarded(const std::shared_ptr<FrontExchange> &exchange);
	/** @return The pool of \a target. */
	ModelNumber PoolOf(TargetNumber target);
	/** @return The targets in use of \a pool. */
	std::vector<ReachTarget> ReachTargets(ModelNumber pool) const;
	/** \a pool is lost, or reachable again after \a lost_for. */
	void OnReachChanged(ModelNumber pool, bool lost, Duration lost_for);
	/** Answer a readiness probe. */
	void HandleReady(const std::shared_ptr<FrontExchange> &exchange);
	/** Answer with the metrics. */
	void HandleMetrics(const std::shared_ptr<FrontExchange> &exchange);
	/** Reject a request before it reaches the dispatcher. */
	void Reject(const std::shared_ptr<FrontExchange> &exchange, const RelayRequest &request, int status, const char *reason,
	            std::optional<Duration> retry_after);
	/** Find route, account and pool of \a request. @return False if it was rejected. */
	bool Admit(const std::shared_ptr<FrontExchange> &exchange, RelayRequest *request);
	/** Fill in what the dispatcher has to know of \a request. */
	void FillCallSpec(RelayRequest *request, TimePoint now);
	/** Start to serve an admitted request. */
	void Begin(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request);

	/** Connect the tables of the store to their handlers; reading starts with StartTables(). */
	void WatchStore();
	/** Set the handlers for the operators' table: configurations and evacuated halls. */
	void FollowConfiguration();
	/** Set the handlers for the table of targets. */
	void FollowTargets();
	/** Set the handlers for the exchange with other instances. */
	void FollowInstances();
	/**
	 * Log when \a watch finds the store unavailable, available, outdated or restored.
	 * @param table Name of the table in logs.
	 * @param on_store_restored Called when the store has been restored from a backup, before the next snapshot of the table.
	 */
	void LogStoreState(TableWatch &watch, const char *table, std::function<void(TimePoint)> on_store_restored);
	/** Apply rows of the operators' table. @param is_snapshot Whether they are all rows, rather than changes. */
	void OnOperatorRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now);
	/** Apply the newest configuration in \a rows. */
	void OnConfigurationRows(const std::vector<StoredRow> &rows);
	/** Apply rows that list evacuated halls. */
	void OnEvacuationRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now);
	/** Update which halls are evacuated; that also changes with time. */
	void RefreshEvacuated(TimePoint now);
	/** Treat the targets of \a hall, which is no longer evacuated, as cold. */
	void OnHallReinstated(const std::string &hall, TimePoint now);
	/** Limit the rate of requests to a cold target for the time \a cold_remaining. */
	void MarkCold(TargetNumber number, const ListedTarget &listed, Duration cold_remaining, TimePoint now);
	/** Update the halls of all requests in progress. */
	void RefreshHalls(TimePoint now);
	/** Put \a configuration in force unless a newer one is. */
	void ApplyConfiguration(ServingConfiguration configuration);
	/** Start to read the tables, from the store or from peers, once it is known how many instances there are. */
	void StartTables(TimePoint now);
	/** The list of instances is complete, or their division into cells has changed. */
	void OnInstancesListed(TimePoint now);
	/** Remove the targets of other cells from \a rows of the table of targets. */
	void SelectTargets(std::vector<StoredRow> &rows, bool is_snapshot);
	/** @return The part of \a limit, a rate for all instances, that belongs to this cell for \a target. */
	RateLimit CellRateLimit(TargetNumber target, RateLimit limit) const;
	/** Apply rows of the table of targets. @param is_snapshot Whether they are all rows, rather than changes. */
	void OnTargetRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now);
	/** Count an unreadable row \a key of the table of targets, and log it once for each cause. */
	void ReportUnreadable(const std::string &key, const Error &error);
	/** Apply changes of the targets in use. */
	void OnTargetEvents(const std::vector<TargetEvent> &events, TimePoint now);
	/** Add or update a target in use. */
	void UseTarget(const ListedTarget &target);
	/** Stop new requests to a target, and migrate runs away from it. */
	void DrainTarget(const TargetEvent &event, TimePoint now);
	/** Log that a target stays usable although its row was removed. */
	void OnTargetKept(const KeptTarget &kept);
	/** Fail the requests at the target incarnation \a name, which has ended. */
	void FailCallsAt(const std::string &name, TimePoint now);
	/** Update all targets in use, as their pools may have changed. */
	void RefreshTargets();
	/** Choose whether updates are exchanged only inside the local hall. */
	void RefreshPeerScope();
	/** Fetch the reports that are due. */
	void PollReports(TimePoint now);
	/** Fetch a report of \a target. */
	void PollReport(TargetNumber target, TimePoint now);
	/** @return The time between two reports of \a target. */
	Duration ReportInterval(const TargetState &target) const;
	/** Update the list of targets whose reports are fetched. */
	void RefreshPolledTargets(TimePoint now);
	/** Apply and publish a report that was fetched here; nothing if that failed. */
	void OnReport(TargetNumber target, const std::optional<EngineReport> &report);

	/** Handle everything that depends on time. */
	void OnTick();
	/** Detect a suspension of the process before anything is decided on outdated data. */
	void CheckSuspension(TimePoint now);
	/** Catch up after a suspension of the process. */
	void OnResumed(Duration suspended_for);
	/** End the event loop once all requests are finished, or abort them shortly before the platform's kill. */
	void AdvanceShutdown(TimePoint now);
	/** @return Whether requests can be served. */
	bool IsReady() const;

	uv_loop_s *loop;
	NodeSettings settings;
	std::string settings_path;                      ///< Path of the settings file.
	WireStore store;                                ///< Client of the platform's store.
	TableWatch configuration_watch;                 ///< Follows the configuration.
	TableWatch target_watch;                        ///< Follows the targets.
	RouteTable routes;                              ///< Configuration in force.
	PlacementTable placement;                       ///< Halls, their regions, and which of them are evacuated.
	std::set<std::string> evacuated;                ///< Evacuated halls, as of the last update.
	TargetRegistry registry;                        ///< Targets as listed in the store.
	TargetDivision division;                        ///< Which targets belong to this instance's cell.
	uint32_t cells = 1;                             ///< Number of cells when the list of targets was last requested.
	bool tables_started = false;                    ///< Whether reading the tables has started.
	std::vector<TargetRecord> records;              ///< Targets by number.
	std::map<std::string, ListedTarget> usable;     ///< Targets in use by name.
	std::vector<TargetNumber> polled_targets;       ///< Targets whose reports are fetched by the instances of this hall.
	TimePoint polled_at;                            ///< When that list was last updated.
	std::map<std::string, std::string> unreadable;  ///< Unreadable rows, with the error logged last.
	NameTable<ModelNumber> pools;                   ///< Numbers of pools.
	NameTable<AccountNumber> accounts;              ///< Numbers of client accounts.
	std::set<TargetNumber> limited;                 ///< Targets with a rate limit.
	std::set<TargetNumber> brittle;                 ///< Targets that say that they are brittle.
	std::set<TargetNumber> cold;                    ///< Targets in their cold start, with a limited rate.
	std::map<std::string, TimePoint> drain_notices; ///< Target incarnations that announced their draining, with the time of the notice.
	/** A probe for the speed of a target in progress. */
	struct SpeedCall {
		uint64_t call = 0;  ///< Number of the call.
		TimePoint deadline; ///< When it times out.
	};
	SpeedProbes speed_probes;                      ///< Which targets to probe for their speed.
	std::map<TargetNumber, SpeedCall> speed_calls; ///< Probes in progress.
	ArrivalCounter arrivals;                       ///< Recent calls by pool.
	TimePoint started_at;                          ///< When this instance started.
	/** Instances that share the rate limits of a hall's targets; a cache, cleared once a second. */
	std::map<std::string, std::vector<std::string>> sharers;
	TimePoint limits_refreshed_at;
	PeerLoad peer_load;                ///< Calls of other instances.
	HallLoad hall_load;                ///< Load of targets in other halls.
	CrashWatch crash_watch;            ///< Finds out which targets have crashed.
	CrashRecordStore crash_records;    ///< Crash records in the store.
	SurvivalWatch survivals;           ///< Answered requests whose targets may still crash because of them.
	std::set<FeatureList> quarantined; ///< Features of quarantined requests, as last logged.
	TimePoint crash_records_checked_at;
	PeerExchange peers;           ///< Exchange with other instances.
	HttpFront front;              ///< Listener for callers.
	HttpFront forward_front;      ///< Listener for requests that other instances pass on.
	HttpFront readiness;          ///< Listener for the platform's load balancer.
	HttpFront metrics_front;      ///< Listener for metrics.
	ReachMonitor reach;           ///< Which pools can be reached.
	ForwardChoice forward_choice; ///< Instances that requests are passed on to.
	uint32_t forwarded_calls = 0; ///< Requests in progress that other instances passed on.
	HeldMemory held_memory;       ///< Bounds the bytes held for callers and targets that read slowly.
	pcg64 random;
	std::unordered_map<CallId, std::shared_ptr<RelayCall>, StrongIdHash> calls; ///< Requests not yet answered.
	DecisionExecutor<RelayCall> executor{this->calls};                          ///< Passes decisions to them.
	uint64_t next_call = 1;                                                     ///< Number of the next request.
	bool stopping = false;                                                      ///< Whether Stop() was called.
	TimePoint stop_started;
	TimePoint last_tick_at; ///< Time of the last tick.
	TimePoint next_target_scan;
	TimePoint settings_checked;
	std::string settings_text; ///< Content of the settings file when it was last read.
	size_t aborted_calls = 0;  ///< Requests aborted by the end of the process.
	struct Timer;
	std::unique_ptr<Timer> timer; ///< Timer of the ticks.
};

} // namespace cottonspool
