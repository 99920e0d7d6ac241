/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness.cpp Probabilities that a call misses its latency objectives at a target. */

#include "decision/lateness.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/**
 * Steepness of the loss around the objective. Actual waits spread widely around the expected one because slowdowns of 2.5 times the usual
 * time and calls of other instances are not foreseen. A steeper curve would rate targets close to the objective as too safe.
 */
static constexpr double FIRST_EVENT_STEEPNESS = 1.5;

double FirstEventLoss(Duration expected, Duration left)
{
	if (left <= Duration(0)) return 1;
	if (expected <= Duration(0)) return 0;
	double ratio = Seconds(expected) / Seconds(left);
	return 1 / (1 + std::pow(ratio, -FIRST_EVENT_STEEPNESS));
}

/** @return Probability that a Poisson variable with the mean \a mean exceeds \a limit. */
static double PoissonExceeds(double mean, int limit)
{
	double term = std::exp(-mean);
	double below = 0;
	for (int count = 0; count <= limit; count++) {
		below += term;
		term *= mean / (count + 1);
	}
	return std::max(0.0, 1 - below);
}

double MemoryWaitOdds(double spare_calls, double unseen_calls)
{
	// With so many calls to spare the odds are negligible for any plausible number of unseen ones.
	static constexpr double MANY_CALLS = 20;
	if (spare_calls < 0) return 1;
	if (spare_calls >= MANY_CALLS || unseen_calls <= 0) return 0;
	// The odds change gradually with the memory, so that targets with nearly equal memory are nearly equally good.
	int whole = static_cast<int>(spare_calls);
	double part = spare_calls - whole;
	return (1 - part) * PoissonExceeds(unseen_calls, whole) + part * PoissonExceeds(unseen_calls, whole + 1);
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
