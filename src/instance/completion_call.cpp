/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_call.cpp A completion request, from sending it to an engine to its answer. */

#include "instance/completion_call.h"
#include "instance/instance.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

static constexpr Duration RESUME_PAUSE = std::chrono::milliseconds(100); ///< Added to the delay with each further attempt to resume.
static constexpr uint32_t MAX_PAUSES = 10;                               ///< Attempts after which the delay no longer grows.
static constexpr double EXPECTED_INTERVAL = 0.2;  ///< Interval between tokens, in seconds, above which a stall is counted.
static constexpr size_t MAX_CANCEL_ANSWER = 4096; ///< Largest accepted answer to a cancellation, in bytes.

CompletionCall::CompletionCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
                               std::string account_name, CompletionRequest request)
    : Call(instance, std::move(exchange), std::move(spec), std::move(request_name), std::move(account_name)), request(std::move(request))
{
}

std::string CompletionCall::EngineUrl(const std::string &path) const
{
	return "http://" + this->engine + path;
}

void CompletionCall::OnSend(const SendAction &action)
{
	const TargetRecord *record = this->instance.watch.Record(action.target);
	const TargetState &state = this->instance.dispatcher.Targets().Get(action.target);
	TimePoint now = MonotonicNow();
	if (record == nullptr) return this->EndSend(SendEnd::NotRun);
	this->engine = record->address;
	this->engine_name = state.name;
	this->engine_incarnation = state.report.incarnation;
	this->attempts++;
	this->sent = true;
	this->sent_at = now;
	this->first_link = true;
	this->confirmed = false;
	this->resumes = 0;
	this->lost_since = TimePoint{};
	if (this->attempts == 1)
		this->instance.metrics.Observe(Measure::QueueSeconds, this->account_name, this->spec.service_class,
		                               Seconds(now - this->spec.arrived));
	std::string generation = this->request_name + "." + std::to_string(this->attempts);
	this->ledger.Reset();
	this->ledger.Bind(generation);
	this->Note("sent to " + this->engine_name + " as " + generation);
	HttpCall call;
	call.method = "POST";
	call.url = this->EngineUrl(this->request.chat ? "/v1/chat/completions" : "/v1/completions");
	call.headers = {
	        {"content-type", "application/json"}, {"Cottonspool-Generation", generation}, {"Cottonspool-Request", this->request_name}};
	call.body = EngineBody(this->request, action.priority);
	call.single_send = !this->spec.repeatable;
	call.first_byte_limit = this->instance.settings.call.first_byte;
	this->StartLink(std::move(call));
}

void CompletionCall::StartLink(HttpCall call)
{
	std::weak_ptr<Call> weak = this->weak_from_this();
	auto with_self = [weak](auto run) {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (self && !self->over) run(*self);
	};
	call.connect_limit = this->instance.settings.call.connect;
	// Before the first token the request may be queued at the engine, which is no stall.
	call.idle_limit = this->ledger.Delivered() == 0 ? this->instance.settings.call.first_byte : this->instance.settings.call.stall;
	call.on_head = [with_self](int status, const HttpHeaders &headers) {
		with_self([&](CompletionCall &self) { self.OnHead(status, headers); });
	};
	call.on_data = [with_self](std::string_view data) { with_self([&](CompletionCall &self) { self.OnData(data); }); };
	call.on_end = [with_self](const HttpEnd &end) { with_self([&](CompletionCall &self) { self.OnEnd(end); }); };
	this->parser.Reset();
	this->link_status = 0;
	this->link = this->instance.client.Start(std::move(call));
}

void CompletionCall::OnHead(int status, const HttpHeaders &headers)
{
	this->link_status = status;
	if (status == 200) {
		this->confirmed = true;
		return;
	}
	bool refused = FindHeader(headers, "Cottonspool-Ran") == "no";
	uint64_t ended = this->link;
	this->link = 0;
	this->instance.client.Cancel(ended);
	if (this->first_link) {
		this->Note("engine answered " + std::to_string(status));
		if (refused) return this->EndLost("rejected by " + this->engine_name, true);
		return this->GiveUpGeneration("engine answered " + std::to_string(status));
	}
	// The engine no longer knows the generation, so it cannot be resumed.
	this->GiveUpGeneration("generation lost at " + this->engine_name);
}

void CompletionCall::OnData(std::string_view data)
{
	if (this->link_status != 200) return;
	bool fits = this->parser.Add(data);
	while (auto event = this->parser.Next()) {
		this->OnEvent(*event);
		if (this->over || this->link == 0) return;
	}
	if (!fits) this->LinkLost("event exceeds the size limit", false);
}

