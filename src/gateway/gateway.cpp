/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway.cpp Start and stop of an instance, admission of requests, and its regular tick. */

#include "gateway/gateway.h"
#include "core/hash_func.h"
#include "gateway/forward_headers.h"
#include "gateway/stream_relay.h"
#include "metrics/log.h"
#include "platform/wire_configuration.h"
#include <fstream>
#include <random>
#include <sstream>
#include <uv.h>

namespace cottonspool {

static constexpr Duration SETTINGS_CHECK_INTERVAL = std::chrono::seconds(1);
static constexpr Duration NOT_READY_RETRY_AFTER = std::chrono::milliseconds(400); ///< Retry-After while no configuration is known.
/** Retry-After while no hall lies in the home regions of a request; that needs another configuration. */
static constexpr Duration NO_HOME_RETRY_AFTER = std::chrono::seconds(2);
/** Retry-After while this instance stops; other instances take requests at once. */
static constexpr Duration STOPPING_RETRY_AFTER = std::chrono::milliseconds(50);
/** Requests with a longer timeout are rejected while this instance stops. */
static constexpr Duration MAX_TIMEOUT_WHILE_STOPPING = std::chrono::milliseconds(5000);
/** Longest time for which an answer is kept for a caller that does not read it, however long the caller says that it waits. */
static constexpr Duration MAX_ANSWER_WAIT = std::chrono::minutes(10);
static constexpr size_t ACCOUNT_SERIES = 64; ///< Client accounts with metrics of their own.

/** Timer of the ticks, hidden from users of the header. */
struct Gateway::Timer {
	uv_timer_t timer{};
};

/** @return A seed that differs between instances and between starts, but is the same in each replay on a simulated clock. */
static uint64_t RandomSeed(const std::string &name)
{
	return HashText(name, static_cast<uint64_t>(MonotonicNow().time_since_epoch().count()));
}

/** @return The content of the file at \a path; empty if it cannot be read. */
static std::string ReadFile(const std::string &path)
{
	std::ifstream in(path);
	std::stringstream text;
	text << in.rdbuf();
	return text.str();
}

/** @return Names for exchanging the usage of accounts; nothing if \a limits switch the shares of accounts off. */
static std::optional<HallLoad::Names> AccountNamesFor(const GatewayLimits &limits, NameTable<ModelNumber> &pools,
                                                      NameTable<AccountNumber> &accounts)
{
	return limits.dispatch.shares.use ? std::optional(HallLoad::Names{pools, accounts}) : std::nullopt;
}

Gateway::Gateway(uv_loop_s *loop, NodeSettings given, std::string settings_path, GatewayLimits limits)
    : limits(limits), upstream(loop), metrics(ACCOUNT_SERIES), dispatcher(limits.dispatch, MakeRouter("headroom", 0, limits.router)),
      loop(loop), settings(std::move(given)), settings_path(std::move(settings_path)), store(this->upstream, this->settings.store),
      configuration_watch(this->store, CONFIGURATION_TABLE, limits.watch), target_watch(this->store, TARGET_TABLE, limits.watch),
      placement(this->settings.hall, this->settings.halls), registry(limits.registry), division(this->settings.name),
      speed_probes(limits.speed_probes), peer_load(this->dispatcher.Targets(), this->pools, std::chrono::seconds(2), &this->accounts),
      hall_load(this->dispatcher.Targets(), this->settings.hall, AccountNamesFor(limits, this->pools, this->accounts)),
      crash_watch(this->upstream, limits.liveness_timeout, limits.crash_suspect_window,
                  [this](const CrashCheck &check) { this->OnCrashChecked(check); }),
      crash_records(this->store, limits.crash_table_watch, limits.crash_record_limits, this->settings.name,
                    [this](const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint at) {
	                    this->OnCrashRecords(added, removed, at);
                    }),
      survivals(limits.survival_period), peers(loop, this->store, this->peer_load, this->settings.name, this->settings.hall,
                                               limits.exchange, [this](const ReportUpdate &update) { this->OnPeerReport(update); }),
      front(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleRequest(exchange, {}); }),
      forward_front(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleForwarded(exchange); }),
      readiness(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleReady(exchange); }),
      metrics_front(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleMetrics(exchange); }),
      reach(
              loop, limits.reach, [this](ModelNumber pool) { return this->ReachTargets(pool); },
              [this](ModelNumber pool, bool lost, Duration lost_for) { this->OnReachChanged(pool, lost, lost_for); }),
      forward_choice(this->settings.name, limits.forward),
      held_memory(this->front, this->upstream, this->metrics, limits.memory, RandomSeed(this->settings.name)),
      random(RandomSeed(this->settings.name)), timer(std::make_unique<Timer>())
{
}

