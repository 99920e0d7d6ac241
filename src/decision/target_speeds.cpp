/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_speeds.cpp Time factors of all targets, including the distribution for targets of unknown speed. */

#include "decision/target_table.h"
#include <algorithm>

namespace cottonspool {

/** Maximum number of estimates kept for targets that are not configured yet. */
static constexpr size_t MAX_UNLISTED_SPEEDS = 4096;
/** Age at which the distribution of a pool is computed again even without a new sample, as samples expire. */
static constexpr Duration POOL_FACTORS_TTL = std::chrono::seconds(1);

void TargetTable::OnTimeFactor(TargetNumber target, double factor, TimePoint now)
{
	TargetState &state = this->targets[target.value];
	state.speed.OnSample(factor, now);
	this->OnSpeedChanged(state);
}

bool TargetTable::TakeFactorToPublish(TargetNumber target, TimePoint now)
{
	TargetSpeed &speed = this->targets[target.value].speed;
	if (!speed.NeedsPublishing(now)) return false;
	speed.OnPublished(now);
	return true;
}

void TargetTable::OnPeerTimeFactor(const std::string &name, double factor, TimePoint sampled_at, TimePoint now)
{
	if (std::optional<TargetNumber> number = this->Find(name)) {
		TargetState &state = this->targets[number->value];
		state.speed.OnPeerFactor(factor, sampled_at);
		return this->OnSpeedChanged(state);
	}
	if (this->unlisted_speeds.size() >= MAX_UNLISTED_SPEEDS)
		std::erase_if(this->unlisted_speeds, [&](const auto &each) { return !each.second.Factor(now); });
	if (this->unlisted_speeds.size() >= MAX_UNLISTED_SPEEDS) return;
	this->unlisted_speeds[name].OnPeerFactor(factor, sampled_at);
}

void TargetTable::AdoptUnlistedSpeed(TargetState &target)
{
	auto found = this->unlisted_speeds.find(target.name);
	if (found == this->unlisted_speeds.end()) return;
	target.speed = std::move(found->second);
	this->unlisted_speeds.erase(found);
	this->OnSpeedChanged(target);
}

void TargetTable::OnSpeedChanged(const TargetState &target)
{
	this->pools_with_speeds.insert(target.models.begin(), target.models.end());
	this->pool_factors.clear();
}

bool TargetTable::StatesSpeeds(const TargetState &target) const
{
	return std::any_of(target.models.begin(), target.models.end(),
	                   [&](ModelNumber model) { return this->pools_with_speeds.contains(model); });
}

const TimeFactors &TargetTable::PoolFactors(ModelNumber model, TimePoint now) const
{
	PoolFactorsCache &cache = this->pool_factors[model];
	if (cache.computed_at != TimePoint{} && now - cache.computed_at < POOL_FACTORS_TTL) return cache.factors;
	std::vector<double> known;
	for (TargetNumber number : this->ForModel(model)) {
		if (std::optional<double> factor = this->Get(number).speed.Factor(now)) known.push_back(*factor);
	}
	cache = {now, DistributionOf(std::move(known))};
	return cache.factors;
}

TimeFactors TargetTable::TimeFactorsOf(const TargetState &target, TimePoint now) const
{
	if (std::optional<double> factor = target.speed.Factor(now)) return {{*factor, 1}};
	for (ModelNumber model : target.models) {
		if (!this->pools_with_speeds.contains(model)) continue;
		const TimeFactors &factors = this->PoolFactors(model, now);
		if (!factors.empty()) return factors;
	}
	return {};
}

} // namespace cottonspool
