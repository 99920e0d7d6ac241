/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_leases.cpp Shares of targets' rate limits, and leases of them between instances. */

#include "core/hash_func.h"
#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration LIMITS_REFRESH = std::chrono::seconds(1); ///< Interval at which the set of sharers is updated.

const std::vector<std::string> &Gateway::SharersOf(const std::string &hall)
{
	auto [found, added] = this->sharers.try_emplace(hall);
	if (added) found->second = this->peers.SharersOf(hall);
	return found->second;
}

bool Gateway::HasJustStarted(Duration counts_for, TimePoint now) const
{
	return !this->settings.bootstrap && now - this->started_at < counts_for;
}

RateShare Gateway::ShareOf(const std::string &target, RateLimit limit, const std::vector<std::string> &sharers, Duration lent_for,
                           TimePoint now) const
{
	RateShare share = ShareRate(target, limit, sharers, this->settings.name);
	if (this->HasJustStarted(share.window + lent_for, now)) share.max_requests = 0;
	return share;
}

RateLimit Gateway::CellRateLimit(TargetNumber number, RateLimit limit) const
{
	const std::string &hall = this->dispatcher.Targets().Get(number).hall;
	limit.per_second *= this->division.ShareOf(this->records[number.value].pool, hall, this->peers.Cells());
	return limit;
}

void Gateway::UpdateLimitShare(TargetNumber number, TimePoint now)
{
	// Each instance knows only its own requests, so the sum stays below the limit only if each keeps to a share of it.
	const TargetState &target = this->dispatcher.Targets().Get(number);
	const TargetRateLimit &limit = target.restrictions.limit;
	if (!limit.IsActive()) return;
	RateLimit bound = this->CellRateLimit(number, limit.Bound());
	this->dispatcher.Targets().SetLimitShare(number, this->ShareOf(target.name, bound, this->SharersOf(target.hall), LEASE_TERM, now));
}

void Gateway::RefreshLimits(TimePoint now)
{
	if (this->limited.empty() && this->drain_notices.empty() && this->brittle.empty() && this->cold.empty()) return;
	if (now - this->limits_refreshed_at >= LIMITS_REFRESH) {
		this->limits_refreshed_at = now;
		this->sharers.clear();
		std::erase_if(this->limited, [this](TargetNumber number) { return !this->dispatcher.Targets().Get(number).restrictions.known; });
		std::erase_if(this->brittle, [this](TargetNumber number) { return !this->dispatcher.Targets().Get(number).restrictions.known; });
		for (TargetNumber number : this->limited) this->UpdateLimitShare(number, now);
		for (TargetNumber number : this->brittle) this->UpdateRefusalShare(number, now);
		this->RefreshColdShares(now);
		std::erase_if(this->drain_notices,
		              [&](const auto &entry) { return now - entry.second > this->limits.registry.departed_retention; });
	}
	for (TargetNumber number : this->limited) this->RequestLeases(number, now);
}

void Gateway::RequestLeases(TargetNumber number, TimePoint now)
{
	const TargetState &target = this->dispatcher.Targets().Get(number);
	uint32_t demand = this->arrivals.Recent(this->records[number.value].pool, now);
	if (!target.restrictions.limit.WantsLeases(demand, now)) return;
	if (this->HasJustStarted(target.restrictions.limit.Share().window + LEASE_TERM, now)) return;
	const std::vector<std::string> &all = this->SharersOf(target.hall);
	if (std::find(all.begin(), all.end(), this->settings.name) == all.end()) return;
	RateLimit limit = this->CellRateLimit(number, target.restrictions.limit.Bound());
	auto requests_in_span = static_cast<size_t>(std::max(1.0, limit.per_second * Seconds(limit.span)));
	// With more sharers than requests in a window, only some hold a share.
	std::vector<std::string> owners = RendezvousChoice(target.name, all, requests_in_span);
	std::erase(owners, this->settings.name);
	for (const LeaseRequest &request : this->dispatcher.Targets().RequestLeases(number, owners, demand, now))
		this->peers.RequestLease(request.owner, {this->settings.name, target.name, request.number, request.wanted});
}

uint32_t Gateway::OnLeaseRequest(const LeaseRequestMessage &request)
{
	TimePoint now = MonotonicNow();
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(request.target);
	if (!number || number->value >= this->records.size()) return 0;
	uint32_t own = this->arrivals.Recent(this->records[number->value].pool, now);
	uint32_t granted = this->dispatcher.Targets().Lend(*number, request.instance, request.wanted, own, now);
	this->metrics.Count("cottonspool_lease_asks_total");
	return granted;
}

void Gateway::OnLeaseGrant(const LeaseGrantMessage &grant)
{
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(grant.target);
	if (!number) return;
	this->dispatcher.Targets().OnGranted(*number, grant.instance, grant.number, grant.granted);
	if (grant.granted == 0) return;
	this->metrics.Count("cottonspool_lease_grants_total");
	// The lease may let waiting calls go.
	this->Execute(this->dispatcher.OnTick(MonotonicNow()));
}

} // namespace cottonspool
