/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file account_usage.cpp Sums of the KV cache held by client accounts. */

#include "decision/account_usage.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

/** Tokens of ended calls below which an account without calls is forgotten. */
static constexpr double FORGET_ENDED_TOKENS = 1;

/** Shortest time over which ends are averaged, in periods: one end says nothing of the rate. */
static constexpr double MIN_OBSERVED_PERIODS = 0.1;

void AccountUsage::OnStarted(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens)
{
	if (!account) {
		this->unattributed[pool] += tokens;
		return;
	}
	KnownUsage &usage = this->known[pool][*account];
	usage.tokens += tokens;
	usage.calls++;
}

void AccountUsage::OnTokens(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens)
{
	(account ? this->known[pool][*account].tokens : this->unattributed[pool]) += tokens;
}

double AccountUsage::DecayedEnds(const KnownUsage &usage, TimePoint now)
{
	return usage.ended * std::exp(-std::max(0.0, Seconds(now - usage.decayed_at)) / Seconds(RATE_PERIOD));
}

void AccountUsage::OnEnded(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens, TimePoint now)
{
	if (!account) {
		this->unattributed[pool] -= tokens;
		return;
	}
	std::map<AccountNumber, KnownUsage> &accounts = this->known[pool];
	KnownUsage &usage = accounts[*account];
	usage.tokens -= tokens;
	usage.calls--;
	usage.ended = DecayedEnds(usage, now) + static_cast<double>(tokens);
	usage.decayed_at = now;
	if (usage.since == TimePoint{}) usage.since = now;
	std::erase_if(accounts,
	              [&](const auto &each) { return each.second.calls == 0 && DecayedEnds(each.second, now) < FORGET_ENDED_TOKENS; });
}

void AccountUsage::OnHallSums(const std::string &hall, const std::vector<AccountTokens> &sums, TimePoint now)
{
	HallSums &stored = this->halls[hall];
	stored = {{}, now};
	std::map<ModelNumber, size_t> counts;
	for (const AccountTokens &sum : sums) {
		if (counts[sum.pool]++ < MAX_ACCOUNTS) stored.sums.push_back(sum);
	}
	std::erase_if(this->halls, [now](const auto &each) { return now - each.second.received_at > SUMS_TTL; });
}

std::vector<AccountTokens> AccountUsage::LargestKnown() const
{
	std::vector<AccountTokens> all;
	for (const auto &[pool, accounts] : this->known) {
		std::vector<AccountTokens> own;
		for (const auto &[account, usage] : accounts) {
			if (usage.tokens > 0) own.push_back({pool, account, usage.tokens});
		}
		std::stable_sort(own.begin(), own.end(), [](const AccountTokens &a, const AccountTokens &b) { return a.tokens > b.tokens; });
		if (own.size() > MAX_ACCOUNTS) own.resize(MAX_ACCOUNTS);
		all.insert(all.end(), own.begin(), own.end());
	}
	return all;
}

std::map<AccountNumber, int64_t> AccountUsage::HeldIn(ModelNumber pool, int64_t memory, TimePoint now) const
{
	std::map<AccountNumber, int64_t> held;
	if (auto own = this->known.find(pool); own != this->known.end()) {
		for (const auto &[account, usage] : own->second) held[account] = usage.tokens;
	}
	for (const auto &[hall, stored] : this->halls) {
		if (now - stored.received_at > SUMS_TTL) continue;
		for (const AccountTokens &sum : stored.sums) {
			if (sum.pool == pool && sum.tokens >= 0 && sum.tokens <= memory) held[sum.account] += sum.tokens;
		}
	}
	return held;
}

int64_t AccountUsage::UnattributedIn(ModelNumber pool) const
{
	auto found = this->unattributed.find(pool);
	return found == this->unattributed.end() ? 0 : found->second;
}

const AccountUsage::KnownUsage *AccountUsage::Find(ModelNumber pool, AccountNumber account) const
{
	auto accounts = this->known.find(pool);
	if (accounts == this->known.end()) return nullptr;
	auto usage = accounts->second.find(account);
	return usage == accounts->second.end() ? nullptr : &usage->second;
}

double AccountUsage::EndRate(ModelNumber pool, AccountNumber account, TimePoint now) const
{
	const KnownUsage *usage = this->Find(pool, account);
	if (usage == nullptr) return 0;
	// At first only a part of the period has been observed.
	double observed = std::max(MIN_OBSERVED_PERIODS, Seconds(now - usage->since) / Seconds(RATE_PERIOD));
	return DecayedEnds(*usage, now) / (Seconds(RATE_PERIOD) * (1 - std::exp(-observed)));
}

int64_t AccountUsage::KnownOf(ModelNumber pool, AccountNumber account) const
{
	const KnownUsage *usage = this->Find(pool, account);
	return usage == nullptr ? 0 : usage->tokens;
}

std::vector<ModelNumber> AccountUsage::Pools() const
{
	std::vector<ModelNumber> pools;
	for (const auto &[pool, accounts] : this->known) pools.push_back(pool);
	for (const auto &[hall, stored] : this->halls) {
		for (const AccountTokens &sum : stored.sums) pools.push_back(sum.pool);
	}
	std::sort(pools.begin(), pools.end());
	pools.erase(std::unique(pools.begin(), pools.end()), pools.end());
	return pools;
}

} // namespace cottonspool
