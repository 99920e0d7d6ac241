/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_base.h One caller's request in an instance: what all kinds share. */

#pragma once

#include "decision/dispatcher.h"
#include "http/http_server.h"
#include <memory>

namespace cottonspool {

class Instance;

/** A refusal or an error as told to the caller. */
struct CallFailure {
	int status = 503;                        ///< HTTP status.
	std::string reason;                      ///< Short name of the reason.
	std::string message;                     ///< What was wrong, and what would be allowed.
	ExecutionState ran = ExecutionState::No; ///< Whether the request was run.
	std::optional<Duration> retry_after;     ///< When coming back helps.
};

/** One caller's request from its arrival to its final answer. */
class Call : public std::enable_shared_from_this<Call> {
public:
	Call(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name, std::string account_name);
	virtual ~Call() = default;

	/** Begin: claim if need be, then hand it to the dispatcher. */
	void Begin();

	/** The dispatcher says: send it. */
	virtual void OnSend(const SendAction &action) = 0;

	/** The dispatcher says: give it up. */
	void OnReject(const RejectAction &action);

	/** Some time has passed. */
	virtual void OnTick(TimePoint now);

	/** @return Whether the final answer has been given, or the caller is gone. */
	bool IsConcluded() const { return this->concluded; }

	/** @return What the dispatcher knows of it. */
	const CallSpec &Spec() const { return this->spec; }

	std::string idempotency_key; ///< Key under which it may run once; empty means none.
	uint64_t request_hash = 0;   ///< Hash of the request, bound to the key.

protected:
	/** Answer with a failure, if no answer has begun. */
	void Fail(const CallFailure &failure);

	/** The final answer has been given: forget the call and settle its claim. */
	void Conclude(ExecutionState ran, int status, const std::string &content_type, const std::string &body);

	/** The caller went away: let go of everything. */
	virtual void OnCallerDisconnected() = 0;

	/** Note a step for `explain`. */
	void Trace(std::string text);

	/** Tell the dispatcher how the send ended, and carry out what it decides. */
	void FinishSend(SendOutcome end);

	/** A send ended in doubt: no later refusal may say that it was not run. */
	void MarkOutcomeUnknown() { this->outcome_unknown = true; }

	/** @return "no" unless an earlier send ended in doubt. */
	ExecutionState CurrentExecutionState() const { return this->outcome_unknown ? ExecutionState::Unknown : ExecutionState::No; }

	Instance &instance;                     ///< Instance.
	std::shared_ptr<HttpExchange> exchange; ///< Caller.
	CallSpec spec;                          ///< For the dispatcher.
	std::string request_name;               ///< Name of the request, told to the caller and to targets.
	std::string account_name;               ///< Client account.
	bool submitted = false;                 ///< The dispatcher has it.
	bool sent = false;                      ///< A target has, or may have, got it.
	bool concluded = false;                 ///< Final answer given, or caller gone.
	bool outcome_unknown = false;           ///< Some send ended in doubt.
	TimePoint sent_at;                      ///< When it was last sent.

private:
	void BeginClaim();
	void Submit();
	void InstallCloseHandler();

	/** Record what became of our claim, if there is one and it is known. */
	void SettleClaim(ExecutionState ran, int status, const std::string &content_type, const std::string &body);

	std::string claim_version; ///< Version of our claim's row; empty when there is none.
	std::string claim_nonce;   ///< Nonce of our claim.
};

} // namespace cottonspool
