/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file rate_share.cpp A rate that several instances bear together. */

#include "decision/rate_share.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/** Requests that were sent further apart than a span may arrive within one: the one before may have waited for its connection, for
 *  150 ms at most. */
static constexpr Duration CONNECTION_WAIT = std::chrono::milliseconds(200);

RateShare ShareRate(const std::string &target, RateLimit bound, const std::vector<std::string> &sharers, const std::string &own)
{
	/** Requests in a span that also a rate of nothing allows: without an answer now and then nobody finds out that it is over. */
	static constexpr double MIN_REQUESTS_PER_SPAN = 0.2;
	RateShare share;
	double in_span = std::max(MIN_REQUESTS_PER_SPAN, bound.per_second * Seconds(bound.span));
	// A rate below one in a span is one request in a longer window.
	share.window = FromSeconds(Seconds(bound.span + CONNECTION_WAIT) * std::max(1.0, 1 / in_span));
	if (std::find(sharers.begin(), sharers.end(), own) == sharers.end()) return share;
	auto in_window = static_cast<uint32_t>(std::max(1.0, std::floor(in_span)));
	auto count = static_cast<uint32_t>(sharers.size());
	std::vector<std::string> one_more = RendezvousChoice(target, sharers, in_window % count);
	bool chosen = std::find(one_more.begin(), one_more.end(), own) != one_more.end();
	share.max_requests = in_window / count + (chosen ? 1 : 0);
	return share;
}

uint32_t RateGate::SentInWindow(TimePoint now) const
{
	auto lately = [&](TimePoint sent) { return now - sent < this->window; };
	return static_cast<uint32_t>(std::count_if(this->sends.begin(), this->sends.end(), lately));
}

TimePoint RateGate::FreeAt(uint32_t max_requests, TimePoint now) const
{
	if (max_requests == 0) return TimePoint::max();
	if (this->SentInWindow(now) < max_requests) return now;
	// There is room again once all but the last of as many as may be sent have left the window.
	return this->sends[this->sends.size() - max_requests] + this->window;
}

void RateGate::OnSent(TimePoint now)
{
	while (!this->sends.empty() && now - this->sends.front() >= this->window) this->sends.pop_front();
	this->sends.push_back(now);
}

} // namespace cottonspool
