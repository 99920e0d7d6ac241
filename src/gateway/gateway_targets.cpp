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

void Gateway::RefreshScope()
{
	size_t in_hall = 0;
	for (const auto &[id, target] : this->usable) {
		const Pool *pool = this->routes.FindPool(target.pool);
		if (pool != nullptr && pool->engine && target.hall == this->settings.hall) in_hall++;
	}
	bool only = in_hall >= (this->peers.IsHallOnly() ? this->limits.hall_engines_least : this->limits.hall_engines);
	if (only == this->peers.IsHallOnly()) return;
	this->peers.SetHallOnly(only);
	Log(LogLevel::Info, "scope", {{"hall_only", only ? "yes" : "no"}, {"engines_in_hall", std::to_string(in_hall)}});
}

void Gateway::RefreshTargets()
{
	for (const auto &[id, target] : this->usable) this->UseTarget(target);
}

void Gateway::OnTargetRows(const std::vector<StoredRow> &rows, bool all, TimePoint now)
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
			this->NoteUnreadable(row.key, target.error());
		}
	}
	this->OnTargetEvents(all ? this->registry.OnAll(decoded, now) : this->registry.OnChanges(decoded, now), now);
}

void Gateway::NoteUnreadable(const std::string &key, const Error &error)
{
	static constexpr size_t MOST_NAMED = 256; ///< Unreadable rows whose last error is remembered; errors of further ones are not logged.
	this->metrics.Count("cottonspool_unreadable_rows_total");
	std::string &told = this->unreadable[key];
	if (told == error.message || this->unreadable.size() > MOST_NAMED) return;
	told = error.message;
	Log(LogLevel::Warning, "target-unreadable", {{"target", key}, {"error", FormatError(error)}});
}

void Gateway::OnTargetEvents(const std::vector<TargetEvent> &events, TimePoint now)
{
	static constexpr size_t MOST_LOGGED = 64; // Longer lists are logged in one line.
	bool log_each = events.size() <= MOST_LOGGED;
	if (!log_each) Log(LogLevel::Info, "targets-changed", {{"targets", std::to_string(events.size())}, {"source", events.front().source}});
	for (const TargetEvent &event : events) {
		std::string name = event.target.life.Name();
		if (event.change != TargetChange::Usable) {
			this->LeaveTarget(event.target, event.source, now);
			if (event.change == TargetChange::Ended) this->EndTarget(name, now);
			continue;
		}
		this->usable[name] = event.target;
		this->UseTarget(event.target);
		if (std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name))
			this->NoteCold(*number, event.target, event.target.cold_left, now);
		if (!log_each) continue;
		Log(LogLevel::Info, "target-usable",
		    {{"target", name}, {"pool", event.target.pool}, {"hall", event.target.hall}, {"source", event.source}});
	}
	if (events.empty()) return;
	this->RefreshPolled(now);
	this->RefreshScope();
	this->Carry(this->dispatcher.OnPlacesChanged(now));
}

void Gateway::UseTarget(const ListedTarget &listed)
{
	Result<Endpoint> address = ParseEndpoint(listed.address);
	if (!address)
		return Log(LogLevel::Warning, "target-unreadable", {{"target", listed.life.Name()}, {"error", FormatError(address.error())}});
	const Pool *pool = this->routes.FindPool(listed.pool);
	bool engine = pool != nullptr && pool->engine;
	TargetTable &targets = this->dispatcher.Targets();
	TargetNumber number = targets.Configure(listed.life.Name(), listed.hall, {this->pools.Intern(listed.pool)}, engine);
	targets.ClearLeaving(number);
	targets.SetUnreported(number, engine ? pool->engine->memory_tokens : listed.slots);
	if (this->records.size() <= number.value) this->records.resize(number.value + 1);
	TargetRecord &record = this->records[number.value];
	// Gives the instance that fetches reports of a new target the time for the first one.
	if (record.reported_at == TimePoint{}) record.reported_at = MonotonicNow();
	record.address = address.value();
	record.pool = listed.pool;
	record.life = listed.life;
	record.engine = engine;
}

void Gateway::LeaveTarget(const ListedTarget &listed, const char *source, TimePoint now)
{
	std::string name = listed.life.Name();
	this->usable.erase(name);
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
	Log(LogLevel::Info, "target-leaving",
	    {{"target", name},
	     {"pool", listed.pool},
	     {"source", source},
	     {"own_calls", number ? std::to_string(this->dispatcher.Targets().Get(*number).in_flight.size()) : "0"}});
	if (!number) return;
	this->dispatcher.Targets().MarkLeaving(*number);
	this->dispatcher.Targets().Forget(*number);
	this->upstream.Drop(name);
	for (CallId id : this->dispatcher.CallsAt(*number)) {
		auto found = this->calls.find(id);
		std::shared_ptr<RelayCall> call = found == this->calls.end() ? nullptr : found->second;
		if (call) call->OnTargetLeaving(now);
	}
}

void Gateway::EndTarget(const std::string &name, TimePoint now)
{
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
	if (!number) return;
	// Connections to a terminated incarnation may hang behind a network partition and would never end by themselves.
	for (CallId id : this->dispatcher.CallsAt(*number)) {
		auto found = this->calls.find(id);
		std::shared_ptr<RelayCall> call = found == this->calls.end() ? nullptr : found->second;
		if (call) call->OnTargetEnded();
	}
	this->end_watch.OnOtherLife(name, now);
}

