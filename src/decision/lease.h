/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lease.h Lease for a hall's orders to its targets, kept in a row of the platform's table. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cottonspool {

/** Content of the lease row. */
struct LeaseRow {
	std::string holder;  ///< Name and incarnation of the holding instance.
	uint64_t epoch = 0;  ///< Fencing token of the holder's orders; incremented by each write.
	uint64_t nonce = 0;  ///< Unique for each write.
	std::string version; ///< Version of the row in the table; empty if there is no row.
};

/** Next action for the lease row. */
enum class LeaseStep : uint8_t { Nothing, Read, Write };

/** Result of a conditional write to the table. */
enum class WriteResult : uint8_t {
	Done,     ///< The write took effect.
	Conflict, ///< The condition did not hold: nothing was written.
	NotDone,  ///< The request was not sent: nothing was written.
	Unknown,  ///< The write may have taken effect, or may still do so.
};

/**
 * Decides when to read and write the lease row, and whether this instance holds the lease. The holder counts the lease from the moment
 * before it sent the renewing write. A candidate waits until it has seen the row unchanged for the full duration of a lease on its own
 * clock. So the old holder has stopped before a new one starts, provided that both clocks run at nearly the same speed.
 */
class Lease {
public:
	Lease(std::string holder, Duration length) : holder(std::move(holder)), length(length) {}

	/** @return The action to take at \a now; the caller reports its result by OnRead() or OnWritten(). */
	LeaseStep Next(TimePoint now) const;

	/** @return The row to write if Next() returned Write. */
	LeaseRow Proposal(uint64_t nonce) const;

	/** Handles a read of the row; an empty version means that there is no row. */
	void OnRead(const LeaseRow &row, TimePoint now);

	/** Handles the \a result of writing \a row, which was sent at \a sent_at. */
	void OnWritten(const LeaseRow &row, WriteResult result, const std::string &version, TimePoint sent_at, TimePoint now);

	/** @return Whether this instance holds the lease at \a now; to be checked directly before each order. */
	bool Held(TimePoint now) const { return now < this->held_until; }

	/** @return The time at which this instance acquired the lease. */
	TimePoint Since() const { return this->held_since; }

	/** @return The fencing token of the row read or written last. */
	uint64_t Epoch() const { return this->row.epoch; }

	/** @return The holder in the row read or written last. */
	const std::string &Holder() const { return this->row.holder; }

	/** Stops using and renewing the lease; its row expires on its own. */
	void Resign()
	{
		this->held_until = TimePoint{};
		this->resigned = true;
	}

private:
	static constexpr int RENEWALS_PER_LEASE = 3;     ///< Number of renewals during the duration of a lease.
	static constexpr int SAFETY_MARGIN_DIVISOR = 10; ///< Divisor of the duration that gives the safety margin at the end of a lease.

	std::string holder;           ///< Name and incarnation of this instance.
	Duration length;              ///< Duration of the lease.
	LeaseRow row;                 ///< Row as read or written last.
	bool has_seen_row = false;    ///< The row, or its absence, has been read.
	bool outcome_unknown = false; ///< The outcome of the last write is unknown: read the row before anything else.
	TimePoint row_since;          ///< Time since which the row is unchanged.
	TimePoint last_access;        ///< Time of the last read or write.
	TimePoint held_until;         ///< End of the lease, minus the safety margin.
	TimePoint held_since;         ///< Time at which the lease was acquired.
	uint64_t pending_nonce = 0;   ///< Nonce of the write whose outcome is unknown.
	TimePoint pending_sent_at;    ///< Time at which that write was sent.
	bool resigned = false;        ///< The lease is no longer wanted.
};

} // namespace cottonspool
