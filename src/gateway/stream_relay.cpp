/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_relay.cpp Streams a generation and migrates its run. */

#include "gateway/stream_relay.h"
#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

bool StreamRelay::OnHead(uint64_t from, const HttpHead &head)
{
	if (this->over) return true;
	if (from == this->move.resume_link) return this->OnResumeHead(head);
	if (from != this->link) return true;
	if (!this->IsMine(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	this->gateway.OnAnswerBegun(this->request, *this->target, info, this->sent_at);
	this->streaming = head.status == 200 && info.stamped;
	this->answer_head = head;
	if (this->streaming) this->streaming_at = MonotonicNow();
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
		if (self) self->SetFlow();
	};
}

void StreamRelay::OnBody(uint64_t from, std::string_view bytes)
{
	if (this->over || from != this->link) return;
	if (!this->streaming) {
		this->answer_body.append(bytes.substr(0, this->gateway.limits.max_answer_bytes));
		return;
	}
	auto keep = this->shared_from_this();
	if (!this->splitter.Add(bytes)) return this->LoseRun("event exceeds the size limit");
	this->PassEvents();
	this->SetFlow();
}

void StreamRelay::PassEvents()
{
	TimePoint now = MonotonicNow();
	while (std::optional<RawEvent> event = this->splitter.Next()) this->PassEvent(*event, now);
}

void StreamRelay::PassEvent(const RawEvent &event, TimePoint now)
{
	if (event.id && this->has_event && *event.id <= this->last_event) return;
	this->exchange->Write(event.bytes);
	if (!event.id) return;
	const std::string &account = this->request.account;
	if (!this->has_event) {
		Duration first = now - this->request.spec.arrived;
		this->first_after = first;
		this->gateway.metrics.Observe(Measure::FirstTokenSeconds, account, this->request.spec.service_class, Seconds(first));
	} else {
		Duration gap = now - this->last_at;
		this->longest_gap = std::max(this->longest_gap, gap);
		this->gateway.metrics.Observe(Measure::TokenIntervalSeconds, account, this->request.spec.service_class, Seconds(gap));
	}
	this->has_event = true;
	this->last_event = *event.id;
	this->last_at = now;
	this->events++;
	bool first = this->events == 1;
	this->gateway.dispatcher.OnToken(this->request.spec.id, now, this->request.engines.tokens_per_event);
	if (this->target) this->gateway.OnCallAt(this->request, *this->target, first);
}

void StreamRelay::SetFlow()
{
	if (this->over) return;
	bool pause = this->exchange->Backlog() > this->gateway.FrontLimitsInForce().max_backlog_bytes;
	if (pause == this->paused) return;
	this->paused = pause;
	if (this->link != 0) this->gateway.upstream.SetReading(this->link, !pause);
}

void StreamRelay::OnEnd(uint64_t from, UpstreamEnd end, const char *cause)
{
	auto keep = this->shared_from_this();
	if (from == this->move.resume_link) {
		this->move.resume_link = 0;
		if (!this->over) this->OnResumeEnd(end, cause);
		return;
	}
	if (from != this->link) return;
	this->link = 0;
	if (!this->over) this->OnRunEnd(end, cause);
}

void StreamRelay::OnRunEnd(UpstreamEnd end, const char *cause)
{
	if (IsUnsent(end)) return this->EndSend(SendEnd::NotSent);
	if (end == UpstreamEnd::Complete && this->streaming) return this->Finish();
	if (end == UpstreamEnd::Complete) return this->RelayRefusal();
	this->gateway.OnSendBroken(this->request, *this->target, this->Stage(), MonotonicNow());
	if (this->IsQuarantined()) return this->LoseRun(cause);
	// The run resumes from its copy, even if that is still in progress.
	if (this->move.phase != MovePhase::None) return this->LogMove("source-lost", cause);
	if (this->ResumeFromBackup(cause, MonotonicNow())) return;
	this->LoseRun(cause);
}

RunStage StreamRelay::Stage() const
{
	if (!this->streaming) return RunStage::Waiting;
	// Measured between events, as a suspended instance notices the interruption long after it.
	bool well = this->has_event && this->last_at - this->streaming_at >= this->gateway.limits.begun_lately;
	return well ? RunStage::RunsWell : RunStage::Begun;
}

void StreamRelay::RelayRefusal()
{
	AnswerInfo info = ReadAnswer(this->answer_head);
	int status = this->answer_head.status;
	if (info.not_run) return this->EndSend(NotRunEnd(info));
	bool promises = status == 503 || status == 429 || status == 408 || status == 421;
	this->EndSend(SendEnd::Failed);
	if (this->over) return;
	if (promises || status / 100 == 2) return this->Fail(502, "answer-unusable");
	this->exchange->Respond(status, HeadersForCaller(this->answer_head.headers), this->answer_body, this->answer_head.reason);
	this->Conclude("answered", status);
}

void StreamRelay::Finish()
{
	this->exchange->Write(this->splitter.TakeRest());
	this->exchange->Finish();
	this->OnGone();
	Log(LogLevel::Info, "streamed",
	    {{"request", this->request.info.attempt},
	     {"events", std::to_string(this->events)},
	     {"first_ms", FormatMilliseconds(this->first_after)},
	     {"longest_gap_ms", FormatMilliseconds(this->longest_gap)},
	     {"moves", std::to_string(this->moves)}});
	this->EndSend(SendEnd::Complete);
	this->gateway.OnAnsweredWell(this->request);
	this->Conclude("answered", 200);
}

void StreamRelay::LoseRun(const char *cause)
{
	Log(LogLevel::Warning, "run-lost",
	    {{"request", this->request.info.attempt},
	     {"target", this->target ? this->gateway.dispatcher.Targets().Get(*this->target).name : ""},
	     {"events", std::to_string(this->events)},
	     {"moves", std::to_string(this->moves)},
	     {"copy_kept", this->backup ? "yes" : "no"},
	     {"cause", cause}});
	this->OnGone();
	if (this->link != 0) this->gateway.upstream.Cancel(this->link);
	this->link = 0;
	this->EndSend(this->has_event ? SendEnd::LostAfterUse : SendEnd::Lost);
	this->Fail(502, "run-lost");
}

void StreamRelay::OnGone()
{
	if (this->move.resume_link != 0) this->gateway.upstream.Cancel(this->move.resume_link);
	if (this->move.call != 0) this->gateway.upstream.Cancel(this->move.call);
	bool unused = !this->move.handle.empty() && this->target;
	if (unused) {
		const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
		this->gateway.upstream.Start(MakeDropCall(this->gateway.AddressOf(*this->target), name, this->move.handle));
	}
	this->EndMove();
}

void StreamRelay::EndMove()
{
	if (this->move.counted) this->gateway.OnCopyOver(this->request, this->move.to);
	this->move = Move{};
}

void StreamRelay::OnTick(TimePoint now)
{
	if (this->over) return;
	auto keep = this->shared_from_this();
	if (this->move.phase == MovePhase::Resuming) this->GiveUpSource();
	if (this->move.phase == MovePhase::None) this->TryMove(now);
	if (this->move.phase == MovePhase::None && this->IsSilent(now)) this->ResumeFromBackup("silent", now);
	if (!this->over) RelayCall::OnTick(now);
}

void StreamRelay::OnTargetLeaving(TimePoint now)
{
	this->TryMove(now);
}

void StreamRelay::TryMove(TimePoint now)
{
	if (this->over || !this->target || this->link == 0 || !this->request.engines.can_move || !this->gateway.limits.use_moves) return;
	if (this->move.phase != MovePhase::None || now < this->move.not_before) return;
	const TargetState &source = this->gateway.dispatcher.Targets().Get(*this->target);
	// Runs in an evacuated hall finish there; only draining engines are left, and not while they ask for a pause.
	if (!source.bounds.leaving || now < source.bounds.paused_until) return;
	auto flight = source.in_flight.find(this->request.spec.id);
	if (flight == source.in_flight.end()) return;
	// A run that finishes soon ends before a copy of it would be complete.
	double interval = source.interval > 0 ? source.interval : 0.01;
	if (this->has_event && FromSeconds(flight->second.residual * interval) < this->gateway.limits.least_move) return;
	if (this->ResumeFromBackup("leaving", now)) return;
	if (!this->move.turn) this->move.turn = now + this->CopyWait();
	if (now < *this->move.turn) return;
	std::optional<TargetNumber> to = this->gateway.dispatcher.ChooseMove(this->request.spec.id, this->move.refused, now);
	if (!to) {
		this->move.refused.clear();
		this->move.not_before = now + this->gateway.limits.move_retry;
		return this->LogMove("no-engine", "no engine has headroom");
	}
	this->move.phase = MovePhase::Copying;
	this->move.to = *to;
	this->move.begun = now;
	this->move.tries++;
	this->move.counted = this->gateway.limits.count_copies;
	if (this->move.counted) this->gateway.OnCopyBegun(this->request, *to);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	auto done = [weak](const MoveAnswer &answer) {
		auto self = std::static_pointer_cast<StreamRelay>(weak.lock());
		if (!self || self->over) return;
		self->move.call = 0;
		self->OnCopied(answer);
	};
	this->move.call =
	        this->gateway.upstream.Start(MakeMoveCall(this->gateway.AddressOf(*this->target), source.name, this->request.info.attempt,
	                                                  this->gateway.AddressOf(*to).Text(), false, done));
	this->LogMove("copy", "asked");
}

Duration StreamRelay::CopyWait() const
{
	const GatewayLimits &limits = this->gateway.limits;
	Duration wait = this->gateway.dispatcher.CopyWait(this->request.spec.id, this->request.engines, limits.least_move);
	return FromSeconds(Seconds(wait) * limits.copy_lead);
}

void StreamRelay::OnCopied(const MoveAnswer &answer)
{
	auto keep = this->shared_from_this();
	Duration pause = this->gateway.limits.move_retry;
	switch (answer.kind) {
	case MoveAnswer::Kind::Copied:
		this->move.handle = answer.handle;
		this->move.covers = answer.events;
		this->LogMove("copy", "done");
		if (!this->MayResumeAt(this->move.to)) return this->DropCopy();
		return this->Resume({this->gateway.AddressOf(*this->target).Text(), answer.handle, this->last_event}, MonotonicNow());
	case MoveAnswer::Kind::NoRoom:
		this->move.refused.push_back(this->move.to);
		return this->DropMove("no-room", Duration(0));
	case MoveAnswer::Kind::NoRun:
		return this->DropMove("no-run-yet", pause);
	case MoveAnswer::Kind::Busy:
		return this->DropMove("busy", pause);
	case MoveAnswer::Kind::NoAnswer:
		return this->DropMove("no-answer", pause);
	}
}

bool StreamRelay::MayResumeAt(TargetNumber to) const
{
	CallSpec run = this->request.spec;
	run.halls = this->gateway.HallsFor(this->request);
	if (run.halls.empty() || this->IsQuarantined()) return false;
	run.avoid_cold = true;
	return this->gateway.dispatcher.Targets().MayGet(this->gateway.dispatcher.Targets().Get(to), run, MonotonicNow());
}

void StreamRelay::DropCopy()
{
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	this->gateway.upstream.Start(MakeDropCall(this->gateway.AddressOf(*this->target), name, this->move.handle));
	this->move.refused.push_back(this->move.to);
	this->DropMove("not-usable-any-more", Duration(0));
}

void StreamRelay::DropMove(const char *why, Duration pause)
{
	this->LogMove("failed", why);
	this->move.phase = MovePhase::None;
	if (this->move.counted) this->gateway.OnCopyOver(this->request, this->move.to);
	this->move.counted = false;
	this->move.handle.clear();
	this->move.not_before = MonotonicNow() + pause;
	if (this->link == 0) this->LoseRun(why);
}

void StreamRelay::Resume(const ResumePoint &point, TimePoint now)
{
	this->move.phase = MovePhase::Resuming;
	this->move.backup = this->ChooseBackupFor(this->move.to, now);
	this->gateway.dispatcher.Targets().NoteRequest(this->move.to, now);
	this->move.resume_link = this->StartUpstream(this->move.to, point, this->move.backup);
	this->GiveUpSource();
}

void StreamRelay::GiveUpSource()
{
	// The new engine regenerates the events after the copy, so any further event of the old run would only delay the new ones.
	if (this->link == 0 || !this->gateway.upstream.IsConnected(this->move.resume_link)) return;
	this->gateway.upstream.Cancel(this->link);
	this->link = 0;
}

bool StreamRelay::ResumeFromBackup(const char *why, TimePoint now)
{
	if (!this->backup || !this->target) return false;
	TargetNumber at = *this->backup;
	// A copy can be used once, and is useless if its engine drains as well.
	this->backup.reset();
	if (!this->MayResumeAt(at)) return false;
	this->EndMove();
	this->move.to = at;
	this->move.begun = now;
	this->Resume({this->gateway.AddressOf(at).Text(), this->request.info.attempt, this->last_event}, now);
	this->LogMove("from-copy", why);
	return true;
}

bool StreamRelay::IsSilent(TimePoint now) const
{
	if (!this->backup || !this->has_event || this->paused || this->link == 0) return false;
	Duration good = this->request.route.gap_objective;
	return good > Duration(0) && now - this->last_at > FromSeconds(Seconds(good) * this->gateway.limits.silence_part);
}

bool StreamRelay::OnResumeHead(const HttpHead &head)
{
	if (!this->IsMine(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	this->gateway.OnAnswerBegun(this->request, this->move.to, info, this->move.begun);
	if (head.status == 200 && info.stamped) {
		this->TakeOver();
		this->StartAnswer(head);
	} else {
		this->LogMove("refused", std::to_string(head.status).c_str());
	}
	return true;
}

void StreamRelay::TakeOver()
{
	if (this->link != 0) this->gateway.upstream.Cancel(this->link);
	this->link = this->move.resume_link;
	this->splitter.TakeRest();
	this->streaming = true;
	this->moves++;
	this->LogMove("taken-over", "done");
	this->gateway.metrics.Count("cottonspool_moves_total");
	TargetNumber to = this->move.to;
	this->gateway.dispatcher.OnMoved(this->request.spec.id, to, MonotonicNow());
	this->target = to;
	this->backup = this->move.backup;
	this->EndMove();
	this->gateway.OnCallAt(this->request, to, true);
	if (this->paused) this->gateway.upstream.SetReading(this->link, false);
}

void StreamRelay::OnResumeEnd(UpstreamEnd end, const char *cause)
{
	if (end == UpstreamEnd::Broken) this->gateway.OnSendBroken(this->request, this->move.to, RunStage::Waiting, MonotonicNow());
	this->move.refused.push_back(this->move.to);
	this->DropMove(cause, Duration(0));
}

void StreamRelay::LogMove(const char *step, const char *result)
{
	const TargetTable &targets = this->gateway.dispatcher.Targets();
	Duration took = this->move.begun == TimePoint{} ? Duration(0) : MonotonicNow() - this->move.begun;
	Log(LogLevel::Info, "move",
	    {{"request", this->request.info.attempt},
	     {"step", step},
	     {"result", result},
	     {"from", this->target ? targets.Get(*this->target).name : ""},
	     {"to", this->move.phase == MovePhase::None ? "" : targets.Get(this->move.to).name},
	     {"last_event", std::to_string(this->last_event)},
	     {"copied_event", std::to_string(this->move.covers)},
	     {"try", std::to_string(this->move.tries)},
	     {"ms", FormatMilliseconds(took)}});
}

} // namespace cottonspool
