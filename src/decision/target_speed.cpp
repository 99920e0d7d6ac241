/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_speed.cpp Estimate of the base factor of a target from its own statements and those of peers. */

#include "decision/target_speed.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

static constexpr Duration SAMPLE_TTL = std::chrono::seconds(60); ///< Time after which a sample no longer counts.
/** Time within which samples count as one. A slowdown lasts about as long, so that further samples in it tell nothing new. */
static constexpr Duration SAMPLE_SPACING = std::chrono::milliseconds(600);
/** Number of own samples from which received estimates are ignored. A single one may lie in a slowdown. */
static constexpr size_t OWN_SAMPLES_MIN = 2;
static constexpr double PUBLISH_CHANGE = 0.1; ///< Relative change above which an estimate is published.
/** Age at which an unchanged estimate is published again, so that it does not expire at instances that get no samples. */
static constexpr Duration REFRESH_AGE = std::chrono::seconds(30);
/** Shortest interval between published increases, which bounds the messages if instances permanently get different samples. */
static constexpr Duration INCREASE_INTERVAL = std::chrono::seconds(2);
static constexpr double SIMILAR = 1.05; ///< Ratio up to which factors share an entry of a distribution; less than a bucket of gaps.

TimeFactors DistributionOf(std::vector<double> factors)
{
	std::sort(factors.begin(), factors.end());
	TimeFactors distribution;
	double weight = 1.0 / static_cast<double>(std::max<size_t>(1, factors.size()));
	double first = 0;
	for (double factor : factors) {
		if (distribution.empty() || factor > first * SIMILAR) {
			first = factor;
			distribution.push_back({factor, weight});
			continue;
		}
		WeightedFactor &entry = distribution.back();
		entry.factor = (entry.factor * entry.weight + factor * weight) / (entry.weight + weight);
		entry.weight += weight;
	}
	return distribution;
}

void TargetSpeed::OnSample(double factor, TimePoint now)
{
	if (!IsTimeFactor(factor)) return;
	if (!this->samples.empty() && now - this->samples.back().at < SAMPLE_SPACING) {
		this->samples.back().factor = std::min(this->samples.back().factor, factor);
		return;
	}
	this->samples.push_back({factor, now});
	if (this->samples.size() > MAX_SPEED_SAMPLES) this->samples.pop_front();
}

void TargetSpeed::OnPeerFactor(double factor, TimePoint sampled_at)
{
	if (!IsTimeFactor(factor)) return;
	if (!this->received || sampled_at > this->received->at) this->received = Sample{factor, sampled_at};
	if (!this->shared || sampled_at > this->shared->at) this->shared = Sample{factor, sampled_at};
}

TargetSpeed::OwnFactors TargetSpeed::RecentFactors(TimePoint now) const
{
	OwnFactors own;
	for (const Sample &sample : this->samples) {
		if (now - sample.at < SAMPLE_TTL) own.factors[own.count++] = sample.factor;
	}
	std::sort(own.factors.begin(), own.factors.begin() + static_cast<long>(own.count));
	return own;
}

std::optional<double> TargetSpeed::Factor(TimePoint now) const
{
	OwnFactors own = this->RecentFactors(now);
	double lower_quartile = own.count > 0 ? own.factors[(own.count - 1) / 4] : 0;
	if (own.count >= OWN_SAMPLES_MIN) return lower_quartile;
	// Beside an own sample, an old estimate no longer counts. Otherwise a wrong one would be published again and never expire.
	Duration received_ttl = own.count > 0 ? REFRESH_AGE : SAMPLE_TTL;
	if (!this->received || now - this->received->at >= received_ttl) return own.count > 0 ? std::optional(lower_quartile) : std::nullopt;
	return own.count > 0 ? std::min(lower_quartile, this->received->factor) : this->received->factor;
}

size_t TargetSpeed::Samples(TimePoint now) const
{
	bool has_received = this->received && now - this->received->at < SAMPLE_TTL;
	return this->RecentFactors(now).count + (has_received ? 1 : 0);
}

TimePoint TargetSpeed::SampledAt(TimePoint now) const
{
	TimePoint own = this->samples.empty() ? TimePoint{} : this->samples.back().at;
	if (this->RecentFactors(now).count >= OWN_SAMPLES_MIN || !this->received) return own;
	return std::max(own, this->received->at);
}

bool TargetSpeed::NeedsPublishing(TimePoint now) const
{
	std::optional<double> factor = this->Factor(now);
	if (!factor) return false;
	if (!this->shared || now - this->shared->at >= REFRESH_AGE) return true;
	if (std::abs(*factor - this->shared->factor) <= PUBLISH_CHANGE * this->shared->factor) return false;
	return *factor < this->shared->factor || this->published_at == TimePoint{} || now - this->published_at >= INCREASE_INTERVAL;
}

void TargetSpeed::OnPublished(TimePoint now)
{
	if (std::optional<double> factor = this->Factor(now)) this->shared = Sample{*factor, now};
	this->published_at = now;
}

} // namespace cottonspool
