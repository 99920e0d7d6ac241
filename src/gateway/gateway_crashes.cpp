/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_crashes.cpp Crashes of targets under requests: checks, records and quarantine. */

#include "gateway/gateway.h"
#include "metrics/log.h"
#include <utility>

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
	const RequestFeatures &features = request.spec.features;
	InterruptedSend send{features.fingerprint, request.info.attempt, stage, features.shared};
	bool suspect = this->crash_watch.OnSendInterrupted(target, std::move(send), now);
	CrashRecord crash{features.fingerprint, record.incarnation.Name(), features.shared};
	bool added = suspect && this->dispatcher.QuarantineState().Add(crash, now);
	if (added) this->OnQuarantineChanged(now);
}

void Gateway::OnSendCancelled(const RelayRequest &request, TargetNumber number, RunStage stage, TimePoint now)
{
	if (stage == RunStage::Stable) return;
	const RequestFeatures &features = request.spec.features;
	this->crash_watch.OnSendCancelled(this->records[number.value].incarnation.Name(),
	                                  {features.fingerprint, request.info.attempt, stage, features.shared}, now);
}

void Gateway::OnCrashChecked(const CrashCheck &check)
{
	TimePoint now = MonotonicNow();
	if (check.HasCrashed()) this->survivals.OnCrashed(check.target.incarnation.Name());
	for (const InterruptedSend &send : check.sends) {
		CrashRecord crash{send.fingerprint, check.target.incarnation.Name(), send.shared};
		bool held = check.HasCrashed() && this->crash_records.Add(crash);
		if (held) this->dispatcher.QuarantineState().Add(crash, now);
		if (!held && !this->crash_records.Holds(crash)) this->dispatcher.QuarantineState().Remove(crash);
		Log(LogLevel::Info, "target-check",
		    {{"request", send.request},
		     {"print", FormatFingerprint(send.fingerprint)},
		     {"features", FormatFeatures(send.shared)},
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
	for (const CrashRecord &crash : added) this->dispatcher.QuarantineState().Add(crash, now, this->crash_records.from_snapshot);
	this->OnQuarantineChanged(now);
}

void Gateway::OnHarmfulReported(const FeatureList &features, bool removed)
{
	if (removed) this->dispatcher.QuarantineState().RemoveShared(features);
	if (!removed) this->dispatcher.QuarantineState().AddShared(features);
	this->OnQuarantineChanged(MonotonicNow());
}

void Gateway::OnFeatureCleared(const RequestFeature &feature, const std::vector<CrashRecord> &crashes)
{
	for (const CrashRecord &crash : crashes) this->dispatcher.QuarantineState().Clear(feature, crash);
	Log(LogLevel::Info, "feature-cleared",
	    {{"feature", FormatFeature(feature)}, {"ends", std::to_string(crashes.size())}, {"source", "store"}});
	this->OnQuarantineChanged(MonotonicNow());
}

/** @return The fingerprint of the whole request in \a features, or an empty text. */
static std::string WholeRequestOf(const FeatureList &features)
{
	bool whole = !features.empty() && features.front().kind == FeatureKind::WholeRequest;
	return whole ? FormatFingerprint(RequestFingerprint{features.front().hash}) : "";
}

void Gateway::CancelQuarantined()
{
	std::vector<std::shared_ptr<RelayCall>> affected;
	for (const auto &[id, call] : this->calls) {
		if (call->IsQuarantined()) affected.push_back(call);
	}
	for (const auto &call : affected) call->OnQuarantined();
}

void Gateway::OnQuarantineChanged(TimePoint now)
{
	std::set<FeatureList> before = std::exchange(this->quarantined, {});
	bool has_new = false;
	for (const QuarantineRule &rule : this->dispatcher.QuarantineState().Rules(now)) {
		this->quarantined.insert(rule.features);
		if (rule.is_to_be_shared) this->crash_records.ReportHarmful(rule.features, now);
		if (before.erase(rule.features) > 0) continue;
		has_new = true;
		Log(LogLevel::Warning, "quarantined",
		    {{"print", WholeRequestOf(rule.features)},
		     {"features", FormatFeatures(rule.features)},
		     {"ends", std::to_string(rule.crashes)},
		     {"left_ms", FormatMilliseconds(std::chrono::duration_cast<Duration>(rule.until - now))}});
	}
	for (const FeatureList &features : before)
		Log(LogLevel::Info, "quarantine-ended", {{"print", WholeRequestOf(features)}, {"features", FormatFeatures(features)}});
	if (has_new) this->CancelQuarantined();
	this->Execute(this->dispatcher.OnQuarantineChanged(now));
}

void Gateway::OnAnsweredSuccessfully(const RelayRequest &request)
{
	std::vector<CrashRecord> cleared = this->dispatcher.QuarantineState().ClearedBySuccess(request.spec.features.fingerprint);
	if (cleared.empty()) return;
	for (const CrashRecord &crash : cleared) {
		this->dispatcher.QuarantineState().Remove(crash);
		this->crash_records.Remove(crash);
	}
	Log(LogLevel::Info, "suspicion-cleared",
	    {{"request", request.info.attempt},
	     {"print", FormatFingerprint(request.spec.features.fingerprint)},
	     {"ends", std::to_string(cleared.size())}});
	this->OnQuarantineChanged(MonotonicNow());
}

void Gateway::LogQuarantined(const RelayRequest &request)
{
	TimePoint now = MonotonicNow();
	const QuarantineRule *rule = this->dispatcher.QuarantineState().RuleFor(request.spec.features, now);
	if (rule == nullptr) return;
	Log(LogLevel::Info, "held-back",
	    {{"request", request.info.attempt},
	     {"print", FormatFingerprint(request.spec.features.fingerprint)},
	     {"features", FormatFeatures(rule->features)},
	     {"ends", std::to_string(rule->crashes)},
	     {"left_ms", FormatMilliseconds(std::chrono::duration_cast<Duration>(rule->until - now))}});
}

void Gateway::OnRunEnded(const RelayRequest &request, TargetNumber target, TimePoint sent_at)
{
	if (request.info.prompt_parts.empty()) return;
	this->survivals.OnAnswered({request.spec.features, this->records[target.value].incarnation.Name(), sent_at, MonotonicNow()});
}

void Gateway::OnRunSurvived(const RequestFeatures &features, TimePoint sent_at)
{
	TimePoint now = MonotonicNow();
	FeatureList suspected = this->dispatcher.QuarantineState().OnSurvived(features, sent_at, now);
	for (const RequestFeature &feature : suspected) {
		Log(LogLevel::Info, "feature-cleared", {{"feature", FormatFeature(feature)}, {"source", "own-request"}});
		this->crash_records.ClearFeature(feature, now);
	}
	if (!suspected.empty()) this->OnQuarantineChanged(now);
}

void Gateway::ExpireCrashRecords(TimePoint now)
{
	this->crash_records.OnTick(now);
	for (const AnsweredRequest &each : this->survivals.TakeSurvived(now)) this->OnRunSurvived(each.features, each.sent_at);
	if (now - this->crash_records_checked_at < CRASH_EXPIRY_INTERVAL) return;
	this->crash_records_checked_at = now;
	this->crash_records.RemoveUnusedFindings();
	if (this->dispatcher.QuarantineState().IsEmpty()) return;
	for (const CrashRecord &crash : this->dispatcher.QuarantineState().Expired(now)) {
		this->dispatcher.QuarantineState().Remove(crash);
		if (this->peers.ReadsReportsOf(CrashKey(crash))) this->crash_records.Remove(crash);
	}
	this->OnQuarantineChanged(now);
}

} // namespace cottonspool