/** Log that the answer to \a call breaks HTTP by \a fault. */
static void LogMalformedAnswer(const UpstreamCall &call, const std::string &fault)
{
	// The path of a caller's request may hold what must not be logged; the line of its send names the request.
	bool is_request = call.names_call != nullptr;
	Log(LogLevel::Warning, "answer-malformed",
	    {{"peer", call.peer},
	     {"address", call.to.Text()},
	     {"call", is_request ? "request" : call.method + " " + call.target},
	     {"cause", fault}});
}

Gateway::~Gateway()
{
	this->reach.Shutdown();
}

Result<void> Gateway::Start()
{
	this->settings_text = ReadFile(this->settings_path);
	this->started_at = MonotonicNow();
	BOOST_OUTCOME_TRY(front_port, this->front.Listen(this->settings.front));
	BOOST_OUTCOME_TRY(ready_port, this->readiness.Listen(this->settings.ready));
	std::string metrics_at;
	// The first internal port serves metrics, the next one peers, and the third one requests that they pass on; port 0 takes any free one.
	if (this->settings.first_port < this->settings.last_port) {
		bool any = this->settings.first_port == 0;
		Endpoint metrics_endpoint{this->settings.ip, this->settings.first_port};
		BOOST_OUTCOME_TRY(metrics_port, this->metrics_front.Listen(metrics_endpoint));
		metrics_at = Endpoint{this->settings.ip, metrics_port}.Text();
		bool has_forward_port = any || this->settings.first_port + 2 <= this->settings.last_port;
		if (has_forward_port) {
			Endpoint forward_endpoint{this->settings.ip, any ? uint16_t{0} : static_cast<uint16_t>(this->settings.first_port + 2)};
			BOOST_OUTCOME_TRY(forward_port, this->forward_front.Listen(forward_endpoint));
			this->peers.SetForwardPort(forward_port);
		}
		Endpoint peers_endpoint{this->settings.ip, any ? uint16_t{0} : static_cast<uint16_t>(this->settings.first_port + 1)};
		BOOST_OUTCOME_TRYV(this->peers.Start(peers_endpoint, MonotonicNow()));
	}
	Log(LogLevel::Info, "started",
	    {{"hall", this->settings.hall},
	     {"front", Endpoint{this->settings.front.ip, front_port}.Text()},
	     {"ready", Endpoint{this->settings.ready.ip, ready_port}.Text()},
	     {"metrics", metrics_at},
	     {"store", this->settings.store.Text()}});
	this->forward_front.held = this->front.held;
	this->upstream.on_malformed = LogMalformedAnswer;
	this->WatchStore();
	uv_timer_init(this->loop, &this->timer->timer);
	this->timer->timer.data = this;
	auto tick_ms = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.tick).count());
	uv_timer_start(
	        &this->timer->timer, [](uv_timer_t *t) { static_cast<Gateway *>(t->data)->OnTick(); }, tick_ms, tick_ms);
	return outcome::success();
}

bool Gateway::IsReady() const
{
	return !this->stopping && this->routes.IsKnown() && this->target_watch.IsKnown();
}

void Gateway::HandleReady(const std::shared_ptr<FrontExchange> &exchange)
{
	if (!IsReadinessPath(exchange->head.target)) return exchange->Respond(404, {}, {});
	exchange->Respond(this->IsReady() ? 200 : 503, {}, {});
}