void Gateway::RefreshPolled(TimePoint now)
{
	this->polled_at = now;
	this->polled.clear();
	for (const auto &[name, listed] : this->usable) {
		if (this->peers.IsHallOnly() && listed.hall != this->settings.hall) continue;
		std::optional<TargetNumber> number = this->dispatcher.Targets().Find(name);
		if (number && this->records[number->value].engine) this->polled.push_back(*number);
	}
}

/** @return Whether no request is known to be at \a target. */
static bool IsIdle(const TargetState &target)
{
	bool used = !target.in_flight.empty() || target.report.running + target.report.waiting > 0;
	return !used && std::all_of(target.told.begin(), target.told.end(), [](const auto &told) { return told.second.held.calls == 0; });
}

void Gateway::PollReports(TimePoint now)
{
	static constexpr Duration LOOK = std::chrono::seconds(1); // The halls in scope also change with the set of instances.
	if (now - this->polled_at >= LOOK) this->RefreshPolled(now);
	// Reports of idle engines contain nothing new, unless unknown instances use the engines or only the reports show that they drain.
	bool asks_idle = this->target_watch.IsLost() || !this->peers.HearsMost();
	for (TargetNumber number : this->polled) {
		TargetRecord &record = this->records[number.value];
		const TargetState &target = this->dispatcher.Targets().Get(number);
		if (record.report_call != 0 && now >= record.report_limit) {
			this->upstream.Cancel(record.report_call);
			record.report_call = 0;
		}
		if (IsIdle(target) && !asks_idle) {
			record.idle_at = now;
			continue;
		}
		if (record.report_call != 0 || now < record.next_report) continue;
		// The target asked this instance to pause; another one fetches its reports once it misses them.
		if (now < target.bounds.paused_until) continue;
		// One instance fetches a target's reports for all; the others do so only if none arrive.
		Duration patience = FromSeconds(Seconds(this->limits.report_poll) * this->limits.report_patience);
		TimePoint heard = std::max(record.reported_at, record.idle_at);
		if (now - heard < patience && !this->peers.ReadsReportsOf(target.name)) {
			// The instance in charge may change, but that need not be checked at every tick.
			record.next_report = std::min(heard + patience, now + this->limits.report_poll);
			continue;
		}
		this->PollReport(number, now);
	}
}

Duration Gateway::ReportPeriod(const TargetState &target) const
{
	return this->target_watch.IsLost() && !IsIdle(target) ? this->limits.report_poll_alone : this->limits.report_poll;
}

void Gateway::PollReport(TargetNumber number, TimePoint now)
{
	TargetRecord &record = this->records[number.value];
	const TargetState &target = this->dispatcher.Targets().Get(number);
	double jitter = std::uniform_real_distribution<double>(1 - REPORT_JITTER, 1 + REPORT_JITTER)(this->random);
	record.next_report = now + FromSeconds(Seconds(this->ReportPeriod(target)) * jitter);
	record.report_limit = now + this->limits.report_limit;
	record.report_call = this->upstream.Start(MakeReportCall(
	        record.address, target.name, [this, number](const std::optional<EngineReport> &report) { this->OnReport(number, report); }));
}

void Gateway::OnReport(TargetNumber number, const std::optional<EngineReport> &told)
{
	TargetRecord &record = this->records[number.value];
	record.report_call = 0;
	if (!told || told->memory_tokens == 0) return;
	if (record.life.IsOther(told->born)) {
		TimePoint now = MonotonicNow();
		return this->OnTargetEvents(this->registry.OnOtherLife(record.life.Name(), now), now);
	}
	LoadReport report;
	report.capacity_tokens = told->memory_tokens;
	report.used_tokens = told->used_tokens;
	report.running = told->running;
	report.waiting = told->waiting;
	report.waiting_tokens = told->waiting_tokens;
	report.leaving = told->leaving && this->limits.use_own_notice;
	this->LogReport(number, report);
	this->peers.TellReport(this->dispatcher.Targets().Get(number).name, report);
	// A drain notice that arrives by report leaves little time for migrations, so the peers get it immediately.
	if (report.leaving) this->peers.Flush();
	this->TakeReport(number, std::move(report), this->limits.report_age);
}

void Gateway::LogReport(TargetNumber number, const LoadReport &report)
{
	TimePoint now = MonotonicNow();
	const TargetState &target = this->dispatcher.Targets().Get(number);
	HeldLoad held = this->dispatcher.Targets().HeldAt(target, now);
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
	     {"leaving", report.leaving ? "yes" : "no"}});
}

void Gateway::OnPeerReport(const ReportNews &news)
{
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(news.target);
	if (number && number->value < this->records.size()) this->TakeReport(*number, news.report, this->limits.report_age);
}

void Gateway::OnHallLoad(const HallLoadMessage &message)
{
	for (const ReportNews &news : this->hall_load.OnMessage(message, MonotonicNow())) {
		std::optional<TargetNumber> number = this->dispatcher.Targets().Find(news.target);
		if (number && number->value < this->records.size()) this->TakeReport(*number, news.report, this->limits.hall_load_age);
	}
}

void Gateway::TakeReport(TargetNumber number, LoadReport report, Duration age)
{
	TargetRecord &record = this->records[number.value];
	record.reported_at = MonotonicNow();
	report.sequence = ++record.reports;
	report.age = age;
	this->Carry(this->dispatcher.OnReport(number, report, record.reported_at));
	if (!report.leaving) return;
	std::string name = this->dispatcher.Targets().Get(number).name;
	this->OnTargetEvents(this->registry.OnOwnNotice(name, "own-notice", record.reported_at), record.reported_at);
}

} // namespace cottonspool
