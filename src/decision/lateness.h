/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness.h Probabilities that a call misses its latency objectives at a target. */

#pragma once

#include "core/time_type.h"
#include "decision/target_speed.h"

namespace cottonspool {

/** Probabilities that the longest gap of a run in one episode exceeds the gap objective; see GapEstimate for the episodes. */
struct GapOdds {
	double prompt = 0; ///< While the prompt of another call is read beside the run.
	double quiet = 0;  ///< During EPISODE_EVENTS events without such a prompt.
};

/** Expected number of episodes of each kind during the rest of a run. */
struct EpisodeCounts {
	double prompt = 0; ///< Prompts of other calls.
	double quiet = 0;  ///< Episodes of EPISODE_EVENTS events without one.
};

/** What is known about the rest of a run's output at usual speed. */
struct RunOutlook {
	double events = 0;             ///< Expected remaining events.
	Duration usual_gap{0};         ///< Mean time between events at time factor 1.
	double prompts_per_second = 0; ///< Rate at which prompts of other calls arrive at the target.
};

/** Expected loss of placing a call on a target. */
struct ExpectedLateness {
	double loss = 0; ///< Probability that the call misses an objective.
	double harm = 0; ///< Expected number of running calls that miss their gap objective because of the call's prompt.
};

constexpr double EPISODE_EVENTS = 16; ///< Events of an episode without a prompt.

/** @return The weighted mean of \a function over the factors of \a factors; 0 if there are none. */
template <typename Function> double MeanOverFactors(const TimeFactors &factors, Function function)
{
	double mean = 0;
	for (const WeightedFactor &possible : factors) mean += possible.weight * function(possible.factor);
	return mean;
}

/**
 * @param expected Expected wait for the first event.
 * @param left Time that is left of the objective; zero or less if it is missed already.
 * @return Probability that the first event misses its objective.
 */
double FirstEventLoss(Duration expected, Duration left);

/**
 * Calls that other instances have sent in the last moments are not known yet. If they fill the target's memory, the call has to wait there
 * until a run ends, which takes longer than most objectives for the first event.
 * @param spare_calls Number of further calls of the same size that fit into the memory after the call; negative if it does not fit itself.
 * @param unseen_calls Expected number of calls that are not known yet.
 * @return Probability that the call has to wait for memory.
 */
double MemoryWaitOdds(double spare_calls, double unseen_calls);

/** @return Expected episodes of a run with \a outlook at a target with the time factor \a factor. */
EpisodeCounts ExpectedEpisodes(const RunOutlook &outlook, double factor);

/** @return Probability that a gap exceeds the gap objective in any of \a episodes. */
double GapLoss(const GapOdds &odds, const EpisodeCounts &episodes);

/** @return Probability that a run with \a events remaining events misses its gap objective while one more prompt is read beside it. */
double PromptHarm(const GapOdds &odds, double events);

/** @return Probability that at least one of two independent losses occurs. */
inline double EitherLoss(double one, double other)
{
	return 1 - (1 - one) * (1 - other);
}

} // namespace cottonspool
