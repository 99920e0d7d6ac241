/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lease.h One hall's lease for orders to targets, kept in a row of the platform's table. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cottonspool {

/** What the lease's row says. */
struct LeaseRow {
	std::string holder;  ///< Instance and its incarnation.
	uint64_t epoch = 0;  ///< Grows with each new holder; the fence of its orders.
	uint64_t nonce = 0;  ///< Differs with each write.
	std::string version; ///< The table's version of the row; empty when there is none.
};

/** What to do next with the row. */
enum class LeaseStep : uint8_t { Nothing, Read, Write };

/** Result of a conditional write to the table. */
enum class WriteResult : uint8_t {
	Done,     ///< It took effect.
	Conflict, ///< The condition did not hold: nothing was written.
	NotDone,  ///< It was not sent: nothing was written.
	Unknown,  ///< It may or may not have taken effect, or may still.
};

/**
 * Decides when to read and write the row, and whether the lease is held.
 * A holder counts its time from before it sent the write that renewed; a candidate waits until it has seen the row
 * unchanged for a whole lease by its own clock. So the old holder has stopped before a new one begins, as long as their
 * clocks run at nearly the same speed.
 */
class Lease {
public:
	Lease(std::string holder, Duration length) : holder(std::move(holder)), length(length) {}

	/** @return What to do at \a now; the shell then calls OnRead() or OnWritten(). */
	LeaseStep Next(TimePoint now) const;

	/** @return The row to write when Next() said Write. */
	LeaseRow Proposal(uint64_t nonce) const;

	/** The row was read; an empty version means that there is none. */
	void OnRead(const LeaseRow &row, TimePoint now);

	/** The write of \a row sent at \a sent_at came to \a result. */
	void OnWritten(const LeaseRow &row, WriteResult result, const std::string &version, TimePoint sent_at, TimePoint now);

	/** @return Whether the lease is held at \a now; to be asked right before each order. */
	bool Held(TimePoint now) const { return now < this->held_until; }

	/** @return When this instance became the holder. */
	TimePoint Since() const { return this->held_since; }

	/** @return The epoch of the row last seen or written. */
	uint64_t Epoch() const { return this->row.epoch; }

	/** @return The holder last seen. */
	const std::string &Holder() const { return this->row.holder; }

	/** Give the lease up; it runs out on its own. */
	void Resign()
	{
		this->held_until = TimePoint{};
		this->resigned = true;
	}

private:
	static constexpr int RENEWALS_PER_LEASE = 3;     ///< Renewals in a lease's length.
	static constexpr int SAFETY_MARGIN_DIVISOR = 10; ///< Part of the length that the holder leaves unused at the end.

	std::string holder;           ///< This instance and its incarnation.
	Duration length;              ///< Length of the lease.
	LeaseRow row;                 ///< Row as last seen.
	bool has_seen_row = false;    ///< A row, or its absence, was seen.
	bool outcome_unknown = false; ///< The last write's result is unknown: read before anything else.
	TimePoint row_since;          ///< Since when the row has been seen unchanged.
	TimePoint last_access;        ///< When the row was last read or written.
	TimePoint held_until;         ///< End of the lease, less the margin.
	TimePoint held_since;         ///< When it was won.
	uint64_t pending_nonce = 0;   ///< Nonce of a write in doubt.
	TimePoint pending_sent_at;    ///< When the write in doubt was sent.
	bool resigned = false;        ///< No longer wanted.
};

} // namespace cottonspool
