/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim_store.h Claims of calls with an idempotency key, stored in the platform's table. */

#pragma once

#include "decision/claim.h"
#include "platform/platform_base.h"
#include <deque>

namespace cottonspool {

/** Acquires and settles claims. A claim makes sure that a request with an idempotency key is executed at most once. */
class ClaimStore {
public:
	/** Gets the final step of an acquisition (Proceed, Replay, Busy, Mismatch or Refuse) and the row. */
	using ClaimDone = std::function<void(ClaimStep, const ClaimRow &)>;

	explicit ClaimStore(Platform &platform) : platform(platform) {}

	/** Acquire the claim \a key for the request with \a request_hash. @param nonce Unique to this attempt. */
	void Acquire(const std::string &key, const std::string &nonce, uint64_t request_hash, ClaimDone done);

	/** Write the result of a claim to the row \a key: Done with the answer, or Released. Retried until the table answers. */
	void Settle(const std::string &key, ClaimRow row);

	/** Retry pending settlements; to be called about once a second. */
	void OnTick();

	/** @return Number of settlements not yet written. */
	size_t Unsettled() const { return this->unsettled.size() + this->settles_in_flight; }

	static constexpr size_t MAX_RECORDED_BODY_BYTES = 64U
	                                                  << 10; ///< Largest recorded answer, in bytes; the body of a larger one is omitted.

private:
	/** One result to be written. */
	struct Settlement {
		std::string key; ///< Key of the row.
		ClaimRow row;    ///< Row to write.
		int tries = 0;   ///< Attempts so far.
	};

	/** Execute the next step of an acquisition. */
	void Advance(const std::string &key, const std::shared_ptr<Claim> &claim, const ClaimDone &done);
	/** Find the row's version if it is unknown, then write the settlement. */
	void TrySettle(Settlement settlement);
	void WriteSettlement(Settlement settlement, const std::string &version);

	static constexpr size_t MAX_UNSETTLED = 8192; ///< Most settlements kept for a retry; beyond it the oldest is dropped.
	static constexpr int MAX_TRIES = 600;         ///< Most attempts for one settlement.

	Platform &platform;               ///< Access to the table.
	std::deque<Settlement> unsettled; ///< Settlements to be retried.
	size_t settles_in_flight = 0;     ///< Settlements being written.
};

/** @return \a row in its stored form. */
std::string FormatClaim(const ClaimRow &row);

/** Parse a stored claim. A malformed one counts as taken by another request. */
ClaimRow ParseClaim(const std::string &text, const std::string &version);

} // namespace cottonspool
