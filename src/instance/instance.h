/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance.h An entry instance: connects the dispatcher to callers, targets, peers and the platform. */

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

/** One entry instance. Everything runs on the thread of one event loop. */
class Instance {
public:
	Instance(uv_loop_s *loop, Settings settings);
	~Instance();
	Instance(const Instance &) = delete;
	Instance &operator=(const Instance &) = delete;

	/** Listen, load the configuration and begin to serve. */
	Result<void> Start();

	/** Shut down gracefully: fail the readiness probe, finish open calls, then stop the loop. A second call skips the wait. */
	void Stop();

	/** @return Calls still open when the instance stopped. */
	size_t AbortedCalls() const { return this->aborted_calls; }

	/** Execute decisions of the dispatcher. */
	void Execute(Decisions decisions);

	/** Remove \a call, whose final answer was given. */
	void OnCallFinished(CallId call);

	/** @return Whether the configuration was confirmed recently enough to accept calls that must not be repeated. */
	bool IsConfigurationFresh() const;

	/** @return A random string that is unique among all instances. */
	std::string NewNonce();

	/** @return The status of the instance as JSON, for operators. */
	std::string StatusJson() const;

	Settings settings;                  ///< Settings from the file.
	HttpClient client;                  ///< Client for targets and the platform.
	NameTable<ModelNumber> models;      ///< Numbers of models and services.
	NameTable<AccountNumber> accounts;  ///< Numbers of client accounts.
	Metrics metrics;                    ///< Metrics that are exported.
	CallTraceBuffer traces;             ///< Traces of recent calls.
	Dispatcher dispatcher;              ///< Admission, routing and retries.
	PlatformClient platform;            ///< Table, objects and instance list.
	ClaimStore claims;                  ///< Claims of calls with an idempotency key.
	TargetPoller poller;                ///< Poller of load reports.
	ConfigurationManager configuration; ///< Replicated configuration.

private:
	void Handle(const std::shared_ptr<HttpExchange> &exchange);
	void HandleProbe(const std::shared_ptr<HttpExchange> &exchange);
	void HandleCompletion(const std::shared_ptr<HttpExchange> &exchange);
	void HandleService(const std::shared_ptr<HttpExchange> &exchange);
	void HandleOperator(const std::shared_ptr<HttpExchange> &exchange);
	void HandleApply(const std::shared_ptr<HttpExchange> &exchange);
	/** Answer a request that is not admitted as a call. */
	void Reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason, const std::string &message);
	/** @return The caller's account by its key; null if the request was rejected. */
	const std::pair<const std::string, Versioned<AccountRecord>> *Authenticate(const std::shared_ptr<HttpExchange> &exchange);
	/** Set what account and headers say about the call. @return False if the request was rejected. */
	bool FillCallSpec(const std::shared_ptr<HttpExchange> &exchange, const std::string &account, const AccountRecord &record,
	                  CallSpec *spec);
	/** Set the order in which halls are tried: drawn by the weights of the account's share, or the local hall first without a share. */
	void ChooseHalls(const std::string &account, const std::string &name, uint64_t draw, CallSpec *spec);
	/** Register a call and start it. */
	void Begin(const std::shared_ptr<Call> &call, const std::shared_ptr<HttpExchange> &exchange, const std::string &account);
	/** @return The longest queueing time of calls of \a service_class. */
	Duration WaitLimit(ServiceClass service_class) const;
	std::string RenderMetrics();

	void OnConfigurationChanged(const std::vector<std::string> &entries);
	void OnPeerMessage(const PeerMessage &message, const PeerLinks::Reply &reply);
	void OnHeartbeat(const HeartbeatMessage &message, const PeerLinks::Reply &reply, TimePoint now);
	void OnReport(TargetNumber target, const LoadReport &report);
	/** Mark \a target as draining or not, by the configuration, its reports, the platform's list and notices. */
	void UpdateDraining(TargetNumber target);
	/** Record that a target drains, and broadcast it if that is new. */
	void AddDrainNotice(const DrainingTarget &draining, const char *source);
	void Heartbeat(TimePoint now);
	/** Send the next heartbeat soon. */
	void ScheduleHeartbeat(TimePoint now);
	/** @return The heartbeat interval that stays within the bandwidth limit. */
	Duration HeartbeatInterval() const;
	void PollInstanceList();
	/** Drain the targets that the operators' policy selects. */
	void RunDrainPolicy();
	void OnTick();
	/** Do the periodic work that is due once a second. */
	void OnSecondTick(TimePoint now);
	/** Continue a shutdown: close the listener after the notice, and stop the loop when all calls are finished. */
	void AdvanceShutdown(TimePoint now);

	uv_loop_s *loop;                                                       ///< Event loop.
	HttpServer server;                                                     ///< HTTP server for callers and operators.
	PolicyEngine policy;                                                   ///< Runs the operators' policy program.
	std::string policy_program;                                            ///< Source of the loaded program.
	Membership membership;                                                 ///< Other instances and draining targets.
	PeerLinks peers;                                                       ///< Connections to other instances.
	OrderController orders;                                                ///< Orders to the engines of the local hall.
	pcg64 random;                                                          ///< Random numbers for names and choices.
	std::unordered_map<CallId, std::shared_ptr<Call>, StrongIdHash> calls; ///< Open calls.
	DecisionExecutor<Call> executor{this->calls};                          ///< Executes decisions on the open calls.
	uint64_t next_call = 1;                                                ///< Number of the next call.
	std::map<uint64_t, TimePoint> heartbeat_times;                         ///< Send times of recent heartbeats by counter.
	size_t heartbeat_bytes = 0;                                            ///< Size of the last heartbeat, in bytes.
	std::map<std::string, uint64_t> received_counters;                     ///< Last heartbeat counter of each peer, to be echoed.
	std::set<std::string> listed_draining;                                 ///< Targets that the platform lists as draining.
	TimePoint next_heartbeat, next_poll, next_list, next_second, next_call_tick, next_fetch; ///< Due times of periodic work.
	bool was_fresh = false;   ///< Whether the configuration was fresh at the last check, to log transitions.
	bool stopping = false;    ///< Stop() was called; the instance drains.
	TimePoint stop_started;   ///< When the shutdown began.
	bool ready_once = false;  ///< The readiness condition held once; it is not checked again.
	bool listening = true;    ///< New connections are accepted.
	size_t aborted_calls = 0; ///< Calls still open at the end.
	struct Timer;
	std::unique_ptr<Timer> timer; ///< Timer that drives OnTick().
};

} // namespace cottonspool
