/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file recent_features.cpp Implementation of the memory of recent features. */

#include "decision/recent_features.h"
#include <utility>

namespace cottonspool {

void RecentFeatures::Note(const FeatureList &features, TimePoint now)
{
	if (now - this->period_start >= this->limits.period) {
		bool adjacent = now - this->period_start < 2 * this->limits.period;
		this->former = adjacent ? std::move(this->current) : Period();
		this->current = Period();
		this->period_start = now;
	}
	this->current.requests++;
	for (const RequestFeature &feature : features) {
		auto found = this->current.counts.find(feature);
		if (found != this->current.counts.end()) {
			found->second++;
		} else if (this->current.counts.size() < this->limits.max_features) {
			this->current.counts.emplace(feature, 1);
		} else {
			this->current.overflow = true;
		}
	}
}

size_t RecentFeatures::Count(const RequestFeature &feature) const
{
	size_t count = 0;
	for (const Period *period : {&this->current, &this->former}) {
		auto found = period->counts.find(feature);
		if (found != period->counts.end()) count += found->second;
	}
	return count;
}

bool RecentFeatures::IsNew(const RequestFeature &feature) const
{
	return this->IsReliable() && !this->current.overflow && !this->former.overflow && this->Count(feature) == 0;
}

double RecentFeatures::Share(const RequestFeature &feature) const
{
	size_t count = this->Count(feature);
	if (count == 0 && (this->current.overflow || this->former.overflow)) return 1;
	return static_cast<double>(count + 1) / static_cast<double>(this->current.requests + this->former.requests + 2);
}

} // namespace cottonspool