void Gateway::HandleMetrics(const std::shared_ptr<FrontExchange> &exchange)
{
	this->metrics.Gauge("cottonspool_calls_in_flight", static_cast<double>(this->calls.size()));
	this->metrics.Gauge("cottonspool_calls_waiting", static_cast<double>(this->dispatcher.Queue().Size()));
	this->metrics.Gauge("cottonspool_peer_links", static_cast<double>(this->peers.Links()));
	this->metrics.Gauge("cottonspool_peer_calls", static_cast<double>(this->peer_load.Calls()));
	this->metrics.Gauge("cottonspool_cells", static_cast<double>(this->peers.Cells()));
	this->metrics.Gauge("cottonspool_accounts_limited", static_cast<double>(this->dispatcher.Shares().Limited()));
	this->metrics.Gauge("cottonspool_targets_usable", static_cast<double>(this->usable.size()));
	this->metrics.Gauge("cottonspool_targets_with_speed", static_cast<double>(this->TargetsWithSpeed(MonotonicNow())));
	this->metrics.Gauge("cottonspool_connections", static_cast<double>(this->front.Connections()));
	this->metrics.Gauge("cottonspool_configuration_version", static_cast<double>(this->routes.Configuration().version));
	this->metrics.Gauge("cottonspool_store_calls", static_cast<double>(this->configuration_watch.Calls() + this->target_watch.Calls()));
	this->metrics.Gauge("cottonspool_upstream_connects", static_cast<double>(this->upstream.Counters().connects));
	this->metrics.Gauge("cottonspool_stray_answers", static_cast<double>(this->upstream.Counters().stray_answers));
	this->metrics.Gauge("cottonspool_oversized_answers", static_cast<double>(this->upstream.Counters().oversized_answers));
	this->metrics.Gauge("cottonspool_malformed_answers", static_cast<double>(this->upstream.Counters().malformed_answers));
	this->metrics.Gauge("cottonspool_quarantined_requests", static_cast<double>(this->quarantined.size()));
	this->metrics.Gauge("cottonspool_ends_not_written", static_cast<double>(this->crash_records.Waiting()));
	this->metrics.Gauge("cottonspool_log_lines_dropped", static_cast<double>(DroppedLogLines()));
	this->held_memory.SetMetrics();
	exchange->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.Render());
}

void Gateway::Reject(const std::shared_ptr<FrontExchange> &exchange, const RelayRequest &request, int status, const char *reason,
                     std::optional<Duration> retry_after)
{
	const RequestInfo &info = request.info;
	Log(LogLevel::Info, "refused",
	    {{"request", info.attempt},
	     {"status", std::to_string(status)},
	     {"reason", reason},
	     {"configuration", std::to_string(this->routes.Configuration().version)},
	     {"confirmed_ms_ago", FormatMilliseconds(MonotonicNow() - this->configuration_watch.ConfirmedAt())},
	     {"retry_after_ms", retry_after ? FormatMilliseconds(*retry_after) : ""}});
	this->metrics.Count(std::string("cottonspool_requests_total{outcome=\"") + reason + "\"}");
	HttpHeaders headers = OwnAnswerHeaders(info.attempt, retry_after);
	if (!request.passed_by.empty()) MarkNotRun(headers, reason, 0);
	exchange->Respond(status, headers, {});
}

