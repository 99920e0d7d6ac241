/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_speed.h How long work takes at a target, relative to the usual time. */

#pragma once

#include "core/time_type.h"
#include <array>
#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace cottonspool {

static constexpr double MIN_TIME_FACTOR = 0.05; ///< Smallest valid time factor.
static constexpr double MAX_TIME_FACTOR = 20;   ///< Largest valid time factor.
static constexpr size_t MAX_SPEED_SAMPLES = 16; ///< Maximum number of samples that an estimate is based on.

/** @return Whether \a factor is a valid time factor. */
inline bool IsTimeFactor(double factor)
{
	return factor >= MIN_TIME_FACTOR && factor <= MAX_TIME_FACTOR;
}

/** A possible time factor of a target. */
struct WeightedFactor {
	double factor = 1; ///< Time that work takes, relative to the usual time; 2 means twice as long.
	double weight = 1; ///< Probability of this factor.
};

/** Possible time factors of a target with weights that sum to 1; empty if nothing is known. */
using TimeFactors = std::vector<WeightedFactor>;

/** @return The distribution of \a factors, weighted equally; similar ones share an entry. */
TimeFactors DistributionOf(std::vector<double> factors);

/**
 * Base factor of one target incarnation: its time factor without slowdowns of less than a second. Slowdowns only make samples larger, so
 * low samples count.
 */
class TargetSpeed {
public:
	/** Handle the time factor \a factor in an answer to this instance. */
	void OnSample(double factor, TimePoint now);

	/** Handle the estimate \a factor of another instance, which is based on a sample of the time \a sampled_at. */
	void OnPeerFactor(double factor, TimePoint sampled_at);

	/** @return The estimated base factor; nothing without a recent sample. */
	std::optional<double> Factor(TimePoint now) const;

	/** @return Number of recent samples; the estimates of other instances together count as one. */
	size_t Samples(TimePoint now) const;

	/** @return Time of the latest sample that Factor() uses; meaningless without one. */
	TimePoint SampledAt(TimePoint now) const;

	/** @return Whether the other instances need the estimate of this one, which has just got a sample. */
	bool NeedsPublishing(TimePoint now) const;

	/** The estimate was published to the other instances. */
	void OnPublished(TimePoint now);

private:
	/** A time factor and when it was stated. */
	struct Sample {
		double factor = 1;
		TimePoint at;
	};

	/** The factors of the recent own samples. */
	struct OwnFactors {
		std::array<double, MAX_SPEED_SAMPLES> factors{}; ///< The factors, sorted.
		size_t count = 0;                                ///< Their number.
	};

	/** @return The factors of the recent own samples. */
	OwnFactors RecentFactors(TimePoint now) const;

	std::deque<Sample> samples;     ///< Own samples, oldest first; each is the lowest of those that arrived within a short time.
	std::optional<Sample> received; ///< Latest estimate of another instance.
	std::optional<Sample> shared;   ///< Estimate that was published or received last.
	TimePoint published_at;         ///< When the estimate was last published.
};

} // namespace cottonspool
