/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_signals.cpp Signals that targets send with their own answers: load, rate limits, pauses and drain notices. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration SIGNALS_LOG_INTERVAL = std::chrono::seconds(1); ///< Shortest time between log lines about one target.

void Gateway::OnAnswerHead(const RelayRequest &request, TargetNumber number, const AnswerInfo &answer, TimePoint requested_at)
{
	this->OnTargetAnswered(request);
	if (answer.load) this->OnLoadHeader(number, *answer.load);
	TimePoint now = MonotonicNow();
	this->LogSignals(request, number, answer.signals, now);
	if (answer.signals.draining) this->OnTargetDrainNotice(this->records[number.value].incarnation.Name(), "answer", now);
	if (answer.time_factor) this->OnTimeFactor(number, *answer.time_factor, "answer", now);
	const TargetSignals *own = answer.own_signals ? &answer.signals : nullptr;
	if (this->dispatcher.Targets().OnAnswerSignals(number, own, requested_at, now)) this->OnBrittleChanged(number, now);
	bool limit_changed = this->dispatcher.Targets().OnSignals(number, answer.signals, requested_at, now);
	if (limit_changed) this->OnLimitChanged(number, "answer", requested_at, now);
	if (limit_changed) this->peers.PublishSignals(this->LimitUpdateOf(number, now), requested_at);
	if (limit_changed || answer.signals.pause > Duration(0)) this->Execute(this->dispatcher.OnPlacementChanged(now));
}

void Gateway::OnTargetDrainNotice(const std::string &target, const char *source, TimePoint now)
{
	// The notice is final even if the list doesn't show it: the store may be unavailable, and a plain service announces it nowhere else.
	std::vector<TargetEvent> events = this->registry.OnDrainNotice(target, source, now);
	if (events.empty()) return;
	this->drain_notices[target] = now;
	this->peers.PublishSignals({.target = target, .draining = true}, now);
	this->OnTargetEvents(events, now);
}

TargetSignalUpdate Gateway::LimitUpdateOf(TargetNumber number, TimePoint now) const
{
	const TargetState &target = this->dispatcher.Targets().Get(number);
	TargetSignalUpdate update{.target = target.name};
	update.limit = target.restrictions.limit.IsActive() ? SignalState::Present : SignalState::Absent;
	update.limit_per_s = target.restrictions.limit.IsActive() ? target.restrictions.limit.Bound().per_second : 0;
	/** Upper limit of the age that is sent; older values are equally outdated. */
	static constexpr Duration MAX_AGE = std::chrono::minutes(10);
	update.request_age = std::min(MAX_AGE, now - target.restrictions.limit.LastReportedAt());
	return update;
}

std::vector<TargetSignalUpdate> Gateway::KnownSignals(TimePoint now) const
{
	std::vector<TargetSignalUpdate> all;
	for (TargetNumber number : this->limited) all.push_back(this->LimitUpdateOf(number, now));
	for (const auto &[target, at] : this->drain_notices) all.push_back({.target = target, .draining = true, .request_age = now - at});
	std::vector<TargetSignalUpdate> speeds = this->KnownSpeeds(now);
	all.insert(all.end(), speeds.begin(), speeds.end());
	return all;
}

void Gateway::OnPeerSignals(const TargetSignalUpdate &update)
{
	TimePoint now = MonotonicNow();
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(update.target);
	if (update.draining) this->OnTargetDrainNotice(update.target, "peer", now);
	this->OnPeerTimeFactor(update, now);
	if (!number || update.limit == SignalState::Unreadable) return;
	TargetSignals signals;
	signals.limit = update.limit;
	signals.limit_per_s = update.limit_per_s;
	TimePoint requested_at = now - update.request_age;
	if (!this->dispatcher.Targets().OnSignals(*number, signals, requested_at, now)) return;
	this->OnLimitChanged(*number, "peer", requested_at, now);
	this->Execute(this->dispatcher.OnPlacementChanged(now));
}

