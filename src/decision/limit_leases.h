/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_leases.h Parts of a target's limit that instances lend each other, so that they are where the callers are. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** Time for which a part of a limit is lent; it is asked for again before. */
constexpr Duration LEASE_TERM = std::chrono::seconds(2);

/** Time between asks for the same part. */
constexpr Duration LEASE_REQUEST_INTERVAL = std::chrono::milliseconds(500);

/** What an instance has of which it may lend. */
struct LendableShare {
	uint32_t max_requests = 0; ///< Its own share: requests in a window.
	uint32_t sent = 0;         ///< Requests that it has sent itself in the last window.
	uint32_t own_demand = 0;   ///< Requests in a window that its own callers could use.
	Duration window{0};        ///< Length of a window.
};

/** An instance asks another one for a part of its share. */
struct LeaseRequest {
	std::string owner;   ///< Who is asked.
	uint64_t number = 0; ///< Number of the ask.
	uint32_t wanted = 0; ///< Requests in a window.
};

/**
 * What one instance has lent and borrowed of one target's limit. The sum over all instances holds whatever is lost, late, cut or
 * restarted: an owner lends only what it has not used in the last window, counts it as used until a window after the lease has ended, and
 * the borrower's lease ends earlier, as it counts from its ask. So no clocks have to agree, and nothing has to be given back.
 */
class LimitLeases {
public:
	/** \a borrower wants \a wanted requests in a window of what \a source is. @return What it gets for a term. */
	uint32_t Lend(const std::string &borrower, uint32_t wanted, LendableShare source, TimePoint now);

	/** @return Requests in a window that others may send, or may have sent, of this instance's share. */
	uint32_t Lent(TimePoint now) const;

	/**
	 * @return Whether \a demand is so much more than \a allowance that more is asked for. Where callers are spread evenly each has now and
	 * then some more than its share; what it borrowed then would lie idle at the owner for a window longer.
	 */
	static bool NeedsMore(uint32_t demand, uint32_t allowance) { return demand > 2 * allowance; }

	/** @return What to ask \a owners for, if \a demand requests in a window could be used and \a allowance may be sent. */
	std::vector<LeaseRequest> BuildRequests(const std::vector<std::string> &owners, uint32_t demand, uint32_t allowance, TimePoint now);

	/** \a owner has answered ask \a number with \a granted. An answer to an earlier ask than the last one answered changes nothing. */
	void OnGranted(const std::string &owner, uint64_t number, uint32_t granted);

	/** @return Requests in a window that this instance may send of others' shares. */
	uint32_t Borrowed(TimePoint now) const;

	/** Use nothing any more of what was borrowed. */
	void DropBorrowed() { this->borrowed.clear(); }

private:
	/** A part that counts as used. */
	struct Reservation {
		uint32_t count = 0; ///< Requests in a window.
		TimePoint until;    ///< A window after the lease has ended.
	};

	/** One that borrows. */
	struct Borrower {
		std::vector<Reservation> reserved; ///< Parts that it may use or have used; they overlap, so the largest counts.
		uint32_t wanted = 0;               ///< What it wanted last.
		TimePoint last_requested;          ///< When.

		/** @return Requests in a window that count as used by it. */
		uint32_t Count(TimePoint now) const;
	};

	/** What is borrowed of one owner. */
	struct Lease {
		uint32_t count = 0;                    ///< Requests in a window.
		TimePoint until;                       ///< End.
		uint64_t last_answered = 0;            ///< Number of the ask that was answered last.
		uint64_t number = 0;                   ///< Number of the last ask.
		TimePoint last_requested;              ///< When it was made.
		std::map<uint64_t, TimePoint> pending; ///< Asks not yet answered, with when they were made.
	};

	std::map<std::string, Borrower> borrowers; ///< Those that borrow of this instance.
	std::map<std::string, Lease> borrowed;     ///< By owner.
	uint64_t last_number = 0;                  ///< Number of the last ask.
};

} // namespace cottonspool
