/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulation.cpp Simulation of the users' platform: engines and services. */

#include "simulation_base.h"
#include <gflags/gflags.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

DEFINE_int32(event_ms, 20, "world: interval between events of a stream, in milliseconds");
DEFINE_uint64(event_bytes, 0, "world: bytes of padding in each event of a stream");
DEFINE_int32(segment_bytes, 0, "world: largest TCP segment of the targets' connections; 0 for the default");
DEFINE_int32(notice_ms, 1500, "world: time after a drain announcement from which new requests are recorded as late, in milliseconds");
DEFINE_uint64(answer_bytes, 0, "world: bytes of padding in each answer of a service");

namespace cottonspool {

static constexpr uint64_t STEP_MS = 5;                ///< Interval of the timer for running generations.
static constexpr uint64_t RESUME_MS = 80;             ///< Time until a migrated run sends its next event.
static constexpr uint64_t MEMORY_TOKENS = 40000;      ///< Memory size in load reports.
static constexpr size_t MAX_UNREAD_BYTES = 64U << 10; ///< Unread bytes of a stream from which its engine waits for the reader.
static constexpr uint64_t CRASH_DELAY_MS = 40;        ///< Time until a request with a crash body crashes the target.
static constexpr uint64_t CUT_DELAY_MS = 300;         ///< Time until an answer without its last byte is cut.
static constexpr uint64_t BRITTLE_WORK_MS = 60;       ///< Time that a brittle service takes for a request.
static constexpr uint64_t LISTEN_RETRY_MS = 50;       ///< Interval at which a restarting target tries to get its port back.
static const char *const CRASH_BODY_PREFIX = "crash"; ///< Beginning of the body of requests that crash the target.
static const char *const CRASH_PART_PREFIX = "dead";  ///< Beginning of the ids of parts of prompts that crash the target.

/** @return \a bytes of padding after a space; nothing for 0. */
static std::string Padding(uint64_t bytes)
{
	return bytes == 0 ? std::string() : " " + std::string(bytes - 1, 'x');
}

/**
 * Limit the TCP segments of connections that the listener at \a port accepts. With the segments of 64 KB of the loopback interface, a
 * receiver opens its window only after it has read everything, which no network does.
 */
static void LimitSegments(uv_loop_t *loop, uint16_t port)
{
	if (FLAGS_segment_bytes == 0) return;
	auto limit = [](uv_handle_t *handle, void *at) {
		sockaddr_in bound{};
		int size = sizeof(bound);
		uv_os_fd_t fd = -1;
		if (handle->type != UV_TCP || uv_is_closing(handle) || uv_fileno(handle, &fd) != 0) return;
		if (uv_tcp_getsockname(reinterpret_cast<uv_tcp_t *>(handle), reinterpret_cast<sockaddr *>(&bound), &size) != 0) return;
		if (ntohs(bound.sin_port) == *static_cast<uint16_t *>(at))
			setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &FLAGS_segment_bytes, sizeof(FLAGS_segment_bytes));
	};
	uv_walk(loop, limit, &port);
}

SimulatedTarget::SimulatedTarget(uv_loop_t *loop, SimulatedStore &store, SimulationRecord &record, std::string id, std::string pool,
                                 std::string hall, bool engine)
    : id(std::move(id)), loop(loop), store(store), record(record), pool(std::move(pool)), hall(std::move(hall)), engine(engine)
{
}

void SimulatedTarget::Start()
{
	this->Listen();
	if (this->engine) Every(this->loop, STEP_MS, [this] { this->Step(); });
}

void SimulatedTarget::Listen()
{
	if (this->reserved_port >= 0) close(std::exchange(this->reserved_port, -1));
	if (this->stopped) return;
	auto next = std::make_unique<HttpFront>(this->loop, [this](const Exchange &exchange) { this->Handle(exchange); });
	Result<uint16_t> bound = next->Listen({"127.0.0.1", this->port});
	// Another process may have taken the port while the target was down. The target needs the address in its row, so it waits.
	if (!bound) return After(this->loop, LISTEN_RETRY_MS, [this] { this->Listen(); });
	this->started_at = WallMs();
	this->draining = this->drains_by_header = false;
	this->working = 0;
	this->queued.clear();
	this->front = std::move(next);
	this->port = bound.value();
	LimitSegments(this->loop, this->port);
	this->WriteHeartbeat();
}

