/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file relay_call.h One caller's request on its way to a target and back: the common part of buffered and streamed answers. */

#pragma once

#include "gateway/gateway_type.h"
#include "gateway/run_stage_type.h"
#include "net/http_front.h"
#include "net/http_upstream.h"

namespace cottonspool {

class Gateway;

/** @return The outcome of a send that the target declares as not executed in \a info. */
inline SendOutcome NotExecutedOutcome(const AnswerInfo &info)
{
	return info.signals.pause > Duration(0) ? SendOutcome::Rejected : SendOutcome::NotExecuted;
}

/** One caller's request from its arrival to its final answer. */
class RelayCall : public std::enable_shared_from_this<RelayCall> {
public:
	RelayCall(Gateway &gateway, std::shared_ptr<FrontExchange> exchange, RelayRequest request);
	virtual ~RelayCall() = default;

	/** Submit the request to the dispatcher. */
	void Begin(TimePoint now);

	/** Send the request, as the dispatcher decided. */
	void OnSend(const SendAction &action);

	/** Give the final answer after the dispatcher rejected the request. */
	void OnReject(const RejectAction &action);

	/** Handle timeouts; to be called at each tick. */
	virtual void OnTick(TimePoint now);

	/** The target of the request is draining. */
	virtual void OnTargetDraining(TimePoint) {}

	/** The target of the request has terminated, even if its connection is still open; the run has failed and may have been executed. */
	void OnTargetCrashed();

	/** The request is quarantined: cancel the send unless its run is stable. */
	void OnQuarantined();

	/** @return Whether the request is quarantined. */
	bool IsQuarantined() const;

	/** No target of the request's pool can be reached any more: pass it on, unless a target may have it. */
	void OnPoolLost();

	/** Abort the request, as the process ends. */
	void AbortOnStop();

	/** The answer should arrive no further (\a paused), or may continue, as memory is scarce; see HeldMemory. */
	void SetHeldBack(bool paused);

	/** @return Whether the final answer has been given or the caller has disconnected. */
	bool IsConcluded() const { return this->concluded; }

	/** @return The request as the dispatcher sees it. */
	const CallSpec &Spec() const { return this->request.spec; }

	/** @return The request of the caller. */
	const RelayRequest &Request() const { return this->request; }

protected:
	/** The head of a target's answer arrived on the call \a from. @return False if the answer belongs to another request. */
	virtual bool OnHead(uint64_t from, const HttpHead &head) = 0;

	/** A part of the answer's body arrived on the call \a from. */
	virtual void OnBody(uint64_t from, std::string_view bytes) = 0;

	/** The call \a from to a target has ended. @param cause Reason for logs. */
	virtual void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) = 0;

	/** @return Whether a send is in progress. */
	virtual bool HasSend() const { return this->upstream_call != 0; }

	/** Break off the answer of the target, which is then taken for one that the target broke off. @param cause Reason for logs. */
	void BreakOffAnswer(const char *cause);

	/** Pause or continue reading from the target, as far as the present call calls for it. */
	virtual void UpdateFlowControl() = 0;

	/** @return Whether nothing is read from the target at present, so that its silence says nothing. */
	virtual bool IsReadingPaused() const = 0;

	/** @return The progress at the target. */
	virtual RunStage Stage() const { return RunStage::Waiting; }

	/** Deliver an earlier answer of a target that reports a failure, instead of a rejection. @return Whether there was one. */
	virtual bool DeliverKeptAnswer() { return false; }

	/** Cancel all calls and copies besides the call to the target. */
	virtual void CancelAuxiliaryCalls() {}

	/** @return When the target last showed that it works on the request. */
	virtual TimePoint LastProgress() const { return this->sent_at; }

	/** Pass the request on to another instance, or refuse it if none can take it. @pre It is neither waiting nor at a target. */
	void ServeElsewhere();

	/** The instance that has the request broke the connection, or could not be reached. */
	void OnPassBroken(UpstreamEnd end, const char *cause);

	/** Handle a complete answer with \a head of the instance that has the request. @return Whether it is not to be delivered as it is. */
	bool SettlePassedAnswer(const HttpHead &head);

	/** The request is no longer at the instance that it was passed to. */
	void EndPass(ForwardResult result);

