/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_relay.cpp A generation passed on event by event. */

#include "gateway/stream_relay.h"
#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

bool StreamRelay::OnHead(uint64_t from, const HttpHead &head)
{
	if (this->concluded) return true;
	if (from == this->move.resume_call) return this->OnResumeHead(head);
	if (from != this->upstream_call) return true;
	if (!this->AnswersThisRequest(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	this->gateway.OnAnswerHead(this->request, *this->target, info, this->sent_at);
	this->streaming = head.status == 200 && info.stamped;
	this->answer_head = head;
	if (this->streaming) this->streaming_since = MonotonicNow();
	if (this->streaming) this->StartAnswer(head);
	return true;
}

void StreamRelay::StartAnswer(const HttpHead &head)
{
	if (this->exchange->IsStarted()) return;
	this->exchange->Start(head.status, HeadersForCaller(head.headers), std::nullopt, head.reason);
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
		this->answer_body.append(bytes.substr(0, this->gateway.limits.max_buffered_answer_bytes));
		return;
	}
	auto keep = this->shared_from_this();
	if (!this->splitter.Add(bytes)) return this->FailRun("an event longer than the bound");
	this->ForwardEvents();
	this->UpdateFlowControl();
}

void StreamRelay::ForwardEvents()
{
	TimePoint now = MonotonicNow();
	while (std::optional<RawEvent> event = this->splitter.Next()) this->ForwardEvent(*event, now);
}

void StreamRelay::ForwardEvent(const RawEvent &event, TimePoint now)
{
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
	bool first = this->events == 1;
	this->gateway.dispatcher.OnToken(this->request.spec.id, now, this->request.engines.tokens_per_event);
	if (this->target) this->gateway.OnCallProgress(this->request, *this->target, first);
}

void StreamRelay::UpdateFlowControl()
{
	if (this->concluded) return;
	bool pause = this->exchange->Backlog() > this->gateway.ActiveFrontLimits().max_backlog_bytes;
	if (pause == this->paused) return;
	this->paused = pause;
	if (this->upstream_call != 0) this->gateway.upstream.SetReading(this->upstream_call, !pause);
}

void StreamRelay::OnEnd(uint64_t from, UpstreamEnd end, const char *cause)
{
	auto keep = this->shared_from_this();
	if (from == this->move.resume_call) {
		this->move.resume_call = 0;
		if (!this->concluded) this->OnResumeEnd(end, cause);
		return;
	}
	if (from != this->upstream_call) return;
	this->upstream_call = 0;
	if (!this->concluded) this->OnRunEnd(end, cause);
}

void StreamRelay::OnRunEnd(UpstreamEnd end, const char *cause)
{
	if (IsCertainlyUnsent(end)) return this->FinishSend(SendOutcome::NotSent);
	if (end == UpstreamEnd::Complete && this->streaming) return this->Finish();
	if (end == UpstreamEnd::Complete) return this->ForwardErrorAnswer();
	this->gateway.OnSendInterrupted(this->request, *this->target, this->Stage(), MonotonicNow());
	if (this->IsQuarantined()) return this->FailRun(cause);
	// A run whose memory has been, or is being, copied goes on from the copy.
	if (this->move.phase != MigrationPhase::None) return this->LogMigration("source-lost", cause);
	if (this->ResumeFromBackup(cause, MonotonicNow())) return;
	this->FailRun(cause);
}

RunStage StreamRelay::Stage() const
{
	if (!this->streaming) return RunStage::Waiting;
	// What counts is for how long events came: an instance that was suspended finds the break long after it.
	bool well = this->has_event && this->last_event_at - this->streaming_since >= this->gateway.limits.crash_suspect_window;
	return well ? RunStage::Stable : RunStage::Started;
}

void StreamRelay::ForwardErrorAnswer()
{
	AnswerInfo info = ReadAnswer(this->answer_head);
	int status = this->answer_head.status;
	if (info.not_executed) return this->FinishSend(NotExecutedOutcome(info));
	bool promises = status == 503 || status == 429 || status == 408 || status == 421;
	this->FinishSend(SendOutcome::Failed);
	if (this->concluded) return;
	if (promises || status / 100 == 2) return this->Fail(502, "answer-unusable");
	this->exchange->Respond(status, HeadersForCaller(this->answer_head.headers), this->answer_body, this->answer_head.reason);
	this->Conclude("answered", status);
}

void StreamRelay::Finish()
{
	this->exchange->Write(this->splitter.TakeRemainder());
	this->exchange->Finish();
	this->CancelAuxiliaryCalls();
	Log(LogLevel::Info, "streamed",
	    {{"request", this->request.info.attempt},
	     {"events", std::to_string(this->events)},
	     {"first_ms", FormatMilliseconds(this->first_event_after)},
	     {"longest_gap_ms", FormatMilliseconds(this->longest_gap)},
	     {"moves", std::to_string(this->moves)}});
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
	     {"moves", std::to_string(this->moves)},
	     {"copy_kept", this->backup ? "yes" : "no"},
	     {"cause", cause}});
	this->CancelAuxiliaryCalls();
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->FinishSend(this->has_event ? SendOutcome::LostAfterDelivery : SendOutcome::Lost);
	this->Fail(502, "run-lost");
}

