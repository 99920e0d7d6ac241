/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gap_estimate.cpp Learned distribution of the longest gap between events of a run. */

#include "decision/gap_estimate.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/** Ratio of the bounds of a bucket. Limits near the usual gap have to be told apart, for which buckets wider than 10% are too coarse. */
static constexpr double BUCKET_RATIO = 1.05;
static constexpr Duration SHORTEST_GAP = std::chrono::milliseconds(2); ///< Lower bound of the first bucket.

/** Factor by which older gaps lose weight with each new one. At 5 episodes a second, it averages over about one minute. */
static constexpr double DECAY = 0.997;

/** Episodes that the prior counts for; after four times as many, own samples decide. */
static constexpr double PRIOR_EPISODES = 10;

/**
 * Prior probabilities at time factor 1, which grow with the power PRIOR_EXPONENT of the factor. Nothing is known of the pool's gaps then,
 * so they only order the engines: 0.5% for a prompt on an engine of factor 0.55, 10% at 1.2.
 */
static constexpr std::array<double, EPISODE_KIND_COUNT> PRIOR_ODDS{0.05, 0.0005};
static constexpr double PRIOR_EXPONENT = 4; ///< Growth of the prior with the time factor.
static constexpr double PRIOR_MAX = 0.5;    ///< Maximum of the prior.

/** @return Position of \a gap on the scale of the buckets: the whole part is the bucket, the rest the position in it. */
static double PositionOf(Duration gap, size_t buckets)
{
	if (gap <= SHORTEST_GAP) return 0;
	return std::min(std::log(Seconds(gap) / Seconds(SHORTEST_GAP)) / std::log(BUCKET_RATIO), static_cast<double>(buckets) - 1e-6);
}

void GapHistogram::Add(Duration gap, double weight)
{
	for (float &old : this->weights) old *= static_cast<float>(DECAY);
	this->weights[static_cast<size_t>(PositionOf(gap, BUCKETS))] += static_cast<float>(weight);
	this->total = this->total * DECAY + weight;
	for (size_t bucket = BUCKETS; bucket-- > 0;) this->above[bucket] = this->above[bucket + 1] + this->weights[bucket];
}

double GapHistogram::FractionAbove(Duration limit) const
{
	if (this->total <= 0) return 0;
	double position = PositionOf(limit, BUCKETS);
	auto bucket = static_cast<size_t>(position);
	double longer = this->above[bucket + 1] + this->weights[bucket] * (1 - (position - static_cast<double>(bucket)));
	return std::clamp(longer / this->total, 0.0, 1.0);
}

void GapEstimate::Learn(const Episode &episode, double factor)
{
	if (episode.weight <= 0 || factor <= 0) return;
	this->gaps[static_cast<size_t>(episode.kind)].Add(FromSeconds(Seconds(episode.longest) / factor), episode.weight);
}

double GapEstimate::OddsOf(EpisodeKind kind, Duration objective, double factor) const
{
	const GapHistogram &histogram = this->gaps[static_cast<size_t>(kind)];
	double prior = std::min(PRIOR_MAX, PRIOR_ODDS[static_cast<size_t>(kind)] * std::pow(factor, PRIOR_EXPONENT));
	double samples = histogram.Weight();
	double learned = histogram.FractionAbove(FromSeconds(Seconds(objective) / factor));
	return (PRIOR_EPISODES * prior + samples * learned) / (PRIOR_EPISODES + samples);
}

GapOdds GapEstimate::Exceeds(Duration objective, double factor) const
{
	if (objective <= Duration(0) || factor <= 0) return {};
	return {this->OddsOf(EpisodeKind::Prompt, objective, factor), this->OddsOf(EpisodeKind::Quiet, objective, factor)};
}

Episode EpisodeTracker::Begin(uint64_t next)
{
	Episode ended = this->current;
	ended.kind = this->prompt != 0 ? EpisodeKind::Prompt : EpisodeKind::Quiet;
	ended.weight = std::min(1.0, ended.events / (ended.kind == EpisodeKind::Prompt ? 1 : EPISODE_EVENTS));
	this->prompt = next;
	this->current = Episode();
	return ended;
}

Episode EpisodeTracker::OnEvent(Duration gap, uint32_t tokens, uint64_t next)
{
	bool skipped = this->skip_next;
	this->skip_next = false;
	Episode ended{.weight = 0};
	// The other call's first event ends its prompt, and may be handled before the run's event of the same step.
	uint64_t beside = next != 0 ? next : this->last_prompt;
	this->last_prompt = next;
	bool full = this->prompt == 0 && this->current.events >= EPISODE_EVENTS;
	if (beside != this->prompt || full) ended = this->Begin(beside);
	if (skipped) return ended;
	this->current.events++;
	this->current.total += gap;
	this->current.tokens += tokens;
	this->current.longest = std::max(this->current.longest, gap);
	return ended;
}

void EpisodeTracker::Restart()
{
	*this = EpisodeTracker();
	this->skip_next = true;
}

} // namespace cottonspool
