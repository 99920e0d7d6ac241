/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_speeds.cpp Speeds that targets state: answers, probes and estimates of other instances. */

#include "gateway/gateway.h"
#include "metrics/log.h"
#include <cmath>

namespace cottonspool {

void Gateway::OnTimeFactor(TargetNumber number, double factor, const char *source, TimePoint now)
{
	if (!this->limits.use_target_speeds) return;
	TargetTable &targets = this->dispatcher.Targets();
	targets.OnTimeFactor(number, factor, now);
	this->LogSpeed(number, source, now);
	if (!targets.TakeFactorToPublish(number, now)) return;
	const TargetState &target = targets.Get(number);
	this->peers.PublishSignals({.target = target.name, .time_factor = target.speed.Factor(now)}, now);
}

void Gateway::OnPeerTimeFactor(const TargetSignalUpdate &update, TimePoint now)
{
	if (!this->limits.use_target_speeds || !update.time_factor) return;
	TargetTable &targets = this->dispatcher.Targets();
	targets.OnPeerTimeFactor(update.target, *update.time_factor, now - update.factor_age, now);
	std::optional<TargetNumber> number = targets.Find(update.target);
	if (number && number->value < this->records.size()) this->LogSpeed(*number, "peer", now);
}

std::vector<TargetSignalUpdate> Gateway::KnownSpeeds(TimePoint now) const
{
	std::vector<TargetSignalUpdate> all;
	const TargetTable &targets = this->dispatcher.Targets();
	for (const auto &[name, listed] : this->usable) {
		std::optional<TargetNumber> number = targets.Find(name);
		if (!number) continue;
		const TargetSpeed &speed = targets.Get(*number).speed;
		if (std::optional<double> factor = speed.Factor(now))
			all.push_back({.target = name, .time_factor = factor, .factor_age = now - speed.SampledAt(now)});
	}
	return all;
}

void Gateway::ProbeSpeeds(TimePoint now)
{
	if (!this->limits.use_target_speeds) return;
	std::erase_if(this->speed_calls, [&](const auto &each) {
		bool late = now >= each.second.deadline;
		if (late) this->upstream.Cancel(each.second.call);
		return late;
	});
	auto probes_target = [this](const TargetState &target) { return this->peers.ReadsReportsOf(target.name); };
	for (TargetNumber number : this->speed_probes.Choose(this->polled_targets, this->dispatcher.Targets(), probes_target, now))
		this->ProbeSpeed(number, now);
}

void Gateway::ProbeSpeed(TargetNumber number, TimePoint now)
{
	const TargetRecord &record = this->records[number.value];
	const Pool *pool = this->routes.FindPool(record.pool);
	if (pool == nullptr || pool->health_path.empty() || this->speed_calls.contains(number)) return;
	this->metrics.Count("cottonspool_speed_probes_total");
	auto done = [this, number](std::optional<double> factor) {
		this->speed_calls.erase(number);
		if (factor) this->OnTimeFactor(number, *factor, "probe", MonotonicNow());
	};
	uint64_t call = this->upstream.Start(MakeSpeedCall(record.address, record.incarnation, pool->health_path, done));
	this->speed_calls[number] = {call, now + this->limits.speed_probe_timeout};
}

void Gateway::LogSpeed(TargetNumber number, const char *source, TimePoint now)
{
	static constexpr double LOGGED_CHANGE = 0.1; ///< Relative change above which a speed is logged again.
	TargetRecord &record = this->records[number.value];
	const TargetState &target = this->dispatcher.Targets().Get(number);
	std::optional<double> factor = target.speed.Factor(now);
	if (!factor) return;
	std::optional<double> before = record.factor_as_logged;
	if (before && std::abs(*factor - *before) <= LOGGED_CHANGE * *before) return;
	record.factor_as_logged = factor;
	Log(LogLevel::Info, "target-speed",
	    {{"target", target.name},
	     {"factor", FormatNumber(*factor)},
	     {"samples", std::to_string(target.speed.Samples(now))},
	     {"source", source},
	     {"before", before ? FormatNumber(*before) : ""}});
}

size_t Gateway::TargetsWithSpeed(TimePoint now) const
{
	return this->KnownSpeeds(now).size();
}

} // namespace cottonspool
