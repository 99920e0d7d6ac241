/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_targets.cpp Targets in use, and their load reports. */

#include "core/hash_func.h"
#include "gateway/gateway.h"
#include "metrics/log.h"
#include "platform/wire_configuration.h"
#include "platform/wire_engine.h"
#include <random>

namespace cottonspool {

static constexpr double REPORT_JITTER = 0.3; ///< Random part of the report interval, so that the instances don't fetch reports in step.

void Gateway::RefreshPeerScope()
{
	size_t in_hall = 0;
	for (const auto &[id, target] : this->usable) {
		const Pool *pool = this->routes.FindPool(target.pool);
		if (pool != nullptr && pool->engine && target.hall == this->settings.hall) in_hall++;
	}
	bool only = in_hall >= (this->peers.IsHallOnly() ? this->limits.hall_scope_leave_engines : this->limits.hall_scope_enter_engines);
	if (only == this->peers.IsHallOnly()) return;
	this->peers.SetHallOnly(only);
	Log(LogLevel::Info, "scope", {{"hall_only", only ? "yes" : "no"}, {"engines_in_hall", std::to_string(in_hall)}});
}

void Gateway::RefreshTargets()
{
	for (const auto &[id, target] : this->usable) this->UseTarget(target);
}

void Gateway::OnTargetRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now)
{
	std::vector<TargetRow> decoded;
	for (const StoredRow &row : rows) {
		Result<TargetRow> target = DecodeTargetRow(row);
		if (target && target.value().target && !this->division.IsOwn(*target.value().target)) continue;
		if (target) {
			decoded.push_back(std::move(target.value()));
		} else {
			// Replaces the target that this row may have named before.
			decoded.push_back({row.key, std::nullopt});
			this->ReportUnreadable(row.key, target.error());
		}
	}
	const UpdateAge &age = this->target_watch.LastUpdateAge();
	this->OnTargetEvents(is_snapshot ? this->registry.OnFullList(decoded, now, age) : this->registry.OnChanges(decoded, now, age), now);
}

void Gateway::OnTargetKept(const KeptTarget &kept)
{
	this->metrics.Count("cottonspool_targets_kept_total");
	Log(LogLevel::Info, "target-kept",
	    {{"target", kept.target.incarnation.Name()},
	     {"pool", kept.target.pool},
	     {"hall", kept.target.hall},
	     {"source", kept.source},
	     {"removed_ms", FormatMilliseconds(kept.age.longest)},
	     {"store_failed", kept.age.after_failures ? "yes" : "no"},
	     {"kept_ms", FormatMilliseconds(kept.usable_until - MonotonicNow())}});
}

void Gateway::ReportUnreadable(const std::string &key, const Error &error)
{
	/** Unreadable rows whose last error is remembered; errors of further ones are not logged. */
	static constexpr size_t MAX_REMEMBERED = 256;
	this->metrics.Count("cottonspool_unreadable_rows_total");
	std::string &last_error = this->unreadable[key];
	if (last_error == error.message || this->unreadable.size() > MAX_REMEMBERED) return;
	last_error = error.message;
	Log(LogLevel::Warning, "target-unreadable", {{"target", key}, {"error", FormatError(error)}});
}

void Gateway::OnTargetEvents(const std::vector<TargetEvent> &events, TimePoint now)
{
	static constexpr size_t MAX_LOGGED_EACH = 64; // Longer lists are logged in one line.
	bool log_each = events.size() <= MAX_LOGGED_EACH;
	if (!log_each) Log(LogLevel::Info, "targets-changed", {{"targets", std::to_string(events.size())}, {"source", events.front().source}});
	for (const TargetEvent &event : events) {
		std::string name = event.target.incarnation.Name();
		if (event.change != TargetChange::Usable) {
			this->DrainTarget(event, now);
			if (event.change == TargetChange::Terminated) this->FailCallsAt(name, now);
			continue;
		}
		this->usable[name] = event.target;
		this->UseTarget(event.target);
		if (std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name))
			this->MarkCold(*number, event.target, event.target.cold_remaining, now);
		if (!log_each) continue;
		Log(LogLevel::Info, "target-usable",
		    {{"target", name}, {"pool", event.target.pool}, {"hall", event.target.hall}, {"source", event.source}});
	}
	if (events.empty()) return;
	this->RefreshPolledTargets(now);
	this->RefreshPeerScope();
	this->Execute(this->dispatcher.OnPlacementChanged(now));
}

