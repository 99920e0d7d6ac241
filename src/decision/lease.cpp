/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lease.cpp One hall's lease for orders to targets. */

#include "decision/lease.h"

namespace cottonspool {

LeaseStep Lease::Next(TimePoint now) const
{
	if (this->resigned) return LeaseStep::Nothing;
	if (!this->seen || this->doubtful) return LeaseStep::Read;
	bool mine = this->row.holder == this->holder;
	if (this->Held(now)) return now - this->last_look >= this->length / RENEW_PARTS ? LeaseStep::Write : LeaseStep::Nothing;
	if (now - this->last_look < this->length / RENEW_PARTS) return LeaseStep::Nothing;
	bool free = this->row.version.empty() || mine || now - this->row_since >= this->length;
	return free ? LeaseStep::Write : LeaseStep::Read;
}

LeaseRow Lease::Proposal(uint64_t nonce) const
{
	return LeaseRow{this->holder, this->row.epoch + 1, nonce, this->row.version};
}

void Lease::OnRead(const LeaseRow &read, TimePoint now)
{
	bool changed = !this->seen || read.version != this->row.version;
	if (changed) this->row_since = now;
	this->seen = true;
	this->last_look = now;
	this->row = read;
	if (!this->doubtful) return;
	this->doubtful = false;
	if (read.nonce != this->pending_nonce || read.holder != this->holder) return;
	if (!this->Held(now)) this->held_since = now;
	this->held_until = this->pending_sent + this->length - this->length / MARGIN_PARTS;
}

void Lease::OnWritten(const LeaseRow &written, WriteResult result, const std::string &version, TimePoint sent_at, TimePoint now)
{
	this->last_look = now;
	if (result == WriteResult::Done) {
		if (!this->Held(now)) this->held_since = now;
		this->row = written;
		this->row.version = version;
		this->row_since = now;
		this->held_until = sent_at + this->length - this->length / MARGIN_PARTS;
		return;
	}
	if (result == WriteResult::NotDone) return;
	this->doubtful = true;
	this->pending_nonce = result == WriteResult::Unknown ? written.nonce : 0;
	this->pending_sent = sent_at;
}

} // namespace cottonspool
