/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_base.h Base class of the calls that an instance handles for callers. */

#pragma once

#include "decision/dispatcher.h"
#include "http/http_server.h"
#include <memory>

namespace cottonspool {

class Instance;

/** A rejection or an error as it is answered to the caller. */
struct CallFailure {
	int status = 503;                        ///< HTTP status.
	std::string reason;                      ///< Machine-readable error type.
	std::string message;                     ///< Explanation for the caller.
	ExecutionState ran = ExecutionState::No; ///< Whether the request was executed.
	std::optional<Duration> retry_after;     ///< Delay for the Retry-After header; none omits it.
};

/** One caller's request, from its arrival to its final answer. */
class Call : public std::enable_shared_from_this<Call> {
public:
	Call(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name, std::string account_name);
	virtual ~Call() = default;

	/** Acquire the claim if the call has an idempotency key, then submit the call to the dispatcher. */
	void Begin();

	/** The dispatcher has assigned a target: send the request there. */
	virtual void OnSend(const SendAction &action) = 0;

	/** The dispatcher has rejected the call: answer the caller with the reason. */
	void OnReject(const RejectAction &action);

	/** Do periodic work; called for every open call by the instance's timer. */
	virtual void OnTick(TimePoint now);

	/** @return Whether the final answer was given or the caller disconnected. */
	bool IsConcluded() const { return this->concluded; }

	/** @return The description submitted to the dispatcher. */
	const CallSpec &Spec() const { return this->spec; }

	std::string idempotency_key; ///< Row key of the claim that allows one execution; empty for calls without a claim.
	uint64_t request_hash = 0;   ///< Hash of the request; a key reused with another hash is refused.

protected:
	/** Answer with \a failure and conclude the call. */
	void Fail(const CallFailure &failure);

	/** Settle the claim and remove the call from the instance, after the final answer was given. */
	void Conclude(ExecutionState ran, int status, const std::string &content_type, const std::string &body);

	/** The caller disconnected: cancel the work at the target. */
	virtual void OnCallerDisconnected() = 0;

	/** Add a step to the call's trace, which `explain` shows. */
	void Trace(std::string text);

	/** Add to the trace, and log, that an answer of \a target was lost. @param what Which part is lost. */
	void TraceLoss(const std::string &target, const std::string &what, const std::string &cause);

	/** Report the end of the current send to the dispatcher and execute its decisions. */
	void FinishSend(SendOutcome end);

	/** Record that a send may have executed the request, so that no later rejection claims the opposite. */
	void MarkOutcomeUnknown() { this->outcome_unknown = true; }

	/** @return No, or Unknown if an earlier send may have executed the request. */
	ExecutionState CurrentExecutionState() const { return this->outcome_unknown ? ExecutionState::Unknown : ExecutionState::No; }

	Instance &instance;                     ///< Instance that handles the call.
	std::shared_ptr<HttpExchange> exchange; ///< HTTP request and answer.
	CallSpec spec;                          ///< Description for the dispatcher.
	std::string request_name;               ///< Request id that the caller and the targets see.
	std::string account_name;               ///< Client account.
	bool submitted = false;                 ///< The call was submitted to the dispatcher.
	bool sent = false;                      ///< A send is in progress.
	bool concluded = false;                 ///< The final answer was given, or the caller disconnected.
	bool outcome_unknown = false;           ///< An earlier send may have executed the request.
	TimePoint sent_at;                      ///< Time of the last send.

private:
	void BeginClaim();
	void Submit();
	void InstallCloseHandler();

	/** Record the result in the claim's row, if there is a claim and the result is known. */
	void SettleClaim(ExecutionState ran, int status, const std::string &content_type, const std::string &body);

	std::string claim_version; ///< Version of the claim's row; empty without a claim.
	std::string claim_nonce;   ///< Nonce that identifies this claim.
};

} // namespace cottonspool