bool Gateway::Admit(const std::shared_ptr<FrontExchange> &exchange, RelayRequest *request)
{
	const RequestInfo &info = request->info;
	if (!this->routes.IsKnown() || !this->target_watch.IsKnown()) {
		this->Reject(exchange, *request, 503, "no-configuration", NOT_READY_RETRY_AFTER);
		return false;
	}
	std::string_view host = FindHeader(exchange->head.headers, "host");
	host = host.substr(0, host.find(':'));
	std::string_view path = std::string_view(exchange->head.target).substr(0, exchange->head.target.find('?'));
	const Route *route = this->routes.FindRoute(host, path);
	if (route == nullptr) {
		this->Reject(exchange, *request, 404, "no-route", std::nullopt);
		return false;
	}
	const ClientAccount *account = nullptr;
	if (this->routes.CheckKey(*route, info.key, &account) == KeyCheckResult::Unknown) {
		this->Reject(exchange, *request, 401, "unknown-key", std::nullopt);
		return false;
	}
	if (info.attempt.empty()) {
		this->Reject(exchange, *request, 400, "no-id", std::nullopt);
		return false;
	}
	request->route = *route;
	request->account = account != nullptr ? account->name : "";
	request->spec.halls = this->placement.HallsFor(*route, account);
	if (request->spec.halls.empty()) {
		this->Reject(exchange, *request, 503, "no-home", NO_HOME_RETRY_AFTER);
		return false;
	}
	request->priority_level = account != nullptr && account->priority_level ? *account->priority_level : route->priority_level;
	request->pool = RouteTable::ChoosePool(*route, std::uniform_real_distribution<double>(0, 1)(this->random));
	if (const Pool *pool = this->routes.FindPool(request->pool); pool != nullptr && pool->engine) {
		request->engines = *pool->engine;
		request->can_back_up = pool->engine->can_back_up && route->kind == RouteType::Stream;
		request->spec.generated = true;
	} else {
		request->spec.generated = false;
	}
	if (this->stopping && route->timeout > MAX_TIMEOUT_WHILE_STOPPING) {
		this->Reject(exchange, *request, 503, "stopping", STOPPING_RETRY_AFTER);
		return false;
	}
	return true;
}

void Gateway::FillCallSpec(RelayRequest *request, TimePoint now)
{
	const Route &route = request->route;
	CallSpec &spec = request->spec;
	Duration given = std::min(route.timeout, request->info.deadline.value_or(route.timeout));
	request->response_deadline = now + given;
	spec.id = CallId{this->next_call++};
	spec.account = this->accounts.Intern(request->account);
	spec.model = this->pools.Intern(request->pool);
	spec.service_class = static_cast<ServiceClass>(std::clamp(request->priority_level, 0, static_cast<int>(SERVICE_CLASS_COUNT) - 1));
	spec.repeatable = route.kind == RouteType::Repeatable;
	spec.max_attempts = request->passed_by.empty() ? route.max_attempts : std::min(spec.max_attempts, route.max_attempts);
	spec.response_deadline = request->response_deadline;
	spec.objective = route.objective;
	spec.gap_objective = route.gap_objective;
	spec.route_priority = route.priority_level;
	spec.other_hall_penalty = this->limits.other_hall_penalty;
	spec.arrived = now;
	spec.deadline = std::min(request->response_deadline, now + FromSeconds(Seconds(route.objective) * this->limits.queue_wait_fraction));
	spec.overcommit_from = now + FromSeconds(Seconds(route.objective) * this->limits.overcommit_fraction);
	if (spec.generated) {
		spec.prompt_tokens = std::max<uint32_t>(1, request->info.prompt_tokens);
		spec.max_tokens = request->info.max_output_tokens;
	}
}

void Gateway::HandleRequest(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request)
{
	this->CheckSuspension(MonotonicNow());
	request.info = ReadRequest(exchange->head);
	if (request.info.deadline) exchange->awaited_until = exchange->read_at + std::min<Duration>(*request.info.deadline, MAX_ANSWER_WAIT);
	if (!this->Admit(exchange, &request)) return;
	this->FillCallSpec(&request, exchange->read_at);
	std::string_view host = FindHeader(exchange->head.headers, "host");
	host = host.substr(0, host.find(':'));
	RequestFingerprint whole = ComputeFingerprint({exchange->head.method, host, exchange->head.target, request.account, exchange->body});
	request.spec.features = MakeFeatures(whole, request.info.prompt_parts, request.account);
	this->Begin(exchange, std::move(request));
}

/** @return The shared parts of the prompt in \a info, for logs; a mark at the end shows that some were invalid. */
static std::string JoinParts(const RequestInfo &info)
{
	std::string text;
	for (const std::string &part : info.prompt_parts) text += (text.empty() ? "" : ",") + part;
	return info.parts_malformed ? text + ",?" : text;
}

