/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call.cpp Base class of the calls that an instance handles for callers. */

#include "instance/call_base.h"
#include "instance/completion_request.h"
#include "instance/instance.h"
#include "metrics/log.h"
#include <cmath>

namespace cottonspool {

Call::Call(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name, std::string account_name)
    : instance(instance), exchange(std::move(exchange)), spec(std::move(spec)), request_name(std::move(request_name)),
      account_name(std::move(account_name))
{
}

void Call::Begin()
{
	this->InstallCloseHandler();
	if (!this->spec.repeatable && !this->instance.IsConfigurationFresh()) {
		return this->Fail({503, "configuration-stale",
		                   "the configuration could not be confirmed recently; requests that must not be repeated are rejected meanwhile",
		                   ExecutionState::No, this->instance.settings.dispatch.retry_after_min});
	}
	if (this->idempotency_key.empty()) return this->Submit();
	this->BeginClaim();
}

void Call::InstallCloseHandler()
{
	std::weak_ptr<Call> weak = this->weak_from_this();
	this->exchange->on_closed = [weak] {
		auto call = weak.lock();
		if (!call || call->concluded) return;
		call->Trace("caller disconnected");
		if (!call->spec.repeatable && call->sent) return; // Let it finish, as its result is recorded in the claim.
		call->concluded = true;
		call->OnCallerDisconnected();
		if (call->submitted && !call->sent) call->instance.dispatcher.CancelWaiting(call->spec.id);
		if (!call->outcome_unknown) call->SettleClaim(ExecutionState::No, 0, "", "");
		call->instance.metrics.Count("cottonspool_callers_gone_total");
		call->instance.OnCallFinished(call->spec.id);
	};
}

void Call::BeginClaim()
{
	this->claim_nonce = this->instance.NewNonce();
	std::weak_ptr<Call> weak = this->weak_from_this();
	std::string key = this->idempotency_key;
	std::string nonce = this->claim_nonce;
	Instance &call_instance = this->instance;
	auto done = [weak, key, nonce, &call_instance](ClaimStep step, const ClaimRow &row) {
		auto call = weak.lock();
		if (!call || call->concluded) {
			if (step != ClaimStep::Proceed) return;
			ClaimRow released = row;
			released.state = ClaimState::Released;
			call_instance.claims.Settle(key, std::move(released));
			return;
		}
		call->Trace("claim: " + std::string(step == ClaimStep::Proceed ? "ours" : "not ours"));
		Duration retry_delay = call_instance.settings.dispatch.retry_after_min;
		switch (step) {
		case ClaimStep::Proceed:
			call->claim_version = row.version;
			call->request_hash = row.request_hash;
			return call->Submit();
		case ClaimStep::Replay: {
			HttpHeaders headers{{"Cottonspool-Ran", "yes"}, {"Cottonspool-Replayed", "yes"}, {"content-type", row.content_type}};
			call->exchange->Respond(row.status, headers, row.body);
			return call->Conclude(ExecutionState::Yes, row.status, row.content_type, row.body);
		}
		case ClaimStep::Mismatch:
			return call->Fail({422, "key-reused", "this Idempotency-Key was used for another request", ExecutionState::No, std::nullopt});
		case ClaimStep::Busy:
			return call->Fail({409, "key-in-use", "an earlier request with this Idempotency-Key has no recorded result",
			                   ExecutionState::Unknown, retry_delay});
		default:
			return call->Fail({503, "table-unavailable", "the platform's table is unreachable; the request was not sent",
			                   ExecutionState::No, 4 * retry_delay});
		}
	};
	this->instance.claims.Acquire(this->idempotency_key, this->claim_nonce, this->request_hash, done);
}

void Call::Submit()
{
	this->submitted = true;
	TimePoint now = MonotonicNow();
	// The time spent on the claim does not count against the deadline.
	Duration waited = now - this->spec.arrived;
	if (waited > std::chrono::milliseconds(1)) this->spec.deadline += waited;
	this->instance.Execute(this->instance.dispatcher.Submit(this->spec, now));
}

void Call::OnReject(const RejectAction &action)
{
	ExecutionState ran = this->CurrentExecutionState();
	int status = action.reason == RejectReason::QueueFull ? 429 : 503;
	this->instance.metrics.Count(std::string("cottonspool_refused_total{reason=\"") + RejectReasonName(action.reason) + "\"}");
	this->sent = false;
	this->Fail({status, RejectReasonName(action.reason), "the instance rejected the request before a target answered it", ran,
	            action.retry_after});
}

void Call::OnTick(TimePoint)
{
	if (this->concluded || this->exchange->IsStarted() || !this->exchange->IsCallerDisconnected()) return;
	auto closed = this->exchange->on_closed;
	if (closed) closed();
}

void Call::Trace(std::string text)
{
	this->instance.traces.Add(this->request_name, MonotonicNow(), std::move(text));
}

void Call::TraceLoss(const std::string &target, const std::string &what, const std::string &cause)
{
	Log(LogLevel::Info, "answer-lost", {{"request", this->request_name}, {"target", target}, {"what", what}, {"cause", cause}});
	this->Trace(what + ": " + cause);
}

void Call::FinishSend(SendOutcome end)
{
	this->sent = false;
	this->instance.Execute(this->instance.dispatcher.OnSendEnded(this->spec.id, end, MonotonicNow()));
}

void Call::Fail(const CallFailure &failure)
{
	if (this->concluded) return;
	HttpHeaders headers{{"content-type", "application/json"},
	                    {"Cottonspool-Ran", ExecutionStateName(failure.ran)},
	                    {"Cottonspool-Request", this->request_name}};
	if (failure.retry_after) {
		headers.push_back({"Retry-After", std::to_string(static_cast<int>(std::ceil(Seconds(*failure.retry_after))))});
	}
	this->Trace("answered " + std::to_string(failure.status) + " " + failure.reason + " ran=" + ExecutionStateName(failure.ran));
	std::string body = FormatFailureBody(failure, this->request_name);
	this->exchange->Respond(failure.status, headers, body);
	this->Conclude(failure.ran, failure.status, "application/json", "");
}

void Call::Conclude(ExecutionState ran, int status, const std::string &content_type, const std::string &body)
{
	if (this->concluded) return;
	this->concluded = true;
	this->exchange->on_closed = nullptr;
	this->instance.metrics.Count(std::string("cottonspool_answers_total{ran=\"") + ExecutionStateName(ran) + "\"}");
	this->SettleClaim(ran, status, content_type, body);
	this->instance.OnCallFinished(this->spec.id);
}

void Call::SettleClaim(ExecutionState ran, int status, const std::string &content_type, const std::string &body)
{
	if (this->claim_version.empty() || ran == ExecutionState::Unknown) return;
	ClaimRow row{.state = ran == ExecutionState::Yes ? ClaimState::Done : ClaimState::Released, .nonce = this->claim_nonce};
	row.request_hash = this->request_hash;
	row.version = this->claim_version;
	row.status = status;
	row.content_type = content_type;
	row.body = body;
	this->claim_version.clear();
	this->instance.claims.Settle(this->idempotency_key, std::move(row));
}

} // namespace cottonspool