void SimulatedTarget::ReservePort()
{
	this->reserved_port = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;
	setsockopt(this->reserved_port, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	sockaddr_in at{};
	at.sin_family = AF_INET;
	at.sin_port = htons(this->port);
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	// Where it fails, the target waits for its port.
	if (bind(this->reserved_port, reinterpret_cast<sockaddr *>(&at), sizeof(at)) != 0) close(std::exchange(this->reserved_port, -1));
}

void SimulatedTarget::Crash(uint64_t back_ms, bool inside_event, bool keeps_port)
{
	if (!this->IsAlive()) return;
	std::list<Run> ended = std::move(this->running);
	this->running.clear();
	for (const Run &run : ended) {
		if (!inside_event) {
			run.exchange->Abort();
			continue;
		}
		run.exchange->on_disconnect = nullptr;
		run.exchange->Write("id: " + std::to_string(run.made + 1) + "\ndata: " + run.attempt.substr(0, 3));
		run.exchange->Finish();
	}
	this->front.reset();
	if (keeps_port) this->ReservePort();
	After(this->loop, back_ms, [this] { this->Listen(); });
}

void SimulatedTarget::Hang()
{
	this->running.clear();
	this->front->StopListening();
	this->hung_fronts.push_back(std::move(this->front));
	this->port = 0;
	this->Listen();
}

/** @return Whether a request crashes its target by its body or by a part of its prompt that other requests may share. */
static bool CrashesTarget(const Exchange &exchange)
{
	if (exchange->body.starts_with(CRASH_BODY_PREFIX)) return true;
	std::string_view parts = FindHeader(exchange->head.headers, "X-Prompt-Prefix");
	for (size_t comma = parts.find(','); comma != std::string_view::npos; comma = parts.find(',')) {
		if (parts.starts_with(CRASH_PART_PREFIX)) return true;
		parts.remove_prefix(comma + 1);
	}
	return false;
}

void SimulatedTarget::CrashDuring(const std::string &attempt)
{
	After(this->loop, CRASH_DELAY_MS, [this, attempt] {
		if (this->IsAlive()) this->record.crashes.push_back({{"request", attempt}, {"target", this->id}, {"at", NowMs()}});
		this->Crash(RESTART_DELAY_MS);
	});
}

void SimulatedTarget::WriteHeartbeat()
{
	Json row{{"service", this->pool},
	         {"address", this->Address()},
	         {"zone", this->hall},
	         {"capacity", 64},
	         {"state", this->draining ? "draining" : "ready"},
	         {"coldRemainingMs", this->cold_ms},
	         {"born", this->started_at},
	         {"sequence", ++this->answers}};
	this->store.Put("servers", this->id, row.dump());
}

void SimulatedTarget::StartDraining(bool silently)
{
	this->draining = true;
	this->drain_started_at = NowMs();
	if (silently) this->store.Remove("servers", this->id);
	if (!silently) this->WriteHeartbeat();
}

void SimulatedTarget::DrainByHeader()
{
	this->drains_by_header = true;
	this->drain_started_at = 0;
}

void SimulatedTarget::Kill()
{
	this->stopped = true;
	for (const Run &run : this->running) run.exchange->Abort();
	this->running.clear();
	this->front.reset();
	this->store.Remove("servers", this->id);
}

void SimulatedTarget::Handle(const Exchange &exchange)
{
	const std::string &target = exchange->head.target;
	if (target == "/-/report") {
		this->record.reports++;
		Json report{{"running", this->running.size()},
		            {"queued", 0},
		            {"kvUsed", 0},
		            {"kvTotal", MEMORY_TOKENS},
		            {"born", this->started_at},
		            {"state", this->draining ? "draining" : "ready"}};
		return exchange->Respond(200, {}, report.dump());
	}
	if (target == "/healthz") {
		this->record.health[this->id]++;
		return exchange->Respond(200, {{"X-Instance-Id", this->id}, this->LoadField("0,0,64")}, {});
	}
	if (target == "/-/kv-move") return this->MigrateRun(exchange);
	std::string attempt(FindHeader(exchange->head.headers, "X-Attempt-Id"));
	bool resumes = !FindHeader(exchange->head.headers, "Kv-From").empty();
	if (this->record.keep_sends) this->record.sends.push_back(Json::array({this->pool, attempt, NowMs(), this->id, resumes}));
	if (FindHeader(exchange->head.headers, "X-Expect-Instance") != this->id) return exchange->Respond(421, {}, {});
	if ((this->draining || this->drains_by_header) && this->drain_started_at != 0 && NowMs() - this->drain_started_at > FLAGS_notice_ms)
		this->record.late.push_back(
		        {{"request", attempt}, {"target", this->id}, {"after_ms", NowMs() - this->drain_started_at}, {"at", NowMs()}});
	if (!this->limit.empty() || NowMs() < this->paused_until)
		this->record.arrivals.push_back({{"target", this->id}, {"request", attempt}, {"at", NowMs()}});
	if (this->RejectWhilePaused(exchange, attempt)) return;
	if (this->engine) return this->Generate(exchange, attempt);
	this->Serve(exchange, attempt);
}

bool SimulatedTarget::RejectWhilePaused(const Exchange &exchange, const std::string &attempt)
{
	if (this->pause_ms > 0) {
		this->paused_until = NowMs() + this->pause_ms;
		this->record.pauses.push_back({{"target", this->id}, {"at", NowMs()}, {"until", this->paused_until}});
		this->pause_ms = 0;
	}
	if (NowMs() >= this->paused_until) return false;
	HttpHeaders headers = this->Headers(attempt);
	headers.push_back({"X-Not-Executed", "1"});
	headers.push_back({"Retry-After", std::to_string(static_cast<double>(this->paused_until - NowMs()) / 1000)});
	exchange->Respond(503, headers, {});
	return true;
}

HttpHeaders SimulatedTarget::Headers(const std::string &attempt)
{
	HttpHeaders headers{{"X-Attempt-Id", attempt}, {"X-Server-Stamp", "stamp"}};
	if (!this->limit.empty()) headers.push_back({"Server-Limit", this->limit});
	if (this->places > 0) headers.push_back({"Server-Brittle", std::to_string(this->bears)});
	if (!this->drains_by_header) return headers;
	headers.push_back({"Server-Leaving", "1"});
	// The drain counts from the first answer that announces it.
	if (this->drain_started_at == 0) this->drain_started_at = NowMs();
	return headers;
}

bool SimulatedTarget::RefuseWhileFull(const Exchange &exchange, const std::string &attempt)
{
	if (this->places == 0) return false;
	if (this->processing < this->places) {
		this->processing++;
		After(this->loop, BRITTLE_WORK_MS, [this] { this->processing -= this->processing > 0 ? 1 : 0; });
		return false;
	}
	HttpHeaders headers = this->Headers(attempt);
	headers.push_back({"X-Not-Executed", "1"});
	headers.push_back(this->LoadField(std::to_string(this->processing) + ",0," + std::to_string(this->places)));
	exchange->Respond(503, headers, {});
	this->refusals.push_back(NowMs());
	while (NowMs() - this->refusals.front() >= 1000) this->refusals.pop_front();
	if (this->refusals.size() <= this->bears) return true;
	this->record.falls.push_back({{"target", this->id}, {"at", NowMs()}});
	this->refusals.clear();
	this->processing = 0;
	this->Crash(RESTART_DELAY_MS);
	return true;
}

/** Answer \a exchange with \a body, and reset the connection before its last byte. */
static void CutLate(uv_loop_t *loop, const Exchange &exchange, const HttpHeaders &headers, const std::string &body)
{
	exchange->Start(200, headers, body.size());
	exchange->Write(body.substr(0, body.size() - 1));
	After(loop, CUT_DELAY_MS, [exchange] {
		if (!exchange->IsOver()) exchange->Abort();
	});
}

void SimulatedTarget::Serve(const Exchange &exchange, const std::string &attempt)
{
	if (this->RefuseWhileFull(exchange, attempt)) return;
	if (this->slots > 0 && this->working >= this->slots) {
		if (this->queued.size() < this->max_queue) return this->queued.emplace_back(exchange, attempt), void();
		HttpHeaders headers = this->Headers(attempt);
		headers.push_back({"X-Not-Executed", "1"});
		headers.push_back(this->LoadField(std::to_string(this->working) + "," + std::to_string(this->queued.size()) + "," +
		                                  std::to_string(this->slots)));
		return exchange->Respond(503, headers, {});
	}
	this->Work(exchange, attempt);
}

void SimulatedTarget::FreeSlot()
{
	this->working -= this->working > 0 ? 1 : 0;
	if (this->queued.empty()) return;
	auto [exchange, attempt] = std::move(this->queued.front());
	this->queued.pop_front();
	if (exchange->IsOver()) return this->FreeSlot();
	this->Work(exchange, attempt);
}

void SimulatedTarget::Work(const Exchange &exchange, const std::string &attempt)
{
	this->answers++;
	this->working++;
	this->record.runs.push_back({{"request", attempt},
	                             {"target", this->id},
	                             {"hall", this->hall},
	                             {"account", FindHeader(exchange->head.headers, "X-Tenant")}});
	HttpHeaders headers = this->Headers(attempt);
	headers.push_back(this->LoadField(this->slots > 0 ? std::to_string(this->working) + "," + std::to_string(this->queued.size()) + "," +
	                                                            std::to_string(this->slots)
	                                  : this->places == 0 ? "1,0,6"
	                                                      : std::to_string(this->processing) + ",0," + std::to_string(this->places)));
	std::string body = "answer to " + attempt + Padding(FLAGS_answer_bytes);
	bool fails = static_cast<double>(this->answers % 10) < this->error_ratio * 10;
	std::string how = this->corruption;
	if (exchange->body.starts_with(CRASH_BODY_PREFIX)) return this->CrashDuring(attempt);
	After(this->loop, this->places > 0 ? BRITTLE_WORK_MS : this->work_ms, [this, exchange, headers, body, fails, how] {
		this->FreeSlot();
		if (how == "reset") {
			exchange->Start(200, headers, body.size());
			exchange->Write(body.substr(0, 3));
			return exchange->Abort();
		}
		if (how == "cut") return CutLate(this->loop, exchange, headers, body);
		if (how == "unframed") {
			exchange->EndBodyByClose();
			exchange->Start(200, headers, std::nullopt);
			exchange->Write(body);
			return exchange->Finish();
		}
		exchange->Respond(fails ? 500 : 200, headers, body);
	});
}

void SimulatedTarget::Generate(const Exchange &exchange, const std::string &attempt)
{
	std::string tokens(FindHeader(exchange->head.headers, "X-Token-Count"));
	std::string from(FindHeader(exchange->head.headers, "Kv-From"));
	Run run{exchange, attempt, 0, strtoull(tokens.c_str() + tokens.find(',') + 1, nullptr, 10) / 4, NowMs() + FLAGS_event_ms};
	if (!from.empty()) {
		auto copy = this->record.copies.find(from.substr(from.find('/') + 1));
		bool usable = copy != this->record.copies.end() && copy->second.first == attempt;
		if (usable && this->refused_resumes > 0) usable = this->refused_resumes-- == 0;
		if (!usable) return exchange->Respond(503, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, {});
		this->record.copies.erase(copy);
		run.made = strtoull(std::string(FindHeader(exchange->head.headers, "Last-Event-Id")).c_str(), nullptr, 10);
	}
	this->record.runs.push_back(
	        {{"request", attempt}, {"target", this->id}, {"hall", this->hall}, {"resumed", !from.empty()}, {"at", NowMs()}});
	if (!from.empty()) this->record.resumed_at[attempt] = NowMs();
	// A migrated run starts with a delay, during which its previous engine keeps generating.
	if (from.empty()) return this->Begin(std::move(run));
	After(this->loop, RESUME_MS, [this, run] {
		if (!run.exchange->IsOver()) this->Begin(run);
	});
}

void SimulatedTarget::Begin(Run run)
{
	std::string attempt = run.attempt;
	int64_t begun = run.begun = NowMs();
	// The backup of a run is known by its id.
	if (!FindHeader(run.exchange->head.headers, "X-Kv-Backup").empty()) this->record.copies[attempt] = {attempt, run.made};
	if (CrashesTarget(run.exchange)) this->CrashDuring(attempt);
	run.exchange->on_disconnect = [this, attempt, begun] {
		auto resumed = this->record.resumed_at.find(attempt);
		if (resumed != this->record.resumed_at.end() && begun < resumed->second) this->record.overlaps.push_back(NowMs() - resumed->second);
		if (!this->keeps_runs) this->running.remove_if([&](const Run &each) { return each.attempt == attempt; });
	};
	HttpHeaders headers = this->Headers(attempt);
	headers.push_back({"Content-Type", "text/event-stream"});
	if (!this->percent.empty()) headers.push_back(this->LoadField("1,0,64"));
	run.unframed = this->corruption == "unframed";
	if (run.unframed) run.exchange->EndBodyByClose();
	run.exchange->Start(200, headers, std::nullopt);
	this->running.push_back(std::move(run));
}

void SimulatedTarget::Step()
{
	if (this->stalled) return;
	for (auto it = this->running.begin(); it != this->running.end();) {
		Run &run = *it;
		if (NowMs() < run.next_at || run.exchange->Backlog() > MAX_UNREAD_BYTES) {
			++it;
			continue;
		}
		run.next_at = NowMs() + FLAGS_event_ms;
		run.made++;
		this->CheckWorksOn(run);
		std::string number = std::to_string(run.made);
		if (!this->muted)
			run.exchange->Write("id: " + number + "\ndata: " + run.attempt + "-" + number + Padding(FLAGS_event_bytes) + "\n\n");
		Exchange done = run.made >= run.length ? run.exchange : nullptr;
		it = done ? this->running.erase(it) : std::next(it);
		if (!done) continue;
		done->on_disconnect = nullptr;
		done->Finish();
	}
}

} // namespace cottonspool
