/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_relay.cpp Streams a generation. */

#include "gateway/stream_relay.h"
#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

StreamRelay::StreamRelay(Gateway &gateway, std::shared_ptr<FrontExchange> exchange, RelayRequest request)
    : RelayCall(gateway, std::move(exchange), std::move(request)), schedule(gateway.limits.migration)
{
}

bool StreamRelay::OnHead(uint64_t from, const HttpHead &head)
{
	if (this->concluded) return true;
	if (from == this->migration.resume_call) return this->OnResumeHead(head);
	if (from != this->upstream_call) return true;
	if (!this->AnswersThisRequest(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	if (this->target) this->gateway.OnAnswerHead(this->request, *this->target, info, this->sent_at);
	this->streaming = head.status == 200 && info.stamped;
	this->answer_head = head;
	if (this->streaming) this->streaming_since = MonotonicNow();
	if (this->streaming) this->StartAnswer(head);
	return true;
}

void StreamRelay::StartAnswer(const HttpHead &head)
{
	if (this->exchange->IsStarted()) return;
	this->exchange->Start(head.status, this->AnswerHeaders(head), std::nullopt, head.reason);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	this->exchange->on_drained = [weak] {
		auto self = std::static_pointer_cast<StreamRelay>(weak.lock());
		if (self) self->UpdateFlowControl();
	};
}

void StreamRelay::OnBody(uint64_t from, std::string_view bytes)
{
	if (this->concluded || from != this->upstream_call) return;
	if (!this->streaming) {
		this->answer_body.append(bytes);
		this->exchange->SetBuffered(this->answer_body.capacity());
		bool too_large = this->answer_body.size() > this->gateway.limits.max_buffered_answer_bytes;
		return too_large ? this->BreakOffAnswer("the body of a failure exceeds its size limit") : void();
	}
	auto keep = this->shared_from_this();
	if (this->target) this->gateway.OnTargetAnswered(this->request);
	if (!this->splitter.Add(bytes)) return this->FailRun("event exceeds the size limit");
	this->ForwardEvents();
	this->UpdateFlowControl();
}

void StreamRelay::ForwardEvents()
{
	TimePoint now = MonotonicNow();
	bool awaited = this->schedule.AwaitsEvent();
	while (std::optional<RawEvent> event = this->splitter.Next()) this->ForwardEvent(*event, now);
	if (awaited && !this->schedule.AwaitsEvent()) this->TryMigrate(now);
}

void StreamRelay::ForwardEvent(const RawEvent &event, TimePoint now)
{
	// A resumed run repeats events, which show that it runs.
	if (event.id) this->schedule.OnEvent();
	if (event.id && this->has_event && *event.id <= this->last_event) return;
	this->exchange->Write(event.bytes);
	if (!event.id) return;
	const std::string &account = this->request.account;
	if (!this->has_event) {
		Duration first = now - this->request.spec.arrived;
		this->first_event_after = first;
		this->gateway.metrics.Observe(Measure::FirstTokenSeconds, account, this->request.spec.service_class, Seconds(first));
	} else {
		Duration gap = now - this->last_event_at;
		this->longest_gap = std::max(this->longest_gap, gap);
		this->gateway.metrics.Observe(Measure::TokenIntervalSeconds, account, this->request.spec.service_class, Seconds(gap));
	}
	this->has_event = true;
	this->last_event = *event.id;
	this->last_event_at = now;
	this->events++;
	if (!this->survived && this->Stage() == RunStage::Stable) {
		this->survived = true;
		this->gateway.OnRunSurvived(this->request.spec.features, this->sent_at);
	}
	bool first = this->events == 1;
	this->gateway.dispatcher.OnToken(this->request.spec.id, now, this->request.engines.tokens_per_event);
	if (this->target) this->gateway.OnCallProgress(this->request, *this->target, first);
}

void StreamRelay::UpdateFlowControl()
{
	if (this->concluded) return;
	bool pause = this->held_back || this->exchange->Backlog() > this->gateway.ActiveFrontLimits().max_backlog_bytes;
	if (pause == this->paused) return;
	this->paused = pause;
	if (this->upstream_call != 0) this->gateway.upstream.SetReading(this->upstream_call, !pause);
}

void StreamRelay::OnEnd(uint64_t from, UpstreamEnd end, const char *cause)
{
	auto keep = this->shared_from_this();
	if (from == this->migration.resume_call) {
		this->migration.resume_call = 0;
		if (!this->concluded) this->OnResumeEnd(end, cause);
		return;
	}
	if (from != this->upstream_call) return;
	this->upstream_call = 0;
	if (!this->concluded) this->OnRunEnd(end, cause);
}

void StreamRelay::OnRunEnd(UpstreamEnd end, const char *cause)
{
	if (IsCertainlyUnsent(end) && this->target) {
		this->gateway.OnTargetUnreachable(*this->target);
		return this->FinishSend(SendOutcome::NotSent);
	}
	if (end == UpstreamEnd::Complete && !this->streaming) return this->ForwardErrorAnswer();
	bool whole = end == UpstreamEnd::Complete && !this->splitter.IsInsideEvent();
	// Without a length and chunks, the stream of a stopped run ends like a complete one.
	if (whole && (this->IsFramed() || !this->IsBeingStopped())) return this->Finish();
	// So may the connection of a crashed engine.
	if (end == UpstreamEnd::Complete) cause = "the stream ended inside an event";
	if (this->IsBeingStopped()) return this->OnStoppedStreamEnd(whole, cause);
	if (this->passed_to) return this->OnPassBroken(end, cause);
	this->gateway.OnSendInterrupted(this->request, *this->target, this->Stage(), MonotonicNow());
	if (this->IsQuarantined()) return this->FailRun(cause);
	// The run resumes from its copy, even if that is still in progress.
	if (this->migration.phase != MigrationPhase::None) return this->LogMigration("source-lost", cause);
	if (this->ResumeFromBackup(cause, MonotonicNow())) return;
	this->FailRun(cause);
}

RunStage StreamRelay::Stage() const
{
	if (!this->streaming) return RunStage::Waiting;
	// Measured between events, as a suspended instance notices the interruption long after it.
	bool stable = this->has_event && this->last_event_at - this->streaming_since >= this->gateway.limits.crash_suspect_window;
	return stable ? RunStage::Stable : RunStage::Started;
}

void StreamRelay::ForwardErrorAnswer()
{
	if (this->passed_to && this->SettlePassedAnswer(this->answer_head)) return;
	AnswerInfo info = ReadAnswer(this->answer_head);
	int status = this->answer_head.status;
	if (info.not_executed) return this->FinishSend(NotExecutedOutcome(info));
	bool claims_not_executed = status == 503 || status == 429 || status == 408 || status == 421;
	this->FinishSend(SendOutcome::Failed);
	if (this->concluded) return;
	if (claims_not_executed || status / 100 == 2) return this->Fail(502, "answer-unusable");
	this->exchange->Respond(status, this->AnswerHeaders(this->answer_head), this->answer_body, this->answer_head.reason);
	this->Conclude("answered", status);
}

void StreamRelay::Finish()
{
	size_t remainder = this->splitter.RemainderBytes();
	this->exchange->Write(this->splitter.TakeRemainder());
	this->exchange->Finish();
	this->CancelAuxiliaryCalls();
	// Without a length and chunks, the connection of a crashed engine may end like that of a complete answer.
	if (!this->survived && this->IsFramed() && this->target) this->gateway.OnRunEnded(this->request, *this->target, this->sent_at);
	Log(LogLevel::Info, "streamed",
	    {{"request", this->request.info.attempt},
	     {"framing", FramingName(this->answer_head)},
	     {"remainder_bytes", std::to_string(remainder)},
	     {"events", std::to_string(this->events)},
	     {"first_ms", FormatMilliseconds(this->first_event_after)},
	     {"longest_gap_ms", FormatMilliseconds(this->longest_gap)},
	     {"moves", std::to_string(this->migrations)}});
	this->FinishSend(SendOutcome::Complete);
	this->gateway.OnAnsweredSuccessfully(this->request);
	this->Conclude("answered", 200);
}

void StreamRelay::FailRun(const char *cause)
{
	Log(LogLevel::Warning, "run-lost",
	    {{"request", this->request.info.attempt},
	     {"target", this->target ? this->gateway.dispatcher.Targets().Get(*this->target).name : ""},
	     {"events", std::to_string(this->events)},
	     {"moves", std::to_string(this->migrations)},
	     {"copy_kept", this->backup ? "yes" : "no"},
	     {"framing", FramingName(this->answer_head)},
	     {"remainder_bytes", std::to_string(this->splitter.RemainderBytes())},
	     {"cause", cause}});
	this->CancelAuxiliaryCalls();
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->FinishSend(this->has_event ? SendOutcome::LostAfterDelivery : SendOutcome::Lost);
	this->Fail(502, "run-lost");
}

void StreamRelay::OnTick(TimePoint now)
{
	if (this->concluded) return;
	auto keep = this->shared_from_this();
	if (this->migration.phase == MigrationPhase::Stopping) this->RepeatStop(now);
	if (this->migration.phase == MigrationPhase::Resuming) this->CancelSource();
	if (this->migration.phase == MigrationPhase::None) this->TryMigrate(now);
	if (this->migration.phase == MigrationPhase::None && this->IsStalled(now)) this->ResumeFromBackup("silent", now);
	if (!this->concluded) RelayCall::OnTick(now);
}

} // namespace cottonspool
