/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_table.cpp Load accounting and headroom of targets. */

#include "decision/target_table.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

static constexpr uint32_t RESIDUAL_REFRESH_TOKENS = 16;   ///< Output tokens between updates of the expected remaining output.
static constexpr double GROWTH_ON_PREEMPTION = 1.25;      ///< Factor on TargetState::growth after a report with preemptions.
static constexpr double GROWTH_WITHOUT_PREEMPTION = 0.98; ///< Factor on TargetState::growth after a report without preemptions.
static constexpr double SHARE_ON_PREEMPTION = 0.5;        ///< Factor on TargetState::share_factor after a report with preemptions.
static constexpr double SHARE_WITHOUT_PREEMPTION = 1.03;  ///< Factor on TargetState::share_factor after a report without preemptions.
static constexpr double INTERVAL_SMOOTHING = 0.05;        ///< Weight of the newest sample in the token interval.
static constexpr double RESIDUAL_SMOOTHING = 0.02;        ///< Weight of the newest sample in the mean remaining output.
static constexpr Duration SENT_PREFIX_TTL = std::chrono::seconds(10); ///< Time for which the prefix of a sent call is taken for cached.
static constexpr size_t MAX_SENT_PREFIXES = 64;                       ///< Maximum number of such prefixes per target.
/** Time for which ended calls are remembered; longer than the age of a report at its receipt, which is some 450 ms. */
static constexpr Duration ENDED_CALL_TTL = std::chrono::seconds(2);
static constexpr double TURN_FRACTION = 0.5; ///< Fraction of the headroom that goes to a single instance, in rotation.

TargetNumber TargetTable::Configure(std::string_view name, std::string_view hall, const std::vector<ModelNumber> &models, bool engine)
{
	auto [entry, added] = this->numbers.try_emplace(std::string(name), TargetNumber{this->Size()});
	if (added) {
		this->targets.emplace_back();
		this->targets.back().name = name;
		this->targets.back().growth = this->limits.growth_start;
	}
	TargetState &target = this->targets[entry->second.value];
	target.hall = hall;
	target.restrictions.evacuated = this->evacuated_halls.contains(target.hall);
	target.engine = engine;
	std::set<ModelNumber> new_models(models.begin(), models.end());
	bool unchanged = target.restrictions.known && target.models == new_models;
	target.models = std::move(new_models);
	target.restrictions.known = true;
	if (added) this->AdoptUnlistedSpeed(target);
	// A new configuration contains every target again, so the index is rebuilt only for actual changes.
	if (unchanged) return entry->second;
	this->headroom_revision++;
	this->RebuildIndex();
	return entry->second;
}

void TargetTable::Forget(TargetNumber target)
{
	if (!this->targets[target.value].restrictions.known) return;
	this->targets[target.value].restrictions.known = false;
	this->RebuildIndex();
}

void TargetTable::RebuildIndex()
{
	this->by_model.clear();
	this->pool_factors.clear();
	for (uint32_t i = 0; i < this->Size(); i++) {
		if (!this->targets[i].restrictions.known) continue;
		for (ModelNumber model : this->targets[i].models) this->by_model[model.value].push_back(TargetNumber{i});
	}
}

void TargetTable::MarkDraining(TargetNumber target)
{
	this->targets[target.value].restrictions.draining = true;
}

void TargetTable::ClearDraining(TargetNumber target)
{
	this->targets[target.value].restrictions.draining = false;
}

void TargetTable::UpdateGrowth(TargetState &target, const LoadReport &report)
{
	if (!this->limits.use_growth_feedback) return;
	bool preempted = report.preemptions > target.report.preemptions;
	target.growth *= preempted ? GROWTH_ON_PREEMPTION : GROWTH_WITHOUT_PREEMPTION;
	target.growth = std::clamp(target.growth, this->limits.growth_min, this->limits.growth_max);
	target.share_factor *= preempted ? SHARE_ON_PREEMPTION : SHARE_WITHOUT_PREEMPTION;
	target.share_factor = std::clamp(target.share_factor, 1.0, this->limits.share_max);
}

