/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway.cpp Start and stop of an instance, admission of requests, and its regular tick. */

#include "gateway/gateway.h"
#include "core/hash_func.h"
#include "gateway/stream_relay.h"
#include "metrics/log.h"
#include "platform/wire_configuration.h"
#include <fstream>
#include <random>
#include <sstream>
#include <uv.h>

namespace cottonspool {

static constexpr Duration SETTINGS_LOOK = std::chrono::seconds(1);
static constexpr Duration NOT_READY_RETRY_AFTER = std::chrono::milliseconds(400); ///< Retry-After while no configuration is known.
/** Retry-After while no hall lies in the home regions of a request; that needs another configuration. */
static constexpr Duration NO_HOME_RETRY_AFTER = std::chrono::seconds(2);
/** Retry-After while this instance stops; other instances take requests at once. */
static constexpr Duration STOPPING_RETRY_AFTER = std::chrono::milliseconds(50);
/** Requests with a longer timeout are rejected while this instance stops. */
static constexpr Duration LATEST_WHILE_STOPPING = std::chrono::milliseconds(5000);
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

Gateway::Gateway(uv_loop_s *loop, NodeSettings given, std::string settings_path, GatewayLimits limits)
    : limits(limits), upstream(loop), metrics(ACCOUNT_SERIES), dispatcher(limits.dispatch, MakeRouter("headroom", 0, limits.router)),
      loop(loop), settings(std::move(given)), settings_path(std::move(settings_path)), store(this->upstream, this->settings.store),
      configuration_watch(this->store, CONFIGURATION_TABLE, limits.watch), target_watch(this->store, TARGET_TABLE, limits.watch),
      places(this->settings.hall, this->settings.halls), registry(limits.registry), division(this->settings.name),
      peer_load(this->dispatcher.Targets(), this->pools, std::chrono::seconds(2)),
      hall_load(this->dispatcher.Targets(), this->settings.hall),
      end_watch(this->upstream, limits.life_check, limits.begun_lately, [this](const TargetCheck &check) { this->OnTargetChecked(check); }),
      ends(this->store, limits.end_table, limits.end_records, this->settings.name,
           [this](const std::vector<EndRecord> &added, const std::vector<EndRecord> &removed, TimePoint at) {
	           this->OnEndRecords(added, removed, at);
           }),
      peers(loop, this->store, this->peer_load, this->settings.name, this->settings.hall, limits.exchange,
            [this](const ReportNews &news) { this->OnPeerReport(news); }),
      front(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleRequest(exchange); }),
      readiness(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleReady(exchange); }),
      figures(loop, [this](const std::shared_ptr<FrontExchange> &exchange) { this->HandleMetrics(exchange); }),
      random(RandomSeed(this->settings.name)), timer(std::make_unique<Timer>())
{
}

Gateway::~Gateway() = default;

Result<void> Gateway::Start()
{
	this->settings_text = ReadFile(this->settings_path);
	this->started_at = MonotonicNow();
	BOOST_OUTCOME_TRY(front_port, this->front.Listen(this->settings.front));
	BOOST_OUTCOME_TRY(ready_port, this->readiness.Listen(this->settings.ready));
	std::string metrics_at;
	// The first internal port serves metrics, the next one peers; port 0 takes any free one.
	if (this->settings.first_port < this->settings.last_port) {
		bool any = this->settings.first_port == 0;
		Endpoint metrics_endpoint{this->settings.ip, this->settings.first_port};
		BOOST_OUTCOME_TRY(metrics_port, this->figures.Listen(metrics_endpoint));
		metrics_at = Endpoint{this->settings.ip, metrics_port}.Text();
		Endpoint peers_endpoint{this->settings.ip, any ? uint16_t{0} : static_cast<uint16_t>(this->settings.first_port + 1)};
		BOOST_OUTCOME_TRYV(this->peers.Start(peers_endpoint, MonotonicNow()));
	}
	Log(LogLevel::Info, "started",
	    {{"hall", this->settings.hall},
	     {"front", Endpoint{this->settings.front.ip, front_port}.Text()},
	     {"ready", Endpoint{this->settings.ready.ip, ready_port}.Text()},
	     {"metrics", metrics_at},
	     {"store", this->settings.store.Text()}});
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
	this->metrics.Gauge("cottonspool_targets_usable", static_cast<double>(this->usable.size()));
	this->metrics.Gauge("cottonspool_connections", static_cast<double>(this->front.Connections()));
	this->metrics.Gauge("cottonspool_configuration_version", static_cast<double>(this->routes.Configuration().version));
	this->metrics.Gauge("cottonspool_store_calls", static_cast<double>(this->configuration_watch.Calls() + this->target_watch.Calls()));
	this->metrics.Gauge("cottonspool_upstream_connects", static_cast<double>(this->upstream.Counters().connects));
	this->metrics.Gauge("cottonspool_stray_answers", static_cast<double>(this->upstream.Counters().strays));
	this->metrics.Gauge("cottonspool_quarantined_requests", static_cast<double>(this->quarantined.size()));
	this->metrics.Gauge("cottonspool_ends_not_written", static_cast<double>(this->ends.Waiting()));
	this->metrics.Gauge("cottonspool_log_lines_dropped", static_cast<double>(DroppedLogLines()));
	exchange->Respond(200, {{"Content-Type", "text/plain; version=0.0.4"}}, this->metrics.Render());
}

