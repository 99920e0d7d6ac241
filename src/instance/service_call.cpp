/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file service_call.cpp Forwarding of a request to a service. */

#include "instance/service_call.h"
#include "instance/instance.h"
#include <algorithm>
#include <array>
#include <strings.h>

namespace cottonspool {

/** Hop-by-hop header fields, and fields that this instance sets itself. */
static constexpr std::array<const char *, 12> NOT_FORWARDED{
        "connection",     "keep-alive", "proxy-authorization", "proxy-authenticate", "te", "trailer", "transfer-encoding", "upgrade",
        "content-length", "host",       "authorization",       "cottonspool-ran"};

/** @return The fields of \a headers that are forwarded. */
static HttpHeaders ForwardedHeaders(const HttpHeaders &headers)
{
	HttpHeaders passed;
	for (const HttpHeader &header : headers) {
		bool excluded = std::any_of(NOT_FORWARDED.begin(), NOT_FORWARDED.end(),
		                            [&](const char *name) { return strcasecmp(name, header.name.c_str()) == 0; });
		if (!excluded) passed.push_back(header);
	}
	return passed;
}

ServiceCall::ServiceCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
                         std::string account_name, std::string path)
    : Call(instance, std::move(exchange), std::move(spec), std::move(request_name), std::move(account_name)), path(std::move(path))
{
}

void ServiceCall::OnSend(const SendAction &action)
{
	const TargetRecord *record = this->instance.poller.Record(action.target);
	if (record == nullptr) return this->FinishSend(SendOutcome::NotExecuted);
	this->target_name = this->instance.dispatcher.Targets().Get(action.target).name;
	this->sent = true;
	this->sent_at = MonotonicNow();
	this->answer_body.clear();
	this->too_large = false;
	this->Trace("sent to " + this->target_name);
	HttpCall call;
	call.method = this->exchange->request.method;
	call.url = "http://" + record->address + this->path;
	call.headers = ForwardedHeaders(this->exchange->request.headers);
	std::erase_if(call.headers, [](const HttpHeader &header) { return strcasecmp(header.name.c_str(), "cottonspool-request") == 0; });
	call.headers.push_back({"Cottonspool-Request", this->request_name});
	call.body = this->exchange->request.body;
	call.connect_timeout = this->instance.settings.call.connect;
	call.total_timeout = this->instance.settings.call.service;
	call.fresh_connection = !this->spec.repeatable;
	std::weak_ptr<Call> weak = this->weak_from_this();
	auto self = [weak] { return std::static_pointer_cast<ServiceCall>(weak.lock()); };
	auto limit = static_cast<size_t>(this->instance.settings.call.max_service_answer_bytes);
	call.on_head = [self](int, const HttpHeaders &headers) {
		if (auto call_self = self()) call_self->answer_headers = headers;
	};
	call.on_data = [self, limit](std::string_view data) {
		auto call_self = self();
		if (!call_self) return;
		call_self->too_large |= call_self->answer_body.size() + data.size() > limit;
		if (!call_self->too_large) call_self->answer_body.append(data);
	};
	call.on_end = [self](const HttpCallResult &end) {
		if (auto call_self = self()) call_self->OnEnd(end);
	};
	this->http_call = this->instance.client.Start(std::move(call));
}

void ServiceCall::OnEnd(const HttpCallResult &end)
{
	this->http_call = 0;
	if (this->concluded) return;
	auto keep_alive = this->shared_from_this();
	if (end.kind == HttpCallOutcome::NotSent) {
		this->Trace("not sent: " + end.message);
		return this->FinishSend(SendOutcome::NotExecuted);
	}
	if (end.kind != HttpCallOutcome::Answered || this->too_large) return this->OnOutcomeUnknown(end);
	bool not_executed = FindHeader(this->answer_headers, "Cottonspool-Ran") == "no";
	if (not_executed) {
		this->Trace("rejected by " + this->target_name);
		return this->FinishSend(SendOutcome::NotExecuted);
	}
	// A request answered with 5xx may have been executed in part.
	ExecutionState ran = end.status >= 500 ? ExecutionState::Unknown : ExecutionState::Yes;
	this->Trace("answered " + std::to_string(end.status));
	double seconds = Seconds(MonotonicNow() - this->spec.arrived);
	this->instance.metrics.Observe(Measure::ServiceSeconds, this->account_name, this->spec.service_class, seconds);
	HttpHeaders headers = ForwardedHeaders(this->answer_headers);
	headers.push_back({"Cottonspool-Ran", ExecutionStateName(ran)});
	headers.push_back({"Cottonspool-Request", this->request_name});
	std::string type(FindHeader(this->answer_headers, "content-type"));
	this->exchange->Respond(end.status, headers, this->answer_body);
	this->FinishSend(SendOutcome::Complete);
	this->Conclude(ran, end.status, type, this->answer_body);
}

void ServiceCall::OnOutcomeUnknown(const HttpCallResult &end)
{
	this->MarkOutcomeUnknown();
	this->TraceLoss(this->target_name, "outcome unknown", end.message);
	if (this->spec.repeatable && !this->too_large) return this->FinishSend(SendOutcome::Lost);
	bool timed_out = end.kind == HttpCallOutcome::TimedOut;
	CallFailure failure{timed_out ? 504 : 502, timed_out ? "service-timeout" : "service-answer-lost",
	                    this->target_name + ": " + end.message + "; the request may have been executed", ExecutionState::Unknown,
	                    std::nullopt};
	this->FinishSend(SendOutcome::LostAfterDelivery);
	this->Fail(failure);
}

void ServiceCall::OnCallerDisconnected()
{
	if (!this->sent) return;
	if (this->http_call != 0) this->instance.client.Cancel(this->http_call);
	this->http_call = 0;
	this->FinishSend(SendOutcome::CallerDisconnected);
}

} // namespace cottonspool
