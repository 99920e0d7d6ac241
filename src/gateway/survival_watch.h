/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file survival_watch.h Answered requests whose targets have to live on before the answers count in the requests' favour. */

#pragma once

#include "core/time_type.h"
#include "decision/request_features.h"
#include <deque>

namespace cottonspool {

/** A request that was answered completely. */
struct AnsweredRequest {
	RequestFeatures features;
	std::string incarnation; ///< Target incarnation that answered it.
	TimePoint sent_at;       ///< When it was sent there.
	TimePoint answered_at;   ///< When its answer was complete.
};

/** Waits whether the targets of answered requests crash, as a target may answer a short request and crash because of it all the same. */
class SurvivalWatch {
public:
	/** @param period Time for which a target has to live on. */
	explicit SurvivalWatch(Duration period) : period(period) {}

	/** \a answered has got its complete answer. */
	void OnAnswered(AnsweredRequest answered);

	/** The target incarnation \a incarnation has crashed. */
	void OnCrashed(const std::string &incarnation);

	/** @return Requests whose targets have lived on, to be called at each tick; each is returned once. */
	std::vector<AnsweredRequest> TakeSurvived(TimePoint now);

private:
	Duration period;
	std::deque<AnsweredRequest> waiting; ///< In the order of their answers.
};

} // namespace cottonspool
