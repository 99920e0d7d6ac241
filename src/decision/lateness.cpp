/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness.cpp Probabilities that a call misses its latency objectives at a target. */

#include "decision/lateness.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/**
 * Steepness of the loss around the objective. Actual waits spread around the expected one because slowdowns of 2.5 times the usual time
 * and calls of other instances are not foreseen: at half of the objective 3% are late, at 0.8 of it 25%.
 */
static constexpr double FIRST_EVENT_STEEPNESS = 5;

double FirstEventLoss(Duration expected, Duration left)
{
	if (left <= Duration(0)) return 1;
	if (expected <= Duration(0)) return 0;
	double ratio = Seconds(expected) / Seconds(left);
	return 1 / (1 + std::pow(ratio, -FIRST_EVENT_STEEPNESS));
}

EpisodeCounts ExpectedEpisodes(const RunOutlook &outlook, double factor)
{
	double run_time = outlook.events * Seconds(outlook.usual_gap) * factor;
	return {outlook.prompts_per_second * run_time, outlook.events / EPISODE_EVENTS};
}

double GapLoss(const GapOdds &odds, const EpisodeCounts &episodes)
{
	auto survival = [](double probability, double count) { return std::pow(1 - std::clamp(probability, 0.0, 1.0), std::max(0.0, count)); };
	return 1 - survival(odds.prompt, episodes.prompt) * survival(odds.quiet, episodes.quiet);
}

double PromptHarm(const GapOdds &odds, double events)
{
	// A run that ends while the prompt is read is exposed to it for a part of the episode only.
	return std::clamp(odds.prompt, 0.0, 1.0) * std::clamp(events / EPISODE_EVENTS, 0.0, 1.0);
}

} // namespace cottonspool
