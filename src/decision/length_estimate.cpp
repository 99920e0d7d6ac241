/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file length_estimate.cpp Learned distribution of output lengths. */

#include "decision/length_estimate.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

static constexpr float DECAY = 0.995F;               ///< Factor by which older outputs lose weight with each new one.
static constexpr uint64_t ALL_ACCOUNTS = UINT32_MAX; ///< Account number in the key of the group of all accounts.
static constexpr double GROWTH_BEYOND_SEEN =
        0.5; ///< Expected growth, relative to its length, of an output that is longer than all known ones.

/** @return The bucket of an output of \a tokens. */
static size_t BucketOf(uint32_t tokens)
{
	double position = 2.0 * std::log2(std::max<uint32_t>(tokens, 1));
	return std::min<size_t>(31, static_cast<size_t>(position));
}

/** @return The lower bound of \a bucket, in tokens. */
static double BucketLower(size_t bucket)
{
	return std::exp2(static_cast<double>(bucket) / 2.0);
}

/** @return The geometric middle of \a bucket, in tokens. */
static double BucketMiddle(size_t bucket)
{
	return std::exp2((static_cast<double>(bucket) + 0.5) / 2.0);
}

/** @return The key of the group of outputs of \a account with the model and class of \a call. */
static uint64_t GroupKey(const CallSpec &call, uint64_t account)
{
	return (account << 32) | (static_cast<uint64_t>(call.model.value) << 4) | static_cast<uint64_t>(call.service_class);
}

void LengthHistogram::Add(uint32_t tokens)
{
	for (float &weight : this->weights) weight *= DECAY;
	this->weights[BucketOf(tokens)] += 1;
	this->total = this->total * DECAY + 1;
}

double LengthHistogram::Residual(uint32_t generated) const
{
	size_t first = BucketOf(std::max<uint32_t>(generated, 1));
	// Only the part of the current bucket above the present length is still possible.
	double upper = BucketLower(first + 1);
	double part = std::clamp((upper - generated) / (upper - BucketLower(first)), 0.0, 1.0);
	double weight = this->weights[first] * part;
	double sum = weight * (generated == 0 ? BucketMiddle(first) : (upper - generated) / 2);
	for (size_t bucket = first + 1; bucket < BUCKETS; bucket++) {
		weight += this->weights[bucket];
		sum += this->weights[bucket] * (BucketMiddle(bucket) - generated);
	}
	return weight < 1e-3 ? -1.0 : sum / weight;
}

LengthEstimate::Group &LengthEstimate::Touch(uint64_t key)
{
	auto found = this->groups.find(key);
	if (found != this->groups.end()) {
		this->order.splice(this->order.begin(), this->order, found->second.position);
		return found->second;
	}
	if (this->groups.size() >= this->limits.max_groups) {
		this->groups.erase(this->order.back());
		this->order.pop_back();
	}
	this->order.push_front(key);
	Group &group = this->groups[key];
	group.position = this->order.begin();
	return group;
}

void LengthEstimate::Learn(const CallSpec &call, uint32_t tokens)
{
	if (!this->limits.learn) return;
	this->Touch(GroupKey(call, call.account.value)).histogram.Add(tokens);
	this->Touch(GroupKey(call, ALL_ACCOUNTS)).histogram.Add(tokens);
}

double LengthEstimate::Residual(const CallSpec &call, uint32_t generated) const
{
	double expected = generated == 0 ? this->limits.prior_tokens : std::max(16.0, generated * GROWTH_BEYOND_SEEN);
	auto all = this->groups.find(GroupKey(call, ALL_ACCOUNTS));
	if (all != this->groups.end()) {
		double residual = all->second.histogram.Residual(generated);
		if (residual >= 0) expected = residual;
	}
	auto own = this->groups.find(GroupKey(call, call.account.value));
	if (own != this->groups.end()) {
		double residual = own->second.histogram.Residual(generated);
		double weight = own->second.histogram.Weight();
		double part = weight / (weight + this->limits.account_outputs);
		if (residual >= 0) expected = part * residual + (1 - part) * expected;
	}
	if (call.max_tokens == 0) return expected;
	double left = call.max_tokens > generated ? call.max_tokens - generated : 0;
	return std::min(expected, left);
}

} // namespace cottonspool
