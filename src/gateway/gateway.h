/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway.h One instance on the operators' platform: the loop's shells around the decisions. */

#pragma once

#include "core/name_table.h"
#include "decision/arrival_counter.h"
#include "decision/decision_executor.h"
#include "decision/placement_table.h"
#include "gateway/crash_records.h"
#include "gateway/crash_watch.h"
#include "gateway/peer_exchange.h"
#include "gateway/relay_call.h"
#include "metrics/metrics.h"
#include "platform/node_settings.h"
#include "platform/wire_engine.h"
#include "platform/wire_store.h"
#include <pcg_random.hpp>

namespace cottonspool {

/** One instance on the platform. All its work is done on one loop's thread. */
class Gateway {
public:
	Gateway(uv_loop_s *loop, NodeSettings settings, std::string settings_path, GatewayLimits limits);
	~Gateway();
	Gateway(const Gateway &) = delete;
	Gateway &operator=(const Gateway &) = delete;

	/** Listen, begin to read the store, serve once a configuration is known. */
	Result<void> Start();

	/** Begin to stop: fail readiness, finish what is in flight, then end the loop. A second call ends at once. */
	void Stop();

	/** The settings file may have changed: read it again. */
	void Reload();

	/** Carry out decisions of the dispatcher. */
	void Execute(Decisions decisions);

	/** The final answer of \a call has been given. */
	void OnCallFinished(CallId call);

	/** \a target's answer to \a request, which was asked at \a asked, begins: take in what it says of its load and of itself. */
	void OnAnswerHead(const RelayRequest &request, TargetNumber target, const AnswerInfo &answer, TimePoint asked);

	/** A generation of this instance is at \a target, or is further on there. */
	void OnCallProgress(const RelayRequest &request, TargetNumber target, bool at_once);

	/**
	 * The memory of \a request's run is being copied to \a target: what it takes there counts, here and at the peers. All runs that
	 * leave an engine together chose the engine that looked emptiest until the first of them had gone on there, and made it preempt.
	 */
	void OnCopyStarted(const RelayRequest &request, TargetNumber target);

	/** The copy is used, or was given up. */
	void OnCopyFinished(const RelayRequest &request, TargetNumber target);

	/** A generation of this instance is at no target for now. */
	void OnCallUnassigned(CallId call) { this->peers.PublishCallEnded(call); }

	/** @return Halls in which the run of \a request may go on under the configuration in force. */
	std::vector<HallPreference> HallsFor(const RelayRequest &request) const;

	/** \a target broke off the send of \a request, with which it had come as far as \a stage. */
	void OnSendInterrupted(const RelayRequest &request, TargetNumber target, RunStage stage, TimePoint now);

	/** The send of \a request to \a target was taken back, as its caller left. */
	void OnSendCancelled(const RelayRequest &request, TargetNumber target, RunStage stage, TimePoint now);

	/** The run of \a request ended well: it is not what ended the targets that ended under it. */
	void OnAnsweredSuccessfully(const RelayRequest &request);

	/** @return Which life of which target \a target is. */
	const TargetIncarnation &IncarnationOf(TargetNumber target) const { return this->records[target.value].incarnation; }

	/** @return Where \a target is. */
	const Endpoint &AddressOf(TargetNumber target) const { return this->records[target.value].address; }

	/** @return Limits on callers that are in force. */
	const FrontLimits &ActiveFrontLimits() const { return this->front.limits; }

	/** @return Requests cut by the end of the process. */
	size_t AbortedCalls() const { return this->aborted_calls; }

	GatewayLimits limits;  ///< Times and bounds.
	HttpUpstream upstream; ///< Calls to targets and to the store.
	Metrics metrics;       ///< Figures.
	Dispatcher dispatcher; ///< Decisions.

private:
	void OnCrashChecked(const CrashCheck &check);
	void OnCrashRecords(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint now);
	void OnQuarantineChanged(TimePoint now);
	void ExpireCrashRecords(TimePoint now);
	void OnPeerReport(const ReportUpdate &news);
	void LogReport(TargetNumber target, const LoadReport &report);
	void OnHallLoad(const HallLoadMessage &message);
	void ApplyReport(TargetNumber target, LoadReport report, Duration age);
	/** What the gateway keeps of one target beside what the dispatcher knows. */
	struct TargetRecord {
		Endpoint address;               ///< Where it is.
		std::string pool;               ///< Its pool.
		TargetIncarnation incarnation;  ///< Which life of which target it is.
		bool engine = false;            ///< It tells reports.
		uint64_t reports = 0;           ///< Reports taken in.
		TimePoint next_report;          ///< When the next one is asked for.
		TimePoint idle_at;              ///< When nothing was last known to be there.
		TimePoint reported_at;          ///< When the last one came, read here or by a peer.
		TimePoint report_timeout;       ///< When the one under way is given up.
		uint64_t report_call = 0;       ///< Call under way; 0 for none.
		TargetSignals signals;          ///< What it said of itself, as logged last.
		TimePoint signals_logged_at;    ///< When that was.
		bool limited_as_logged = false; ///< A limit of it was logged last, not the end of one.
		TimePoint limit_logged_at;      ///< When that was.
	};

