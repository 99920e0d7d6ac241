/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cold_start.cpp How many requests a target gets while it is cold. */

#include "decision/cold_start.h"
#include "core/hash_func.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/** Length of a window. Requests that were sent further apart than a second may arrive within one: the one before may have waited for
 *  its connection, for 150 ms at most. */
static constexpr Duration WINDOW = std::chrono::milliseconds(1200);

ColdShare ShareColdRate(const std::string &target, double per_second, const std::vector<std::string> &instances, const std::string &own)
{
	ColdShare share;
	// A rate below one a second is one request in a longer window.
	double borne = std::max(1.0, std::floor(per_second));
	share.window = FromSeconds(Seconds(WINDOW) * std::max(1.0, 1 / std::max(per_second, 1e-3)));
	if (instances.empty()) return share;
	auto in_window = static_cast<uint32_t>(borne);
	auto count = static_cast<uint32_t>(instances.size());
	std::vector<std::string> one_more = RendezvousChoice(target, instances, in_window % count);
	bool chosen = std::find(one_more.begin(), one_more.end(), own) != one_more.end();
	share.most = in_window / count + (chosen ? 1 : 0);
	return share;
}

bool ColdStart::MaySend(TimePoint now) const
{
	if (!this->IsCold(now)) return true;
	auto in_window = std::count_if(this->sends.begin(), this->sends.end(), [&](TimePoint sent) { return now - sent < this->share.window; });
	return static_cast<uint32_t>(in_window) < this->share.most;
}

void ColdStart::OnSent(TimePoint now)
{
	while (!this->sends.empty() && now - this->sends.front() >= this->share.window) this->sends.pop_front();
	this->sends.push_back(now);
}

} // namespace cottonspool
