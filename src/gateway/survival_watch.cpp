/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file survival_watch.cpp Implementation of the wait for crashes after complete answers. */

#include "gateway/survival_watch.h"
#include <utility>

namespace cottonspool {

static constexpr size_t MAX_WAITING = 1024; ///< Limit of remembered requests; the oldest are dropped.

void SurvivalWatch::OnAnswered(AnsweredRequest answered)
{
	this->waiting.push_back(std::move(answered));
	if (this->waiting.size() > MAX_WAITING) this->waiting.pop_front();
}

void SurvivalWatch::OnCrashed(const std::string &incarnation)
{
	std::erase_if(this->waiting, [&](const AnsweredRequest &each) { return each.incarnation == incarnation; });
}

std::vector<AnsweredRequest> SurvivalWatch::TakeSurvived(TimePoint now)
{
	std::vector<AnsweredRequest> survived;
	while (!this->waiting.empty() && now - this->waiting.front().answered_at >= this->period) {
		survived.push_back(std::move(this->waiting.front()));
		this->waiting.pop_front();
	}
	return survived;
}

} // namespace cottonspool
