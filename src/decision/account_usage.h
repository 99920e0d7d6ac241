/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file account_usage.h KV cache held by client accounts at the engines of each pool, over all instances. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** KV cache that an account holds at the engines of a pool. */
struct AccountTokens {
	ModelNumber pool;
	AccountNumber account;
	int64_t tokens = 0; ///< KV cache held, in tokens.
};

/**
 * Tokens held by pool and account: calls of this instance and its peers, which are known one by one, and sums that the other halls
 * publish. Calls of peers of older releases, which don't state the account, are counted without one.
 */
class AccountUsage {
public:
	/** A call of \a account that holds \a tokens has started at an engine of \a pool. */
	void OnStarted(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens);

	/** A call of \a account has generated \a tokens tokens. */
	void OnTokens(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens);

	/** A call of \a account has ended or is no longer known; it held \a tokens. */
	void OnEnded(ModelNumber pool, std::optional<AccountNumber> account, int64_t tokens, TimePoint now);

	/** Replace the sums published by \a hall; sums beyond MAX_ACCOUNTS in one pool are dropped. */
	void OnHallSums(const std::string &hall, const std::vector<AccountTokens> &sums, TimePoint now);

	/** @return The usage known call by call: for each pool the MAX_ACCOUNTS accounts that hold most. */
	std::vector<AccountTokens> LargestKnown() const;

	/**
	 * @param memory Memory of all engines of \a pool, in tokens; a hall's figure above it is impossible, and is ignored.
	 * @return Tokens held by each account in \a pool.
	 */
	std::map<AccountNumber, int64_t> HeldIn(ModelNumber pool, int64_t memory, TimePoint now) const;

	/** @return Tokens held in \a pool by calls without a known account. */
	int64_t UnattributedIn(ModelNumber pool) const;

	/** @return Tokens held by calls of \a account in \a pool that are known one by one and end, per second, averaged over RATE_PERIOD. */
	double EndRate(ModelNumber pool, AccountNumber account, TimePoint now) const;

	/** @return Tokens held by the calls of \a account in \a pool that are known one by one. */
	int64_t KnownOf(ModelNumber pool, AccountNumber account) const;

	/** @return The pools with usage. */
	std::vector<ModelNumber> Pools() const;

	/** Accounts of each pool in a hall's message, which bounds its size; accounts that hold less are far from their share. */
	static constexpr size_t MAX_ACCOUNTS = 64;

	static constexpr Duration SUMS_TTL = std::chrono::milliseconds(1500); ///< Time after which a hall's sums are ignored, as its load is.

	/** Period over which ends of calls are averaged: about the duration of a long stream, so that each running call counts once. */
	static constexpr Duration RATE_PERIOD = std::chrono::seconds(5);

private:
	/** Calls of one account in one pool that are known one by one. */
	struct KnownUsage {
		int64_t tokens = 0;   ///< Tokens held.
		uint32_t calls = 0;   ///< Number of calls.
		double ended = 0;     ///< Tokens of ended calls, decayed over RATE_PERIOD.
		TimePoint decayed_at; ///< When \c ended was last decayed.
		TimePoint since;      ///< When its first call ended.
	};

	/** Sums published by another hall. */
	struct HallSums {
		std::vector<AccountTokens> sums;
		TimePoint received_at;
	};

	/** @return The usage of \a account in \a pool, or null. */
	const KnownUsage *Find(ModelNumber pool, AccountNumber account) const;
	/** @return Tokens of ended calls of \a usage, decayed until \a now. */
	static double DecayedEnds(const KnownUsage &usage, TimePoint now);

	std::map<ModelNumber, std::map<AccountNumber, KnownUsage>> known; ///< Usage by pool and account.
	std::map<ModelNumber, int64_t> unattributed;                      ///< Tokens held by calls without a known account, by pool.
	std::map<std::string, HallSums> halls;                            ///< Sums of the other halls.
};

} // namespace cottonspool
