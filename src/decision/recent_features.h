/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file recent_features.h Features of which requests were recently executed without a crash of their target. */

#pragma once

#include "core/time_type.h"
#include "decision/request_features.h"
#include <unordered_map>

namespace cottonspool {

/** Limits of the memory of recent features. */
struct RecentFeatureLimits {
	Duration period = std::chrono::seconds(60); ///< A feature is remembered for one to two of these periods.
	size_t max_features = 4096;                 ///< Maximum number of features in a period.
	size_t min_successes = 20;                  ///< Recent requests without which nothing can be said of a feature.
};

/**
 * Remembers for a bounded time, and with bounded memory, which features requests had that did not crash their targets. If more features
 * occur than can be remembered, none is taken as new.
 */
class RecentFeatures {
public:
	explicit RecentFeatures(RecentFeatureLimits limits) : limits(limits) {}

	/** A request with \a features was executed without a crash. */
	void Note(const FeatureList &features, TimePoint now);

	/** @return Whether enough requests are known to judge by them. */
	bool IsReliable() const { return this->current.requests + this->former.requests >= this->limits.min_successes; }

	/** @return Whether \a feature is known not to have occurred recently. */
	bool IsNew(const RequestFeature &feature) const;

	/** @return Estimated share of recent requests that had \a feature, rather too high than too low (rule of succession). */
	double Share(const RequestFeature &feature) const;

private:
	/** Hash of a feature. */
	struct Hash {
		size_t operator()(const RequestFeature &feature) const { return feature.hash + static_cast<size_t>(feature.kind); }
	};

	/** One period. */
	struct Period {
		std::unordered_map<RequestFeature, size_t, Hash> counts; ///< Number of requests by feature.
		size_t requests = 0;                                     ///< Number of requests.
		bool overflow = false;                                   ///< Whether there were more features than can be remembered.
	};

	/** @return Number of recent requests that had \a feature. */
	size_t Count(const RequestFeature &feature) const;

	RecentFeatureLimits limits;
	Period current;           ///< Present period.
	Period former;            ///< Period before.
	TimePoint period_start{}; ///< Start of the present period.
};

} // namespace cottonspool
