/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_call.cpp A completion request, from sending it to an engine to its answer. */

#include "instance/completion_call.h"
#include "instance/instance.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

static constexpr Duration RESUME_DELAY_STEP = std::chrono::milliseconds(100); ///< Added to the delay with each further attempt to resume.
static constexpr uint32_t MAX_RESUME_DELAY_STEPS = 10;                        ///< Attempts after which the delay no longer grows.
static constexpr double EXPECTED_TOKEN_INTERVAL_S = 0.2; ///< Interval between tokens, in seconds, above which a stall is counted.
static constexpr size_t MAX_CANCEL_ANSWER = 4096;        ///< Largest accepted answer to a cancellation, in bytes.

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
	const TargetRecord *record = this->instance.poller.Record(action.target);
	const TargetState &state = this->instance.dispatcher.Targets().Get(action.target);
	TimePoint now = MonotonicNow();
	if (record == nullptr) return this->FinishSend(SendOutcome::NotExecuted);
	this->engine = record->address;
	this->engine_name = state.name;
	this->engine_incarnation = state.report.incarnation;
	this->attempts++;
	this->sent = true;
	this->sent_at = now;
	this->carries_request = true;
	this->accepted_by_engine = false;
	this->resumes = 0;
	this->stream_lost_since = TimePoint{};
	if (this->attempts == 1)
		this->instance.metrics.Observe(Measure::QueueSeconds, this->account_name, this->spec.service_class,
		                               Seconds(now - this->spec.arrived));
	std::string generation = this->request_name + "." + std::to_string(this->attempts);
	this->ledger.Reset();
	this->ledger.Bind(generation);
	this->Trace("sent to " + this->engine_name + " as " + generation);
	HttpCall call;
	call.method = "POST";
	call.url = this->EngineUrl(this->request.chat ? "/v1/chat/completions" : "/v1/completions");
	call.headers = {
	        {"content-type", "application/json"}, {"Cottonspool-Generation", generation}, {"Cottonspool-Request", this->request_name}};
	call.body = FormatEngineBody(this->request, action.priority);
	call.fresh_connection = !this->spec.repeatable;
	call.first_byte_timeout = this->instance.settings.call.first_byte;
	this->OpenStream(std::move(call));
}

void CompletionCall::OpenStream(HttpCall call)
{
	std::weak_ptr<Call> weak = this->weak_from_this();
	auto with_self = [weak](auto run) {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (self && !self->concluded) run(*self);
	};
	call.connect_timeout = this->instance.settings.call.connect;
	// Before the first token the request may be queued at the engine, which is no stall.
	call.idle_timeout = this->ledger.Delivered() == 0 ? this->instance.settings.call.first_byte : this->instance.settings.call.stall;
	call.on_head = [with_self](int status, const HttpHeaders &headers) {
		with_self([&](CompletionCall &self) { self.OnHead(status, headers); });
	};
	call.on_data = [with_self](std::string_view data) { with_self([&](CompletionCall &self) { self.OnData(data); }); };
	call.on_end = [with_self](const HttpCallResult &end) { with_self([&](CompletionCall &self) { self.OnEnd(end); }); };
	this->parser.Reset();
	this->answer_status = 0;
	this->http_call = this->instance.client.Start(std::move(call));
}

void CompletionCall::OnHead(int status, const HttpHeaders &headers)
{
	this->answer_status = status;
	if (status == 200) {
		this->accepted_by_engine = true;
		return;
	}
	bool rejected = FindHeader(headers, "Cottonspool-Ran") == "no";
	uint64_t previous_call = this->http_call;
	this->http_call = 0;
	this->instance.client.Cancel(previous_call);
	if (this->carries_request) {
		this->Trace("engine answered " + std::to_string(status));
		if (rejected) return this->OnGenerationLost("rejected by " + this->engine_name, true);
		return this->CancelLostGeneration("engine answered " + std::to_string(status));
	}
	// The engine no longer knows the generation, so it cannot be resumed.
	this->CancelLostGeneration("generation lost at " + this->engine_name);
}