	/** @return Header fields of an answer of a target for the caller, or for the instance that passed the request on. */
	HttpHeaders AnswerHeaders(const HttpHead &head) const;

	/** Start the call to \a target. @param resume Position from which a migrated run continues. */
	uint64_t StartUpstream(TargetNumber target, std::optional<ResumePoint> resume, std::optional<TargetNumber> backup_at);

	/** @return The engine that is to keep a copy of the run at \a holder, if one has enough headroom. */
	std::optional<TargetNumber> ChooseBackupFor(TargetNumber holder, TimePoint now);

	/** Answer with a status of this instance; abort the connection if an answer has already started. */
	void Fail(int status, const char *reason, std::optional<Duration> retry_after = std::nullopt);

	/** Record the final answer and remove the request. */
	void Conclude(const char *outcome, int status);

	/** Report the outcome of the send to the dispatcher, and execute its decisions. */
	void FinishSend(SendOutcome outcome);

	/** @return Whether \a head answers this request; an answer without an id is accepted only if it reports a failure. */
	bool AnswersThisRequest(const HttpHead &head) const;

	/** @return The urgency for engines; 0 goes first. */
	int Urgency() const;

	/** @return The Retry-After of a rejection, at most a third of the time that remains. */
	Duration RetryAfter(Duration wanted) const;

	Gateway &gateway;
	std::shared_ptr<FrontExchange> exchange; ///< The caller's exchange.
	RelayRequest request;
	std::optional<TargetNumber> target;       ///< Target that has the request; nothing while it waits.
	std::optional<TargetNumber> backup;       ///< Engine that keeps a copy of the run.
	uint64_t upstream_call = 0;               ///< Call to the target; 0 for none.
	uint32_t attempts = 0;                    ///< Sends so far.
	uint32_t delivered = 0;                   ///< Sends that may have reached their targets.
	std::optional<std::string> passed_to;     ///< Instance that the request was passed on to.
	std::vector<TargetNumber> sent_to;        ///< Targets that it was sent to, or that it was to be.
	std::vector<std::string> refused_by;      ///< Instances that did not take it.
	std::optional<Duration> peer_retry_after; ///< Retry-After of the last of them.
	TimePoint sent_at;                        ///< Time of the last send.
	bool outcome_unknown = false;             ///< A send ended with an unknown outcome, so the request may have been executed.
	bool concluded = false;                   ///< Final answer given, or caller disconnected.
	bool held_back = false;                   ///< Reading from the target is paused, as memory is scarce.

private:
	/** Pass the request on to another instance. @return Whether there is one that may take it. */
	bool PassOn();
	/** Start \a call, which has this object's callbacks. */
	uint64_t StartCall(UpstreamCall call);
	/** Doubt that the target's pool can be reached if it has been silent for too long. */
	void CheckSilence(TimePoint now);
	/** Cancel everything, as nobody waits for the answer. */
	void OnCallerDisconnected();
	/** Log the send to the current target. */
	void LogSend(const SendAction &action, TimePoint now);
};

/** A request whose answer is buffered until it is complete. */
class BufferedRelay : public RelayCall {
public:
	using RelayCall::RelayCall;

protected:
	bool OnHead(uint64_t from, const HttpHead &head) override;
	void OnBody(uint64_t from, std::string_view bytes) override;
	void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) override;
	bool DeliverKeptAnswer() override;
	void UpdateFlowControl() override;
	bool IsReadingPaused() const override { return this->held_back || this->IsCallerBehind(); }

private:
	/** @return Whether the caller reads the answer that is forwarded more slowly than the target sends it. */
	bool IsCallerBehind() const;
	/** An answer of a target. */
	struct Answer {
		HttpHead head;
		AnswerInfo info; ///< Parsed headers.
		std::string body;
	};

	/** Begin to forward the answer, which exceeds the buffer. */
	void StartForwarding();
	/** Deliver a complete answer, or try another target. */
	void OnCompleteAnswer();
	/** Give \a complete as the final answer. */
	void Deliver(const Answer &answer);

	Answer answer;                     ///< Answer being received.
	std::optional<Answer> kept_answer; ///< Complete answer that reports a failure, to be delivered if no other target succeeds.
	bool forwarding = false;           ///< The answer exceeds the buffer and is forwarded as it arrives.
};

} // namespace cottonspool
