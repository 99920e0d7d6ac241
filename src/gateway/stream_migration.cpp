/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_migration.cpp Migration of a streamed run to another engine. */

#include "gateway/gateway.h"
#include "gateway/stream_relay.h"
#include "metrics/log.h"

namespace cottonspool {

const char *SourceRunName(SourceRun run)
{
	static constexpr const char *NAMES[] = {"may-run", "stopped", "absent", "unreachable"};
	return NAMES[static_cast<size_t>(run)];
}

void StreamRelay::CancelAuxiliaryCalls()
{
	if (this->migration.resume_call != 0) this->gateway.upstream.Cancel(this->migration.resume_call);
	if (this->migration.copy_call != 0) this->gateway.upstream.Cancel(this->migration.copy_call);
	this->ReleaseCopy();
	this->ResetMigration();
}

void StreamRelay::ReleaseCopy()
{
	if (this->migration.handle.empty() || !this->target) return;
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	this->gateway.upstream.Start(MakeReleaseCall(this->gateway.AddressOf(*this->target), name, this->migration.handle));
	this->migration.handle.clear();
}

void StreamRelay::ResetMigration()
{
	if (this->migration.counted) this->gateway.OnCopyFinished(this->request, this->migration.to);
	this->migration = Migration{};
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
	if (this->migration.phase != MigrationPhase::None) return;
	const TargetState &source = this->gateway.dispatcher.Targets().Get(*this->target);
	// Runs in an evacuated hall finish there; only draining engines are left, and not while they ask for a pause.
	if (!source.restrictions.draining || now < source.restrictions.paused_until) return;
	if (!CanNameRun(this->request.info.attempt)) return;
	if (this->leaving_since == TimePoint{}) this->leaving_since = now;
	auto flight = source.in_flight.find(this->request.spec.id);
	if (flight == source.in_flight.end()) return;
	// A run that finishes soon ends before a copy of it would be complete.
	Duration remaining = this->gateway.dispatcher.RemainingTime(flight->second, source, now);
	if (this->has_event && remaining < this->gateway.limits.migration_min_remaining) return;
	if (this->ResumeFromBackup("leaving", now)) return;
	if (!this->migration.copy_not_before) this->migration.copy_not_before = now + this->MigrationCopyDelay(now);
	if (now < *this->migration.copy_not_before) return;
	if (!this->schedule.IsDue(this->gateway.dispatcher.Targets().HeadroomRevision(), this->paused, now)) return;
	if (std::optional<TargetNumber> to = this->ChooseMigrationTarget(now)) this->RequestCopy(*to, now);
}

std::optional<TargetNumber> StreamRelay::ChooseMigrationTarget(TimePoint now)
{
	Dispatcher &dispatcher = this->gateway.dispatcher;
	CallId id = this->request.spec.id;
	std::optional<TargetNumber> to = dispatcher.ChooseMigrationTarget(id, this->schedule.Refused(), now);
	if (!to && this->schedule.ForgetRefusals(now)) to = dispatcher.ChooseMigrationTarget(id, this->schedule.Refused(), now);
	if (!to && this->schedule.OnNoHeadroom(dispatcher.Targets().HeadroomRevision(), now))
		this->LogMigration("no-engine", "no engine has headroom");
	return to;
}

void StreamRelay::RequestCopy(TargetNumber to, TimePoint now)
{
	this->schedule.OnRequested();
	this->migration.phase = MigrationPhase::Copying;
	this->migration.to = to;
	this->migration.started_at = now;
	this->migration.copies_requested++;
	this->migration.counted = this->gateway.limits.count_pending_copies;
	if (this->migration.counted) this->gateway.OnCopyStarted(this->request, to);
	this->StartCopyCall(false);
	this->LogMigration("copy", "asked");
}

void StreamRelay::StartCopyCall(bool stop)
{
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	HttpUpstream &upstream = this->gateway.upstream;
	Endpoint source = this->gateway.AddressOf(*this->target);
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	auto number = std::make_shared<uint64_t>(0);
	auto done = [weak, stop, number, &upstream, source, name](const MigrationAnswer &answer) {
		auto self = std::static_pointer_cast<StreamRelay>(weak.lock());
		bool awaited = self && !self->concluded && self->migration.copy_call == *number;
		// The run has been taken over without this copy.
		if (!awaited && !answer.handle.empty()) upstream.Start(MakeReleaseCall(source, name, answer.handle));
		if (!awaited) return;
		self->migration.copy_call = 0;
		if (stop) return self->OnStopAnswer(answer);
		self->OnCopied(answer);
	};
	*number = upstream.Start(
	        MakeMigrationCall(source, name, this->request.info.attempt, this->gateway.AddressOf(this->migration.to).Text(), stop, done));
	this->migration.copy_call = *number;
}

Duration StreamRelay::MigrationCopyDelay(TimePoint now) const
{
	const GatewayLimits &limits = this->gateway.limits;
	Duration wait =
	        this->gateway.dispatcher.MigrationCopyDelay(this->request.spec.id, this->request.engines, limits.migration_min_remaining, now);
	return FromSeconds(Seconds(wait) * limits.copy_lead_fraction);
}

void StreamRelay::OnCopied(const MigrationAnswer &answer)
{
	TimePoint now = MonotonicNow();
	Duration retry_delay = this->gateway.limits.migration.retry_delay;
	switch (answer.kind) {
	case MigrationAnswer::Kind::Copied:
		this->migration.handle = answer.handle;
		this->migration.copied_events = answer.events;
		this->LogMigration("copy", "done");
		if (!this->MayResumeAt(this->migration.to)) return this->DiscardCopy();
		return this->StopSource(now);
	case MigrationAnswer::Kind::NoCapacity:
		this->schedule.OnRefused(this->migration.to, now);
		this->schedule.OnFailed(Duration(0), now);
		return this->FailMigration("no-room");
	case MigrationAnswer::Kind::NoRun:
		this->schedule.OnNoRun(now);
		return this->FailMigration("no-run-yet");
	case MigrationAnswer::Kind::Busy:
		this->schedule.OnFailed(retry_delay, now);
		return this->FailMigration("busy");
	case MigrationAnswer::Kind::NoAnswer:
		this->schedule.OnFailed(retry_delay, now);
		return this->FailMigration("no-answer");
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
	this->ReleaseCopy();
	TimePoint now = MonotonicNow();
	this->schedule.OnRefused(this->migration.to, now);
	this->schedule.OnFailed(Duration(0), now);
	this->FailMigration("not-usable-any-more");
}

void StreamRelay::StopSource(TimePoint now)
{
	this->migration.phase = MigrationPhase::Stopping;
	this->migration.stop_asked_at = now;
	this->StartCopyCall(true);
	this->LogMigration("stop", "asked");
}

void StreamRelay::RepeatStop(TimePoint now)
{
	const GatewayLimits &limits = this->gateway.limits;
	if (this->migration.copy_call != 0) {
		if (now - this->migration.stop_asked_at <= limits.migration_stop_timeout) return;
		this->gateway.upstream.Cancel(this->migration.copy_call);
		this->migration.copy_call = 0;
		return this->OnStopAnswer({});
	}
	if (now - this->migration.stop_asked_at < limits.migration.retry_delay) return;
	if (!this->MayResumeAt(this->migration.to)) return this->DiscardCopy();
	this->StopSource(now);
}

void StreamRelay::OnStopAnswer(const MigrationAnswer &answer)
{
	// An engine that has stopped the run names the copy, also if the new engine has no room for the rest.
	bool without_room = answer.kind == MigrationAnswer::Kind::NoCapacity && !answer.handle.empty();
	if (answer.kind == MigrationAnswer::Kind::Copied || without_room) {
		this->migration.handle = answer.handle;
		return this->OnSourceEnded(SourceRun::Stopped);
	}
	bool absent = answer.kind == MigrationAnswer::Kind::NoRun;
	if (this->upstream_call == 0) return this->OnSourceEnded(absent ? SourceRun::Absent : SourceRun::Unreachable);
	// The run goes on at the old engine. Without it there, it was preempted, or its last events are under way.
	if (!absent) return this->LogMigration("stop", "not-stopped");
	this->schedule.OnNoRun(MonotonicNow());
	this->ReleaseCopy();
	this->FailMigration("no-run-yet");
}

void StreamRelay::OnSourceEnded(SourceRun source)
{
	this->migration.source = source;
	this->LogMigration("stop", SourceRunName(source));
	if (source == SourceRun::Absent && this->migration.end == SourceEnd::Whole) return this->Finish();
	// The stream has ended by itself, as when its engine crashes.
	if (source != SourceRun::Stopped && this->migration.end == SourceEnd::Broken) {
		this->gateway.OnSendInterrupted(this->request, *this->target, this->Stage(), MonotonicNow());
		if (this->IsQuarantined()) return this->FailRun("the stream ended before the run was stopped");
	}
	if (this->migration.phase == MigrationPhase::Stopping) this->ResumeFromCopy();
}

void StreamRelay::ResumeFromCopy()
{
	if (this->IsQuarantined() && this->Stage() != RunStage::Stable) return this->FailRun("the request is quarantined");
	TimePoint now = MonotonicNow();
	if (!this->gateway.MaySendTo(this->migration.to, now)) {
		bool returns = this->migration.source == SourceRun::Stopped && this->ResumeAtSource(now);
		return returns ? void() : this->FailRun("the new engine may have left");
	}
	this->migration.used_handle = this->migration.handle;
	this->Resume({this->gateway.AddressOf(*this->target).Text(), this->migration.handle, this->last_event}, now);
}

bool StreamRelay::IsBeingStopped() const
{
	return this->migration.stop_asked_at != TimePoint{};
}

void StreamRelay::OnStoppedStreamEnd(bool whole, const char *cause)
{
	this->LogMigration("source-ended", whole ? "in order" : cause);
	this->migration.end = whole ? SourceEnd::Whole : SourceEnd::Broken;
	// The engine closes the stream as soon as it has stopped the run; its answer follows after the rest of the copy, behind other copies.
	if (!whole && this->migration.phase == MigrationPhase::Stopping) this->ResumeFromCopy();
}

void StreamRelay::FailMigration(const char *why)
{
	this->LogMigration("failed", why);
	std::optional<TimePoint> copy_not_before = this->migration.copy_not_before;
	uint32_t copies_requested = this->migration.copies_requested;
	this->ResetMigration();
	this->migration.copy_not_before = copy_not_before;
	this->migration.copies_requested = copies_requested;
	if (this->upstream_call == 0) this->FailRun(why);
}

void StreamRelay::Resume(const ResumePoint &point, TimePoint now)
{
	this->migration.phase = MigrationPhase::Resuming;
	this->migration.backup = this->ChooseBackupFor(this->migration.to, now);
	this->gateway.dispatcher.Targets().OnRequestSent(this->migration.to, now);
	this->migration.resume_call = this->StartUpstream(this->migration.to, point, this->migration.backup);
	this->CancelSource();
}

void StreamRelay::CancelSource()
{
	// The new engine regenerates the events after the copy, so any further event of the old run would only delay the new ones.
	if (this->upstream_call == 0 || !this->gateway.upstream.IsConnected(this->migration.resume_call)) return;
	this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->LogMigration("source-closed", SourceRunName(this->migration.source));
}

bool StreamRelay::ResumeFromBackup(const char *why, TimePoint now)
{
	if (!this->backup || !this->target) return false;
	TargetNumber at = *this->backup;
	// A copy can be used once, and is useless if its engine drains as well.
	this->backup.reset();
	if (!this->MayResumeAt(at)) return false;
	this->ResetMigration();
	this->migration.to = at;
	this->migration.started_at = now;
	this->Resume({this->gateway.AddressOf(at).Text(), this->request.info.attempt, this->last_event}, now);
	this->LogMigration("from-copy", why);
	return true;
}

bool StreamRelay::IsStalled(TimePoint now) const
{
	if (!this->backup || !this->has_event || this->paused || this->upstream_call == 0) return false;
	Duration objective = this->request.route.gap_objective;
	return objective > Duration(0) && now - this->last_event_at > FromSeconds(Seconds(objective) * this->gateway.limits.silence_fraction);
}

bool StreamRelay::OnResumeHead(const HttpHead &head)
{
	if (!this->AnswersThisRequest(head)) return false;
	AnswerInfo info = ReadAnswer(head);
	this->gateway.OnAnswerHead(this->request, this->migration.to, info, this->migration.started_at);
	if (head.status == 200 && info.stamped) {
		this->answer_head = head;
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
	this->upstream_call = this->migration.resume_call;
	this->splitter.TakeRemainder();
	this->streaming = true;
	this->migrations++;
	this->LogMigration("taken-over", "done");
	this->gateway.metrics.Count("cottonspool_moves_total");
	TargetNumber to = this->migration.to;
	if (!this->IsBeingStopped()) this->StopAbandonedRun();
	// The rest of the copy has a handle of its own, if it came after the run was resumed.
	if (this->migration.handle != this->migration.used_handle) this->ReleaseCopy();
	if (to != *this->target) {
		this->gateway.dispatcher.OnMigrated(this->request.spec.id, to, MonotonicNow());
		this->schedule.OnMigrated();
	}
	this->target = to;
	this->backup = this->migration.backup;
	this->ResetMigration();
	this->gateway.OnCallProgress(this->request, to, true);
	if (this->paused) this->gateway.upstream.SetReading(this->upstream_call, false);
}

void StreamRelay::StopAbandonedRun()
{
	if (!CanNameRun(this->request.info.attempt)) return;
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	HttpUpstream &upstream = this->gateway.upstream;
	Endpoint source = this->gateway.AddressOf(*this->target);
	auto release = [&upstream, source, name](const MigrationAnswer &answer) {
		if (!answer.handle.empty()) upstream.Start(MakeReleaseCall(source, name, answer.handle));
	};
	upstream.Start(
	        MakeMigrationCall(source, name, this->request.info.attempt, this->gateway.AddressOf(this->migration.to).Text(), true, release));
	this->LogMigration("stop", "asked");
}

void StreamRelay::OnResumeEnd(UpstreamEnd end, const char *cause)
{
	TimePoint now = MonotonicNow();
	if (end == UpstreamEnd::Broken) this->gateway.OnSendInterrupted(this->request, this->migration.to, RunStage::Waiting, now);
	this->schedule.OnRefused(this->migration.to, now);
	this->schedule.OnFailed(Duration(0), now);
	bool was_stopped = this->migration.source == SourceRun::Stopped;
	// The new engine may not take the run while the rest of it is being copied.
	if (this->migration.copy_call != 0) return this->AwaitCopy(cause);
	if (was_stopped && end != UpstreamEnd::Broken && this->ResumeAtSource(now)) return;
	if (was_stopped) return this->FailRun(cause);
	this->FailMigration(cause);
}

void StreamRelay::AwaitCopy(const char *cause)
{
	this->LogMigration("refused", cause);
	this->migration.phase = MigrationPhase::Stopping;
}

bool StreamRelay::ResumeAtSource(TimePoint now)
{
	bool is_new = now - this->leaving_since <= this->gateway.limits.return_to_source_window && this->gateway.MaySendTo(*this->target, now);
	if (!is_new || this->migration.to == *this->target || this->IsQuarantined()) return false;
	this->LogMigration("return", "the new engine does not take it");
	if (this->migration.counted) this->gateway.OnCopyFinished(this->request, this->migration.to);
	this->migration.counted = false;
	this->migration.to = *this->target;
	this->ResumeFromCopy();
	return true;
}

void StreamRelay::LogMigration(const char *step, const char *result)
{
	const TargetTable &targets = this->gateway.dispatcher.Targets();
	Duration took = this->migration.started_at == TimePoint{} ? Duration(0) : MonotonicNow() - this->migration.started_at;
	Log(LogLevel::Info, "move",
	    {{"request", this->request.info.attempt},
	     {"step", step},
	     {"result", result},
	     {"from", this->target ? targets.Get(*this->target).name : ""},
	     {"to", this->migration.phase == MigrationPhase::None ? "" : targets.Get(this->migration.to).name},
	     {"last_event", std::to_string(this->last_event)},
	     {"copied_event", std::to_string(this->migration.copied_events)},
	     {"try", std::to_string(this->migration.copies_requested)},
	     {"ms", FormatMilliseconds(took)}});
}

} // namespace cottonspool
