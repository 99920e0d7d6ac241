/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_ends.cpp Crashes of targets under requests: checks, records and quarantine. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration ENDS_LOOK = std::chrono::seconds(1); ///< Interval at which expired crash records are removed.

void Gateway::OnSendBroken(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	const TargetRecord &record = this->records[number.value];
	const Pool *pool = this->routes.FindPool(record.pool);
	BrokenTarget target{record.life, record.address, REPORT_PATH};
	if (!record.engine && pool != nullptr) target.path = pool->health_path;
	// Counts as a crash until the probe has answered, as a retry of this request may be decided before that.
	bool suspect = this->end_watch.OnBroken(target, {request.spec.print, request.info.attempt, stage}, now);
	bool added = suspect && this->dispatcher.Suspicions().Add({request.spec.print, record.life.Name()}, now);
	if (added) this->OnSuspicionChanged(now);
}

void Gateway::OnSendWithdrawn(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	if (stage == RunStage::RunsWell) return;
	this->end_watch.OnWithdrawn(this->records[number.value].life.Name(), {request.spec.print, request.info.attempt, stage}, now);
}

void Gateway::OnTargetChecked(const TargetCheck &check)
{
	TimePoint now = MonotonicNow();
	for (const BrokenSend &send : check.sends) {
		EndRecord end{send.print, check.target.life.Name()};
		bool held = check.HasEnded() && this->ends.Add(end);
		if (held) this->dispatcher.Suspicions().Add(end, now);
		if (!held && !this->ends.Holds(end)) this->dispatcher.Suspicions().Remove(end);
		Log(LogLevel::Info, "target-check",
		    {{"request", send.request},
		     {"print", PrintText(send.print)},
		     {"target", check.target.life.Name()},
		     {"sign", check.sign ? LifeSignName(*check.sign) : "none"},
		     {"ended", check.HasEnded() ? "yes" : "no"},
		     {"begun", send.stage == RunStage::Begun ? "yes" : "no"},
		     {"suspects", std::to_string(check.sends.size())},
		     {"held", held ? "yes" : "no"},
		     {"ms", FormatMilliseconds(check.took)}});
	}
	for (const BrokenSend &send : check.cleared) {
		EndRecord end{send.print, check.target.life.Name()};
		if (!this->ends.Holds(end)) this->dispatcher.Suspicions().Remove(end);
	}
	this->OnSuspicionChanged(now);
}

void Gateway::OnEndRecords(const std::vector<EndRecord> &added, const std::vector<EndRecord> &removed, TimePoint now)
{
	for (const EndRecord &end : removed) this->dispatcher.Suspicions().Remove(end);
	for (const EndRecord &end : added) this->dispatcher.Suspicions().Add(end, now);
	this->OnSuspicionChanged(now);
}

void Gateway::OnSuspicionChanged(TimePoint now)
{
	const Quarantine &suspicions = this->dispatcher.Suspicions();
	std::set<RequestPrint> before = std::move(this->quarantined);
	std::vector<RequestPrint> after = suspicions.Quarantined(now);
	this->quarantined = {after.begin(), after.end()};
	for (RequestPrint print : after) {
		if (before.erase(print) > 0) continue;
		Log(LogLevel::Warning, "quarantined",
		    {{"print", PrintText(print)},
		     {"ends", std::to_string(suspicions.EndsOf(print).size())},
		     {"left_ms", FormatMilliseconds(suspicions.Left(print, now))}});
		std::vector<std::shared_ptr<RelayCall>> same;
		for (const auto &[id, call] : this->calls) {
			if (call->Spec().print == print) same.push_back(call);
		}
		for (const auto &call : same) call->OnQuarantined();
	}
	for (RequestPrint print : before) Log(LogLevel::Info, "quarantine-ended", {{"print", PrintText(print)}});
	this->Carry(this->dispatcher.OnSuspicionChanged(now));
}

void Gateway::OnAnsweredWell(const RelayRequest &request)
{
	std::vector<EndRecord> own = this->dispatcher.Suspicions().ClearedByAnswer(request.spec.print);
	if (own.empty()) return;
	for (const EndRecord &end : own) {
		this->dispatcher.Suspicions().Remove(end);
		this->ends.Remove(end);
	}
	Log(LogLevel::Info, "suspicion-cleared",
	    {{"request", request.info.attempt}, {"print", PrintText(request.spec.print)}, {"ends", std::to_string(own.size())}});
	this->OnSuspicionChanged(MonotonicNow());
}

void Gateway::FollowEnds(TimePoint now)
{
	this->ends.OnTick(now);
	if (now - this->ends_looked < ENDS_LOOK || this->dispatcher.Suspicions().IsEmpty()) return;
	this->ends_looked = now;
	for (const EndRecord &end : this->dispatcher.Suspicions().Expired(now)) {
		this->dispatcher.Suspicions().Remove(end);
		if (this->peers.ReadsReportsOf(EndKey(end))) this->ends.Remove(end);
	}
	this->OnSuspicionChanged(now);
}

} // namespace cottonspool
