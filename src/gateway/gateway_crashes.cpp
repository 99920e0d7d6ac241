/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_crashes.cpp What a gateway does about targets that end under requests. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration CRASH_EXPIRY_INTERVAL =
        std::chrono::seconds(1); ///< Time between looks for ends that are no longer held against anybody.

void Gateway::OnSendInterrupted(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	const TargetRecord &record = this->records[number.value];
	const Pool *pool = this->routes.FindPool(record.pool);
	ProbedTarget target{record.incarnation, record.address, REPORT_PATH};
	if (!record.engine && pool != nullptr) target.path = pool->health_path;
	// Until the target has answered it counts as ended: a second send of this very request is decided before that.
	bool suspect = this->crash_watch.OnSendInterrupted(target, {request.spec.fingerprint, request.info.attempt, stage}, now);
	bool added = suspect && this->dispatcher.QuarantineState().Add({request.spec.fingerprint, record.incarnation.Name()}, now);
	if (added) this->OnQuarantineChanged(now);
}

void Gateway::OnSendCancelled(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	if (stage == RunStage::Stable) return;
	this->crash_watch.OnSendCancelled(this->records[number.value].incarnation.Name(),
	                                  {request.spec.fingerprint, request.info.attempt, stage}, now);
}

void Gateway::OnCrashChecked(const CrashCheck &check)
{
	TimePoint now = MonotonicNow();
	for (const InterruptedSend &send : check.sends) {
		CrashRecord end{send.fingerprint, check.target.incarnation.Name()};
		bool held = check.HasCrashed() && this->crash_records.Add(end);
		if (held) this->dispatcher.QuarantineState().Add(end, now);
		if (!held && !this->crash_records.Holds(end)) this->dispatcher.QuarantineState().Remove(end);
		Log(LogLevel::Info, "target-check",
		    {{"request", send.request},
		     {"print", FormatFingerprint(send.fingerprint)},
		     {"target", check.target.incarnation.Name()},
		     {"sign", check.sign ? ProbeResultName(*check.sign) : "none"},
		     {"ended", check.HasCrashed() ? "yes" : "no"},
		     {"begun", send.stage == RunStage::Started ? "yes" : "no"},
		     {"suspects", std::to_string(check.sends.size())},
		     {"held", held ? "yes" : "no"},
		     {"ms", FormatMilliseconds(check.took)}});
	}
	for (const InterruptedSend &send : check.cleared) {
		CrashRecord end{send.fingerprint, check.target.incarnation.Name()};
		if (!this->crash_records.Holds(end)) this->dispatcher.QuarantineState().Remove(end);
	}
	this->OnQuarantineChanged(now);
}

void Gateway::OnCrashRecords(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint now)
{
	for (const CrashRecord &end : removed) this->dispatcher.QuarantineState().Remove(end);
	for (const CrashRecord &end : added) this->dispatcher.QuarantineState().Add(end, now);
	this->OnQuarantineChanged(now);
}

void Gateway::OnQuarantineChanged(TimePoint now)
{
	const Quarantine &suspicions = this->dispatcher.QuarantineState();
	std::set<RequestFingerprint> before = std::move(this->quarantined);
	std::vector<RequestFingerprint> after = suspicions.Quarantined(now);
	this->quarantined = {after.begin(), after.end()};
	for (RequestFingerprint fingerprint : after) {
		if (before.erase(fingerprint) > 0) continue;
		Log(LogLevel::Warning, "quarantined",
		    {{"print", FormatFingerprint(fingerprint)},
		     {"ends", std::to_string(suspicions.CrashesOf(fingerprint).size())},
		     {"left_ms", FormatMilliseconds(suspicions.RemainingTime(fingerprint, now))}});
		std::vector<std::shared_ptr<RelayCall>> same;
		for (const auto &[id, call] : this->calls) {
			if (call->Spec().fingerprint == fingerprint) same.push_back(call);
		}
		for (const auto &call : same) call->OnQuarantined();
	}
	for (RequestFingerprint fingerprint : before) Log(LogLevel::Info, "quarantine-ended", {{"print", FormatFingerprint(fingerprint)}});
	this->Execute(this->dispatcher.OnQuarantineChanged(now));
}

void Gateway::OnAnsweredSuccessfully(const RelayRequest &request)
{
	std::vector<CrashRecord> own = this->dispatcher.QuarantineState().ClearedBySuccess(request.spec.fingerprint);
	if (own.empty()) return;
	for (const CrashRecord &end : own) {
		this->dispatcher.QuarantineState().Remove(end);
		this->crash_records.Remove(end);
	}
	Log(LogLevel::Info, "suspicion-cleared",
	    {{"request", request.info.attempt}, {"print", FormatFingerprint(request.spec.fingerprint)}, {"ends", std::to_string(own.size())}});
	this->OnQuarantineChanged(MonotonicNow());
}

void Gateway::ExpireCrashRecords(TimePoint now)
{
	this->crash_records.OnTick(now);
	if (now - this->crash_records_checked_at < CRASH_EXPIRY_INTERVAL || this->dispatcher.QuarantineState().IsEmpty()) return;
	this->crash_records_checked_at = now;
	for (const CrashRecord &end : this->dispatcher.QuarantineState().Expired(now)) {
		this->dispatcher.QuarantineState().Remove(end);
		if (this->peers.ReadsReportsOf(CrashKey(end))) this->crash_records.Remove(end);
	}
	this->OnQuarantineChanged(now);
}

} // namespace cottonspool
