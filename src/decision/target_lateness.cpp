/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_lateness.cpp Expected lateness of calls at targets of known time factors, and what it is learned from. */

#include "decision/target_table.h"
#include <cmath>

namespace cottonspool {

/** Mean time for which a call of another instance is not known, as views of other instances are 150 to 450 ms old. */
static constexpr Duration UNSEEN_WINDOW = std::chrono::milliseconds(300);

/** @return \a factors with those that differ by less than 5% merged, as a target of unknown speed has one for each target of its pool. */
static TimeFactors MergeFactors(const TimeFactors &factors)
{
	static constexpr double MERGE_RATIO = 1.05;
	std::map<long, WeightedFactor> merged;
	for (const WeightedFactor &possible : factors) {
		WeightedFactor &same =
		        merged.try_emplace(std::lround(std::log(possible.factor) / std::log(MERGE_RATIO)), WeightedFactor{0, 0}).first->second;
		same.factor += possible.weight * possible.factor;
		same.weight += possible.weight;
	}
	TimeFactors result;
	for (const auto &[key, sum] : merged) result.push_back({sum.factor / sum.weight, sum.weight});
	return result;
}

TimeFactors TargetTable::PlacementFactors(const TargetState &target, TimePoint now) const
{
	if (!this->limits.use_lateness || !target.engine) return {};
	TimeFactors factors = this->TimeFactorsOf(target, now);
	return factors.size() > 1 ? MergeFactors(factors) : factors;
}

const StreamOutlook &TargetTable::OutlookOf(ModelNumber model) const
{
	static const StreamOutlook unlearned;
	auto found = this->outlooks.find(model.value);
	return found == this->outlooks.end() ? unlearned : found->second;
}

double TargetTable::MeanPromptRate(ModelNumber model, TimePoint now) const
{
	double targets = std::max<double>(1, static_cast<double>(this->ForModel(model).size()));
	return this->OutlookOf(model).prompts.Rate(now) / targets;
}

double TargetTable::GapLossAtFactor(const CallSpec &call, double factor, TimePoint now) const
{
	const StreamOutlook &outlook = this->OutlookOf(call.model);
	RunOutlook rest = outlook.Expect(call, call.migrated_output.value_or(0));
	rest.prompts_per_second = this->MeanPromptRate(call.model, now);
	return GapLoss(outlook.gaps.Exceeds(call.gap_objective, factor), ExpectedEpisodes(rest, factor));
}

double TargetTable::PromptHarmAt(const TargetState &target, ModelNumber model, const TimeFactors &factors) const
{
	const StreamOutlook &outlook = this->OutlookOf(model);
	std::map<Duration, double> exposed; // Number of runs that the whole prompt is read beside, by gap objective.
	for (const auto &[id, flight] : target.in_flight) {
		if (flight.call.gap_objective <= Duration(0)) continue;
		exposed[flight.call.gap_objective] += PromptHarm({.prompt = 1}, outlook.Expect(flight.call, flight.generated).events);
	}
	double harm = 0;
	for (const auto &entry : exposed)
		harm += entry.second * MeanOverFactors(factors, [&](double factor) { return outlook.gaps.Exceeds(entry.first, factor).prompt; });
	return harm;
}

double TargetTable::MemoryWaitOddsAt(const TargetState &target, const CallSpec &call, TimePoint now) const
{
	double need = std::max(1.0, this->MemoryNeed(target, call));
	double free = static_cast<double>(target.report.capacity_tokens) * (1 - this->Pressure(target, now));
	return MemoryWaitOdds(free / need - 1, target.prompts.Rate(now) * Seconds(UNSEEN_WINDOW));
}

ExpectedLateness TargetTable::LatenessAt(const TargetState &target, const CallSpec &call, const TimeFactors &factors, TimePoint now) const
{
	const StreamOutlook &outlook = this->OutlookOf(call.model);
	uint32_t output = call.migrated_output.value_or(0);
	bool reads_prompt = output == 0;
	bool has_first = reads_prompt && call.objective > Duration(0);
	RunOutlook rest = outlook.Expect(call, output);
	// During a run the rate returns from its recent value towards the mean; a new target has no recent prompts, but will get some.
	rest.prompts_per_second = (target.prompts.Rate(now) + this->MeanPromptRate(call.model, now)) / 2;
	double memory = has_first ? this->MemoryWaitOddsAt(target, call, now) : 0;
	double loss = MeanOverFactors(factors, [&](double factor) {
		Duration left = std::chrono::duration_cast<Duration>(call.arrived + call.objective - now);
		double first = has_first ? FirstEventLoss(this->FirstTokenWaitAt(target, call, factor, now), left) : 0;
		return EitherLoss(EitherLoss(first, memory),
		                  GapLoss(outlook.gaps.Exceeds(call.gap_objective, factor), ExpectedEpisodes(rest, factor)));
	});
	return {loss, reads_prompt ? this->PromptHarmAt(target, call.model, factors) : 0};
}

std::optional<Duration> TargetTable::RemainingOutputTime(const TargetState &target, const InFlightCall &flight, TimePoint now) const
{
	TimeFactors factors = this->PlacementFactors(target, now);
	if (factors.empty()) return std::nullopt;
	double factor = MeanOverFactors(factors, [](double possible) { return possible; });
	return this->OutlookOf(flight.call.model).TimeLeft(flight.call, flight.generated, factor);
}

void TargetTable::LearnGap(const TargetState &target, InFlightCall &flight, TimePoint now, uint32_t tokens)
{
	auto gap = std::chrono::duration_cast<Duration>(now - flight.last_token);
	uint64_t prompt = target.pending_prefills > 0 ? target.prompts.Total() : 0;
	Episode ended = flight.episodes.OnEvent(gap, tokens, prompt);
	if (ended.weight <= 0) return;
	if (!this->limits.use_lateness || !target.engine) return;
	TimeFactors factors = this->TimeFactorsOf(target, now);
	// Gaps at a target of unknown factor cannot be compared with others.
	if (factors.size() == 1) this->outlooks[flight.call.model.value].Learn(ended, factors.front().factor);
}

void TargetTable::OnOutputComplete(const CallSpec &call, uint32_t tokens)
{
	this->outlooks[call.model.value].lengths.Learn(call.max_tokens, tokens);
}

} // namespace cottonspool
