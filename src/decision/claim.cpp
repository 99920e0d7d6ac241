/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim.cpp Implementation of the claim on a non-repeatable call. */

#include "decision/claim.h"

namespace cottonspool {

void Claim::Retry(ClaimStep next)
{
	this->step = ++this->failed_attempts >= MAX_FAILED_ATTEMPTS ? ClaimStep::Refuse : next;
}

void Claim::OnWritten(WriteResult result, const std::string &version)
{
	switch (result) {
	case WriteResult::Done:
		this->row = this->Proposal();
		this->row.version = version;
		this->step = ClaimStep::Proceed;
		return;
	case WriteResult::Conflict:
		this->step = ClaimStep::Read;
		return;
	case WriteResult::NotDone:
		this->step = this->write_outcome_unknown ? ClaimStep::Read : ClaimStep::Refuse;
		return;
	case WriteResult::Unknown:
		this->write_outcome_unknown = true;
		this->Retry(ClaimStep::Read);
		return;
	}
}

void Claim::OnRead(const std::optional<ClaimRow> &read)
{
	if (!read) return this->Retry(ClaimStep::Read);
	if (read->version.empty()) return this->Retry(ClaimStep::Insert);
	this->row = *read;
	if (read->request_hash != this->request_hash) {
		this->step = ClaimStep::Mismatch;
	} else if (read->state == ClaimState::Done) {
		this->step = ClaimStep::Replay;
	} else if (read->state == ClaimState::Released) {
		this->Retry(ClaimStep::Replace);
	} else {
		this->step = read->nonce == this->nonce ? ClaimStep::Proceed : ClaimStep::Busy;
	}
}

} // namespace cottonspool