void Gateway::Reject(const std::shared_ptr<FrontExchange> &exchange, const RequestInfo &info, int status, const char *reason,
                     std::optional<Duration> retry_after)
{
	Log(LogLevel::Info, "refused",
	    {{"request", info.attempt},
	     {"status", std::to_string(status)},
	     {"reason", reason},
	     {"configuration", std::to_string(this->routes.Configuration().version)},
	     {"confirmed_ms_ago", FormatMilliseconds(MonotonicNow() - this->configuration_watch.ConfirmedAt())},
	     {"retry_after_ms", retry_after ? FormatMilliseconds(*retry_after) : ""}});
	this->metrics.Count(std::string("cottonspool_requests_total{outcome=\"") + reason + "\"}");
	exchange->Respond(status, OwnAnswerHeaders(info.attempt, retry_after), {});
}

bool Gateway::Admit(const std::shared_ptr<FrontExchange> &exchange, RelayRequest *request)
{
	const RequestInfo &info = request->info;
	if (!this->routes.IsKnown() || !this->target_watch.IsKnown()) {
		this->Reject(exchange, info, 503, "no-configuration", NOT_READY_RETRY_AFTER);
		return false;
	}
	std::string_view host = FindHeader(exchange->head.headers, "host");
	host = host.substr(0, host.find(':'));
	std::string_view path = std::string_view(exchange->head.target).substr(0, exchange->head.target.find('?'));
	const Route *route = this->routes.FindRoute(host, path);
	if (route == nullptr) {
		this->Reject(exchange, info, 404, "no-route", std::nullopt);
		return false;
	}
	const ClientAccount *account = nullptr;
	if (this->routes.CheckKey(*route, info.key, &account) == KeyVerdict::Unknown) {
		this->Reject(exchange, info, 401, "unknown-key", std::nullopt);
		return false;
	}
	if (info.attempt.empty()) {
		this->Reject(exchange, info, 400, "no-id", std::nullopt);
		return false;
	}
	request->route = *route;
	request->account = account != nullptr ? account->name : "";
	request->spec.halls = this->places.HallsFor(*route, account);
	if (request->spec.halls.empty()) {
		this->Reject(exchange, info, 503, "no-home", NO_HOME_RETRY_AFTER);
		return false;
	}
	request->rank = account != nullptr && account->rank ? *account->rank : route->rank;
	request->pool = RouteTable::ChoosePool(*route, std::uniform_real_distribution<double>(0, 1)(this->random));
	if (const Pool *pool = this->routes.FindPool(request->pool); pool != nullptr && pool->engine) {
		request->engines = *pool->engine;
		request->can_back_up = pool->engine->can_back_up && route->kind == RunKind::Stream;
		request->spec.generated = true;
	} else {
		request->spec.generated = false;
	}
	if (this->stopping && route->timeout > LATEST_WHILE_STOPPING) {
		this->Reject(exchange, info, 503, "stopping", STOPPING_RETRY_AFTER);
		return false;
	}
	return true;
}