void CompletionCall::OnEvent(const SseEvent &event)
{
	if (event.data == "[DONE]") {
		if (this->finished) this->Complete();
		return;
	}
	if (!event.id) return;
	switch (this->ledger.Accept(this->ledger.Generation(), *event.id)) {
	case TokenVerdict::Deliver:
		return this->DeliverToken(event);
	case TokenVerdict::Gap:
		return this->LinkLost("token missing", false);
	case TokenVerdict::Duplicate:
	case TokenVerdict::Foreign:
		this->instance.metrics.Count("cottonspool_tokens_dropped_total");
		return;
	}
}

void CompletionCall::MeasureToken(TimePoint now)
{
	ServiceClass service_class = this->spec.service_class;
	if (this->ledger.Delivered() == 1) {
		double wait = Seconds(now - this->spec.arrived);
		this->instance.metrics.Observe(Measure::FirstTokenSeconds, this->account_name, service_class, wait);
		this->stalled += std::max(0.0, wait - EXPECTED_INTERVAL);
	} else {
		double interval = Seconds(now - this->last_token);
		this->instance.metrics.Observe(Measure::TokenIntervalSeconds, this->account_name, service_class, interval);
		this->stalled += std::max(0.0, interval - EXPECTED_INTERVAL);
	}
	this->last_token = now;
}

void CompletionCall::DeliverToken(const SseEvent &event)
{
	TimePoint now = MonotonicNow();
	this->MeasureToken(now);
	this->lost_since = TimePoint{};
	this->resumes = 0;
	this->instance.dispatcher.OnToken(this->spec.id, now);
	std::optional<CompletionPiece> piece = ParsePiece(event.data);
	if (piece && !piece->finish_reason.empty()) {
		this->finish_reason = piece->finish_reason;
		this->finished = true;
	}
	if (!this->request.stream) {
		if (piece) this->text += piece->text;
		return;
	}
	if (!this->exchange->IsStarted()) {
		this->exchange->Start(200, {{"content-type", "text/event-stream"},
		                            {"cache-control", "no-cache"},
		                            {"Cottonspool-Ran", "yes"},
		                            {"Cottonspool-Request", this->request_name}});
	}
	this->exchange->Write("id: " + std::to_string(*event.id) + "\ndata: " + event.data + "\n\n");
	this->PauseIfSlow();
}

void CompletionCall::PauseIfSlow()
{
	if (this->paused || this->exchange->Backlog() < this->instance.settings.http.max_backlog_bytes) return;
	this->paused = true;
	this->instance.metrics.Count("cottonspool_streams_paused_total");
	this->instance.client.Pause(this->link, true);
	std::weak_ptr<Call> weak = this->weak_from_this();
	this->exchange->on_drained = [weak] {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (!self || self->over || !self->paused) return;
		self->paused = false;
		if (self->link != 0) self->instance.client.Pause(self->link, false);
	};
}

void CompletionCall::Complete()
{
	uint64_t ended = this->link;
	this->link = 0;
	this->instance.client.Cancel(ended);
	this->instance.metrics.Observe(Measure::StallSeconds, this->account_name, this->spec.service_class, this->stalled);
	this->instance.metrics.Count("cottonspool_tokens_total", this->ledger.Delivered());
	this->Note("complete after " + std::to_string(this->ledger.Delivered()) + " tokens");
	std::string body;
	if (this->request.stream) {
		this->exchange->Write("data: [DONE]\n\n");
		this->exchange->Finish();
	} else {
		body = WholeAnswer(this->request, this->ledger.Generation(), this->text, this->finish_reason, this->ledger.Delivered());
		this->exchange->Respond(
		        200, {{"content-type", "application/json"}, {"Cottonspool-Ran", "yes"}, {"Cottonspool-Request", this->request_name}}, body);
	}
	auto keep = this->shared_from_this();
	this->EndSend(SendEnd::Complete);
	this->Conclude(RanState::Yes, 200, "application/json", body);
}

void CompletionCall::OnEnd(const HttpEnd &end)
{
	this->link = 0;
	this->LinkLost(end.message, end.kind == HttpEndKind::NotSent && this->first_link);
}

