/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load.h Aggregated target load that data halls send each other. */

#pragma once

#include "decision/peer_load.h"

namespace cottonspool {

/** Aggregated load of one target. */
struct TargetLoadSum {
	std::string target;       ///< Name of the target.
	uint32_t held_tokens = 0; ///< KV cache held by calls, in tokens.
	uint32_t calls = 0;       ///< Number of calls.
	uint32_t wait_ms = 0;     ///< Time until all pending prompts are prefilled, in milliseconds.
};

/** KV cache that an account holds at the engines of a pool, by name. */
struct AccountLoadSum {
	std::string pool;    ///< Name of the pool.
	std::string account; ///< Name of the account; empty for calls without one.
	int64_t tokens = 0;  ///< KV cache held by calls from the sender's hall, in tokens.
};

/** Load summary that one data hall sends to the others. */
struct HallLoadMessage {
	std::string hall;                          ///< Hall that sends the summary.
	bool forwarded = false;                    ///< The summary was forwarded by an instance of the receiver's hall.
	std::vector<TargetLoadSum> local_targets;  ///< Targets in the sender's hall that have load, with the calls of all halls.
	std::vector<TargetLoadSum> remote_targets; ///< Targets in other halls, with the calls from the sender's hall only.
	std::vector<AccountLoadSum> accounts;      ///< The accounts that hold most in each pool, with the calls from the sender's hall only.

	/** @return Whether there is no load to report. */
	bool IsEmpty() const { return this->local_targets.empty() && this->remote_targets.empty(); }
};

/**
 * Exchanges aggregated target load between halls. Inside a hall the instances know each other's individual calls. For targets of other
 * halls they use these sums, as their size grows with the number of targets in use instead of with the number of calls. Without them an
 * instance would treat the targets of other halls as idle.
 */
class HallLoad {
public:
	/** Names of pools and client accounts. */
	struct Names {
		NameTable<ModelNumber> &pools;
		NameTable<AccountNumber> &accounts;
	};

	/** @param names Names for exchanging the usage of accounts; nothing to leave it out. */
	HallLoad(TargetTable &targets, std::string own_hall, std::optional<Names> names = std::nullopt)
	    : targets(targets), own_hall(std::move(own_hall)), names(names)
	{
	}

	/** @return The load summary of this instance's hall at \a now. */
	HallLoadMessage BuildMessage(TimePoint now) const;

	/** Handles the load summary of another hall. @return The load of that hall's targets, to be applied like their load reports. */
	std::vector<ReportUpdate> OnMessage(const HallLoadMessage &message, TimePoint now);

private:
	/** @return The usage of accounts by the calls from this instance's hall; empty if no account has a name. */
	std::vector<AccountLoadSum> AccountSums() const;
	/** Apply the usage of accounts in \a message. */
	void ApplyAccountSums(const HallLoadMessage &message, TimePoint now);

	TargetTable &targets;                                           ///< Table of all targets.
	std::string own_hall;                                           ///< Hall of this instance.
	std::optional<Names> names;                                     ///< Names of pools and accounts, if their usage is exchanged.
	std::map<std::string, std::set<TargetNumber>> reported_targets; ///< Targets with load in the last summary of each other hall.
};

} // namespace cottonspool