void Gateway::FillSpec(RelayRequest *request, TimePoint now)
{
	const Route &route = request->route;
	CallSpec &spec = request->spec;
	Duration given = std::min(route.timeout, request->info.deadline.value_or(route.timeout));
	request->ends_at = now + given;
	spec.id = CallId{this->next_call++};
	spec.account = this->accounts.Intern(request->account);
	spec.model = this->pools.Intern(request->pool);
	spec.service_class = static_cast<ServiceClass>(std::clamp(request->rank, 0, static_cast<int>(SERVICE_CLASS_COUNT) - 1));
	spec.repeatable = route.kind == RunKind::Repeatable;
	spec.max_attempts = route.max_attempts;
	spec.ends_at = request->ends_at;
	spec.objective = route.objective;
	spec.other_hall_penalty = this->limits.other_hall_penalty;
	spec.arrived = now;
	spec.deadline = std::min(request->ends_at, now + FromSeconds(Seconds(route.objective) * this->limits.wait_part));
	spec.press_from = now + FromSeconds(Seconds(route.objective) * this->limits.press_part);
	if (spec.generated) {
		spec.prompt_tokens = std::max<uint32_t>(1, request->info.prompt_tokens);
		spec.max_tokens = request->info.most_output_tokens;
	}
}

void Gateway::HandleRequest(const std::shared_ptr<FrontExchange> &exchange)
{
	this->CheckWake(MonotonicNow());
	RelayRequest request;
	request.info = ReadRequest(exchange->head);
	if (!this->Admit(exchange, &request)) return;
	this->FillSpec(&request, exchange->read_at);
	std::string_view host = FindHeader(exchange->head.headers, "host");
	host = host.substr(0, host.find(':'));
	request.spec.print = PrintRequest({exchange->head.method, host, exchange->head.target, request.account, exchange->body});
	this->Begin(exchange, std::move(request));
}

void Gateway::Begin(const std::shared_ptr<FrontExchange> &exchange, RelayRequest request)
{
	Log(LogLevel::Info, "received",
	    {{"request", request.info.attempt},
	     {"route", request.route.name},
	     {"pool", request.pool},
	     {"account", request.account},
	     {"rank", std::to_string(request.rank)},
	     {"prompt_tokens", std::to_string(request.info.prompt_tokens)},
	     {"print", PrintText(request.spec.print)},
	     {"body_bytes", std::to_string(exchange->body.size())},
	     {"limit_ms", FormatMilliseconds(request.ends_at - request.spec.arrived)},
	     {"configuration", std::to_string(this->routes.Configuration().version)}});
	this->call_meter.OnCall(request.pool, request.spec.arrived);
	CallId id = request.spec.id;
	std::shared_ptr<RelayCall> call;
	if (request.route.kind == RunKind::Stream) {
		call = std::make_shared<StreamRelay>(*this, exchange, std::move(request));
	} else {
		call = std::make_shared<PlainRelay>(*this, exchange, std::move(request));
	}
	this->calls.emplace(id, call);
	call->Begin(MonotonicNow());
}

void Gateway::OnCallAt(const RelayRequest &request, TargetNumber target, bool at_once)
{
	if (!request.spec.generated) return;
	const TargetState &state = this->dispatcher.Targets().Get(target);
	auto flight = state.in_flight.find(request.spec.id);
	uint32_t generated = flight == state.in_flight.end() ? 0 : flight->second.generated;
	this->peers.TellAt(request.spec, request.pool, state.name, generated, at_once);
}

/** Marks the number of a run's copy, as opposed to the run itself. */
static constexpr uint64_t COPY_BIT = 1ULL << 61;

void Gateway::OnCopyBegun(const RelayRequest &request, TargetNumber target)
{
	TargetTable &targets = this->dispatcher.Targets();
	std::optional<TargetNumber> holder = this->dispatcher.Holder(request.spec.id);
	if (!holder) return;
	auto flight = targets.Get(*holder).in_flight.find(request.spec.id);
	if (flight == targets.Get(*holder).in_flight.end()) return;
	CallSpec copy = request.spec;
	copy.id = CallId{request.spec.id.value | COPY_BIT};
	uint32_t generated = std::max<uint32_t>(1, flight->second.generated);
	targets.OnForeignSent(target, copy, MonotonicNow(), generated);
	this->peers.TellAt(copy, request.pool, targets.Get(target).name, generated, true);
}

void Gateway::OnCopyOver(const RelayRequest &request, TargetNumber target)
{
	CallId copy{request.spec.id.value | COPY_BIT};
	this->dispatcher.Targets().OnForeignEnded(target, copy, MonotonicNow());
	this->peers.TellEnded(copy);
}

