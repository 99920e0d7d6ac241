/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file length_estimate.h Learned distribution of output lengths, and what is still to come of a running one. */

#pragma once

#include "decision/request_type.h"
#include <list>
#include <unordered_map>

namespace cottonspool {

/** Decaying histogram of output lengths on a logarithmic scale. */
class LengthHistogram {
public:
	/** Learn one finished output of \a tokens; what was learned before fades by a fixed factor. */
	void Add(uint32_t tokens);

	/**
	 * @param generated Tokens generated so far.
	 * @return Expected tokens still to come given that the output is longer than \a generated, or a negative number
	 *         when nothing as long was ever seen.
	 */
	double Residual(uint32_t generated) const;

	/** @return The weight of what was learned, in outputs. */
	double Weight() const { return this->total; }

private:
	static constexpr size_t BUCKETS = 32; ///< Buckets of half an octave each, from 2 to 2^17 tokens.
	std::array<float, BUCKETS> weights{}; ///< Decayed count of each bucket.
	float total = 0;                      ///< Sum of the weights.

	friend class LengthEstimate;
};

/** Bounds of the length estimate. */
struct LengthEstimateLimits {
	size_t max_groups = 4096;   ///< Groups (model, class, account) remembered; the longest unused one is dropped.
	double prior_tokens = 256;  ///< Expected length before anything was learned.
	bool learn = true;          ///< Learn from outputs that ended; otherwise the prior stands.
	double account_outputs = 8; ///< Outputs of an account after which its own history counts for half.
};

/** Expected output lengths per (model, class, account), with the group of all accounts as fallback. */
class LengthEstimate {
public:
	explicit LengthEstimate(LengthEstimateLimits limits) : limits(limits) {}

	/** Learn that \a call ended after \a tokens. */
	void Learn(const CallSpec &call, uint32_t tokens);

	/** @return Expected tokens still to come of \a call after \a generated tokens, at most what its max_tokens leaves. */
	double Residual(const CallSpec &call, uint32_t generated) const;

	/** @return Groups remembered now. */
	size_t Groups() const { return this->groups.size(); }

private:
	/** A remembered group with its place in the order of use. */
	struct Group {
		LengthHistogram histogram;              ///< Lengths of the group.
		std::list<uint64_t>::iterator position; ///< Place in the order of use.
	};

	Group &Touch(uint64_t key);

	LengthEstimateLimits limits;                ///< Bounds.
	std::unordered_map<uint64_t, Group> groups; ///< Remembered groups.
	std::list<uint64_t> order;                  ///< Keys, last used first.
};

} // namespace cottonspool
