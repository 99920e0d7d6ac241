/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_watch.h Finds out whether a target that broke sends off has ended, and which requests it had just begun. */

#pragma once

#include "decision/request_fingerprint.h"
#include "gateway/run_stage_type.h"
#include "platform/wire_engine.h"
#include <deque>
#include <map>

namespace cottonspool {

/** A send that ended before its answer was whole. */
struct InterruptedSend {
	RequestFingerprint fingerprint;     ///< The request.
	std::string request;                ///< Id of this try, for logs.
	RunStage stage = RunStage::Waiting; ///< How far it had come.
};

/** Target that broke a send off. */
struct ProbedTarget {
	TargetIncarnation incarnation; ///< Which life of which target.
	Endpoint address;              ///< Where it was.
	std::string path;              ///< What it answers without doing work.
};

/** What was found out about a target that broke sends off. */
struct CrashCheck {
	ProbedTarget target;                  ///< Target.
	std::optional<ProbeResult> sign;      ///< What came of asking it; nothing if it stayed silent.
	std::vector<InterruptedSend> sends;   ///< Sends that it broke off and that may have ended it.
	std::vector<InterruptedSend> cleared; ///< Sends that it broke off and that have not ended it: others had begun there.
	Duration took{0};                     ///< Time from the first of them to the finding.

	/** @return Whether it has ended: a target that stays silent may as well be cut off, or frozen. */
	bool HasCrashed() const { return this->sign == ProbeResult::Refused || this->sign == ProbeResult::OtherIncarnation; }
};

/** Asks each target that breaks a send off for a sign of life, once for all sends that it breaks off together. */
class CrashWatch {
public:
	using Handler = std::function<void(const CrashCheck &)>;

	/** @param cancelled_window Time for which a send that was taken back may still end its target. */
	CrashWatch(HttpUpstream &upstream, Duration limit, Duration cancelled_window, Handler handler)
	    : upstream(upstream), limit(limit), cancelled_window(cancelled_window), handler(std::move(handler))
	{
	}

	/** \a target broke \a send off. @return Whether it counts as ended under it until it has answered. */
	bool OnSendInterrupted(const ProbedTarget &target, InterruptedSend send, TimePoint now);

	/**
	 * \a send was taken back from the life \a incarnation of a target, as its caller left: should it be found to have ended shortly after,
	 * this may be what ended it.
	 */
	void OnSendCancelled(const std::string &incarnation, InterruptedSend send, TimePoint now);

	/** The life \a incarnation of a target has ended, as another one is listed or answers in its place. */
	void OnOtherIncarnation(const std::string &incarnation, TimePoint now);

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

private:
	/** A check under way. */
	struct PendingCheck {
		CrashCheck check;    ///< What is known of it.
		TimePoint begun;     ///< When it began.
		uint64_t call = 0;   ///< Call under way; 0 while it is to be asked again.
		uint32_t probes = 0; ///< Times that it was asked.
		uint64_t token = 0;  ///< Tells its answer from that of an earlier check of the same target.
	};

	/** A send that was taken back. */
	struct CancelledSend {
		std::string incarnation; ///< Where it was.
		InterruptedSend send;    ///< Send.
		TimePoint at;            ///< When.
	};

	bool HasCancelledSend(const std::string &incarnation) const;
	void AddCancelledSends(CrashCheck &check);
	void SendProbe(const std::string &name, PendingCheck &check);
	void OnProbeResult(const std::string &name, uint64_t token, ProbeResult sign);
	void Conclude(const std::string &name, TimePoint now);

	HttpUpstream &upstream;                      ///< Calls to targets.
	Duration limit;                              ///< Longest wait for a sign of life.
	Duration cancelled_window;                   ///< Time for which a send that was taken back may end its target.
	std::deque<CancelledSend> cancelled_sends;   ///< Sends taken back lately, oldest first.
	Handler handler;                             ///< Gets what was found out.
	std::map<std::string, PendingCheck> pending; ///< Checks under way by target.
	uint64_t next_token = 1;                     ///< Number of the next check.
};

} // namespace cottonspool