void TargetTable::OnReport(TargetNumber number, const LoadReport &report, TimePoint now)
{
	TargetState &target = this->targets[number.value];
	bool restarted = target.report.incarnation != report.incarnation;
	if (!restarted && target.restrictions.ready && report.sequence <= target.report.sequence) return;
	if (restarted) {
		target.sent_prefixes.clear();
		target.speed = TargetSpeed{};
		this->pool_factors.clear();
	} else {
		this->UpdateGrowth(target, report);
	}
	if (report.draining) target.restrictions.draining = true;
	if (report.shutdown_in) target.shutdown_at = now - report.age + *report.shutdown_in;
	this->headroom_revision++;
	target.report = report;
	target.report_at = now;
	// A service reports its places with its load.
	if (!target.engine)
		target.restrictions.refusals.SetPlaces(static_cast<uint32_t>(std::min<uint64_t>(report.capacity_tokens, UINT32_MAX)));
	target.restrictions.refusals.OnLoad(report.running, report.waiting, now);
	target.restrictions.ready = true;
	target.known_at_report = 0;
	target.known_calls_at_report = 0;
	target.sent_since_report = 0;
	target.backed_up_since_report = 0;
	TimePoint made_at = now - report.age;
	for (auto &[id, flight] : target.in_flight) {
		bool is_copy = flight.copy_reserve > 0;
		if (flight.sent < made_at) {
			target.known_at_report += flight.call.prompt_tokens + flight.generated;
			target.known_calls_at_report++;
			flight.copy_reserve = 0;
		} else {
			double need = this->MemoryNeed(target, flight.call);
			target.sent_since_report += need;
			if (is_copy) flight.copy_reserve = need;
		}
	}
	target.ended_at_report = {};
	for (const EndedCall &ended : target.ended_calls) {
		if (ended.sent >= made_at || ended.ended_at < made_at) continue;
		target.ended_at_report.tokens += ended.tokens;
		target.ended_at_report.calls++;
	}
	target.reported_prefixes = std::set<uint64_t>(report.prefixes.begin(), report.prefixes.end());
	target.report.prefixes.clear();
	while (!target.sent_prefixes.empty() && target.sent_prefixes.front().second + SENT_PREFIX_TTL < now) target.sent_prefixes.pop_front();
}

void TargetTable::SetServiceCapacity(TargetNumber number, uint64_t slots)
{
	TargetState &target = this->targets[number.value];
	target.restrictions.ready = true;
	if (target.report.capacity_tokens == 0) target.report.capacity_tokens = slots;
}

void TargetTable::OnPeerCallSent(TargetNumber number, const CallSpec &call, TimePoint now, uint32_t generated,
                                 std::optional<AccountNumber> account)
{
	TargetState &target = this->targets[number.value];
	double residual = call.generated ? this->lengths.Residual(call, generated) : 0;
	InFlightCall flight{.call = call, .generated = generated, .residual = residual, .sent = now, .last_token = now, .account = account};
	if (call.generated) this->usage.OnStarted(call.model, account, int64_t{call.prompt_tokens} + generated);
	target.known_tokens += call.prompt_tokens + generated;
	target.known_residual += flight.residual;
	if (call.generated && generated == 0 && target.engine) {
		target.prompts.Add(now);
		this->outlooks[call.model.value].prompts.Add(now);
	}
	if (call.prefix != 0) target.sent_prefixes.emplace_back(call.prefix, now);
	if (target.sent_prefixes.size() > MAX_SENT_PREFIXES) target.sent_prefixes.pop_front();
	double reserve = call.prompt_tokens + generated + target.growth * flight.residual;
	target.sent_since_report += reserve;
	if (generated > 0) flight.copy_reserve = reserve;
	this->OnPrefillQueued(target, flight, now);
	target.in_flight.emplace(call.id, std::move(flight));
}