void Gateway::Carry(Decisions decisions)
{
	this->carrier.Carry(std::move(decisions));
}

void Gateway::OnCallOver(CallId call)
{
	this->peers.TellEnded(call);
	this->calls.erase(call);
}

void Gateway::CheckWake(TimePoint now)
{
	Duration still = now - this->ticked_at;
	if (this->ticked_at != TimePoint{} && still >= this->limits.wake_after) this->OnTick();
}

void Gateway::OnWake(Duration still)
{
	Log(LogLevel::Warning, "woke", {{"still_ms", FormatMilliseconds(still)}, {"in_flight", std::to_string(this->calls.size())}});
	// Updates of the time of suspension have not been processed yet.
	this->configuration_watch.CatchUp();
	this->target_watch.CatchUp();
	this->ends.Watch().CatchUp();
}

void Gateway::OnTick()
{
	TimePoint now = MonotonicNow();
	bool woke = this->ticked_at != TimePoint{} && now - this->ticked_at >= this->limits.wake_after;
	if (woke) this->OnWake(now - this->ticked_at);
	this->ticked_at = now;
	this->upstream.OnTick(now);
	this->end_watch.OnTick(now);
	this->FollowEnds(now);
	this->front.OnTick(now);
	this->readiness.OnTick(now);
	if (now >= this->next_look) {
		this->next_look = now + this->limits.target_look;
		this->OnTargetEvents(this->registry.OnTick(now), now);
		this->RefreshEmptied(now);
		this->RefreshLimits(now);
		this->PollReports(now);
	}
	this->BeginTables(now);
	this->Carry(this->dispatcher.OnTick(now));
	std::vector<std::shared_ptr<RelayCall>> all;
	all.reserve(this->calls.size());
	for (const auto &[id, call] : this->calls) all.push_back(call);
	for (const auto &call : all) call->OnTick(now);
	this->peers.OnTick(now);
	if (size_t instances = this->peers.Instances(); instances > 0)
		this->dispatcher.ShareRetries(this->limits.retry_slack, instances, this->settings.name);
	if (now - this->settings_checked > SETTINGS_LOOK) {
		this->settings_checked = now;
		if (ReadFile(this->settings_path) != this->settings_text) this->Reload();
	}
	if (this->stopping) this->FinishStopping(now);
	FlushLog();
}

void Gateway::Reload()
{
	std::string text = ReadFile(this->settings_path);
	Result<NodeSettings> read = ParseNodeSettings(text, this->settings_path);
	this->settings_text = text;
	if (!read) return Log(LogLevel::Error, "reload-refused", {{"error", FormatError(read.error())}});
	// Addresses of listeners only change with a restart.
	this->settings.bounds = read.value().bounds;
	this->settings.halls = read.value().halls;
	this->places.SetRegions(this->settings.halls);
	this->RefreshHalls(MonotonicNow());
	this->settings.heartbeat = read.value().heartbeat;
	if (!(this->settings.store == read.value().store)) {
		this->settings.store = read.value().store;
		this->store.SetAddress(this->settings.store);
		this->upstream.Drop(WireStore::PEER);
	}
	Log(LogLevel::Info, "reloaded", {{"store", this->settings.store.Text()}});
}

void Gateway::Stop()
{
	if (this->stopping) {
		this->stop_begun = TimePoint{};
		return this->FinishStopping(MonotonicNow());
	}
	this->stopping = true;
	this->stop_begun = MonotonicNow();
	this->front.BeginClosing();
	this->peers.Leave();
	Log(LogLevel::Info, "stopping", {{"in_flight", std::to_string(this->calls.size())}});
}

void Gateway::FinishStopping(TimePoint now)
{
	Duration since = now - this->stop_begun;
	bool at_once = since >= this->settings.bounds.stop_grace - this->limits.stop_margin;
	bool done = this->calls.empty() && since >= this->limits.stop_notice;
	if (!at_once && !done) return;
	std::vector<std::shared_ptr<RelayCall>> all;
	for (const auto &[id, call] : this->calls) all.push_back(call);
	this->cut_calls += all.size();
	for (const auto &call : all) call->Cut();
	this->front.StopListening();
	Log(LogLevel::Info, "stopped", {{"cut", std::to_string(this->cut_calls)}});
	FlushLog();
	uv_stop(this->loop);
}

} // namespace cottonspool