void StreamRelay::CancelAuxiliaryCalls()
{
	if (this->move.resume_call != 0) this->gateway.upstream.Cancel(this->move.resume_call);
	if (this->move.call != 0) this->gateway.upstream.Cancel(this->move.call);
	bool unused = !this->move.handle.empty() && this->target;
	if (unused) {
		const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
		this->gateway.upstream.Start(MakeReleaseCall(this->gateway.AddressOf(*this->target), name, this->move.handle));
	}
	this->ResetMigration();
}

void StreamRelay::ResetMigration()
{
	if (this->move.counted) this->gateway.OnCopyFinished(this->request, this->move.to);
	this->move = Migration{};
}

void StreamRelay::OnTick(TimePoint now)
{
	if (this->concluded) return;
	auto keep = this->shared_from_this();
	if (this->move.phase == MigrationPhase::Resuming) this->CancelSource();
	if (this->move.phase == MigrationPhase::None) this->TryMigrate(now);
	if (this->move.phase == MigrationPhase::None && this->IsStalled(now)) this->ResumeFromBackup("silent", now);
	if (!this->concluded) RelayCall::OnTick(now);
}

void StreamRelay::OnTargetDraining(TimePoint now)
{
	this->TryMigrate(now);
}

void StreamRelay::TryMigrate(TimePoint now)
{
	if (this->concluded || !this->target || this->upstream_call == 0 || !this->request.engines.can_migrate ||
	    !this->gateway.limits.use_migration)
		return;
	if (this->move.phase != MigrationPhase::None || now < this->move.not_before) return;
	const TargetState &source = this->gateway.dispatcher.Targets().Get(*this->target);
	// Runs of a hall that is emptied end there: moving them out serves no more callers.
	if (!source.restrictions.draining || now < source.restrictions.paused_until) return;
	auto flight = source.in_flight.find(this->request.spec.id);
	if (flight == source.in_flight.end()) return;
	// A run that has begun and ends soon is done before a copy of it would be.
	double interval = source.interval > 0 ? source.interval : 0.01;
	if (this->has_event && FromSeconds(flight->second.residual * interval) < this->gateway.limits.migration_min_remaining) return;
	if (this->ResumeFromBackup("leaving", now)) return;
	if (!this->move.copy_not_before) this->move.copy_not_before = now + this->MigrationCopyDelay();
	if (now < *this->move.copy_not_before) return;
	std::optional<TargetNumber> to = this->gateway.dispatcher.ChooseMigrationTarget(this->request.spec.id, this->move.refused, now);
	if (!to) {
		this->move.refused.clear();
		this->move.not_before = now + this->gateway.limits.migration_retry_delay;
		return this->LogMigration("no-engine", "none has room");
	}
	this->move.phase = MigrationPhase::Copying;
	this->move.to = *to;
	this->move.begun = now;
	this->move.tries++;
	this->move.counted = this->gateway.limits.count_pending_copies;
	if (this->move.counted) this->gateway.OnCopyStarted(this->request, *to);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	auto done = [weak](const MigrationAnswer &answer) {
		auto self = std::static_pointer_cast<StreamRelay>(weak.lock());
		if (!self || self->concluded) return;
		self->move.call = 0;
		self->OnCopied(answer);
	};
	this->move.call =
	        this->gateway.upstream.Start(MakeMigrationCall(this->gateway.AddressOf(*this->target), source.name, this->request.info.attempt,
	                                                       this->gateway.AddressOf(*to).Text(), false, done));
	this->LogMigration("copy", "asked");
}

Duration StreamRelay::MigrationCopyDelay() const
{
	const GatewayLimits &limits = this->gateway.limits;
	Duration wait =
	        this->gateway.dispatcher.MigrationCopyDelay(this->request.spec.id, this->request.engines, limits.migration_min_remaining);
	return FromSeconds(Seconds(wait) * limits.copy_lead_fraction);
}

void StreamRelay::OnCopied(const MigrationAnswer &answer)
{
	auto keep = this->shared_from_this();
	Duration pause = this->gateway.limits.migration_retry_delay;
	switch (answer.kind) {
	case MigrationAnswer::Kind::Copied:
		this->move.handle = answer.handle;
		this->move.copied_events = answer.events;
		this->LogMigration("copy", "done");
		if (!this->MayResumeAt(this->move.to)) return this->DiscardCopy();
		return this->Resume({this->gateway.AddressOf(*this->target).Text(), answer.handle, this->last_event}, MonotonicNow());
	case MigrationAnswer::Kind::NoCapacity:
		this->move.refused.push_back(this->move.to);
		return this->FailMigration("no-room", Duration(0));
	case MigrationAnswer::Kind::NoRun:
		return this->FailMigration("no-run-yet", pause);
	case MigrationAnswer::Kind::Busy:
		return this->FailMigration("busy", pause);
	case MigrationAnswer::Kind::NoAnswer:
		return this->FailMigration("no-answer", pause);
	}
}