void Gateway::UseTarget(const ListedTarget &listed)
{
	Result<Endpoint> address = ParseEndpoint(listed.address);
	if (!address)
		return Log(LogLevel::Warning, "target-unreadable",
		           {{"target", listed.incarnation.Name()}, {"error", FormatError(address.error())}});
	const Pool *pool = this->routes.FindPool(listed.pool);
	bool engine = pool != nullptr && pool->engine;
	TargetTable &targets = this->dispatcher.Targets();
	TargetNumber number = targets.Configure(listed.incarnation.Name(), listed.hall, {this->pools.Intern(listed.pool)}, engine);
	targets.ClearDraining(number);
	targets.SetPlaces(number, static_cast<uint32_t>(std::min<uint64_t>(listed.slots, UINT32_MAX)));
	targets.SetServiceCapacity(number, engine ? pool->engine->memory_tokens : listed.slots);
	if (this->records.size() <= number.value) this->records.resize(number.value + 1);
	TargetRecord &record = this->records[number.value];
	// Gives the instance that fetches reports of a new target the time for the first one.
	if (record.reported_at == TimePoint{}) record.reported_at = MonotonicNow();
	record.address = address.value();
	record.pool = listed.pool;
	record.incarnation = listed.incarnation;
	record.engine = engine;
	record.last_send = TimePoint::max();
	// Its speed may have been received before the target itself.
	this->LogSpeed(number, "peer", MonotonicNow());
}

void Gateway::DrainTarget(const TargetEvent &event, TimePoint now)
{
	const ListedTarget &listed = event.target;
	std::string name = listed.incarnation.Name();
	this->usable.erase(name);
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
	Log(LogLevel::Info, "target-leaving",
	    {{"target", name},
	     {"pool", listed.pool},
	     {"source", event.source},
	     {"acknowledged_ms", FormatMilliseconds(now - event.acknowledged_after)},
	     {"own_calls", number ? std::to_string(this->dispatcher.Targets().Get(*number).in_flight.size()) : "0"}});
	if (!number) return;
	this->records[number->value].last_send = this->registry.LastSendTime(event.acknowledged_after);
	this->dispatcher.Targets().MarkDraining(*number);
	this->dispatcher.Targets().Forget(*number);
	this->upstream.CloseIdle(name);
	for (CallId id : this->dispatcher.CallsAt(*number)) {
		auto found = this->calls.find(id);
		std::shared_ptr<RelayCall> call = found == this->calls.end() ? nullptr : found->second;
		if (call) call->OnTargetDraining(now);
	}
}

void Gateway::FailCallsAt(const std::string &name, TimePoint now)
{
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
	if (!number) return;
	// Connections to a terminated incarnation may hang behind a network partition and would never end by themselves.
	for (CallId id : this->dispatcher.CallsAt(*number)) {
		auto found = this->calls.find(id);
		std::shared_ptr<RelayCall> call = found == this->calls.end() ? nullptr : found->second;
		if (call) call->OnTargetCrashed();
	}
	this->crash_watch.OnOtherIncarnation(name, now);
}

void Gateway::RefreshPolledTargets(TimePoint now)
{
	this->polled_at = now;
	this->polled_targets.clear();
	for (const auto &[name, listed] : this->usable) {
		if (this->peers.IsHallOnly() && listed.hall != this->settings.hall) continue;
		std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
		if (number && this->records[number->value].engine) this->polled_targets.push_back(*number);
	}
}

/** @return Whether no request is known to be at \a target. */
static bool IsIdle(const TargetState &target)
{
	bool used = !target.in_flight.empty() || target.report.running + target.report.waiting > 0;
	return !used &&
	       std::all_of(target.hall_loads.begin(), target.hall_loads.end(), [](const auto &load) { return load.second.held.calls == 0; });
}

void Gateway::PollReports(TimePoint now)
{
	static constexpr Duration POLLED_REFRESH_INTERVAL =
	        std::chrono::seconds(1); // The halls in scope also change with the set of instances.
	if (now - this->polled_at >= POLLED_REFRESH_INTERVAL) this->RefreshPolledTargets(now);
	// Reports of idle engines contain nothing new, unless unknown instances use the engines or only the reports show that they drain.
	bool polls_idle = this->target_watch.IsUnavailable() || !this->peers.HearsMost();
	for (TargetNumber number : this->polled_targets) {
		TargetRecord &record = this->records[number.value];
		const TargetState &target = this->dispatcher.Targets().Get(number);
		if (record.report_call != 0 && now >= record.report_deadline) {
			this->upstream.Cancel(record.report_call);
			record.report_call = 0;
		}
		if (IsIdle(target) && !polls_idle) {
			record.idle_at = now;
			continue;
		}
		if (record.report_call != 0 || now < record.next_report) continue;
		// The target asked this instance to pause; another one fetches its reports once it misses them.
		if (now < target.restrictions.paused_until) continue;
		// One instance fetches a target's reports for all; the others do so only if none arrive.
		Duration takeover_after = FromSeconds(Seconds(this->limits.report_poll_interval) * this->limits.report_takeover_periods);
		TimePoint last_report_at = std::max(record.reported_at, record.idle_at);
		if (now - last_report_at < takeover_after && !this->peers.ReadsReportsOf(target.name)) {
			// The instance in charge may change, but that need not be checked at every tick.
			record.next_report = std::min(last_report_at + takeover_after, now + this->limits.report_poll_interval);
			continue;
		}
		this->PollReport(number, now);
	}
}

