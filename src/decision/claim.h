/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim.h Claim on a non-repeatable call: at most one instance executes the call. */

#pragma once

#include "decision/lease.h"
#include <optional>

namespace cottonspool {

/** State of a claim row. */
enum class ClaimState : uint8_t {
	Taken,    ///< The holder may send the call or has sent it.
	Done,     ///< The call was executed and its answer is recorded.
	Released, ///< The holder has not sent the call and will not send it under this claim.
};

/** Content of a claim row. */
struct ClaimRow {
	ClaimState state = ClaimState::Taken; ///< State of the claim.
	std::string nonce;                    ///< Unique for each attempt of each instance.
	uint64_t request_hash = 0;            ///< Hash of the request, to reject an idempotency key that is reused for a different request.
	int status = 0;                       ///< Recorded HTTP status, if Done.
	std::string content_type;             ///< Recorded content type, if Done.
	std::string body;                     ///< Recorded answer, if Done.
	std::string version;                  ///< Version of the row in the table; empty if there is no row.
};

/** Next action for a claim. */
enum class ClaimStep : uint8_t {
	Insert,   ///< Insert Proposal() if there is no row.
	Replace,  ///< Replace the released row by Proposal().
	Read,     ///< Read the row.
	Proceed,  ///< This instance holds the claim: the call may be sent once.
	Replay,   ///< The call was executed earlier: replay the answer recorded in Row().
	Busy,     ///< Another instance holds the claim and has not recorded an answer: the outcome is unknown.
	Mismatch, ///< The key was used for a different request: reject the call.
	Refuse,   ///< The table cannot be reached: reject the call without executing it.
};

/** State machine that acquires a claim. It is safe if write results get lost: a row counts as acquired only if it holds our nonce. */
class Claim {
public:
	Claim(std::string nonce, uint64_t request_hash) : nonce(std::move(nonce)), request_hash(request_hash) {}

	/** @return The action to take now. */
	ClaimStep Step() const { return this->step; }

	/** @return The row to write. */
	ClaimRow Proposal() const { return ClaimRow{.nonce = this->nonce, .request_hash = this->request_hash}; }

	/** Handles the \a result of a write; \a version is the version of the written row. */
	void OnWritten(WriteResult result, const std::string &version);

	/** Handles a read of the row: nothing if the table did not answer, an empty version if there is no row. */
	void OnRead(const std::optional<ClaimRow> &row);

	/** @return The row read last, or our own row with its version. */
	const ClaimRow &Row() const { return this->row; }

	/** @return Whether our row may exist although the call was rejected, so that it has to be released later. */
	bool NeedsRelease() const { return this->step == ClaimStep::Refuse && this->write_outcome_unknown; }

private:
	void Retry(ClaimStep next);

	static constexpr int MAX_FAILED_ATTEMPTS = 4; ///< Maximum number of attempts without progress.

	std::string nonce;                  ///< Our nonce.
	uint64_t request_hash;              ///< Hash of our request.
	ClaimStep step = ClaimStep::Insert; ///< Action to take now.
	ClaimRow row;                       ///< Row as read last.
	int failed_attempts = 0;            ///< Attempts without progress.
	bool write_outcome_unknown = false; ///< A write with unknown outcome was sent.
};

} // namespace cottonspool
