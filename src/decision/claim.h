/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim.h The claim that lets at most one instance run a call that must not be repeated. */

#pragma once

#include "decision/lease.h"
#include <optional>

namespace cottonspool {

/** State of a claim's row. */
enum class ClaimState : uint8_t {
	Taken,    ///< Somebody may send, or has sent.
	Done,     ///< It ran and its answer is recorded.
	Released, ///< Certain: it was not sent and will not be under this claim.
};

/** What a claim's row says. */
struct ClaimRow {
	ClaimState state = ClaimState::Taken; ///< State.
	std::string nonce;                    ///< Differs with each try of each instance.
	uint64_t request_hash = 0;            ///< Hash of the request, to refuse a key used for another one.
	int status = 0;                       ///< Recorded status, when Done.
	std::string content_type;             ///< Recorded type, when Done.
	std::string body;                     ///< Recorded answer, when Done.
	std::string version;                  ///< The table's version of the row; empty when there is none.
};

/** What to do next about a claim. */
enum class ClaimStep : uint8_t {
	Insert,   ///< Insert Proposal() if there is no row.
	Replace,  ///< Replace the released row by Proposal().
	Read,     ///< Read the row.
	Proceed,  ///< The claim is ours: the call may be sent, once.
	Replay,   ///< It ran before: answer what is recorded in Row().
	Busy,     ///< Another holds it and has recorded nothing: answer `unknown`.
	Mismatch, ///< The key was used for another request: refuse.
	Refuse,   ///< The table cannot be reached: refuse, not run.
};

/** Decides the way to a claim, one step at a time. Safe under lost answers: a row is ours only if it shows our nonce. */
class Claim {
public:
	Claim(std::string nonce, uint64_t request_hash) : nonce(std::move(nonce)), request_hash(request_hash) {}

	/** @return What to do now. */
	ClaimStep Step() const { return this->step; }

	/** @return The row to write. */
	ClaimRow Proposal() const { return ClaimRow{.nonce = this->nonce, .request_hash = this->request_hash}; }

	/** A write came to \a result. */
	void OnWritten(WriteResult result, const std::string &version);

	/** The row was read; nothing when the table did not answer, an empty version when there is no row. */
	void OnRead(const std::optional<ClaimRow> &row);

	/** @return The row last seen, or ours with its version. */
	const ClaimRow &Row() const { return this->row; }

	/** @return Whether a row with our nonce may exist although the call was refused: to be released later. */
	bool NeedsRelease() const { return this->step == ClaimStep::Refuse && this->wrote; }

private:
	void Retry(ClaimStep next);

	static constexpr int MAX_TRIES = 4; ///< Most steps that bring nothing.

	std::string nonce;                  ///< Our nonce.
	uint64_t request_hash;              ///< Hash of our request.
	ClaimStep step = ClaimStep::Insert; ///< What to do now.
	ClaimRow row;                       ///< Row as last seen.
	int tries = 0;                      ///< Steps that brought nothing.
	bool wrote = false;                 ///< A write of ours may take effect.
};

} // namespace cottonspool
