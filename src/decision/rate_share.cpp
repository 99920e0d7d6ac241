/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file rate_share.cpp Implementation of the division of a rate limit among instances. */

#include "decision/rate_share.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/** Added to the length of the span, as a request may arrive later than it is sent: it can wait up to 150 ms for its connection. */
static constexpr Duration CONNECTION_WAIT = std::chrono::milliseconds(200);

RateShare ShareRate(const std::string &target, RateLimit limit, const std::vector<std::string> &sharers, const std::string &own)
{
	/** Requests per span that are allowed even at a rate of zero, as only an answer shows that the limit has been lifted. */
	static constexpr double MIN_REQUESTS_PER_SPAN = 0.2;
	RateShare share;
	double requests_per_span = std::max(MIN_REQUESTS_PER_SPAN, limit.per_second * Seconds(limit.span));
	// Fewer than one request per span becomes one request in a longer window.
	share.window = FromSeconds(Seconds(limit.span + CONNECTION_WAIT) * std::max(1.0, 1 / requests_per_span));
	if (std::find(sharers.begin(), sharers.end(), own) == sharers.end()) return share;
	auto requests_per_window = static_cast<uint32_t>(std::max(1.0, std::floor(requests_per_span)));
	auto count = static_cast<uint32_t>(sharers.size());
	std::vector<std::string> with_remainder = RendezvousChoice(target, sharers, requests_per_window % count);
	bool chosen = std::find(with_remainder.begin(), with_remainder.end(), own) != with_remainder.end();
	share.max_requests = requests_per_window / count + (chosen ? 1 : 0);
	return share;
}

uint32_t RateGate::SentInWindow(TimePoint now) const
{
	auto is_recent = [&](TimePoint sent) { return now - sent < this->window; };
	return static_cast<uint32_t>(std::count_if(this->sends.begin(), this->sends.end(), is_recent));
}

TimePoint RateGate::FreeAt(uint32_t max_requests, TimePoint now) const
{
	if (max_requests == 0) return TimePoint::max();
	if (this->SentInWindow(now) < max_requests) return now;
	// The next request is allowed when the oldest of the last max_requests requests leaves the window.
	return this->sends[this->sends.size() - max_requests] + this->window;
}

void RateGate::OnSent(TimePoint now)
{
	while (!this->sends.empty() && now - this->sends.front() >= this->window) this->sends.pop_front();
	this->sends.push_back(now);
}

} // namespace cottonspool
