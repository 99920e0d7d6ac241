/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file account_shares.cpp Computation of max-min shares, and hysteresis of the accounts above theirs. */

#include "decision/account_shares.h"
#include <algorithm>
#include <limits>

namespace cottonspool {

static constexpr double MIN_WEIGHT = 1e-6;      ///< Smallest weight of an account, as in the queue.
static constexpr double MAX_WAIT_S = 24 * 3600; ///< Longest time until an account falls below its share, in seconds.

/** @return The demand of \a account for each unit of its weight. */
static double DemandPerWeight(const AccountDemand &account)
{
	return (account.held + account.waiting) / std::max(account.weight, MIN_WEIGHT);
}

double MaxMinLevel(const std::vector<AccountDemand> &accounts, double memory)
{
	std::vector<const AccountDemand *> order;
	double weights = 0;
	for (const AccountDemand &account : accounts) {
		order.push_back(&account);
		weights += std::max(account.weight, MIN_WEIGHT);
	}
	std::sort(order.begin(), order.end(),
	          [](const AccountDemand *a, const AccountDemand *b) { return DemandPerWeight(*a) < DemandPerWeight(*b); });
	double left = memory;
	for (const AccountDemand *account : order) {
		double level = left / weights;
		if (DemandPerWeight(*account) > level) return std::max(0.0, level);
		left -= account->held + account->waiting;
		weights -= std::max(account->weight, MIN_WEIGHT);
	}
	return std::numeric_limits<double>::infinity();
}

/** @return The level of \a demand; infinity if nothing has to be divided. */
static double LevelOf(const PoolDemand &demand, const ShareLimits &limits)
{
	double held = 0;
	std::vector<AccountDemand> active;
	for (const AccountDemand &account : demand.accounts) {
		held += account.held;
		if (account.held + account.waiting > 0) active.push_back(account);
	}
	// A single account has nobody to share with.
	if (active.size() < 2) return std::numeric_limits<double>::infinity();
	double unknown_demand = std::max(0.0, held - limits.spare_use * demand.memory);
	for (AccountDemand &account : active) account.waiting += unknown_demand / static_cast<double>(active.size() - 1);
	return MaxMinLevel(active, held);
}

std::vector<ShareChange> AccountShares::Update(ModelNumber pool, const PoolDemand &demand)
{
	std::vector<ShareChange> changes;
	PoolState &state = this->pools[pool];
	double held = demand.unattributed;
	for (const AccountDemand &account : demand.accounts) held += account.held;
	state.scarce = demand.memory > 0 && (demand.calls_wait || held > this->limits.scarce_use * demand.memory);
	double level = LevelOf(demand, this->limits);
	std::map<AccountNumber, AboveShare> before = std::move(state.above);
	state.above.clear();
	for (const AccountDemand &account : demand.accounts) {
		auto known = before.find(account.account);
		bool was_above = known != before.end();
		double share = level * std::max(account.weight, MIN_WEIGHT);
		bool above = was_above ? account.held >= this->limits.leave * share : account.held > this->limits.enter * share;
		bool reported = was_above && known->second.reported;
		if (above && !reported && state.scarce) changes.push_back({pool, account.account, account.held, share, true});
		if (!above && reported) changes.push_back({pool, account.account, account.held, share, false});
		if (above) state.above[account.account] = {account.held, share, reported || state.scarce};
		if (was_above) before.erase(known);
	}
	for (const auto &[account, gone] : before) {
		if (gone.reported) changes.push_back({pool, account, 0, gone.share, false});
	}
	return changes;
}

bool AccountShares::IsLimited(ModelNumber pool, AccountNumber account) const
{
	auto found = this->pools.find(pool);
	return found != this->pools.end() && found->second.scarce && found->second.above.contains(account);
}

std::vector<ShareChange> AccountShares::Reset()
{
	std::vector<ShareChange> changes;
	for (const auto &[pool, state] : this->pools) {
		for (const auto &[account, above] : state.above) {
			if (above.reported) changes.push_back({pool, account, above.held, above.share, false});
		}
	}
	this->pools.clear();
	return changes;
}

std::optional<Duration> AccountShares::TimeUntilBelow(ModelNumber pool, AccountNumber account, int64_t observed, double rate) const
{
	auto found = this->pools.find(pool);
	if (found == this->pools.end() || rate <= 0 || observed <= 0) return std::nullopt;
	auto above = found->second.above.find(account);
	if (above == found->second.above.end()) return Duration(0);
	double excess = std::max(0.0, above->second.held - above->second.share);
	double total_rate = rate * std::max(1.0, above->second.held / static_cast<double>(observed));
	return FromSeconds(std::min(excess / total_rate, MAX_WAIT_S));
}

size_t AccountShares::Limited() const
{
	size_t limited = 0;
	for (const auto &[pool, state] : this->pools) limited += state.scarce ? state.above.size() : 0;
	return limited;
}

} // namespace cottonspool