bool StreamRelay::MayResumeAt(TargetNumber to) const
{
	CallSpec run = this->request.spec;
	run.halls = this->gateway.HallsFor(this->request);
	if (run.halls.empty() || this->IsQuarantined()) return false;
	run.exclude_cold = true;
	return this->gateway.dispatcher.Targets().IsEligible(this->gateway.dispatcher.Targets().Get(to), run, MonotonicNow());
}

void StreamRelay::DiscardCopy()
{
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	this->gateway.upstream.Start(MakeReleaseCall(this->gateway.AddressOf(*this->target), name, this->move.handle));
	this->move.refused.push_back(this->move.to);
	this->FailMigration("not-usable-any-more", Duration(0));
}

void StreamRelay::FailMigration(const char *why, Duration pause)
{
	this->LogMigration("failed", why);
	this->move.phase = MigrationPhase::None;
	if (this->move.counted) this->gateway.OnCopyFinished(this->request, this->move.to);
	this->move.counted = false;
	this->move.handle.clear();
	this->move.not_before = MonotonicNow() + pause;
	if (this->upstream_call == 0) this->FailRun(why);
}

void StreamRelay::Resume(const ResumePoint &point, TimePoint now)
{
	this->move.phase = MigrationPhase::Resuming;
	this->move.backup = this->ChooseBackupFor(this->move.to, now);
	this->gateway.dispatcher.Targets().OnRequestSent(this->move.to, now);
	this->move.resume_call = this->StartUpstream(this->move.to, point, this->move.backup);
	this->CancelSource();
}

void StreamRelay::CancelSource()
{
	// What the old run still makes, the new one makes again before it comes to anything new: the caller would wait for that.
	if (this->upstream_call == 0 || !this->gateway.upstream.IsConnected(this->move.resume_call)) return;
	this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
}

bool StreamRelay::ResumeFromBackup(const char *why, TimePoint now)
{
	if (!this->backup || !this->target) return false;
	TargetNumber at = *this->backup;
	// A copy serves once, and one that leaves with its engine is of no use.
	this->backup.reset();
	if (!this->MayResumeAt(at)) return false;
	this->ResetMigration();
	this->move.to = at;
	this->move.begun = now;
	this->Resume({this->gateway.AddressOf(at).Text(), this->request.info.attempt, this->last_event}, now);
	this->LogMigration("from-copy", why);
	return true;
}

bool StreamRelay::IsStalled(TimePoint now) const
{
	if (!this->backup || !this->has_event || this->paused || this->upstream_call == 0) return false;
	Duration good = this->request.route.gap_objective;
	return good > Duration(0) && now - this->last_event_at > FromSeconds(Seconds(good) * this->gateway.limits.silence_fraction);
}

bool StreamRelay::OnResumeHead(const HttpHead &head)
{
	if (!this->AnswersThisRequest(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	this->gateway.OnAnswerHead(this->request, this->move.to, info, this->move.begun);
	if (head.status == 200 && info.stamped) {
		this->SwitchToNewEngine();
		this->StartAnswer(head);
	} else {
		this->LogMigration("refused", std::to_string(head.status).c_str());
	}
	return true;
}

void StreamRelay::SwitchToNewEngine()
{
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = this->move.resume_call;
	this->splitter.TakeRemainder();
	this->streaming = true;
	this->moves++;
	this->LogMigration("taken-over", "done");
	this->gateway.metrics.Count("cottonspool_moves_total");
	TargetNumber to = this->move.to;
	this->gateway.dispatcher.OnMigrated(this->request.spec.id, to, MonotonicNow());
	this->target = to;
	this->backup = this->move.backup;
	this->ResetMigration();
	this->gateway.OnCallProgress(this->request, to, true);
	if (this->paused) this->gateway.upstream.SetReading(this->upstream_call, false);
}

void StreamRelay::OnResumeEnd(UpstreamEnd end, const char *cause)
{
	if (end == UpstreamEnd::Broken) this->gateway.OnSendInterrupted(this->request, this->move.to, RunStage::Waiting, MonotonicNow());
	this->move.refused.push_back(this->move.to);
	this->FailMigration(cause, Duration(0));
}

void StreamRelay::LogMigration(const char *step, const char *result)
{
	const TargetTable &targets = this->gateway.dispatcher.Targets();
	Duration took = this->move.begun == TimePoint{} ? Duration(0) : MonotonicNow() - this->move.begun;
	Log(LogLevel::Info, "move",
	    {{"request", this->request.info.attempt},
	     {"step", step},
	     {"result", result},
	     {"from", this->target ? targets.Get(*this->target).name : ""},
	     {"to", this->move.phase == MigrationPhase::None ? "" : targets.Get(this->move.to).name},
	     {"last_event", std::to_string(this->last_event)},
	     {"copied_event", std::to_string(this->move.copied_events)},
	     {"try", std::to_string(this->move.tries)},
	     {"ms", FormatMilliseconds(took)}});
}

} // namespace cottonspool
