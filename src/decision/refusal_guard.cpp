/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file refusal_guard.cpp Bound on the requests that a brittle target has to refuse. */

#include "decision/refusal_guard.h"
#include <algorithm>

namespace cottonspool {

static constexpr Duration REFUSAL_HOLD = std::chrono::milliseconds(1100); ///< Time without a request after a refusal.
static constexpr Duration LOAD_TTL = std::chrono::milliseconds(700);      ///< Age at which a report of few requests is ignored.
static constexpr Duration FULL_TTL = std::chrono::milliseconds(150); ///< The same for a report of many, as places become free meanwhile.
static constexpr Duration WAIT_STEP = std::chrono::milliseconds(50); ///< Time after which an open request may have been answered.
static constexpr uint32_t FREE_FRACTION = 2;                         ///< A target is half empty up to this fraction of its places.
static constexpr size_t MAX_REMEMBERED = 256;                        ///< Open requests and refusals that are remembered.

void RefusalGuard::SetShare(size_t instance_count, RateShare new_share)
{
	this->instances = std::max<size_t>(instance_count, 1);
	this->share = new_share;
}

bool RefusalGuard::OnAnswer(const TargetSignals &signals, TimePoint requested_at, TimePoint now)
{
	if (!this->open.empty()) this->open.pop_front();
	if (signals.refused) {
		this->refused.push_back(now);
		if (this->refused.size() > MAX_REMEMBERED) this->refused.pop_front();
		this->held_until = now + REFUSAL_HOLD;
	}
	if (signals.brittle == SignalState::Unreadable) return false;
	bool says_so = signals.brittle == SignalState::Present;
	// Answers can overtake each other, so an older one neither ends nor raises the bound.
	bool older = requested_at < this->reported_at;
	bool lowers = says_so && (!this->active || signals.refusals_per_s < this->bound);
	if (older && !lowers) return false;
	this->reported_at = std::max(this->reported_at, requested_at);
	bool changed = says_so != this->active || (says_so && signals.refusals_per_s != this->bound);
	this->active = says_so;
	this->bound = says_so ? signals.refusals_per_s : 0;
	return changed;
}

void RefusalGuard::OnLoad(uint32_t running, uint32_t waiting, TimePoint now)
{
	this->load = running + waiting;
	this->load_at = now;
}

void RefusalGuard::OnSent(TimePoint now)
{
	while (!this->open.empty() && now - this->open.front() >= REFUSAL_SPAN) this->open.pop_front();
	this->open.push_back(now);
	if (this->open.size() > MAX_REMEMBERED) this->open.pop_front();
}

void RefusalGuard::OnUnanswered()
{
	if (!this->open.empty()) this->open.pop_front();
}

uint32_t RefusalGuard::Open(TimePoint now) const
{
	auto is_recent = [&](TimePoint sent) { return now - sent < REFUSAL_SPAN; };
	return static_cast<uint32_t>(std::count_if(this->open.begin(), this->open.end(), is_recent));
}

uint32_t RefusalGuard::Allowance(TimePoint now) const
{
	// Without a request there is no report, so one may always go to a target of unknown load.
	bool half_empty = this->load <= this->places / FREE_FRACTION;
	if (this->places == 0 || now - this->load_at >= (half_empty ? LOAD_TTL : FULL_TTL)) return 1;
	if (half_empty) {
		uint32_t part = (this->places - this->load) / static_cast<uint32_t>(this->instances);
		return std::max<uint32_t>(1, part);
	}
	auto is_recent = [&](TimePoint at) { return now - at < this->share.window; };
	auto used = static_cast<uint32_t>(std::count_if(this->refused.begin(), this->refused.end(), is_recent));
	return this->share.max_requests - std::min(this->share.max_requests, used);
}

TimePoint RefusalGuard::FreeAt(TimePoint now) const
{
	if (this->MaySend(now)) return now;
	return std::max(this->held_until, now + WAIT_STEP);
}

} // namespace cottonspool
