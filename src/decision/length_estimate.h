/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file length_estimate.h Learned distribution of output lengths, and the expected remaining length of a running output. */

#pragma once

#include "decision/request_type.h"
#include <list>
#include <unordered_map>

namespace cottonspool {

/** Histogram of output lengths with logarithmic buckets and exponential decay. */
class LengthHistogram {
public:
	/** Add a finished output of \a tokens tokens and decay the older ones. */
	void Add(uint32_t tokens);

	/**
	 * @param generated Tokens generated so far.
	 * @return Expected remaining tokens of an output that is longer than \a generated, or a negative number if none that long is known.
	 */
	double Residual(uint32_t generated) const;

	/** @return The decayed number of outputs. */
	double Weight() const { return this->total; }

private:
	static constexpr size_t BUCKETS = 32; ///< Number of buckets; each spans a factor of the square root of 2.
	std::array<float, BUCKETS> weights{}; ///< Decayed number of outputs in each bucket.
	float total = 0;                      ///< Sum of the weights.

	friend class LengthEstimate;
};

/** Parameters of the length estimate. */
struct LengthEstimateLimits {
	size_t max_groups = 4096;   ///< Maximum number of groups (model, class, account); the least recently used one is dropped.
	double prior_tokens = 256;  ///< Expected length while nothing is learned.
	bool learn = true;          ///< Whether to learn from finished outputs; otherwise prior_tokens is always used.
	double account_outputs = 8; ///< Weight of an account's own outputs at which they count as much as those of all accounts.
};

/** Expected output lengths by model, class and account, blended with those of all accounts. */
class LengthEstimate {
public:
	explicit LengthEstimate(LengthEstimateLimits limits) : limits(limits) {}

	/** Learn from \a call, which finished after \a tokens output tokens. */
	void Learn(const CallSpec &call, uint32_t tokens);

	/** @return Expected remaining tokens of \a call after \a generated tokens, limited by its max_tokens. */
	double Residual(const CallSpec &call, uint32_t generated) const;

	/** @return Number of groups. */
	size_t Groups() const { return this->groups.size(); }

private:
	/** A group of outputs. */
	struct Group {
		LengthHistogram histogram;
		std::list<uint64_t>::iterator position; ///< Position in the list of keys.
	};

	/** @return The group \a key, created if it is missing, as the most recently used one. */
	Group &Touch(uint64_t key);

	LengthEstimateLimits limits;
	std::unordered_map<uint64_t, Group> groups; ///< Groups by key.
	std::list<uint64_t> order;                  ///< Keys of the groups, most recently used first.
};

} // namespace cottonspool
