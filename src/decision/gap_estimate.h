/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gap_estimate.h Learned distribution of the longest gap between events of a run, in episodes of its output. */

#pragma once

#include "decision/lateness.h"
#include <array>
#include <cstdint>

namespace cottonspool {

/** Kind of an episode of a run. */
enum class EpisodeKind : uint8_t {
	Prompt, ///< The prompt of another known call is read beside the run.
	Quiet,  ///< EPISODE_EVENTS events in a row without that.
};
constexpr size_t EPISODE_KIND_COUNT = 2;

/** A finished episode of a run. */
struct Episode {
	EpisodeKind kind = EpisodeKind::Quiet;
	Duration longest{0}; ///< Longest gap between events.
	double weight = 1;   ///< Part of a whole episode that it covers.
	uint32_t events = 0; ///< Number of gaps.
	Duration total{0};   ///< Sum of the gaps.
	uint32_t tokens = 0; ///< Tokens of the events after the gaps.
};

/** Histogram of gaps with logarithmic buckets and exponential decay. */
class GapHistogram {
public:
	/** Add \a gap with \a weight; the weights of the earlier gaps decay. */
	void Add(Duration gap, double weight);

	/** @return Fraction of the gaps that are longer than \a limit; gaps are spread evenly within a bucket. */
	double FractionAbove(Duration limit) const;

	/** @return The decayed number of gaps. */
	double Weight() const { return this->total; }

private:
	static constexpr size_t BUCKETS = 160;  ///< Number of buckets, each 5% wide; they cover 2 ms to 4.9 s.
	std::array<float, BUCKETS> weights{};   ///< Decayed number of gaps in each bucket.
	std::array<float, BUCKETS + 1> above{}; ///< Sum of the weights from each bucket on, as it is read far more often than changed.
	double total = 0;                       ///< Sum of the weights.
};

/**
 * Distribution of the longest gap of a run in an episode, divided by the time factor of its engine. It is learned from the streams of one
 * pool. While there are few samples, a prior that depends on the factor is mixed in.
 */
class GapEstimate {
public:
	/** Learn from \a episode at an engine with the time factor \a factor. */
	void Learn(const Episode &episode, double factor);

	/** @return Probabilities that the longest gap in an episode exceeds \a objective at the time factor \a factor. */
	GapOdds Exceeds(Duration objective, double factor) const;

	/** @return The decayed number of episodes of \a kind. */
	double Samples(EpisodeKind kind) const { return this->gaps[static_cast<size_t>(kind)].Weight(); }

private:
	/** @return Probability that the longest gap in an episode of \a kind exceeds \a objective at the time factor \a factor. */
	double OddsOf(EpisodeKind kind, Duration objective, double factor) const;

	std::array<GapHistogram, EPISODE_KIND_COUNT> gaps; ///< Gaps by kind of episode.
};

/** Divides the events of one run into episodes. */
class EpisodeTracker {
public:
	/**
	 * Handle an event with \a tokens tokens, \a gap after the one before.
	 * @param prompt Number of the latest prompt of another call that is read at the run's engine; 0 if none is.
	 * @return The episode that ended before or with this event, or one of weight 0 if none did.
	 */
	Episode OnEvent(Duration gap, uint32_t tokens, uint64_t prompt);

	/** Forget the current episode, as the run continues at another engine and the next gap is due to that. */
	void Restart();

private:
	/** Start an episode with the kind given by \a prompt. @return The one before. */
	Episode Begin(uint64_t prompt);

	uint64_t prompt = 0;      ///< Prompt of the current episode; 0 if there is none.
	uint64_t last_prompt = 0; ///< Prompt at the latest event; 0 if there was none.
	Episode current;          ///< The current episode so far.
	bool skip_next = false;   ///< Whether the next gap is not counted.
};

} // namespace cottonspool