	void OnLoadHeader(TargetNumber target, const TargetLoad &load);
	/** The life \a target of a target has said that it leaves. @param source Who told it. */
	void OnTargetDrainNotice(const std::string &target, const char *source, TimePoint now);
	/** The limit that \a target names has changed, as \a source tells from the answer to a request that was asked at \a asked. */
	void OnLimitChanged(TargetNumber target, const char *source, TimePoint asked, TimePoint now);
	/** Another instance has heard \a news of a target. */
	void OnPeerSignals(const TargetSignalUpdate &news);
	/** @return What the others are to know of the limit of \a target. */
	TargetSignalUpdate LimitUpdateOf(TargetNumber target, TimePoint now) const;
	/** @return What all targets say of themselves by now, for an instance that knows nothing of it. */
	std::vector<TargetSignalUpdate> KnownSignals(TimePoint now) const;
	/** @return Names of the instances that share the limits of targets in \a hall; see PeerExchange::SharersOf(). */
	const std::vector<std::string> &SharersOf(const std::string &hall);
	/**
	 * One that has started among others does not know what its former life has sent, lent and borrowed of a limit: it uses none of it until
	 * all of that counts no more.
	 * @param window Length of the limit's window.
	 */
	bool HasJustStarted(Duration window, TimePoint now) const;
	/** Work out anew this instance's share of the limit that \a target names. */
	void UpdateLimitShare(TargetNumber target, TimePoint now);
	/** Ask others of the target's hall for what its callers here could use of its limit. */
	void RequestLeases(TargetNumber target, TimePoint now);
	/** Another instance asks for a part of this one's share. @return What it gets. */
	uint32_t OnLeaseRequest(const LeaseRequestMessage &ask);
	void OnLeaseGrant(const LeaseGrantMessage &grant);
	/** The instances may have changed: work out anew the shares of all limits. */
	void RefreshLimits(TimePoint now);
	/** Log what \a target says of itself with an answer to \a request, where it says something new. */
	void LogSignals(const RelayRequest &request, TargetNumber target, const TargetSignals &signals, TimePoint now);

	void HandleRequest(const std::shared_ptr<FrontExchange> &exchange);
	void HandleReady(const std::shared_ptr<FrontExchange> &exchange);
	void HandleMetrics(const std::shared_ptr<FrontExchange> &exchange);
	void Reject(const std::shared_ptr<FrontExchange> &exchange, const RequestInfo &info, int status, const char *reason,
	            std::optional<Duration> retry_after);
	bool Admit(const std::shared_ptr<FrontExchange> &exchange, RelayRequest *request);
	void FillCallSpec(RelayRequest *request, TimePoint now);
	void Begin(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request);

	void WatchStore();
	void FollowConfiguration();
	void FollowTargets();
	void FollowInstances();
	/**
	 * Log what \a watch learns of the store itself.
	 * @param table What the table is called in logs.
	 * @param on_store_restored Called when the store has come back from a copy, before the whole table is told.
	 */
	void LogStoreState(TableWatch &watch, const char *table, std::function<void(TimePoint)> on_store_restored);
	void OnOperatorRows(const std::vector<StoredRow> &rows, bool all, TimePoint now);
	void OnConfigurationRows(const std::vector<StoredRow> &rows);
	void OnEvacuationRows(const std::vector<StoredRow> &rows, bool all, TimePoint now);
	/** Which halls are emptied may have changed, also by time alone. */
	void RefreshEvacuated(TimePoint now);
	void OnHallReinstated(const std::string &hall, TimePoint now);
	void MarkCold(TargetNumber number, const ListedTarget &listed, Duration cold_remaining, TimePoint now);
	void RefreshHalls(TimePoint now);
	void ApplyConfiguration(ServingConfiguration configuration);
	/** Begin to read the tables that all instances need, or ask others for them, once it is known how many there are. */
	void StartTables(TimePoint now);
	/** The instances have been listed, or are divided among cells in another way. */
	void OnInstancesListed(TimePoint now);
	/** Take out of \a rows of the list of targets those of other cells. */
	void SelectTargets(std::vector<StoredRow> &rows, bool whole);
	/** @return The part of \a bound, which holds for all instances together, that those of this cell keep to for \a target. */
	RateLimit CellRateLimit(TargetNumber target, RateLimit bound) const;
	void OnTargetRows(const std::vector<StoredRow> &rows, bool all, TimePoint now);
	/** The row \a key of the list of targets could not be read: logged once for each cause, counted each time. */
	void ReportUnreadable(const std::string &key, const Error &error);
	void OnTargetEvents(const std::vector<TargetEvent> &events, TimePoint now);
	void UseTarget(const ListedTarget &target);
	void DrainTarget(const ListedTarget &target, const char *source, TimePoint now);
	/** The life \a name of a target has ended: what was under way there has failed. */
	void FailCallsAt(const std::string &name, TimePoint now);
	void RefreshTargets();
	void RefreshPeerScope();
	void PollReports(TimePoint now);
	void PollReport(TargetNumber target, TimePoint now);
	Duration ReportInterval(const TargetState &target) const;
	/** Find out anew whose reports are asked for. */
	void RefreshPolledTargets(TimePoint now);
	void OnReport(TargetNumber target, const std::optional<EngineReport> &report);

