/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_leases.cpp Implementation of the leases of parts of a target's rate limit. */

#include "decision/limit_leases.h"
#include <algorithm>

namespace cottonspool {

uint32_t LimitLeases::Borrower::Count(TimePoint now) const
{
	uint32_t count = 0;
	for (const Reservation &part : this->reserved) {
		if (now < part.until) count = std::max(count, part.count);
	}
	return count;
}

uint32_t LimitLeases::Lent(TimePoint now) const
{
	uint32_t lent = 0;
	for (const auto &[name, borrower] : this->borrowers) lent += borrower.Count(now);
	return lent;
}

uint32_t LimitLeases::Lend(const std::string &name, uint32_t wanted, LendableShare source, TimePoint now)
{
	static constexpr Duration REQUEST_EXPIRY = 3 * LEASE_REQUEST_INTERVAL; ///< Age from which a borrower's request no longer counts.
	std::erase_if(this->borrowers,
	              [&](const auto &entry) { return now - entry.second.last_requested > REQUEST_EXPIRY && entry.second.Count(now) == 0; });
	Borrower &borrower = this->borrowers[name];
	borrower.wanted = wanted;
	borrower.last_requested = now;
	std::erase_if(borrower.reserved, [&](const Reservation &part) { return now >= part.until; });
	uint64_t all_wanted = source.own_demand;
	for (const auto &[other, each] : this->borrowers) {
		if (now - each.last_requested <= REQUEST_EXPIRY) all_wanted += each.wanted;
	}
	// If the demand exceeds the share, each borrower gets a proportional part, but at least one request per window.
	uint64_t fair_part = wanted;
	if (all_wanted > source.max_requests) fair_part = std::max<uint64_t>(1, uint64_t{source.max_requests} * wanted / all_wanted);
	uint32_t used = this->Lent(now) + source.sent;
	uint32_t free = source.max_requests - std::min(source.max_requests, used);
	// What the borrower may already have used is reserved anyway, so it does not reduce what is free.
	auto granted = static_cast<uint32_t>(std::min<uint64_t>({wanted, fair_part, uint64_t{borrower.Count(now)} + free}));
	if (granted > 0) borrower.reserved.push_back({granted, now + LEASE_TERM + source.window});
	return granted;
}

std::vector<LeaseRequest> LimitLeases::BuildRequests(const std::vector<std::string> &owners, uint32_t demand, uint32_t allowance,
                                                     TimePoint now)
{
	std::vector<LeaseRequest> requests;
	if (owners.empty()) return requests;
	auto count = static_cast<uint32_t>(owners.size());
	uint32_t increase = NeedsMore(demand, allowance) ? (demand - allowance + count - 1) / count : 0;
	uint32_t decrease = demand < allowance ? (allowance - demand) / count : 0;
	for (const std::string &owner : owners) {
		Lease &lease = this->borrowed[owner];
		if (lease.number != 0 && now - lease.last_requested < LEASE_REQUEST_INTERVAL) continue;
		uint32_t held = now < lease.until ? lease.count : 0;
		uint32_t wanted = held + increase - std::min(held + increase, decrease);
		if (wanted == 0) continue;
		lease.number = ++this->last_number;
		lease.last_requested = now;
		std::erase_if(lease.pending, [&](const auto &request) { return now - request.second >= LEASE_TERM; });
		lease.pending[lease.number] = now;
		requests.push_back({owner, lease.number, wanted});
	}
	return requests;
}

void LimitLeases::OnGranted(const std::string &owner, uint64_t number, uint32_t granted)
{
	auto found = this->borrowed.find(owner);
	if (found == this->borrowed.end()) return;
	Lease &lease = found->second;
	auto request = lease.pending.find(number);
	if (request == lease.pending.end() || number < lease.last_answered) return;
	// The lease counts from the request, so it ends here before it ends at the owner, who granted it later.
	lease = {granted, request->second + LEASE_TERM, number, lease.number, lease.last_requested, std::move(lease.pending)};
	std::erase_if(lease.pending, [&](const auto &entry) { return entry.first <= number; });
}

uint32_t LimitLeases::Borrowed(TimePoint now) const
{
	uint32_t count = 0;
	for (const auto &[owner, lease] : this->borrowed) {
		if (now < lease.until) count += lease.count;
	}
	return count;
}

} // namespace cottonspool