void Gateway::Begin(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request)
{
	Log(LogLevel::Info, "received",
	    {{"request", request.info.attempt},
	     {"route", request.route.name},
	     {"pool", request.pool},
	     {"account", request.account},
	     {"rank", std::to_string(request.priority_level)},
	     {"prompt_tokens", std::to_string(request.info.prompt_tokens)},
	     {"print", FormatFingerprint(request.spec.features.fingerprint)},
	     {"parts", JoinParts(request.info)},
	     {"body_bytes", std::to_string(exchange->body.size())},
	     {"limit_ms", FormatMilliseconds(request.response_deadline - request.spec.arrived)},
	     {"passed_by", request.passed_by},
	     {"configuration", std::to_string(this->routes.Configuration().version)}});
	if (!request.passed_by.empty()) this->forwarded_calls++;
	this->arrivals.OnCall(request.pool, request.spec.arrived);
	CallId id = request.spec.id;
	std::shared_ptr<RelayCall> call;
	if (request.route.kind == RouteType::Stream) {
		call = std::make_shared<StreamRelay>(*this, exchange, std::move(request));
	} else {
		call = std::make_shared<BufferedRelay>(*this, exchange, std::move(request));
	}
	this->calls.emplace(id, call);
	call->Begin(MonotonicNow());
}

void Gateway::OnCallProgress(const RelayRequest &request, TargetNumber target, bool at_once)
{
	if (!request.spec.generated) return;
	const TargetState &state = this->dispatcher.Targets().Get(target);
	auto flight = state.in_flight.find(request.spec.id);
	uint32_t generated = flight == state.in_flight.end() ? 0 : flight->second.generated;
	this->peers.PublishCall(request.spec, request.pool, this->SharedAccountOf(request), state.name, generated, at_once);
}

/** Marks the number of a run's copy, as opposed to the run itself. */
static constexpr uint64_t COPY_BIT = 1ULL << 61;

void Gateway::OnCopyStarted(const RelayRequest &request, TargetNumber target)
{
	TargetTable &targets = this->dispatcher.Targets();
	std::optional<TargetNumber> holder = this->dispatcher.Holder(request.spec.id);
	if (!holder) return;
	auto flight = targets.Get(*holder).in_flight.find(request.spec.id);
	if (flight == targets.Get(*holder).in_flight.end()) return;
	CallSpec copy = request.spec;
	copy.id = CallId{request.spec.id.value | COPY_BIT};
	uint32_t generated = std::max<uint32_t>(1, flight->second.generated);
	targets.OnPeerCallSent(target, copy, MonotonicNow(), generated, copy.account);
	this->peers.PublishCall(copy, request.pool, this->SharedAccountOf(request), targets.Get(target).name, generated, true);
}

void Gateway::OnCopyFinished(const RelayRequest &request, TargetNumber target)
{
	CallId copy{request.spec.id.value | COPY_BIT};
	this->dispatcher.Targets().OnPeerCallEnded(target, copy, MonotonicNow());
	this->peers.PublishCallEnded(copy);
}

void Gateway::Execute(Decisions decisions)
{
	this->executor.Execute(std::move(decisions));
}

void Gateway::OnCallFinished(CallId call)
{
	this->peers.PublishCallEnded(call);
	auto found = this->calls.find(call);
	if (found == this->calls.end()) return;
	if (!found->second->Request().passed_by.empty()) this->forwarded_calls--;
	this->calls.erase(found);
}

void Gateway::CheckSuspension(TimePoint now)
{
	Duration suspended_for = now - this->last_tick_at;
	if (this->last_tick_at != TimePoint{} && suspended_for >= this->limits.suspend_threshold) this->OnTick();
}

void Gateway::OnResumed(Duration suspended_for)
{
	Log(LogLevel::Warning, "woke", {{"still_ms", FormatMilliseconds(suspended_for)}, {"in_flight", std::to_string(this->calls.size())}});
	// Updates of the time of suspension have not been processed yet.
	this->configuration_watch.CatchUp();
	this->target_watch.CatchUp();
	this->crash_records.Watch().CatchUp();
}