void CompletionCall::OnData(std::string_view data)
{
	if (this->answer_status != 200) return;
	bool fits = this->parser.Add(data);
	while (auto event = this->parser.Next()) {
		this->OnEvent(*event);
		if (this->concluded || this->http_call == 0) return;
	}
	if (!fits) this->OnStreamLost("event exceeds the size limit", false);
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
		return this->OnStreamLost("token missing", false);
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
		this->stall_seconds += std::max(0.0, wait - EXPECTED_TOKEN_INTERVAL_S);
	} else {
		double interval = Seconds(now - this->last_token);
		this->instance.metrics.Observe(Measure::TokenIntervalSeconds, this->account_name, service_class, interval);
		this->stall_seconds += std::max(0.0, interval - EXPECTED_TOKEN_INTERVAL_S);
	}
	this->last_token = now;
}

void CompletionCall::DeliverToken(const SseEvent &event)
{
	TimePoint now = MonotonicNow();
	this->MeasureToken(now);
	this->stream_lost_since = TimePoint{};
	this->resumes = 0;
	this->instance.dispatcher.OnToken(this->spec.id, now);
	std::optional<CompletionChunk> parsed_chunk = ParseCompletionChunk(event.data);
	if (parsed_chunk && !parsed_chunk->finish_reason.empty()) {
		this->finish_reason = parsed_chunk->finish_reason;
		this->finished = true;
	}
	if (!this->request.stream) {
		if (parsed_chunk) this->text += parsed_chunk->text;
		return;
	}
	if (!this->exchange->IsStarted()) {
		this->exchange->Start(200, {{"content-type", "text/event-stream"},
		                            {"cache-control", "no-cache"},
		                            {"Cottonspool-Ran", "yes"},
		                            {"Cottonspool-Request", this->request_name}});
	}
	this->exchange->Write("id: " + std::to_string(*event.id) + "\ndata: " + event.data + "\n\n");
	this->PauseOnBacklog();
}

void CompletionCall::PauseOnBacklog()
{
	if (this->paused || this->exchange->Backlog() < this->instance.settings.http.max_backlog_bytes) return;
	this->paused = true;
	this->instance.metrics.Count("cottonspool_streams_paused_total");
	this->instance.client.Pause(this->http_call, true);
	std::weak_ptr<Call> weak = this->weak_from_this();
	this->exchange->on_drained = [weak] {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (!self || self->concluded || !self->paused) return;
		self->paused = false;
		if (self->http_call != 0) self->instance.client.Pause(self->http_call, false);
	};
}

void CompletionCall::Complete()
{
	uint64_t previous_call = this->http_call;
	this->http_call = 0;
	this->instance.client.Cancel(previous_call);
	this->instance.metrics.Observe(Measure::StallSeconds, this->account_name, this->spec.service_class, this->stall_seconds);
	this->instance.metrics.Count("cottonspool_tokens_total", this->ledger.Delivered());
	this->Trace("complete after " + std::to_string(this->ledger.Delivered()) + " tokens");
	std::string body;
	if (this->request.stream) {
		this->exchange->Write("data: [DONE]\n\n");
		this->exchange->Finish();
	} else {
		body = FormatCompletionAnswer(this->request, this->ledger.Generation(), this->text, this->finish_reason, this->ledger.Delivered());
		this->exchange->Respond(
		        200, {{"content-type", "application/json"}, {"Cottonspool-Ran", "yes"}, {"Cottonspool-Request", this->request_name}}, body);
	}
	auto keep_alive = this->shared_from_this();
	this->FinishSend(SendOutcome::Complete);
	this->Conclude(ExecutionState::Yes, 200, "application/json", body);
}

void CompletionCall::OnEnd(const HttpCallResult &end)
{
	this->http_call = 0;
	this->OnStreamLost(end.message, end.kind == HttpCallOutcome::NotSent && this->carries_request);
}

void CompletionCall::OnStreamLost(const std::string &why, bool certainly_not_sent)
{
	if (this->http_call != 0) {
		uint64_t previous_call = this->http_call;
		this->http_call = 0;
		this->instance.client.Cancel(previous_call);
	}
	this->TraceLoss(this->engine_name, "stream lost after token " + std::to_string(this->ledger.Delivered()), why);
	if (certainly_not_sent) return this->OnGenerationLost("cannot reach " + this->engine_name, true);
	this->ScheduleResume(MonotonicNow());
}

void CompletionCall::ScheduleResume(TimePoint now)
{
	if (this->stream_lost_since == TimePoint{}) this->stream_lost_since = now;
	if (now - this->stream_lost_since > this->instance.settings.call.resume)
		return this->CancelLostGeneration("stream not resumed in time");
	this->resume_at = now + RESUME_DELAY_STEP * std::min(this->resumes, MAX_RESUME_DELAY_STEPS);
	this->resumes++;
	if (this->resumes == 1) this->Resume();
}

