/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file relay_forward.cpp A request whose pool this instance cannot reach: passed on to another instance. */

#include "gateway/forward_headers.h"
#include "gateway/gateway.h"
#include "metrics/log.h"
#include <algorithm>
#include <charconv>
#include <strings.h>

namespace cottonspool {

std::string TakeHeader(HttpHeaders &headers, std::string_view name)
{
	std::string value(FindHeader(headers, name));
	std::erase_if(headers, [&](const HttpHeader &header) {
		return header.name.size() == name.size() && strncasecmp(header.name.data(), name.data(), name.size()) == 0;
	});
	return value;
}

std::optional<uint64_t> WholeNumber(std::string_view text)
{
	uint64_t number = 0;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
	bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
	return whole ? std::optional(number) : std::nullopt;
}

void MarkNotRun(HttpHeaders &headers, const char *reason, uint32_t sent)
{
	headers.push_back({RAN_FIELD, "no"});
	headers.push_back({REASON_FIELD, reason});
	headers.push_back({SENT_FIELD, std::to_string(sent)});
}

HttpHeaders RelayCall::AnswerHeaders(const HttpHead &head) const
{
	HttpHeaders headers = HeadersForCaller(head.headers);
	// Only this instance may tell the one before it that the request was not run.
	if (!this->request.passed_by.empty()) TakeHeader(headers, RAN_FIELD);
	return headers;
}

void RelayCall::CheckSilence(TimePoint now)
{
	if (this->concluded || !this->target || this->upstream_call == 0 || this->IsReadingPaused()) return;
	const ReachLimits &limits = this->gateway.limits.reach;
	Duration silence = this->request.spec.generated ? limits.stream_silence : limits.plain_silence;
	if (now - this->LastProgress() > silence) this->gateway.OnTargetSilent(*this->target);
}

void RelayCall::OnPoolLost()
{
	if (this->concluded || this->passed_to || this->exchange->IsStarted()) return;
	bool connecting = this->target && this->upstream_call != 0 && !this->gateway.upstream.IsConnected(this->upstream_call);
	if (this->target && !connecting) return;
	auto keep = this->shared_from_this();
	if (connecting) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	if (connecting) this->gateway.OnCallUnassigned(this->request.spec.id);
	this->gateway.dispatcher.Withdraw(this->request.spec.id, MonotonicNow());
	this->target.reset();
	if (!this->DeliverKeptAnswer()) this->ServeElsewhere();
}

bool RelayCall::PassOn()
{
	// A request that was passed on is never passed on again, so that it cannot circle.
	if (!this->request.passed_by.empty() || this->IsQuarantined()) return false;
	uint32_t most = this->request.spec.max_attempts > 0 ? this->request.spec.max_attempts : this->gateway.limits.dispatch.max_attempts;
	if (this->delivered >= most) return false;
	// Where a target has got it before, here or at an instance that refused it then, the next one gets it as a retry.
	if (this->delivered > 0 && !this->gateway.dispatcher.TryRetryElsewhere(this->request.spec.model)) return false;
	TimePoint now = MonotonicNow();
	std::optional<InstanceAddress> to = this->gateway.ChooseInstance(this->request, this->refused_by, now);
	if (!to) return false;
	this->passed_to = to->name;
	this->sent_at = now;
	Log(LogLevel::Info, "passed-on",
	    {{"request", this->request.info.attempt},
	     {"to", to->name},
	     {"pool", this->request.pool},
	     {"attempt", std::to_string(this->refused_by.size() + 1)},
	     {"waited_ms", FormatMilliseconds(now - this->request.spec.arrived)}});
	UpstreamCall call;
	call.to = to->address;
	call.peer = "instance/" + to->name;
	call.method = this->exchange->head.method;
	call.target = this->exchange->head.target;
	call.headers = HeadersForInstance(this->exchange->head.headers,
	                                  this->request.response_deadline - now - this->gateway.limits.forward.answer_margin);
	for (const char *name : {PASSED_BY_FIELD, CONFIGURATION_FIELD, ATTEMPTS_FIELD, SENT_FIELD}) TakeHeader(call.headers, name);
	call.headers.push_back({PASSED_BY_FIELD, this->gateway.Name()});
	call.headers.push_back({CONFIGURATION_FIELD, std::to_string(this->gateway.ConfigurationVersion())});
	call.headers.push_back({ATTEMPTS_FIELD, std::to_string(most - this->delivered)});
	call.headers.push_back({SENT_FIELD, std::to_string(this->delivered)});
	call.body = this->exchange->body;
	call.connect_timeout = this->gateway.limits.connect;
	this->upstream_call = this->StartCall(std::move(call));
	return true;
}

void RelayCall::ServeElsewhere()
{
	if (this->concluded || this->PassOn()) return;
	if (this->outcome_unknown) return this->Fail(502, POOL_LOST_REASON);
	Duration wanted = this->peer_retry_after.value_or(this->gateway.PoolLostRetryAfter(this->request));
	this->Fail(503, POOL_LOST_REASON, this->RetryAfter(wanted));
}

void RelayCall::EndPass(ForwardResult result)
{
	Log(LogLevel::Info, "pass-ended",
	    {{"request", this->request.info.attempt},
	     {"to", *this->passed_to},
	     {"result", ForwardResultName(result)},
	     {"ms", FormatMilliseconds(MonotonicNow() - this->sent_at)}});
	this->gateway.OnPassEnded(this->request, *this->passed_to, result);
	this->passed_to.reset();
}

void RelayCall::OnPassBroken(UpstreamEnd end, const char *cause)
{
	std::string to = *this->passed_to;
	Log(LogLevel::Info, "send-ended",
	    {{"request", this->request.info.attempt}, {"target", to}, {"sent", IsCertainlyUnsent(end) ? "no" : "maybe"}, {"cause", cause}});
	this->EndPass(ForwardResult::Unreachable);
	if (!IsCertainlyUnsent(end)) {
		this->outcome_unknown = true;
		return this->Fail(502, "instance-lost");
	}
	this->refused_by.push_back(to);
	this->ServeElsewhere();
}

/** @return The time in the Retry-After field of \a head; nothing without a valid one. */
static std::optional<Duration> RetryAfterOf(const HttpHead &head)
{
	std::string_view text = FindHeader(head.headers, "Retry-After");
	double seconds = 0;
	auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
	static constexpr double MAX_S = 60;
	if (parsed.ec != std::errc() || !(seconds >= 0)) return std::nullopt;
	return FromSeconds(std::min(seconds, MAX_S));
}

bool RelayCall::SettlePassedAnswer(const HttpHead &head)
{
	static constexpr uint64_t MAX_SENT = 100; ///< More than any route allows.
	if (FindHeader(head.headers, RAN_FIELD) == "no") {
		bool lost = FindHeader(head.headers, REASON_FIELD) == POOL_LOST_REASON;
		this->refused_by.push_back(*this->passed_to);
		this->delivered += static_cast<uint32_t>(std::min(WholeNumber(FindHeader(head.headers, SENT_FIELD)).value_or(0), MAX_SENT));
		this->peer_retry_after = RetryAfterOf(head);
		this->EndPass(lost ? ForwardResult::PoolLost : ForwardResult::Busy);
		this->ServeElsewhere();
		return true;
	}
	int status = head.status;
	bool claims_not_executed = status == 503 || status == 429 || status == 408 || status == 421;
	bool unusable = claims_not_executed || (status / 100 == 2 && !ReadAnswer(head).stamped);
	if (!unusable) return false;
	this->outcome_unknown = true;
	this->Fail(502, "answer-unusable");
	return true;
}

} // namespace cottonspool
