/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file account_shares.h Weighted max-min shares of client accounts in the memory of a pool, and the accounts above theirs. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace cottonspool {

/** Parameters of the shares of accounts. */
struct ShareLimits {
	bool use = true; ///< Whether calls of accounts above their share are limited while their pool is scarce.
	/** Use of a pool's memory above which it is scarce; the growth reserved for runs takes most of the rest. */
	double scarce_use = 0.85;
	/**
	 * Fraction of a pool's memory from which accounts are expected to have more demand than is known here, as calls that wait at other
	 * instances are not: what is held beyond it counts as demand of all accounts alike. So the largest account of a full pool is above its
	 * share, but none is if all hold the same.
	 */
	double spare_use = 0.70;
	double enter = 1.1;                                       ///< Multiple of its share from which an account counts as above it.
	double leave = 1.0;                                       ///< Multiple of its share below which it no longer does.
	double margin = 0.05;                                     ///< Part of an engine's memory that a limited call has to leave free.
	Duration update_interval = std::chrono::milliseconds(50); ///< Interval of updates; the usage of other halls is 150 ms old or more.
	double retry_jitter = 0.25;                               ///< Largest relative deviation of the Retry-After of a rejection.
};

/** Demand of one account for the memory of a pool, in tokens. */
struct AccountDemand {
	AccountNumber account; ///< The account.
	double weight = 1;     ///< Weight of the account.
	double held = 0;       ///< Memory held by its calls at engines.
	double waiting = 0;    ///< Memory that its calls need that wait for headroom here.
};

/** Memory of a pool and the demand for it, in tokens. */
struct PoolDemand {
	double memory = 0;                   ///< Memory of the usable engines; 0 if unknown.
	double unattributed = 0;             ///< Memory held by calls whose account is unknown.
	bool calls_wait = false;             ///< Whether calls wait for headroom.
	std::vector<AccountDemand> accounts; ///< Demand of each account.
};

/** An account has gone above or below its share of a scarce pool. */
struct ShareChange {
	ModelNumber pool;
	AccountNumber account;
	double held = 0;    ///< Memory held by the account, in tokens.
	double share = 0;   ///< Its share, in tokens.
	bool above = false; ///< Whether it is above its share now.
};

/**
 * @return The level L for which the sum of min(demand, weight * L) over all \a accounts is \a memory: the weighted max-min fair share of an
 *         account of weight 1. Infinity if the demand does not exceed \a memory.
 */
double MaxMinLevel(const std::vector<AccountDemand> &accounts, double memory);

/** Tracks which accounts are above their share of each pool. */
class AccountShares {
public:
	explicit AccountShares(ShareLimits limits) : limits(limits) {}

	/** Update the shares of \a pool. @return Accounts that have gone above or below their share. */
	std::vector<ShareChange> Update(ModelNumber pool, const PoolDemand &demand);

	/** Forget everything, as the usage of the other instances is unknown. @return Accounts that had been above their share. */
	std::vector<ShareChange> Reset();

	/** @return Whether calls of \a account are limited in \a pool: the pool is scarce and the account is above its share. */
	bool IsLimited(ModelNumber pool, AccountNumber account) const;

	/**
	 * @param observed Memory, in tokens, held by those calls of the account whose ends are observed here.
	 * @param rate Memory of these calls that ends, in tokens a second. The other calls are assumed to end equally often.
	 * @return Time until a limited \a account falls below its share; nothing if that is unknown, as none of its calls has ended.
	 */
	std::optional<Duration> TimeUntilBelow(ModelNumber pool, AccountNumber account, int64_t observed, double rate) const;

	/** @return Number of limited accounts, summed over the pools. */
	size_t Limited() const;

private:
	/** An account that is above its share. */
	struct AboveShare {
		double held = 0;       ///< Memory held, in tokens.
		double share = 0;      ///< Its share, in tokens.
		bool reported = false; ///< Whether this was returned as a change.
	};

	/** State of one pool. */
	struct PoolState {
		bool scarce = false;                       ///< Whether it is scarce.
		std::map<AccountNumber, AboveShare> above; ///< Accounts above their share.
	};

	ShareLimits limits;
	std::map<ModelNumber, PoolState> pools; ///< Pools with usage.
};

} // namespace cottonspool
