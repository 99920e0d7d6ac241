/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance.h One entry instance: the loop's shells around the decisions. */

#pragma once

#include "decision/decision_executor.h"
#include "http/http_server.h"
#include "instance/call_trace.h"
#include "instance/claim_store.h"
#include "instance/configuration_manager.h"
#include "instance/order_controller.h"
#include "instance/target_poller.h"
#include "metrics/metrics.h"
#include "peer/peer_links.h"
#include "platform/platform_client.h"
#include "policy/policy_engine.h"
#include "settings/settings_type.h"
#include <pcg_random.hpp>

namespace cottonspool {

class Call;

/** One entry instance. All its work is done on one loop's thread. */
class Instance {
public:
	Instance(uv_loop_s *loop, Settings settings);
	~Instance();
	Instance(const Instance &) = delete;
	Instance &operator=(const Instance &) = delete;

	/** Listen, boot the configuration, begin to serve. */
	Result<void> Start();

	/** Begin to stop: fail readiness, finish what is in flight, then end the loop. A second call ends at once. */
	void Stop();

	/** @return Calls cut by the end of the instance. */
	size_t AbortedCalls() const { return this->aborted_calls; }

	/** Carry out decisions of the dispatcher. */
	void Execute(Decisions decisions);

	/** The final answer of \a call has been given. */
	void OnCallFinished(CallId call);

	/** @return Whether the configuration was confirmed recently enough for calls that must not be repeated. */
	bool IsConfigurationFresh() const;

	/** @return A text that no other instance or try has used. */
	std::string NewNonce();

	/** @return The instance's state as JSON, for operators. */
	std::string StatusJson() const;

	Settings settings;                  ///< Settings.
	HttpClient client;                  ///< Calls to other processes.
	NameTable<ModelNumber> models;      ///< Numbers of models and services.
	NameTable<AccountNumber> accounts;  ///< Numbers of client accounts.
	Metrics metrics;                    ///< Figures.
	CallTraceBuffer traces;             ///< Steps of the last calls.
	Dispatcher dispatcher;              ///< Decisions.
	PlatformClient platform;            ///< Platform.
	ClaimStore claims;                  ///< Claims of calls that must not be repeated.
	TargetPoller poller;                ///< Load reports.
	ConfigurationManager configuration; ///< Configuration.

private:
	void Handle(const std::shared_ptr<HttpExchange> &exchange);
	void HandleProbe(const std::shared_ptr<HttpExchange> &exchange);
	void HandleCompletion(const std::shared_ptr<HttpExchange> &exchange);
	void HandleService(const std::shared_ptr<HttpExchange> &exchange);
	void HandleOperator(const std::shared_ptr<HttpExchange> &exchange);
	void HandleApply(const std::shared_ptr<HttpExchange> &exchange);
	void Reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason, const std::string &message);
	const std::pair<const std::string, Versioned<AccountRecord>> *Authenticate(const std::shared_ptr<HttpExchange> &exchange);
	bool FillCallSpec(const std::shared_ptr<HttpExchange> &exchange, const std::string &account, const AccountRecord &record,
	                  CallSpec *spec);
	void ChooseHalls(const std::string &account, const std::string &name, uint64_t draw, CallSpec *spec);
	void Begin(const std::shared_ptr<Call> &call, const std::shared_ptr<HttpExchange> &exchange, const std::string &account);
	Duration WaitLimit(ServiceClass service_class) const;
	std::string RenderMetrics();

	void OnConfigurationChanged(const std::vector<std::string> &entries);
	void OnPeerMessage(const PeerMessage &message, const PeerLinks::Reply &reply);
	void OnHeartbeat(const HeartbeatMessage &message, const PeerLinks::Reply &reply, TimePoint now);
	void OnReport(TargetNumber target, const LoadReport &report);
	void UpdateDraining(TargetNumber target);
	void AddDrainNotice(const DrainingTarget &draining, const char *source);
	void Heartbeat(TimePoint now);
	void ScheduleHeartbeat(TimePoint now);
	Duration HeartbeatInterval() const;
	void PollInstanceList();
	void RunDrainPolicy();
	void OnTick();
	void OnSecondTick(TimePoint now);
	void AdvanceShutdown(TimePoint now);

	uv_loop_s *loop;                                                       ///< Loop.
	HttpServer server;                                                     ///< Callers and operators.
	PolicyEngine policy;                                                   ///< Operators' program.
	std::string policy_program;                                            ///< Program loaded.
	Membership membership;                                                 ///< Other instances, and targets that leave.
	PeerLinks peers;                                                       ///< Links to other instances.
	OrderController orders;                                                ///< Orders to engines.
	pcg64 random;                                                          ///< Randomness of names and choices.
	std::unordered_map<CallId, std::shared_ptr<Call>, StrongIdHash> calls; ///< Calls not yet answered.
	DecisionExecutor<Call> carrier{this->calls};                           ///< Hands decisions to them.
	uint64_t next_call = 1;                                                ///< Number of the next call.
	std::map<uint64_t, TimePoint> heartbeat_times;                         ///< When the last heartbeats were sent, by counter.
	size_t heartbeat_bytes = 0;                                            ///< Size of the last heartbeat.
	std::map<std::string, uint64_t> received_counters;                     ///< Last counter heard directly from each peer.
	std::set<std::string> listed_draining;                                 ///< Targets that the platform's list shows as leaving.
	TimePoint next_heartbeat, next_poll, next_list, next_second, next_call_tick, next_fetch; ///< When each is due.
	bool was_fresh = false;   ///< Configuration was fresh at the last look, for the log.
	bool stopping = false;    ///< Stop() was called.
	TimePoint stop_started;   ///< When.
	bool ready_once = false;  ///< Configuration and targets were known once.
	bool listening = true;    ///< New connections are taken.
	size_t aborted_calls = 0; ///< Calls cut by the end.
	struct Timer;
	std::unique_ptr<Timer> timer; ///< The tick.
};

} // namespace cottonspool
