/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_migration.cpp Migration of a streamed run to another engine. */

#include "gateway/gateway.h"
#include "gateway/stream_relay.h"
#include "metrics/log.h"

namespace cottonspool {

void StreamRelay::CancelAuxiliaryCalls()
{
	if (this->migration.resume_call != 0) this->gateway.upstream.Cancel(this->migration.resume_call);
	if (this->migration.copy_call != 0) this->gateway.upstream.Cancel(this->migration.copy_call);
	bool unused = !this->migration.handle.empty() && this->target;
	if (unused) {
		const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
		this->gateway.upstream.Start(MakeReleaseCall(this->gateway.AddressOf(*this->target), name, this->migration.handle));
	}
	this->ResetMigration();
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
	const TargetState &source = this->gateway.dispatcher.Targets().Get(*this->target);
	this->schedule.OnRequested();
	this->migration.phase = MigrationPhase::Copying;
	this->migration.to = to;
	this->migration.started_at = now;
	this->migration.copies_requested++;
	this->migration.counted = this->gateway.limits.count_pending_copies;
	if (this->migration.counted) this->gateway.OnCopyStarted(this->request, to);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	auto done = [weak](const MigrationAnswer &answer) {
		auto self = std::static_pointer_cast<StreamRelay>(weak.lock());
		if (!self || self->concluded) return;
		self->migration.copy_call = 0;
		self->OnCopied(answer);
	};
	this->migration.copy_call =
	        this->gateway.upstream.Start(MakeMigrationCall(this->gateway.AddressOf(*this->target), source.name, this->request.info.attempt,
	                                                       this->gateway.AddressOf(to).Text(), false, done));
	this->LogMigration("copy", "asked");
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
	auto keep = this->shared_from_this();
	TimePoint now = MonotonicNow();
	Duration retry_delay = this->gateway.limits.migration.retry_delay;
	switch (answer.kind) {
	case MigrationAnswer::Kind::Copied:
		this->migration.handle = answer.handle;
		this->migration.copied_events = answer.events;
		this->LogMigration("copy", "done");
		if (!this->MayResumeAt(this->migration.to)) return this->DiscardCopy();
		return this->Resume({this->gateway.AddressOf(*this->target).Text(), answer.handle, this->last_event}, now);
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
	const std::string &name = this->gateway.dispatcher.Targets().Get(*this->target).name;
	this->gateway.upstream.Start(MakeReleaseCall(this->gateway.AddressOf(*this->target), name, this->migration.handle));
	TimePoint now = MonotonicNow();
	this->schedule.OnRefused(this->migration.to, now);
	this->schedule.OnFailed(Duration(0), now);
	this->FailMigration("not-usable-any-more");
}

void StreamRelay::FailMigration(const char *why)
{
	this->LogMigration("failed", why);
	this->migration.phase = MigrationPhase::None;
	if (this->migration.counted) this->gateway.OnCopyFinished(this->request, this->migration.to);
	this->migration.counted = false;
	this->migration.handle.clear();
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
	this->LogMigration("source-closed", "its run is not known to have ended");
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
	this->gateway.dispatcher.OnMigrated(this->request.spec.id, to, MonotonicNow());
	this->target = to;
	this->backup = this->migration.backup;
	this->ResetMigration();
	this->schedule.OnMigrated();
	this->gateway.OnCallProgress(this->request, to, true);
	if (this->paused) this->gateway.upstream.SetReading(this->upstream_call, false);
}

void StreamRelay::OnResumeEnd(UpstreamEnd end, const char *cause)
{
	TimePoint now = MonotonicNow();
	if (end == UpstreamEnd::Broken) this->gateway.OnSendInterrupted(this->request, this->migration.to, RunStage::Waiting, now);
	this->schedule.OnRefused(this->migration.to, now);
	this->schedule.OnFailed(Duration(0), now);
	this->FailMigration(cause);
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