Duration Gateway::ReportInterval(const TargetState &target) const
{
	return this->target_watch.IsUnavailable() && !IsIdle(target) ? this->limits.report_poll_interval_store_down
	                                                             : this->limits.report_poll_interval;
}

void Gateway::PollReport(TargetNumber number, TimePoint now)
{
	TargetRecord &record = this->records[number.value];
	const TargetState &target = this->dispatcher.Targets().Get(number);
	double jitter = std::uniform_real_distribution<double>(1 - REPORT_JITTER, 1 + REPORT_JITTER)(this->random);
	record.next_report = now + FromSeconds(Seconds(this->ReportInterval(target)) * jitter);
	record.report_deadline = now + this->limits.report_timeout;
	record.report_call = this->upstream.Start(MakeReportCall(
	        record.address, target.name, [this, number](const std::optional<EngineReport> &report) { this->OnReport(number, report); }));
}

void Gateway::OnReport(TargetNumber number, const std::optional<EngineReport> &fetched)
{
	TargetRecord &record = this->records[number.value];
	record.report_call = 0;
	if (!fetched) this->OnTargetSilent(number);
	if (!fetched || fetched->memory_tokens == 0) return;
	if (record.incarnation.IsOtherIncarnation(fetched->started_ms)) {
		TimePoint now = MonotonicNow();
		return this->OnTargetEvents(this->registry.OnOtherIncarnation(record.incarnation.Name(), now), now);
	}
	LoadReport report;
	report.capacity_tokens = fetched->memory_tokens;
	report.used_tokens = fetched->used_tokens;
	report.running = fetched->running;
	report.waiting = fetched->waiting;
	report.waiting_tokens = fetched->waiting_tokens;
	report.draining = fetched->draining && this->limits.use_drain_notice;
	if (report.draining) report.shutdown_in = fetched->shutdown_in;
	this->LogReport(number, report);
	this->peers.PublishReport(this->dispatcher.Targets().Get(number).name, report);
	// A drain notice that arrives by report leaves little time for migrations, so the peers get it immediately.
	if (report.draining) this->peers.Flush();
	this->ApplyReport(number, std::move(report), this->limits.report_age);
}

void Gateway::LogReport(TargetNumber number, const LoadReport &report)
{
	TimePoint now = MonotonicNow();
	const TargetState &target = this->dispatcher.Targets().Get(number);
	HeldLoad held = this->dispatcher.Targets().TotalLoadAt(target, now);
	// Shows how far the estimated load was off from the reported one.
	Log(LogLevel::Info, "report",
	    {{"target", target.name},
	     {"hall", target.hall},
	     {"used", std::to_string(report.used_tokens)},
	     {"memory", std::to_string(report.capacity_tokens)},
	     {"running", std::to_string(report.running)},
	     {"waiting", std::to_string(report.waiting)},
	     {"first_waiting", std::to_string(report.waiting_tokens)},
	     {"believed", FormatNumber(held.tokens)},
	     {"believed_calls", std::to_string(held.calls)},
	     {"known_calls", std::to_string(target.in_flight.size())},
	     {"pressure", FormatNumber(this->dispatcher.Targets().Pressure(target, now))},
	     {"leaving", report.draining ? "yes" : "no"}});
}

void Gateway::OnPeerReport(const ReportUpdate &update)
{
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(update.target);
	if (number && number->value < this->records.size()) this->ApplyReport(*number, update.report, this->limits.report_age);
}

void Gateway::OnHallLoad(const HallLoadMessage &message)
{
	for (const ReportUpdate &update : this->hall_load.OnMessage(message, MonotonicNow())) {
		std::optional<TargetNumber> number = this->dispatcher.Targets().Find(update.target);
		if (number && number->value < this->records.size()) this->ApplyReport(*number, update.report, this->limits.hall_load_age);
	}
}

void Gateway::ApplyReport(TargetNumber number, LoadReport report, Duration age)
{
	TargetRecord &record = this->records[number.value];
	record.reported_at = MonotonicNow();
	report.sequence = ++record.reports;
	report.age = age;
	this->Execute(this->dispatcher.OnReport(number, report, record.reported_at));
	if (!report.draining) return;
	std::string name = this->dispatcher.Targets().Get(number).name;
	this->OnTargetEvents(this->registry.OnDrainNotice(name, "own-notice", record.reported_at), record.reported_at);
}

} // namespace cottonspool
