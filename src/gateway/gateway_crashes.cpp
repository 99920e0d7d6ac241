/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_crashes.cpp Crashes of targets under requests: checks, records and quarantine. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration CRASH_EXPIRY_INTERVAL = std::chrono::seconds(1); ///< Interval at which expired crash records are removed.

void Gateway::OnSendInterrupted(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	this->OnTargetSilent(number);
	const TargetRecord &record = this->records[number.value];
	const Pool *pool = this->routes.FindPool(record.pool);
	ProbedTarget target{record.incarnation, record.address, REPORT_PATH};
	if (!record.engine && pool != nullptr) target.path = pool->health_path;
	// Counts as a crash until the probe has answered, as a retry of this request may be decided before that.
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
		CrashRecord crash{send.fingerprint, check.target.incarnation.Name()};
		bool held = check.HasCrashed() && this->crash_records.Add(crash);
		if (held) this->dispatcher.QuarantineState().Add(crash, now);
		if (!held && !this->crash_records.Holds(crash)) this->dispatcher.QuarantineState().Remove(crash);
		Log(LogLevel::Info, "target-check",
		    {{"request", send.request},
		     {"print", FormatFingerprint(send.fingerprint)},
		     {"target", check.target.incarnation.Name()},
		     {"sign", check.result ? ProbeResultName(*check.result) : "none"},
		     {"ended", check.HasCrashed() ? "yes" : "no"},
		     {"begun", send.stage == RunStage::Started ? "yes" : "no"},
		     {"suspects", std::to_string(check.sends.size())},
		     {"held", held ? "yes" : "no"},
		     {"ms", FormatMilliseconds(check.took)}});
	}
	for (const InterruptedSend &send : check.cleared) {
		CrashRecord crash{send.fingerprint, check.target.incarnation.Name()};
		if (!this->crash_records.Holds(crash)) this->dispatcher.QuarantineState().Remove(crash);
	}
	this->OnQuarantineChanged(now);
}

void Gateway::OnCrashRecords(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint now)
{
	for (const CrashRecord &crash : removed) this->dispatcher.QuarantineState().Remove(crash);
	for (const CrashRecord &crash : added) this->dispatcher.QuarantineState().Add(crash, now);
	this->OnQuarantineChanged(now);
}

void Gateway::OnQuarantineChanged(TimePoint now)
{
	const Quarantine &quarantine = this->dispatcher.QuarantineState();
	std::set<RequestFingerprint> before = std::move(this->quarantined);
	std::vector<RequestFingerprint> after = quarantine.Quarantined(now);
	this->quarantined = {after.begin(), after.end()};
	for (RequestFingerprint fingerprint : after) {
		if (before.erase(fingerprint) > 0) continue;
		Log(LogLevel::Warning, "quarantined",
		    {{"print", FormatFingerprint(fingerprint)},
		     {"ends", std::to_string(quarantine.CrashesOf(fingerprint).size())},
		     {"left_ms", FormatMilliseconds(quarantine.RemainingTime(fingerprint, now))}});
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
	std::vector<CrashRecord> cleared = this->dispatcher.QuarantineState().ClearedBySuccess(request.spec.fingerprint);
	if (cleared.empty()) return;
	for (const CrashRecord &crash : cleared) {
		this->dispatcher.QuarantineState().Remove(crash);
		this->crash_records.Remove(crash);
	}
	Log(LogLevel::Info, "suspicion-cleared",
	    {{"request", request.info.attempt},
	     {"print", FormatFingerprint(request.spec.fingerprint)},
	     {"ends", std::to_string(cleared.size())}});
	this->OnQuarantineChanged(MonotonicNow());
}

void Gateway::ExpireCrashRecords(TimePoint now)
{
	this->crash_records.OnTick(now);
	if (now - this->crash_records_checked_at < CRASH_EXPIRY_INTERVAL || this->dispatcher.QuarantineState().IsEmpty()) return;
	this->crash_records_checked_at = now;
	for (const CrashRecord &crash : this->dispatcher.QuarantineState().Expired(now)) {
		this->dispatcher.QuarantineState().Remove(crash);
		if (this->peers.ReadsReportsOf(CrashKey(crash))) this->crash_records.Remove(crash);
	}
	this->OnQuarantineChanged(now);
}

} // namespace cottonspool