void TargetTable::OnToken(TargetNumber number, CallId call, TimePoint now, uint32_t tokens)
{
	TargetState &target = this->targets[number.value];
	auto found = target.in_flight.find(call);
	if (found == target.in_flight.end()) return;
	InFlightCall &flight = found->second;
	if (flight.generated > 0) {
		double interval = Seconds(now - flight.last_token) / tokens;
		target.interval = target.interval == 0 ? interval : target.interval + INTERVAL_SMOOTHING * (interval - target.interval);
		this->LearnGap(target, flight, now, tokens);
	}
	this->AddTokens(target, flight, now, tokens);
}

void TargetTable::OnPeerCallToken(TargetNumber number, CallId call, TimePoint now, uint32_t tokens)
{
	TargetState &target = this->targets[number.value];
	auto found = target.in_flight.find(call);
	if (found == target.in_flight.end()) return;
	found->second.prefills_alone = false;
	this->AddTokens(target, found->second, now, tokens);
}

void TargetTable::AddTokens(TargetState &target, InFlightCall &flight, TimePoint now, uint32_t tokens)
{
	flight.last_token = now;
	uint32_t before = flight.generated;
	flight.generated += tokens;
	if (before == 0) this->OnPrefillDone(target, flight, now);
	target.known_tokens += tokens;
	if (flight.call.generated) this->usage.OnTokens(flight.call.model, flight.account, tokens);
	double residual = std::max(0.0, flight.residual - tokens);
	if (before / RESIDUAL_REFRESH_TOKENS != flight.generated / RESIDUAL_REFRESH_TOKENS) {
		residual = this->lengths.Residual(flight.call, flight.generated);
		this->mean_residual += RESIDUAL_SMOOTHING * (residual - this->mean_residual);
	}
	target.known_residual += residual - flight.residual;
	flight.residual = residual;
}

void TargetTable::OnMigrated(TargetNumber from, TargetNumber to, CallId call, TimePoint now)
{
	TargetState &source = this->targets[from.value];
	TargetState &target = this->targets[to.value];
	auto found = source.in_flight.find(call);
	if (found == source.in_flight.end() || from == to) return;
	InFlightCall flight = std::move(found->second);
	source.in_flight.erase(found);
	this->headroom_revision++;
	// The run's outcome will not be seen here, so it no longer counts as a probe.
	source.restrictions.probing = false;
	if (flight.generated == 0) this->OnPrefillDone(source, flight, now);
	double held = flight.call.prompt_tokens + flight.generated;
	source.known_tokens -= held;
	source.known_residual -= flight.residual;
	if (source.in_flight.empty()) source.known_tokens = source.known_residual = 0;
	flight.sent = now;
	flight.last_token = now;
	flight.episodes.Restart();
	target.known_tokens += held;
	target.known_residual += flight.residual;
	target.sent_since_report += held + target.growth * flight.residual;
	target.in_flight.emplace(call, std::move(flight));
}

void TargetTable::OnPeerCallEnded(TargetNumber number, CallId call, TimePoint now)
{
	this->RemoveCall(this->targets[number.value], call, now);
}

uint32_t TargetTable::RemoveCall(TargetState &target, CallId call, TimePoint now)
{
	auto found = target.in_flight.find(call);
	if (found == target.in_flight.end()) return 0;
	uint32_t generated = found->second.generated;
	if (generated == 0) this->OnPrefillDone(target, found->second, now);
	target.known_tokens -= found->second.call.prompt_tokens + generated;
	const CallSpec &spec = found->second.call;
	if (spec.generated) this->usage.OnEnded(spec.model, found->second.account, int64_t{spec.prompt_tokens} + generated, now);
	target.known_residual -= found->second.residual;
	// The reserve of a copy that failed would keep the run from an idle engine, of which no further report is fetched.
	if (found->second.copy_reserve > 0) {
		target.sent_since_report -= found->second.copy_reserve;
		// Rounding must not make an idle engine look used; any call needs at least one token.
		if (target.sent_since_report < 1) target.sent_since_report = 0;
	}
	if (target.engine) this->RememberEnded(target, found->second, now);
	target.in_flight.erase(found);
	if (target.in_flight.empty()) target.known_tokens = target.known_residual = 0;
	return generated;
}

