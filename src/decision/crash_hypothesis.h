/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_hypothesis.h Finds out which features of requests explain crashes of targets. */

#pragma once

#include "core/time_type.h"
#include "decision/request_features.h"
#include <functional>
#include <string_view>

namespace cottonspool {

/** A request that a target had started, or was about to start, when it crashed. */
struct CrashEvidence {
	std::string_view incarnation; ///< Name of the target incarnation.
	FeatureList features;         ///< Features of the request that may have caused the crash, the whole request among them.
	TimePoint learned_at;         ///< When the crash became known here.
	TimePoint counted_from;       ///< Time from which the crash counts; earlier for one that was found in the store.
	uint64_t order = 0;           ///< Order of the crashes; equal or increasing.
};

/** Features that explain crashes: requests that have all of them are taken to crash their targets. */
struct CrashHypothesis {
	FeatureList features;
	size_t crashes = 0;     ///< Crashed incarnations.
	size_t unexplained = 0; ///< Those of them that no other hypothesis explains; the figures below are about these.
	bool is_shared = false; ///< Whether another instance has found the same features.
	bool has_new = false;   ///< Whether one of the features is the whole request, or a part that recent successful requests did not have.
	TimePoint oldest;       ///< When the first crash became known.
	TimePoint newest;       ///< When the last crash became known.
	Duration span{0};       ///< Time between the first and the last crash.

	/** Expected number of crashes, after the first one, under requests with these features if the features have nothing to do with them. */
	double by_chance = 0;
	double share_of_crashes = 1; ///< Share of all crashes from the first to the last one that it explains.
};

/** How hypotheses are judged. */
struct HypothesisRules {
	std::function<double(const RequestFeature &)> share;      ///< Share of recent successful requests that had the feature.
	std::function<bool(const RequestFeature &)> is_new;       ///< Whether recent successful requests did not have the feature.
	std::function<bool(const CrashHypothesis &)> is_accepted; ///< Whether the evidence for a hypothesis is sufficient.
	std::vector<FeatureList> shared;                          ///< Features that other instances have found to cause crashes.
	size_t min_crashes = 2;                                   ///< Least number of crashes that a hypothesis explains.
};

/**
 * Explains crashes with as few causes as possible (greedy set cover). The cause of a crash is the whole request or a part of its prompt.
 * What requests with that cause have in common cannot be told apart from it, so it becomes part of the hypothesis, which then concerns
 * fewer requests: their client account, so that one account cannot have parts of another one's prompts refused, and their other parts
 * unless recent successful requests had them while one of the others is new.
 * @return Accepted hypotheses. Those for the same crashes are returned together, as either may be right.
 */
std::vector<CrashHypothesis> ExplainCrashes(const std::vector<CrashEvidence> &evidence, const HypothesisRules &rules);

} // namespace cottonspool