void Gateway::OnTick()
{
	TimePoint now = MonotonicNow();
	bool woke = this->last_tick_at != TimePoint{} && now - this->last_tick_at >= this->limits.suspend_threshold;
	if (woke) this->OnResumed(now - this->last_tick_at);
	this->last_tick_at = now;
	this->upstream.OnTick(now);
	this->crash_watch.OnTick(now);
	this->ExpireCrashRecords(now);
	this->front.OnTick(now);
	this->forward_front.OnTick(now);
	this->reach.OnTick(now);
	this->held_memory.OnTick(now);
	this->readiness.OnTick(now);
	if (now >= this->next_target_scan) {
		this->next_target_scan = now + this->limits.target_scan_interval;
		this->OnTargetEvents(this->registry.OnTick(now), now);
		this->RefreshEvacuated(now);
		this->RefreshLimits(now);
		this->PollReports(now);
		this->ProbeSpeeds(now);
	}
	this->StartTables(now);
	this->UpdateShareView();
	this->Execute(this->dispatcher.OnTick(now));
	this->LogShareChanges();
	std::vector<std::shared_ptr<RelayCall>> all;
	all.reserve(this->calls.size());
	for (const auto &[id, call] : this->calls) all.push_back(call);
	for (const auto &call : all) call->OnTick(now);
	this->peers.OnTick(now);
	if (size_t instances = this->peers.Instances(); instances > 0)
		this->dispatcher.SetRetryShare(this->limits.retry_slack, instances, this->settings.name);
	if (now - this->settings_checked > SETTINGS_CHECK_INTERVAL) {
		this->settings_checked = now;
		if (ReadFile(this->settings_path) != this->settings_text) this->Reload();
	}
	if (this->stopping) this->AdvanceShutdown(now);
	FlushLog();
}

void Gateway::Reload()
{
	std::string text = ReadFile(this->settings_path);
	Result<NodeSettings> read = ParseNodeSettings(text, this->settings_path);
	this->settings_text = text;
	if (!read) return Log(LogLevel::Error, "reload-refused", {{"error", FormatError(read.error())}});
	// Addresses of listeners only change with a restart.
	this->settings.platform_bounds = read.value().platform_bounds;
	this->registry.SetDrainBound(this->settings.platform_bounds.drain);
	this->settings.halls = read.value().halls;
	this->placement.SetRegions(this->settings.halls);
	this->RefreshHalls(MonotonicNow());
	this->settings.heartbeat = read.value().heartbeat;
	if (!(this->settings.store == read.value().store)) {
		this->settings.store = read.value().store;
		this->store.SetAddress(this->settings.store);
		this->upstream.CloseIdle(WireStore::PEER);
	}
	Log(LogLevel::Info, "reloaded", {{"store", this->settings.store.Text()}});
}

void Gateway::Stop()
{
	if (this->stopping) {
		this->stop_started = TimePoint{};
		return this->AdvanceShutdown(MonotonicNow());
	}
	this->stopping = true;
	this->stop_started = MonotonicNow();
	this->front.BeginClosing();
	this->forward_front.BeginClosing();
	this->peers.Deregister();
	Log(LogLevel::Info, "stopping", {{"in_flight", std::to_string(this->calls.size())}});
}

void Gateway::AdvanceShutdown(TimePoint now)
{
	Duration since = now - this->stop_started;
	if (since >= this->limits.drain_delay) this->front.PassBacklogsToKernel();
	bool at_once = since >= this->settings.platform_bounds.stop_grace - this->limits.kill_margin;
	bool answered = this->calls.empty() && since >= this->limits.drain_delay;
	if (!at_once && !answered) return;
	// An answer that was handed to its connection has not reached its caller yet.
	size_t undelivered = this->front.UndeliveredConnections() + this->forward_front.UndeliveredConnections();
	if (!at_once && undelivered > 0) return;
	std::vector<std::shared_ptr<RelayCall>> all;
	for (const auto &[id, call] : this->calls) all.push_back(call);
	this->aborted_calls += all.size();
	for (const auto &call : all) call->AbortOnStop();
	this->front.StopListening();
	this->forward_front.StopListening();
	this->reach.Shutdown();
	Log(LogLevel::Info, "stopped", {{"cut", std::to_string(this->aborted_calls)}, {"undelivered", std::to_string(undelivered)}});
	FlushLog();
	uv_stop(this->loop);
}

} // namespace cottonspool
