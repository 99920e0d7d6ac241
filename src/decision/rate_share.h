/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file rate_share.h Division of a rate limit among instances, computed by each instance without communication. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace cottonspool {

/** Rate limit of a target for the requests of all instances together. */
struct RateLimit {
	double per_second = 0; ///< Requests per second.
	Duration span{
	        std::chrono::seconds(1)}; ///< Length of the span in which the limit is enforced; it slides, so each span of this length counts.
};

/** Part of a rate limit that one instance may use. */
struct RateShare {
	uint32_t max_requests = 0;                ///< Requests per window.
	Duration window{std::chrono::seconds(1)}; ///< Length of a sliding window.

	bool operator==(const RateShare &) const = default;
};

/**
 * Computes this instance's share of a rate limit from the names of the instances that share it. As this needs no communication, the limit
 * also holds during a network partition. The remainder of the division goes to the instances that the target's name selects by rendezvous
 * hashing.
 * @param sharers Names of all instances that share the limit; empty if most of them are still unknown.
 * @return The share of \a own; zero requests if it is not among \a sharers.
 */
RateShare ShareRate(const std::string &target, RateLimit limit, const std::vector<std::string> &sharers, const std::string &own);

/** Counts the requests that one instance has sent in a sliding window. */
class RateGate {
public:
	explicit RateGate(Duration window) : window(window) {}

	/** Sets the length of the window. */
	void SetWindow(Duration length) { this->window = length; }

	/** @return The length of the window. */
	Duration Window() const { return this->window; }

	/** @return The number of requests sent in the window that ends at \a now. */
	uint32_t SentInWindow(TimePoint now) const;

	/**
	 * @return The earliest time at which another request may be sent if \a max_requests are allowed per window; max() if none is allowed.
	 */
	TimePoint FreeAt(uint32_t max_requests, TimePoint now) const;

	/** Counts a request sent at \a now. */
	void OnSent(TimePoint now);

private:
	Duration window;             ///< Length of the window.
	std::deque<TimePoint> sends; ///< Times of the requests sent in the last window, counted even while there is no rate limit.
};

} // namespace cottonspool