void Gateway::OnLimitChanged(TargetNumber number, const char *source, TimePoint requested_at, TimePoint now)
{
	const TargetRateLimit &limit = this->dispatcher.Targets().Get(number).restrictions.limit;
	if (limit.IsActive()) this->limited.insert(number);
	if (!limit.IsActive()) this->limited.erase(number);
	this->UpdateLimitShare(number, now);
	TargetRecord &record = this->records[number.value];
	bool was_limited = record.limited_as_logged;
	if (was_limited == limit.IsActive() && now - record.limit_logged_at < SIGNALS_LOG_INTERVAL) return;
	record.limited_as_logged = limit.IsActive();
	record.limit_logged_at = now;
	const RateShare &share = limit.Share();
	Log(LogLevel::Info, "target-limit",
	    {{"target", record.incarnation.Name()},
	     {"source", source},
	     {"per_s", limit.IsActive() ? FormatNumber(limit.Bound().per_second) : ""},
	     {"asked_ms_ago", FormatMilliseconds(now - requested_at)},
	     {"share", std::to_string(share.max_requests)},
	     {"window_ms", FormatMilliseconds(share.window)}});
}

void Gateway::OnBrittleChanged(TargetNumber number, TimePoint now)
{
	const RefusalGuard &refusals = this->dispatcher.Targets().Get(number).restrictions.refusals;
	if (refusals.IsActive()) this->brittle.insert(number);
	if (!refusals.IsActive()) this->brittle.erase(number);
	this->UpdateRefusalShare(number, now);
	Log(LogLevel::Info, "target-brittle",
	    {{"target", this->records[number.value].incarnation.Name()},
	     {"bears_per_s", refusals.IsActive() ? FormatNumber(refusals.Bound()) : ""},
	     {"brittle_targets", std::to_string(this->brittle.size())}});
	this->Execute(this->dispatcher.OnPlacementChanged(now));
}

void Gateway::UpdateRefusalShare(TargetNumber number, TimePoint now)
{
	/** Part of the refusals that is shared out; the rest is for those that arrive late and for requests of instances not known here. */
	static constexpr double SHARED_FRACTION = 0.8;
	const TargetState &target = this->dispatcher.Targets().Get(number);
	std::vector<std::string> instances = this->peers.KnownInstances();
	RateLimit limit{target.restrictions.refusals.Bound() * SHARED_FRACTION, REFUSAL_SPAN};
	this->dispatcher.Targets().SetRefusalShare(number, this->peers.Instances(),
	                                           this->ShareOf(target.name, limit, instances, Duration(0), now));
}

void Gateway::LogSignals(const RelayRequest &request, TargetNumber number, const TargetSignals &signals, TimePoint now)
{
	TargetRecord &record = this->records[number.value];
	if (signals == record.signals || now - record.signals_logged_at < SIGNALS_LOG_INTERVAL) return;
	record.signals = signals;
	record.signals_logged_at = now;
	Log(LogLevel::Info, "target-said",
	    {{"target", record.incarnation.Name()},
	     {"request", request.info.attempt},
	     {"limit_per_s", signals.limit == SignalState::Present ? FormatNumber(signals.limit_per_s) : ""},
	     {"leaving", signals.draining ? "yes" : "no"},
	     {"pause_ms", FormatMilliseconds(signals.pause)},
	     {"brittle", signals.brittle == SignalState::Present ? FormatNumber(signals.refusals_per_s) : ""},
	     {"refused", signals.refused ? "yes" : "no"},
	     {"unreadable", signals.unreadable ? "yes" : "no"}});
}

void Gateway::OnLoadHeader(TargetNumber number, const TargetLoad &load)
{
	TargetRecord &record = this->records[number.value];
	if (record.engine || load.slots == 0) return;
	LoadReport report;
	report.sequence = ++record.reports;
	report.capacity_tokens = load.slots;
	report.used_tokens = load.running;
	report.running = load.running;
	report.waiting = load.waiting;
	this->Execute(this->dispatcher.OnReport(number, report, MonotonicNow()));
}

} // namespace cottonspool
