/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim_store.h Claims of calls that must not be repeated, in the platform's table. */

#pragma once

#include "decision/claim.h"
#include "platform/platform_base.h"
#include <deque>

namespace cottonspool {

/** Makes and settles claims. Only calls with an idempotency key cost table writes. */
class ClaimStore {
public:
	/** Gets the end of a claim: Proceed, Replay, Busy, Mismatch or Refuse, with the row. */
	using ClaimDone = std::function<void(ClaimStep, const ClaimRow &)>;

	explicit ClaimStore(Platform &platform) : platform(platform) {}

	/** Claim \a key with \a nonce for the request with \a request_hash. */
	void Acquire(const std::string &key, const std::string &nonce, uint64_t request_hash, ClaimDone done);

	/** Record what became of the claim \a nonce of \a key: Done with its answer, or Released. Tried until the table answers. */
	void Settle(const std::string &key, ClaimRow row);

	/** Try again what could not be settled; to be called about once a second. */
	void OnTick();

	/** @return Claims that could not be settled yet. */
	size_t Unsettled() const { return this->unsettled.size() + this->settles_in_flight; }

	static constexpr size_t MAX_RECORDED_BODY_BYTES = 64U << 10; ///< Largest answer recorded; a larger one is recorded without its body.

private:
	/** A claim to settle. */
	struct Settlement {
		std::string key; ///< Key of the row.
		ClaimRow row;    ///< Row to write.
		int tries = 0;   ///< Tries so far.
	};

	void Advance(const std::string &key, const std::shared_ptr<Claim> &claim, const ClaimDone &done);
	void TrySettle(Settlement settlement);
	void WriteSettlement(Settlement settlement, const std::string &version);

	static constexpr size_t MAX_UNSETTLED = 8192; ///< Claims remembered for settling; the oldest is dropped beyond.
	static constexpr int MAX_TRIES = 600;         ///< Most tries to settle one claim.

	Platform &platform;               ///< Table.
	std::deque<Settlement> unsettled; ///< To be tried again.
	size_t settles_in_flight = 0;     ///< Being tried.
};

/** @return \a row as written to the table. */
std::string FormatClaim(const ClaimRow &row);

/** Read a claim's row; anything unreadable counts as taken by another. */
ClaimRow ParseClaim(const std::string &text, const std::string &version);

} // namespace cottonspool
