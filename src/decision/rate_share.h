/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file rate_share.h A rate that several instances bear together: what each of them may send, without talk. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cottonspool {

/** What a target bears from all instances together. */
struct RateLimit {
	double per_second = 0;                  ///< Requests a second.
	Duration span{std::chrono::seconds(1)}; ///< Any span of this length holds what the rate gives for it.
};

/** What one instance may send in any window. */
struct RateShare {
	uint32_t max_requests = 0;                ///< Requests in each window.
	Duration window{std::chrono::seconds(1)}; ///< Length of a window; any span of this length counts.

	bool operator==(const RateShare &) const = default;
};

/**
 * Share a rate by what all instances know already: the names of those that share it. Nobody has to talk, and a cut between them takes
 * nothing from it. Those that the target's name chooses by rendezvous get one request more than the others, so that 300 instances and
 * 25 requests a second make 25 instances with one each.
 * @param sharers Names of the instances that share it; one that doesn't know most of them has to pass none.
 * @return The share of \a own; none if it is not among \a sharers.
 */
RateShare ShareRate(const std::string &target, RateLimit bound, const std::vector<std::string> &sharers, const std::string &own);

/** The requests that one instance has sent lately, against what it may send in a window. */
class RateGate {
public:
	explicit RateGate(Duration window) : window(window) {}

	/** From now on any span of \a length counts. */
	void SetWindow(Duration length) { this->window = length; }

	/** @return Length of the window. */
	Duration Window() const { return this->window; }

	/** @return Requests sent in the window that ends at \a now. */
	uint32_t SentInWindow(TimePoint now) const;

	/** @return When the next request may be sent at the earliest if \a max_requests may be sent in a window; max() if none may. */
	TimePoint FreeAt(uint32_t max_requests, TimePoint now) const;

	/** This instance sends a request. */
	void OnSent(TimePoint now);

private:
	Duration window;             ///< Any span of this length counts.
	std::deque<TimePoint> sends; ///< Requests sent in the last window, also before there was a bound.
};

} // namespace cottonspool
