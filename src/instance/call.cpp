/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call.cpp Base class of the calls that an instance handles for callers. */

#include "instance/call_base.h"
#include "instance/completion_request.h"
#include "instance/instance.h"
#include <cmath>

namespace cottonspool {

Call::Call(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name, std::string account_name)
    : instance(instance), exchange(std::move(exchange)), spec(std::move(spec)), request_name(std::move(request_name)),
      account_name(std::move(account_name))
{
}

void Call::Begin()
{
	this->WatchCaller();
	if (!this->spec.repeatable && !this->instance.IsConfigurationFresh()) {
		return this->Fail({503, "configuration-stale",
		                   "the configuration could not be confirmed recently; requests that must not be repeated are rejected meanwhile",
		                   RanState::No, this->instance.settings.dispatch.retry_after_min});
	}
	if (this->idempotency_key.empty()) return this->Submit();
	this->BeginClaim();
}

void Call::WatchCaller()
{
	std::weak_ptr<Call> weak = this->weak_from_this();
	this->exchange->on_closed = [weak] {
		auto call = weak.lock();
		if (!call || call->over) return;
		call->Note("caller disconnected");
		if (!call->spec.repeatable && call->sent) return; // Let it finish, as its result is recorded in the claim.
		call->over = true;
		call->OnCallerGone();
		if (call->submitted && !call->sent) call->instance.dispatcher.Withdraw(call->spec.id);
		if (!call->doubtful) call->SettleClaim(RanState::No, 0, "", "");
		call->instance.metrics.Count("cottonspool_callers_gone_total");
		call->instance.OnCallOver(call->spec.id);
	};
}

void Call::BeginClaim()
{
	this->claim_nonce = this->instance.NewNonce();
	std::weak_ptr<Call> weak = this->weak_from_this();
	std::string key = this->idempotency_key;
	std::string nonce = this->claim_nonce;
	Instance &owner = this->instance;
	auto done = [weak, key, nonce, &owner](ClaimStep step, const ClaimRow &row) {
		auto call = weak.lock();
		if (!call || call->over) {
			if (step != ClaimStep::Proceed) return;
			ClaimRow released = row;
			released.state = ClaimState::Released;
			owner.claims.Settle(key, std::move(released));
			return;
		}
		call->Note("claim: " + std::string(step == ClaimStep::Proceed ? "ours" : "not ours"));
		Duration soon = owner.settings.dispatch.retry_after_min;
		switch (step) {
		case ClaimStep::Proceed:
			call->claim_version = row.version;
			call->request_hash = row.request_hash;
			return call->Submit();
		case ClaimStep::Replay: {
			HttpHeaders headers{{"Cottonspool-Ran", "yes"}, {"Cottonspool-Replayed", "yes"}, {"content-type", row.content_type}};
			call->exchange->Respond(row.status, headers, row.body);
			return call->Conclude(RanState::Yes, row.status, row.content_type, row.body);
		}
		case ClaimStep::Mismatch:
			return call->Fail({422, "key-reused", "this Idempotency-Key was used for another request", RanState::No, std::nullopt});
		case ClaimStep::Busy:
			return call->Fail(
			        {409, "key-in-use", "an earlier request with this Idempotency-Key has no recorded result", RanState::Unknown, soon});
		default:
			return call->Fail(
			        {503, "table-unavailable", "the platform's table is unreachable; the request was not sent", RanState::No, 4 * soon});
		}
	};
	this->instance.claims.Make(this->idempotency_key, this->claim_nonce, this->request_hash, done);
}

void Call::Submit()
{
	this->submitted = true;
	TimePoint now = MonotonicNow();
	// The time spent on the claim does not count against the deadline.
	Duration waited = now - this->spec.arrived;
	if (waited > std::chrono::milliseconds(1)) this->spec.deadline += waited;
	this->instance.Carry(this->instance.dispatcher.Submit(this->spec, now));
}

void Call::OnGiveUp(const GiveUpAction &action)
{
	RanState ran = this->RanSoFar();
	int status = action.reason == GiveUpReason::QueueFull ? 429 : 503;
	this->instance.metrics.Count(std::string("cottonspool_refused_total{reason=\"") + GiveUpReasonName(action.reason) + "\"}");
	this->sent = false;
	this->Fail({status, GiveUpReasonName(action.reason), "the request was abandoned before it was answered", ran, action.retry_after});
}

void Call::OnTick(TimePoint)
{
	if (this->over || this->exchange->IsStarted() || !this->exchange->IsCallerGone()) return;
	auto closed = this->exchange->on_closed;
	if (closed) closed();
}

void Call::Note(std::string text)
{
	this->instance.ring.Add(this->request_name, MonotonicNow(), std::move(text));
}

void Call::EndSend(SendEnd end)
{
	this->sent = false;
	this->instance.Carry(this->instance.dispatcher.OnSendEnded(this->spec.id, end, MonotonicNow()));
}

void Call::Fail(const CallFailure &failure)
{
	if (this->over) return;
	HttpHeaders headers{{"content-type", "application/json"},
	                    {"Cottonspool-Ran", RanStateName(failure.ran)},
	                    {"Cottonspool-Request", this->request_name}};
	if (failure.retry_after) {
		headers.push_back({"Retry-After", std::to_string(static_cast<int>(std::ceil(Seconds(*failure.retry_after))))});
	}
	this->Note("answered " + std::to_string(failure.status) + " " + failure.reason + " ran=" + RanStateName(failure.ran));
	std::string body = FailureBody(failure, this->request_name);
	this->exchange->Respond(failure.status, headers, body);
	this->Conclude(failure.ran, failure.status, "application/json", "");
}

void Call::Conclude(RanState ran, int status, const std::string &content_type, const std::string &body)
{
	if (this->over) return;
	this->over = true;
	this->exchange->on_closed = nullptr;
	this->instance.metrics.Count(std::string("cottonspool_answers_total{ran=\"") + RanStateName(ran) + "\"}");
	this->SettleClaim(ran, status, content_type, body);
	this->instance.OnCallOver(this->spec.id);
}

void Call::SettleClaim(RanState ran, int status, const std::string &content_type, const std::string &body)
{
	if (this->claim_version.empty() || ran == RanState::Unknown) return;
	ClaimRow row{.state = ran == RanState::Yes ? ClaimState::Done : ClaimState::Released, .nonce = this->claim_nonce};
	row.request_hash = this->request_hash;
	row.version = this->claim_version;
	row.status = status;
	row.content_type = content_type;
	row.body = body;
	this->claim_version.clear();
	this->instance.claims.Settle(this->idempotency_key, std::move(row));
}

} // namespace cottonspool
