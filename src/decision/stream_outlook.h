/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file stream_outlook.h What the instance learns from its streams of one pool, to foresee how late others will be. */

#pragma once

#include "decision/gap_estimate.h"
#include "decision/length_estimate.h"

namespace cottonspool {

/** Decayed count of the prompts that were sent to a target or a pool lately. */
class PromptCounter {
public:
	/** Count a prompt that was sent at \a now. */
	void Add(TimePoint now);

	/** @return Prompts per second, over the last few seconds. */
	double Rate(TimePoint now) const;

	/** @return Prompts since the start. */
	uint64_t Total() const { return this->total; }

private:
	/** @return The decayed count at \a now. */
	double CountAt(TimePoint now) const;

	double count = 0;   ///< Decayed count at \c at.
	TimePoint at;       ///< Time of the latest prompt.
	uint64_t total = 0; ///< Prompts since the start.
};

/**
 * Expected output lengths of the streams of one pool, by a bucket of their maximum number of output tokens. The groups of LengthEstimate
 * (class and account) mix the long and the short streams of an account; the maximum tells them apart.
 */
class StreamLengths {
public:
	/** Learn from a finished stream of \a tokens output tokens with the maximum \a max_tokens. */
	void Learn(uint32_t max_tokens, uint32_t tokens);

	/** @return Expected remaining tokens after \a generated; as long as the maximum allows while nothing is learned. */
	double Residual(uint32_t max_tokens, uint32_t generated) const;

private:
	static constexpr size_t BUCKETS = 33; ///< One for each power of two of the maximum, and one for streams without a maximum.
	std::array<LengthHistogram, BUCKETS> lengths;
};

/** What is learned from the streams of one pool. */
class StreamOutlook {
public:
	/** Learn from \a episode of a run at an engine with the time factor \a factor. */
	void Learn(const Episode &episode, double factor);

	/** Set the gap objective of the pool's calls, for calls of peers, whose objective is not known. */
	void SetObjective(Duration objective) { this->objective = objective; }

	/** @return The gap objective of the pool's calls; zero if there is none. */
	Duration Objective() const { return this->objective; }

	/** @return The expected rest of the output of \a call after \a generated tokens, without the rate of prompts. */
	RunOutlook Expect(const CallSpec &call, uint32_t generated) const;

	/** @return Expected time for the rest of the output of \a call after \a generated tokens at the time factor \a factor. */
	Duration TimeLeft(const CallSpec &call, uint32_t generated, double factor) const;

	StreamLengths lengths; ///< Output lengths.
	GapEstimate gaps;      ///< Longest gaps.
	PromptCounter prompts; ///< Prompts sent to the pool.

private:
	Duration objective{0};       ///< Gap objective of the pool's calls.
	double usual_gap = 0.035;    ///< Smoothed time between events at time factor 1, in seconds.
	double tokens_per_event = 4; ///< Smoothed tokens per event.
};

} // namespace cottonspool