void CompletionCall::Resume()
{
	this->resume_at = TimePoint{};
	this->carries_request = false;
	this->instance.metrics.Count("cottonspool_resumes_total");
	HttpCall call;
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.headers = {{"Last-Event-ID", std::to_string(this->ledger.Delivered())}};
	call.first_byte_timeout = this->instance.settings.call.stall;
	this->OpenStream(std::move(call));
}

void CompletionCall::OnTick(TimePoint now)
{
	this->Call::OnTick(now);
	if (!this->concluded && this->resume_at != TimePoint{} && now >= this->resume_at) this->Resume();
}

void CompletionCall::CancelLostGeneration(const std::string &why)
{
	this->resume_at = TimePoint{};
	this->Trace("generation cancelled: " + why);
	auto body = std::make_shared<std::string>();
	std::weak_ptr<Call> weak = this->weak_from_this();
	HttpCall call;
	call.method = "DELETE";
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.connect_timeout = this->instance.settings.call.connect;
	call.total_timeout = this->instance.settings.call.stall;
	call.on_data = [body](std::string_view data) {
		if (body->size() + data.size() <= MAX_CANCEL_ANSWER) body->append(data);
	};
	call.on_end = [weak, why, body](const HttpCallResult &end) {
		auto self = std::static_pointer_cast<CompletionCall>(weak.lock());
		if (self && !self->concluded) self->OnCancelAnswer(why, end, *body);
	};
	this->instance.client.Start(std::move(call));
}

void CompletionCall::OnCancelAnswer(const std::string &why, const HttpCallResult &end, const std::string &body)
{
	nlohmann::json answer = nlohmann::json::parse(body, nullptr, false);
	// After a restart the engine does not know what it ran before, so "not begun" counts only from the same incarnation.
	bool answered = end.kind == HttpCallOutcome::Answered && end.status == 200 && answer.is_object();
	bool same = answered && !this->engine_incarnation.empty() && answer.value("incarnation", "") == this->engine_incarnation;
	bool not_begun = same && answer.contains("began") && answer["began"] == false;
	this->OnGenerationLost(why, not_begun && this->ledger.Delivered() == 0);
}

void CompletionCall::OnGenerationLost(const std::string &why, bool certainly_not_run)
{
	auto keep_alive = this->shared_from_this();
	bool partly_delivered = this->request.stream && this->ledger.Delivered() > 0;
	bool ran = this->accepted_by_engine || this->ledger.Delivered() > 0;
	if (!certainly_not_run) this->MarkOutcomeUnknown();
	if (certainly_not_run || (!partly_delivered && this->spec.repeatable)) {
		this->text.clear();
		this->finished = false;
		this->stall_seconds = 0;
		this->ledger.Reset();
		return this->FinishSend(certainly_not_run ? SendOutcome::NotExecuted : SendOutcome::Lost);
	}
	CallFailure failure{502, "generation-lost", why + "; the answer is incomplete", ran ? ExecutionState::Yes : ExecutionState::Unknown,
	                    std::nullopt};
	if (partly_delivered) {
		this->exchange->Write(FormatFailureEvent(failure, this->request_name));
		this->exchange->Finish();
		this->Trace("incomplete stream ended with an error event");
		this->instance.metrics.Count("cottonspool_streams_incomplete_total");
	}
	this->FinishSend(SendOutcome::LostAfterDelivery);
	if (partly_delivered) return this->Conclude(failure.ran, failure.status, "", "");
	this->Fail(failure);
}

void CompletionCall::CancelAtEngine()
{
	if (this->http_call != 0) this->instance.client.Cancel(this->http_call);
	this->http_call = 0;
	if (this->engine.empty() || this->ledger.Generation().empty()) return;
	HttpCall call;
	call.method = "DELETE";
	call.url = this->EngineUrl("/v1/generations/" + this->ledger.Generation());
	call.total_timeout = this->instance.settings.call.stall;
	this->instance.client.Start(std::move(call));
}

void CompletionCall::OnCallerDisconnected()
{
	if (!this->sent) return;
	this->CancelAtEngine();
	this->FinishSend(SendOutcome::CallerDisconnected);
}

} // namespace cottonspool
