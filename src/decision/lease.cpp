/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lease.cpp Implementation of the lease for a hall's orders to its targets. */

#include "decision/lease.h"

namespace cottonspool {

LeaseStep Lease::Next(TimePoint now) const
{
	if (this->resigned) return LeaseStep::Nothing;
	if (!this->has_seen_row || this->outcome_unknown) return LeaseStep::Read;
	bool is_holder = this->row.holder == this->holder;
	if (this->Held(now)) return now - this->last_access >= this->length / RENEWALS_PER_LEASE ? LeaseStep::Write : LeaseStep::Nothing;
	if (now - this->last_access < this->length / RENEWALS_PER_LEASE) return LeaseStep::Nothing;
	bool is_free = this->row.version.empty() || is_holder || now - this->row_since >= this->length;
	return is_free ? LeaseStep::Write : LeaseStep::Read;
}

LeaseRow Lease::Proposal(uint64_t nonce) const
{
	return LeaseRow{this->holder, this->row.epoch + 1, nonce, this->row.version};
}

void Lease::OnRead(const LeaseRow &read, TimePoint now)
{
	bool changed = !this->has_seen_row || read.version != this->row.version;
	if (changed) this->row_since = now;
	this->has_seen_row = true;
	this->last_access = now;
	this->row = read;
	if (!this->outcome_unknown) return;
	this->outcome_unknown = false;
	if (read.nonce != this->pending_nonce || read.holder != this->holder) return;
	if (!this->Held(now)) this->held_since = now;
	this->held_until = this->pending_sent_at + this->length - this->length / SAFETY_MARGIN_DIVISOR;
}

void Lease::OnWritten(const LeaseRow &written, WriteResult result, const std::string &version, TimePoint sent_at, TimePoint now)
{
	this->last_access = now;
	if (result == WriteResult::Done) {
		if (!this->Held(now)) this->held_since = now;
		this->row = written;
		this->row.version = version;
		this->row_since = now;
		this->held_until = sent_at + this->length - this->length / SAFETY_MARGIN_DIVISOR;
		return;
	}
	if (result == WriteResult::NotDone) return;
	this->outcome_unknown = true;
	this->pending_nonce = result == WriteResult::Unknown ? written.nonce : 0;
	this->pending_sent_at = sent_at;
}

} // namespace cottonspool
