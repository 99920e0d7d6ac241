/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file relay_call.cpp One caller's request: the common part of buffered and streamed answers, and the buffered ones. */

#include "gateway/forward_headers.h"
#include "gateway/gateway.h"
#include "metrics/log.h"
#include <algorithm>
#include <cmath>

namespace cottonspool {

static constexpr int ROUTE_PRIORITIES = 3; ///< Priorities of routes that are distinguished within one priority of an account.
static constexpr int LOWEST_URGENCY = 9;   ///< Largest value of the urgency at engines.
static constexpr Duration MIN_RETRY_AFTER = std::chrono::milliseconds(50);

RelayCall::RelayCall(Gateway &gateway, std::shared_ptr<FrontExchange> exchange, RelayRequest request)
    : gateway(gateway), exchange(std::move(exchange)), request(std::move(request))
{
}

void RelayCall::Begin(TimePoint now)
{
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	this->exchange->on_disconnect = [weak] {
		if (auto self = weak.lock()) self->OnCallerDisconnected();
	};
	this->exchange->on_pause = [weak](bool paused) {
		if (auto self = weak.lock()) self->SetHeldBack(paused);
	};
	if (this->gateway.IsPoolLost(this->request)) return this->ServeElsewhere();
	this->gateway.Execute(this->gateway.dispatcher.Submit(this->request.spec, now));
}

void RelayCall::SetHeldBack(bool paused)
{
	this->held_back = paused;
	if (!this->concluded) this->UpdateFlowControl();
}

void RelayCall::OnSend(const SendAction &action)
{
	if (this->concluded) return;
	TimePoint now = MonotonicNow();
	this->target = action.target;
	this->attempts++;
	this->sent_at = now;
	this->backup = this->ChooseBackupFor(action.target, now);
	this->LogSend(action, now);
	this->gateway.OnCallProgress(this->request, action.target, true);
	this->upstream_call = this->StartUpstream(action.target, std::nullopt, this->backup);
}

void RelayCall::LogSend(const SendAction &action, TimePoint now)
{
	const TargetState &state = this->gateway.dispatcher.Targets().Get(*this->target);
	std::optional<double> factor = state.speed.Factor(now);
	Duration age = state.report.sequence == 0 ? Duration(0) : now - state.report_at;
	Log(LogLevel::Info, "sent",
	    {{"request", this->request.info.attempt},
	     {"target", state.name},
	     {"hall", state.hall},
	     {"attempt", std::to_string(this->attempts)},
	     {"waited_ms", FormatMilliseconds(now - this->request.spec.arrived)},
	     {"copy_at", this->backup ? this->gateway.dispatcher.Targets().Get(*this->backup).name : ""},
	     {"pressure", FormatNumber(this->gateway.dispatcher.Targets().Pressure(state, now))},
	     {"own_calls", std::to_string(state.in_flight.size())},
	     {"factor", factor ? FormatNumber(*factor) : ""},
	     {"report_age_ms", FormatMilliseconds(age)},
	     {"expected_loss", action.lateness ? FormatNumber(action.lateness->loss) : ""},
	     {"harm", action.lateness ? FormatNumber(action.lateness->harm) : ""}});
}

std::optional<TargetNumber> RelayCall::ChooseBackupFor(TargetNumber holder, TimePoint now)
{
	if (!this->request.can_back_up) return std::nullopt;
	TargetTable &targets = this->gateway.dispatcher.Targets();
	std::optional<TargetNumber> at = ChooseBackup(this->request.spec, holder, targets, this->gateway.limits.backup, now);
	if (at) targets.OnBackup(*at, this->request.spec.prompt_tokens + targets.ExpectedOutput(this->request.spec));
	return at;
}

uint64_t RelayCall::StartUpstream(TargetNumber number, std::optional<ResumePoint> resume, std::optional<TargetNumber> backup_at)
{
	TimePoint now = MonotonicNow();
	const TargetState &state = this->gateway.dispatcher.Targets().Get(number);
	SendInfo info;
	info.remaining = this->request.response_deadline - now;
	info.target = this->gateway.IncarnationOf(number).id;
	info.account = this->request.account;
	if (state.engine) info.urgency = this->Urgency();
	info.resume = std::move(resume);
	if (backup_at) info.backup_address = this->gateway.AddressOf(*backup_at).Text();
	UpstreamCall call;
	call.to = this->gateway.AddressOf(number);
	call.peer = state.name;
	call.method = this->exchange->head.method;
	call.target = this->exchange->head.target;
	call.headers = HeadersForTarget(this->exchange->head.headers, info);
	call.body = this->exchange->body;
	call.connect_timeout = this->gateway.limits.connect;
	// A copy of the target's earlier answer to this request would have its id; it can come on the earlier connection only.
	if (std::find(this->sent_to.begin(), this->sent_to.end(), number) != this->sent_to.end()) call.max_reuse_idle = Duration(0);
	this->sent_to.push_back(number);
	return this->StartCall(std::move(call));
}

uint64_t RelayCall::StartCall(UpstreamCall call)
{
	if (this->request.route.kind != RouteType::Repeatable)
		call.max_reuse_idle = std::min(call.max_reuse_idle, this->gateway.limits.single_run_max_idle);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	auto call_number = std::make_shared<uint64_t>(0);
	call.on_head = [weak, number = call_number](const HttpHead &head) {
		auto self = weak.lock();
		return self && self->OnHead(*number, head);
	};
	call.on_body = [weak, number = call_number](std::string_view bytes) {
		if (auto self = weak.lock()) self->OnBody(*number, bytes);
	};
	call.on_end = [weak, number = call_number](UpstreamEnd end, const char *cause) {
		if (auto self = weak.lock()) self->OnEnd(*number, end, cause);
	};
	call.names_call = [](const HttpHead &head) { return !ReadAnswer(head).attempt.empty(); };
	*call_number = this->gateway.upstream.Start(std::move(call));
	return *call_number;
}

bool RelayCall::IsQuarantined() const
{
	return this->gateway.dispatcher.QuarantineState().Assess(this->request.spec.features, MonotonicNow()) == Suspicion::Quarantined;
}

int RelayCall::Urgency() const
{
	// The account's priority goes first; the route's priority decides between equal accounts.
	return std::clamp(ROUTE_PRIORITIES * this->request.priority_level + std::min(this->request.route.priority_level, ROUTE_PRIORITIES - 1),
	                  0, LOWEST_URGENCY);
}

bool RelayCall::AnswersThisRequest(const HttpHead &head) const
{
	AnswerInfo info = ReadAnswer(head);
	if (info.attempt.empty()) return head.status / 100 != 2;
	return info.attempt == this->request.info.attempt;
}

Duration RelayCall::RetryAfter(Duration wanted) const
{
	Duration left = this->request.response_deadline - MonotonicNow();
	return std::max(MIN_RETRY_AFTER, std::min(wanted, left / 3));
}

void RelayCall::OnReject(const RejectAction &action)
{
	this->target.reset();
	if (this->concluded || this->DeliverKeptAnswer()) return;
	bool found_no_target = action.reason != RejectReason::Quarantined && action.reason != RejectReason::RetryBudget;
	if (found_no_target && this->gateway.IsPoolDoubted(this->request) && this->PassOn()) return;
	const char *reason = RejectReasonName(action.reason);
	if (action.reason == RejectReason::Quarantined) this->gateway.LogQuarantined(this->request);
	if (action.reason == RejectReason::AllRestricted) {
		Log(LogLevel::Info, "all-bound",
		    {{"request", this->request.info.attempt},
		     {"pool", this->request.pool},
		     {"bounds", FormatRestrictions(action.restrictions)},
		     {"retry_after_ms", FormatMilliseconds(action.retry_after)}});
	}
	this->gateway.metrics.Count(std::string("cottonspool_rejections_total{reason=\"") + reason + "\"}");
	if (this->outcome_unknown) return this->Fail(502, reason);
	this->Fail(503, reason, this->RetryAfter(action.retry_after));
}

void RelayCall::OnTick(TimePoint now)
{
	this->CheckSilence(now);
	if (this->concluded || now + this->gateway.limits.answer_margin < this->request.response_deadline) return;
	// After the deadline, requests in flight may have been executed, waiting ones have not.
	bool sent = this->target.has_value() || this->passed_to.has_value();
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->CancelAuxiliaryCalls();
	if (this->passed_to) this->EndPass(ForwardResult::Unreachable);
	if (!sent) this->gateway.dispatcher.CancelWaiting(this->request.spec.id);
	if (sent) this->FinishSend(SendOutcome::LostAfterDelivery);
	if (this->concluded) return;
	bool may_have_run = sent || this->outcome_unknown;
	this->Fail(may_have_run ? 504 : 503, "time-limit", may_have_run ? std::nullopt : std::optional(this->RetryAfter(MIN_RETRY_AFTER)));
}

void RelayCall::OnTargetCrashed()
{
	if (this->concluded || !this->target || this->upstream_call == 0) return;
	this->BreakOffAnswer("the target has terminated");
}

void RelayCall::BreakOffAnswer(const char *cause)
{
	auto keep = this->shared_from_this();
	uint64_t call = this->upstream_call;
	this->gateway.upstream.Cancel(call);
	this->OnEnd(call, UpstreamEnd::Broken, cause);
}

void RelayCall::OnQuarantined()
{
	if (this->concluded || !this->target || !this->HasSend() || this->Stage() == RunStage::Stable) return;
	auto keep = this->shared_from_this();
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->CancelAuxiliaryCalls();
	this->outcome_unknown = true;
	this->gateway.LogQuarantined(this->request);
	this->FinishSend(SendOutcome::CallerDisconnected);
	this->Fail(502, RejectReasonName(RejectReason::Quarantined));
}

void RelayCall::AbortOnStop()
{
	if (this->concluded) return;
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	bool sent = this->target.has_value() || this->passed_to.has_value() || this->outcome_unknown;
	this->Fail(sent ? 502 : 503, "instance-stops", sent ? std::nullopt : std::optional(MIN_RETRY_AFTER));
}

void RelayCall::Fail(int status, const char *reason, std::optional<Duration> retry_after)
{
	if (this->concluded) return;
	if (this->exchange->IsStarted()) {
		this->exchange->Abort();
		return this->Conclude(reason, 0);
	}
	HttpHeaders headers = OwnAnswerHeaders(this->request.info.attempt, retry_after);
	if (!this->request.passed_by.empty() && status == 503) MarkNotRun(headers, reason, this->delivered);
	this->exchange->Respond(status, headers, {});
	this->Conclude(reason, status);
}

void RelayCall::Conclude(const char *outcome, int status)
{
	if (this->concluded) return;
	this->concluded = true;
	bool may_have_run = this->target || this->passed_to || this->outcome_unknown;
	if (this->passed_to) this->EndPass(std::string_view(outcome) == "answered" ? ForwardResult::Answered : ForwardResult::Abandoned);
	this->exchange->on_disconnect = nullptr;
	this->exchange->on_drained = nullptr;
	this->exchange->on_pause = nullptr;
	this->exchange->SetBuffered(0);
	Duration took = MonotonicNow() - this->request.spec.arrived;
	Log(LogLevel::Info, "finished",
	    {{"request", this->request.info.attempt},
	     {"route", this->request.route.name},
	     {"account", this->request.account},
	     {"outcome", outcome},
	     {"status", std::to_string(status)},
	     {"ran", may_have_run ? "maybe" : "no"},
	     {"attempts", std::to_string(this->attempts)},
	     {"ms", FormatMilliseconds(took)}});
	this->gateway.metrics.Count(std::string("cottonspool_requests_total{outcome=\"") + outcome + "\"}");
	this->gateway.OnCallFinished(this->request.spec.id);
}

void RelayCall::FinishSend(SendOutcome outcome)
{
	if (!this->target) return;
	if (outcome == SendOutcome::Lost || outcome == SendOutcome::Failed) this->outcome_unknown = true;
	bool not_executed = outcome == SendOutcome::NotExecuted || outcome == SendOutcome::Rejected || outcome == SendOutcome::NotSent;
	if (outcome != SendOutcome::NotSent) this->delivered++;
	bool is_final = !not_executed && outcome != SendOutcome::Lost && outcome != SendOutcome::Failed;
	if (!is_final) this->target.reset();
	if (!is_final) this->gateway.OnCallUnassigned(this->request.spec.id);
	this->gateway.Execute(this->gateway.dispatcher.OnSendEnded(this->request.spec.id, outcome, MonotonicNow()));
}

void RelayCall::OnCallerDisconnected()
{
	if (this->concluded) return;
	auto keep = this->shared_from_this();
	if (this->target && this->upstream_call != 0)
		this->gateway.OnSendCancelled(this->request, *this->target, this->Stage(), MonotonicNow());
	if (this->upstream_call != 0) this->gateway.upstream.Cancel(this->upstream_call);
	this->upstream_call = 0;
	this->CancelAuxiliaryCalls();
	if (this->target) {
		this->FinishSend(SendOutcome::CallerDisconnected);
	} else {
		this->gateway.dispatcher.CancelWaiting(this->request.spec.id);
	}
	this->Conclude("caller-gone", 0);
}

bool BufferedRelay::OnHead(uint64_t, const HttpHead &head)
{
	if (!this->AnswersThisRequest(head)) return false;
	this->answer = Answer{head, ReadAnswer(head), {}};
	if (this->target) this->gateway.OnAnswerHead(this->request, *this->target, this->answer.info, this->sent_at);
	return true;
}

void BufferedRelay::OnBody(uint64_t, std::string_view bytes)
{
	if (this->concluded) return;
	if (this->forwarding) {
		this->exchange->Write(bytes);
		return this->UpdateFlowControl();
	}
	this->answer.body.append(bytes);
	this->exchange->SetBuffered(this->answer.body.capacity());
	if (this->answer.body.size() <= this->gateway.limits.max_buffered_answer_bytes) return;
	// A failure may be replaced by another target's answer, so that its body can't be forwarded before it is complete.
	bool success = this->answer.head.status / 100 == 2 && this->answer.info.stamped;
	if (!success) return this->BreakOffAnswer("the body of a failure exceeds its size limit");
	this->StartForwarding();
}

void BufferedRelay::StartForwarding()
{
	this->forwarding = true;
	this->exchange->Start(this->answer.head.status, this->AnswerHeaders(this->answer.head), this->answer.head.length,
	                      this->answer.head.reason);
	std::weak_ptr<RelayCall> weak = this->weak_from_this();
	this->exchange->on_drained = [weak] {
		auto self = std::static_pointer_cast<BufferedRelay>(weak.lock());
		if (self && !self->concluded) self->UpdateFlowControl();
	};
	this->exchange->Write(this->answer.body);
	this->answer.body = {};
	this->exchange->SetBuffered(0);
	this->UpdateFlowControl();
}

bool BufferedRelay::IsCallerBehind() const
{
	return this->forwarding && this->exchange->Backlog() > this->gateway.ActiveFrontLimits().max_backlog_bytes;
}

void BufferedRelay::UpdateFlowControl()
{
	if (this->upstream_call != 0) this->gateway.upstream.SetReading(this->upstream_call, !this->IsReadingPaused());
}

void BufferedRelay::OnEnd(uint64_t, UpstreamEnd end, const char *cause)
{
	auto keep = this->shared_from_this();
	this->upstream_call = 0;
	if (this->concluded) return;
	if (end == UpstreamEnd::Complete) return this->OnCompleteAnswer();
	if (this->passed_to) return this->OnPassBroken(end, cause);
	Log(LogLevel::Info, "send-ended",
	    {{"request", this->request.info.attempt},
	     {"target", this->gateway.dispatcher.Targets().Get(*this->target).name},
	     {"sent", IsCertainlyUnsent(end) ? "no" : "maybe"},
	     {"cause", cause}});
	if (IsCertainlyUnsent(end)) {
		this->gateway.OnTargetUnreachable(*this->target);
		return this->FinishSend(SendOutcome::NotSent);
	}
	this->gateway.OnSendInterrupted(this->request, *this->target, this->Stage(), MonotonicNow());
	// Another target's answer can't take the place of one that has begun to reach its caller.
	this->FinishSend(this->forwarding ? SendOutcome::LostAfterDelivery : SendOutcome::Lost);
	if (this->request.spec.repeatable && !this->forwarding) return;
	this->Fail(502, "answer-lost");
}

void BufferedRelay::OnCompleteAnswer()
{
	const AnswerInfo &info = this->answer.info;
	int status = this->answer.head.status;
	if (this->forwarding) {
		this->exchange->Finish();
		this->FinishSend(SendOutcome::Complete);
		return this->Conclude("answered", status);
	}
	if (this->passed_to) {
		if (!this->SettlePassedAnswer(this->answer.head)) this->Deliver(this->answer);
		return;
	}
	if (info.not_executed) return this->FinishSend(NotExecutedOutcome(info));
	bool unusable = status / 100 == 2 && !info.stamped;
	// Only the target's explicit signal means that the request was not executed. These statuses would claim that to the caller as well,
	// so they are not forwarded without the signal.
	bool claims_not_executed = status == 503 || status == 429 || status == 408 || status == 421;
	if (!unusable && !claims_not_executed && status < 500) return this->Deliver(this->answer);
	if (!unusable && !claims_not_executed) this->kept_answer = this->answer;
	this->FinishSend(SendOutcome::Failed);
	if (this->concluded || this->request.spec.repeatable) return;
	if (!this->DeliverKeptAnswer()) this->Fail(502, "answer-unusable");
}

bool BufferedRelay::DeliverKeptAnswer()
{
	if (!this->kept_answer || this->concluded) return false;
	Answer last = std::move(*this->kept_answer);
	this->kept_answer.reset();
	this->exchange->Respond(last.head.status, this->AnswerHeaders(last.head), last.body, last.head.reason);
	this->Conclude("answered", last.head.status);
	return true;
}

void BufferedRelay::Deliver(const Answer &complete)
{
	this->exchange->Respond(complete.head.status, this->AnswerHeaders(complete.head), complete.body, complete.head.reason);
	this->gateway.metrics.Observe(Measure::ServiceSeconds, this->request.account, this->request.spec.service_class,
	                              Seconds(MonotonicNow() - this->request.spec.arrived));
	this->FinishSend(SendOutcome::Complete);
	if (complete.head.status / 100 == 2) this->gateway.OnAnsweredSuccessfully(this->request);
	this->Conclude("answered", complete.head.status);
}

} // namespace cottonspool
