/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher_shares.cpp Limits the calls of client accounts that are above their share of a pool's memory. */

#include "core/hash_func.h"
#include "decision/dispatcher.h"
#include <algorithm>

namespace cottonspool {

void Dispatcher::SetShareView(bool complete)
{
	bool in_use = complete && this->limits.shares.use;
	if (in_use == this->share_view) return;
	this->share_view = in_use;
	// Accounts that were above their share go below it, as nothing is known of them any more.
	for (const ShareChange &change : this->shares.Reset()) this->share_changes.push_back(change);
}

bool Dispatcher::WaitsForHeadroom(const CallSpec &call, TimePoint now) const
{
	if (!this->share_view || !call.generated) return false;
	RestrictionCounts counts{};
	this->targets.FreeAt(call, now, &counts);
	return counts[static_cast<size_t>(Restriction::None)] > 0;
}

PoolDemand Dispatcher::DemandFor(ModelNumber pool, TimePoint now) const
{
	PoolDemand demand;
	double all_memory = 0;
	for (TargetNumber number : this->targets.ForModel(pool)) {
		const TargetState &target = this->targets.Get(number);
		if (!target.engine) continue;
		auto memory = static_cast<double>(target.report.capacity_tokens);
		all_memory += memory;
		const TargetRestrictions &restrictions = target.restrictions;
		bool usable = restrictions.known && restrictions.ready && !restrictions.draining && !restrictions.evacuated;
		if (usable && now >= restrictions.ejected_until) demand.memory += memory;
	}
	const AccountUsage &usage = this->targets.Usage();
	demand.unattributed = static_cast<double>(usage.UnattributedIn(pool));
	std::map<AccountNumber, AccountDemand> accounts;
	for (const auto &[account, tokens] : usage.HeldIn(pool, static_cast<int64_t>(all_memory), now))
		accounts[account].held = static_cast<double>(tokens);
	for (const auto &[id, tracked] : this->calls) {
		if (tracked.holder || tracked.call.model != pool || !tracked.call.generated) continue;
		accounts[tracked.call.account].waiting += this->ExpectedTokens(tracked.call);
		demand.calls_wait = demand.calls_wait || tracked.waits_for_headroom;
	}
	for (auto &[account, each] : accounts) {
		auto weight = this->account_weights.find(account.value);
		each.account = account;
		each.weight = weight == this->account_weights.end() ? 1 : weight->second;
		demand.accounts.push_back(each);
	}
	return demand;
}

void Dispatcher::UpdateShares(TimePoint now)
{
	if (!this->share_view || now - this->shares_updated < this->limits.shares.update_interval) return;
	this->shares_updated = now;
	for (ModelNumber pool : this->targets.Usage().Pools()) {
		for (const ShareChange &change : this->shares.Update(pool, this->DemandFor(pool, now))) this->share_changes.push_back(change);
	}
}

std::optional<Duration> Dispatcher::RejectionForShare(const TrackedCall &tracked, TimePoint now) const
{
	const CallSpec &call = tracked.call;
	// A call that was sent before has used a retry; it gets its whole wait limit.
	if (tracked.holder || tracked.attempts > 0 || !tracked.waits_for_headroom || !this->IsLimited(call)) return std::nullopt;
	const AccountUsage &usage = this->targets.Usage();
	std::optional<Duration> wait = this->shares.TimeUntilBelow(call.model, call.account, usage.KnownOf(call.model, call.account),
	                                                           usage.EndRate(call.model, call.account, now));
	if (!wait || now + *wait <= call.deadline) return std::nullopt;
	static constexpr uint64_t STEPS = 1000;
	double random = static_cast<double>(HashText("account-share", call.id.value) % STEPS) / (STEPS - 1);
	double jitter = this->limits.shares.retry_jitter * (2 * random - 1);
	return std::clamp(FromSeconds(Seconds(*wait) * (1 + jitter)), this->limits.retry_after_min, this->limits.retry_after_max);
}

void Dispatcher::RejectAboveShare(TimePoint now, Decisions &decisions)
{
	if (!this->share_view || this->queue.Size() == 0 || this->shares.Limited() == 0) return;
	std::vector<std::pair<CallId, Duration>> rejected;
	for (const auto &[id, tracked] : this->calls) {
		if (std::optional<Duration> wait = this->RejectionForShare(tracked, now)) rejected.emplace_back(id, *wait);
	}
	std::sort(rejected.begin(), rejected.end());
	for (const auto &[id, wait] : rejected) this->RejectForShare(id, wait, decisions);
}

void Dispatcher::RejectForShare(CallId call, Duration retry_after, Decisions &decisions)
{
	this->counters.rejected[static_cast<size_t>(RejectReason::AccountShare)]++;
	this->queue.Remove(call);
	this->calls.erase(call);
	decisions.rejections.push_back({call, RejectReason::AccountShare, retry_after});
}

} // namespace cottonspool