void CompletionCall::LinkLost(const std::string &why, bool certainly_not_sent)
{
	if (this->link != 0) {
		uint64_t ended = this->link;
		this->link = 0;
		this->instance.client.Cancel(ended);
	}
	this->Note("stream lost after token " + std::to_string(this->ledger.Delivered()) + ": " + why);
	if (certainly_not_sent) return this->EndLost("cannot reach " + this->engine_name, true);
	this->ScheduleResume(MonotonicNow());
}

void CompletionCall::ScheduleResume(TimePoint now)
{
	if (this->lost_since == TimePoint{}) this->lost_since = now;
	if (now - this->lost_since > this->instance.settings.call.resume) return this->GiveUpGeneration("stream not resumed in time");
	this->resume_at = now + RESUME_PAUSE * std::min(this->resumes, MAX_PAUSES);
	this->resumes++;
	if (this->resumes == 1) this->Resume();
}

void CompletionCall::Resume()
{
	this->resume_at = TimePoint{};
	this->first_link = false;
	this->instance.metrics.Count("cottonspool_resumes_total");
	HttpCall call;
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.headers = {{"Last-Event-ID", std::to_string(this->ledger.Delivered())}};
	call.first_byte_limit = this->instance.settings.call.stall;
	this->StartLink(std::move(call));
}

void CompletionCall::OnTick(TimePoint now)
{
	this->Call::OnTick(now);
	if (!this->over && this->resume_at != TimePoint{} && now >= this->resume_at) this->Resume();
}

void CompletionCall::GiveUpGeneration(const std::string &why)
{
	this->resume_at = TimePoint{};
	this->Note("generation cancelled: " + why);
	auto body = std::make_shared<std::string>();
	std::weak_ptr<Call> weak = this->weak_from_this();
	HttpCall call;
	call.method = "DELETE";
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.connect_limit = this->instance.settings.call.connect;
	call.total_limit = this->instance.settings.call.stall;
	call.on_data = [body](std::string_view data) {
		if (body->size() + data.size() <= MAX_CANCEL_ANSWER) body->append(data);
	};
	call.on_end = [weak, why, body](const HttpEnd &end) {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (self && !self->over) self->OnCancelAnswer(why, end, *body);
	};
	this->instance.client.Start(std::move(call));
}

void CompletionCall::OnCancelAnswer(const std::string &why, const HttpEnd &end, const std::string &body)
{
	nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
	// After a restart the engine does not know what it ran before, so "not begun" counts only from the same incarnation.
	bool answered = end.kind == HttpEndKind::Answered && end.status == 200 && answer.is_object();
	bool same = answered && !this->engine_incarnation.empty() && answer.value("incarnation", "") == this->engine_incarnation;
	bool not_begun = same && answer.contains("began") && answer["began"] == false;
	this->EndLost(why, not_begun && this->ledger.Delivered() == 0);
}

void CompletionCall::EndLost(const std::string &why, bool certainly_not_run)
{
	auto keep = this->shared_from_this();
	bool shown = this->request.stream && this->ledger.Delivered() > 0;
	bool ran = this->confirmed || this->ledger.Delivered() > 0;
	if (!certainly_not_run) this->MarkDoubtful();
	if (certainly_not_run || (!shown && this->spec.repeatable)) {
		this->text.clear();
		this->finished = false;
		this->stalled = 0;
		this->ledger.Reset();
		return this->EndSend(certainly_not_run ? SendEnd::NotRun : SendEnd::Lost);
	}
	CallFailure failure{502, "generation-lost", why + "; the answer is incomplete", ran ? RanState::Yes : RanState::Unknown, std::nullopt};
	if (shown) {
		this->exchange->Write(FailureEvent(failure, this->request_name));
		this->exchange->Finish();
		this->Note("incomplete stream ended with an error event");
		this->instance.metrics.Count("cottonspool_streams_incomplete_total");
	}
	this->EndSend(SendEnd::LostAfterUse);
	if (shown) return this->Conclude(failure.ran, failure.status, "", "");
	this->Fail(failure);
}

void CompletionCall::CancelAtEngine()
{
	if (this->link != 0) this->instance.client.Cancel(this->link);
	this->link = 0;
	if (this->engine.empty() || this->ledger.Generation().empty()) return;
	HttpCall call;
	call.method = "DELETE";
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.total_limit = this->instance.settings.call.stall;
	this->instance.client.Start(std::move(call));
}

void CompletionCall::OnCallerGone()
{
	if (!this->sent) return;
	this->CancelAtEngine();
	this->EndSend(SendEnd::CallerGone);
}

} // namespace cottonspool