void TargetTable::RememberEnded(TargetState &target, const InFlightCall &flight, TimePoint now)
{
	this->headroom_revision++;
	while (!target.ended_calls.empty() && target.ended_calls.front().ended_at + ENDED_CALL_TTL < now) target.ended_calls.pop_front();
	target.ended_calls.push_back({flight.sent, now, static_cast<double>(flight.call.prompt_tokens) + flight.generated});
}

double TargetTable::MemoryNeed(const TargetState &target, const CallSpec &call) const
{
	if (!call.generated) return 1;
	uint32_t output = call.migrated_output.value_or(0);
	uint32_t known = this->limits.use_migration_headroom ? output : 0;
	return call.prompt_tokens + output + target.growth * this->lengths.Residual(call, known);
}

double TargetTable::OthersCommitted(const TargetState &target, TimePoint now) const
{
	return this->CommittedFor(target, OthersLoadAt(target, now));
}

double TargetTable::CommittedFor(const TargetState &target, HeldLoad others) const
{
	if (!target.engine) return others.tokens;
	return others.tokens + target.growth * others.calls * this->mean_residual;
}

bool TargetTable::HasPrefix(const TargetState &target, uint64_t prefix)
{
	if (prefix == 0) return false;
	if (target.reported_prefixes.contains(prefix)) return true;
	return std::any_of(target.sent_prefixes.begin(), target.sent_prefixes.end(), [&](const auto &sent) { return sent.first == prefix; });
}

double TargetTable::Pressure(const TargetState &target, TimePoint now) const
{
	double capacity = std::max<double>(1, static_cast<double>(target.report.capacity_tokens));
	double own = target.known_tokens + target.growth * target.known_residual;
	return (own + target.backed_up_since_report + this->OthersCommitted(target, now)) / capacity;
}

bool TargetTable::HasTurn(const TargetState &target) const
{
	return HashText(target.name, target.report.sequence) % this->instances == this->instance_index;
}

double TargetTable::Headroom(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	double capacity = static_cast<double>(target.report.capacity_tokens) * this->limits.fill[static_cast<size_t>(call.service_class)];
	double own = target.known_tokens + target.growth * target.known_residual;
	bool has_report = target.report.sequence != 0;
	if (!has_report || now - target.report_at > this->limits.report_stale) {
		if (!has_report) return capacity - own;
		return capacity / this->instances - own;
	}
	bool counts_known = call.migrated_output && this->limits.use_migration_headroom;
	double free = counts_known ? this->MigrationHeadroom(target, call, now) : capacity - own - this->OthersCommitted(target, now);
	if (!this->limits.use_shares || this->instances <= 1) return free;
	double at_report = std::max(0.0, free + target.sent_since_report);
	double share = target.share_factor * ((1 - TURN_FRACTION) / this->instances + (this->HasTurn(target) ? TURN_FRACTION : 0));
	return std::min(free, at_report * std::min(share, 1.0) - target.sent_since_report);
}

void TargetTable::SetInstances(uint32_t new_rank, uint32_t count)
{
	this->instance_index = new_rank;
	this->instances = std::max<uint32_t>(count, 1);
}

std::optional<TargetNumber> TargetTable::Find(std::string_view name) const
{
	auto found = this->numbers.find(std::string(name));
	if (found == this->numbers.end()) return std::nullopt;
	return found->second;
}

const std::vector<TargetNumber> &TargetTable::ForModel(ModelNumber model) const
{
	static const std::vector<TargetNumber> none;
	auto found = this->by_model.find(model.value);
	return found == this->by_model.end() ? none : found->second;
}

} // namespace cottonspool
