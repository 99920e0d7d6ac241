/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_leases.h Leases by which instances lend each other parts of a target's rate limit. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** Duration of a lease; it is requested again before it ends. */
constexpr Duration LEASE_TERM = std::chrono::seconds(2);

/** Interval between lease requests to the same owner. */
constexpr Duration LEASE_REQUEST_INTERVAL = std::chrono::milliseconds(500);

/** Share of the rate limit that an instance has, and what it needs itself. */
struct LendableShare {
	uint32_t max_requests = 0; ///< Its share: requests per window.
	uint32_t sent = 0;         ///< Requests that it has sent itself during the last window.
	uint32_t own_demand = 0;   ///< Requests per window that its own callers could use.
	Duration window{0};        ///< Length of a window.
};

/** Request for a lease of a part of another instance's share. */
struct LeaseRequest {
	std::string owner;   ///< Instance that owns the share.
	uint64_t number = 0; ///< Number of the lease request.
	uint32_t wanted = 0; ///< Requested part, in requests per window.
};

/**
 * Parts of one target's rate limit that this instance has lent and borrowed. The total never exceeds the limit, even if messages are lost
 * or delayed, the network is partitioned or instances restart: an owner lends only what it has not used during the last window, and counts
 * a lent part as used until one window after the lease has ended. The borrower counts the lease from its request, so it stops earlier.
 * Clocks need not be synchronised, and nothing has to be returned.
 */
class LimitLeases {
public:
	/**
	 * Grants \a borrower a lease if possible.
	 * @param wanted Requests per window that it requests.
	 * @param source Share of this instance.
	 * @return Requests per window that it may send during LEASE_TERM.
	 */
	uint32_t Lend(const std::string &borrower, uint32_t wanted, LendableShare source, TimePoint now);

	/** @return Requests per window of this instance's share that others may send, or may have sent. */
	uint32_t Lent(TimePoint now) const;

	/**
	 * @return Whether \a demand exceeds \a allowance by enough to request leases. Small excess is ignored, as it occurs at random under
	 * evenly spread load, and a lent part is unavailable to its owner for at least a window.
	 */
	static bool NeedsMore(uint32_t demand, uint32_t allowance) { return demand > 2 * allowance; }

	/**
	 * Builds the lease requests that are due.
	 * @param demand Requests per window that this instance could use.
	 * @param allowance Requests per window that it may send now.
	 */
	std::vector<LeaseRequest> BuildRequests(const std::vector<std::string> &owners, uint32_t demand, uint32_t allowance, TimePoint now);

	/** Handles the answer of \a owner to request \a number; answers that arrive out of order are ignored. */
	void OnGranted(const std::string &owner, uint64_t number, uint32_t granted);

	/** @return Requests per window that this instance may send from the shares of other instances. */
	uint32_t Borrowed(TimePoint now) const;

	/** Discards all borrowed parts. */
	void DropBorrowed() { this->borrowed.clear(); }

private:
	/** A lent part that counts as used. */
	struct Reservation {
		uint32_t count = 0; ///< Requests per window.
		TimePoint until;    ///< One window after the end of the lease.
	};

	/** Instance that borrows from this one. */
	struct Borrower {
		std::vector<Reservation> reserved; ///< Parts that it may use or may have used; they overlap, so only the largest counts.
		uint32_t wanted = 0;               ///< Requests per window in its last lease request.
		TimePoint last_requested;          ///< Time of its last lease request.

		/** @return Requests per window that count as used by this borrower. */
		uint32_t Count(TimePoint now) const;
	};

	/** Lease granted by one owner. */
	struct Lease {
		uint32_t count = 0;                    ///< Requests per window.
		TimePoint until;                       ///< End of the lease.
		uint64_t last_answered = 0;            ///< Number of the last request that was answered.
		uint64_t number = 0;                   ///< Number of the last request.
		TimePoint last_requested;              ///< Time of the last request.
		std::map<uint64_t, TimePoint> pending; ///< Unanswered requests with the time at which each was sent.
	};

	std::map<std::string, Borrower> borrowers; ///< Instances that borrow from this one, by name.
	std::map<std::string, Lease> borrowed;     ///< Leases by owner.
	uint64_t last_number = 0;                  ///< Number of the last lease request.
};

} // namespace cottonspool