	void OnTick();
	/** The process may have stood still: look at the age of everything before anything is decided. */
	void CheckSuspension(TimePoint now);
	void OnResumed(Duration still);
	void AdvanceShutdown(TimePoint now);
	bool IsReady() const;

	uv_loop_s *loop;                                         ///< Loop.
	NodeSettings settings;                                   ///< Settings.
	std::string settings_path;                               ///< File that they are in.
	WireStore store;                                         ///< Platform's store.
	TableWatch configuration_watch;                          ///< Follows the configuration.
	TableWatch target_watch;                                 ///< Follows the targets.
	RouteTable routes;                                       ///< Configuration in force.
	PlacementTable placement;                                ///< Halls, their regions, those that are emptied.
	std::set<std::string> evacuated;                         ///< Halls that are emptied, as last looked at.
	TargetRegistry registry;                                 ///< Targets as listed.
	TargetDivision division;                                 ///< Which of them this instance's cell knows.
	uint32_t cells = 1;                                      ///< Cells, when the list of targets was last asked for.
	bool tables_begun = false;                               ///< Reading of the tables has begun.
	std::vector<TargetRecord> records;                       ///< Targets by number.
	std::map<std::string, ListedTarget> usable;              ///< Targets in use by name.
	std::vector<TargetNumber> polled_targets;                ///< Targets whose reports instances of this hall ask for.
	TimePoint polled_at;                                     ///< When they were last looked up.
	std::map<std::string, std::string> unreadable;           ///< Rows that could not be read, with the fault told last.
	NameTable<ModelNumber> pools;                            ///< Numbers of pools.
	NameTable<AccountNumber> accounts;                       ///< Numbers of client accounts.
	std::set<TargetNumber> limited;                          ///< Targets that name a limit.
	std::map<std::string, TimePoint> drain_notices;          ///< Lives of targets that said they leave, with when that was heard.
	ArrivalCounter call_meter;                               ///< Calls that came lately, by pool.
	TimePoint started_at;                                    ///< When this instance started.
	std::map<std::string, std::vector<std::string>> sharers; ///< Who shares the limits of a hall's targets, looked up once a second.
	TimePoint limits_refreshed_at;                           ///< When their shares were last worked out.
	PeerLoad peer_load;                                      ///< Calls of other instances.
	HallLoad hall_load;                                      ///< Load of other halls' targets.
	CrashWatch crash_watch;                                  ///< Finds out which targets have ended.
	CrashRecordStore crash_records;                          ///< Ends of targets under requests, in the store.
	std::set<RequestFingerprint> quarantined;                ///< Requests that are not sent, as logged last.
	TimePoint crash_records_checked_at;                      ///< When old ends were last looked for.
	PeerExchange peers;                                      ///< Exchange with other instances.
	HttpFront front;                                         ///< Callers.
	HttpFront readiness;                                     ///< Platform's balancer.
	HttpFront metrics_front;                                 ///< Metrics.
	pcg64 random;                                            ///< Randomness of choices.
	std::unordered_map<CallId, std::shared_ptr<RelayCall>, StrongIdHash> calls; ///< Requests not yet answered.
	DecisionExecutor<RelayCall> carrier{this->calls};                           ///< Hands decisions to them.
	uint64_t next_call = 1;                                                     ///< Number of the next request.
	bool stopping = false;                                                      ///< Stop() was called.
	TimePoint stop_started;                                                     ///< When.
	TimePoint last_tick_at;                                                     ///< When time last passed.
	TimePoint next_target_scan;                                                 ///< When all targets are next looked through.
	TimePoint settings_checked;                                                 ///< When the settings file was last looked at.
	std::string settings_text;                                                  ///< Its content.
	size_t aborted_calls = 0;                                                   ///< Requests cut by the end.
	struct Timer;
	std::unique_ptr<Timer> timer; ///< The tick.
};

} // namespace cottonspool
