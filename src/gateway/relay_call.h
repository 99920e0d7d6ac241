/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file relay_call.h One caller's request on its way to a target and back: what plain requests and streams share. */

#pragma once

#include "gateway/gateway_type.h"
#include "gateway/run_stage_type.h"
#include "net/http_front.h"
#include "net/http_upstream.h"

namespace cottonspool {

class Gateway;

/** @return How a send ended that the target says it has not run, with \a info. */
inline SendOutcome NotExecutedOutcome(const AnswerInfo &info)
{
	return info.signals.pause > Duration(0) ? SendOutcome::Rejected : SendOutcome::NotExecuted;
}

/** One caller's request from its arrival to its final answer. */
class RelayCall : public std::enable_shared_from_this<RelayCall> {
public:
	RelayCall(Gateway &gateway, std::shared_ptr<FrontExchange> exchange, RelayRequest request);
	virtual ~RelayCall() = default;

	/** Hand it to the dispatcher. */
	void Begin(TimePoint now);

	/** The dispatcher says: send it. */
	void OnSend(const SendAction &action);

	/** The dispatcher says: give it up. */
	void OnReject(const RejectAction &action);

	/** Some time has passed. */
	virtual void OnTick(TimePoint now);

	/** The target that holds it gets nothing new any more. */
	virtual void OnTargetDraining(TimePoint) {}

	/** The target that holds it has ended, whatever its connection looks like: the run has failed, and may have run. */
	void OnTargetCrashed();

	/** Its request is quarantined: unless the target runs it well already, it is taken back from there. */
	void OnQuarantined();

	/** The process ends: break off what cannot be finished. */
	void AbortOnStop();

	/** @return Whether the final answer has been given, or the caller is gone. */
	bool IsConcluded() const { return this->concluded; }

	/** @return What the dispatcher knows of it. */
	const CallSpec &Spec() const { return this->request.spec; }

	/** @return What the caller asked for. */
	const RelayRequest &Request() const { return this->request; }

protected:
	/** The head of a target's answer came on the call \a from. @return False if the answer belongs to another request. */
	virtual bool OnHead(uint64_t from, const HttpHead &head) = 0;

	/** A part of the answer's body came on the call \a from. */
	virtual void OnBody(uint64_t from, std::string_view bytes) = 0;

	/** The call \a from to a target is over. */
	virtual void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) = 0;

	/** @return Whether a send is under way. */
	virtual bool HasSend() const { return this->upstream_call != 0; }

	/** @return How far the target has come with it. */
	virtual RunStage Stage() const { return RunStage::Waiting; }

	/** It was given up while an answer of a target is at hand: @return Whether that was delivered instead. */
	virtual bool DeliverKeptAnswer() { return false; }

	/** The caller left: let go of everything beside the call to the target. */
	virtual void CancelAuxiliaryCalls() {}

	/** Start the call to \a target. @param resume Where the run goes on from, if it was moved. */
	uint64_t StartUpstream(TargetNumber target, std::optional<ResumePoint> resume, std::optional<TargetNumber> backup_at);

	/** @return Engine that is to keep a copy of the run at \a holder, if there is one to spare. */
	std::optional<TargetNumber> ChooseBackupFor(TargetNumber holder, TimePoint now);

	/** Answer with a status of our own, if no answer has begun; break the answer off otherwise. */
	void Fail(int status, const char *reason, std::optional<Duration> retry_after = std::nullopt);

	/** The final answer was given. */
	void Conclude(const char *outcome, int status);

	/** Tell the dispatcher how the send ended, and carry out what it decides. */
	void FinishSend(SendOutcome end);

	/** @return Whether \a head answers this request; an answer without an id is taken only when it tells a failure. */
	bool AnswersThisRequest(const HttpHead &head) const;

	/** @return Whether its request is not sent any more. */
	bool IsQuarantined() const;

	/** @return The urgency told to engines; 0 goes first. */
	int Urgency() const;

	/** @return When a refused caller should come back: at most a third of what is left to it. */
	Duration RetryAfter(Duration wanted) const;

	Gateway &gateway;                        ///< Gateway.
	std::shared_ptr<FrontExchange> exchange; ///< Caller.
	RelayRequest request;                    ///< What it asks for.
	std::optional<TargetNumber> target;      ///< Target that has it; nothing while it waits.
	std::optional<TargetNumber> backup;      ///< Engine that keeps a copy of the run; nothing for none.
	uint64_t upstream_call = 0;              ///< Call to the target; 0 for none.
	uint32_t attempts = 0;                   ///< Sends so far.
	TimePoint sent_at;                       ///< When it was last sent.
	bool outcome_unknown = false;            ///< Some send ended in doubt: it may have run.
	bool concluded = false;                  ///< Final answer given, or caller gone.

private:
	void OnCallerDisconnected();
	void LogSend(TimePoint now);
};

/** A request whose answer is held until it is whole. */
class BufferedRelay : public RelayCall {
public:
	using RelayCall::RelayCall;

protected:
	bool OnHead(uint64_t from, const HttpHead &head) override;
	void OnBody(uint64_t from, std::string_view bytes) override;
	void OnEnd(uint64_t from, UpstreamEnd end, const char *cause) override;
	bool DeliverKeptAnswer() override;

private:
	/** A whole answer of a target. */
	struct Answer {
		HttpHead head;    ///< Head.
		AnswerInfo info;  ///< What its fields say.
		std::string body; ///< Body.
	};

	void OnCompleteAnswer();
	void Deliver(const Answer &answer);

	Answer answer;                     ///< Answer being received.
	std::optional<Answer> kept_answer; ///< Whole answer that tells a fault, kept while another target is tried.
	bool forwarding = false;           ///< The answer is too large to be held: it is passed on as it comes.
};

} // namespace cottonspool
