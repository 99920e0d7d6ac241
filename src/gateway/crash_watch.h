/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_watch.h Finds out whether a target that interrupted sends has crashed, and which requests may have caused it. */

#pragma once

#include "decision/request_features.h"
#include "gateway/run_stage_type.h"
#include "platform/wire_engine.h"
#include <deque>
#include <map>

namespace cottonspool {

/** A send that ended before its answer was complete. */
struct InterruptedSend {
	RequestFingerprint fingerprint;
	std::string request;                ///< Id of this attempt, for logs.
	RunStage stage = RunStage::Waiting; ///< Progress of the request at the target.
	FeatureList shared{};               ///< Features of the request that other requests may have as well.
};

/** The target of an interrupted send. */
struct ProbedTarget {
	TargetIncarnation incarnation;
	Endpoint address;
	std::string path; ///< Path for the liveness probe, which causes no work.
};

/** Result of checking a target that interrupted sends. */
struct CrashCheck {
	ProbedTarget target;
	std::optional<ProbeResult> result;    ///< Result of the liveness probe; nothing if it timed out.
	std::vector<InterruptedSend> sends;   ///< Interrupted sends that may have crashed the target.
	std::vector<InterruptedSend> cleared; ///< Interrupted sends that were still waiting when others had started, and so did not crash it.
	Duration took{0};                     ///< Time from the first interrupted send to the result.

	/** @return Whether the target has crashed; one that does not answer may just be unreachable or suspended. */
	bool HasCrashed() const { return this->result == ProbeResult::Refused || this->result == ProbeResult::OtherIncarnation; }
};

/** Sends a liveness probe to each target that interrupts a send, one for all its interrupted sends. */
class CrashWatch {
public:
	using Handler = std::function<void(const CrashCheck &)>;

	/** @param cancelled_window Time for which a cancelled send may still be the cause of a crash. */
	CrashWatch(HttpUpstream &upstream, Duration timeout, Duration cancelled_window, Handler handler)
	    : upstream(upstream), timeout(timeout), cancelled_window(cancelled_window), handler(std::move(handler))
	{
	}

	/** \a target interrupted \a send. @return Whether this counts as a crash under it until the probe has answered. */
	bool OnSendInterrupted(const ProbedTarget &target, InterruptedSend send, TimePoint now);

	/**
	 * \a send to the target incarnation \a incarnation was cancelled, as its caller disconnected; it becomes a suspect if the target soon
	 * turns out to have crashed.
	 */
	void OnSendCancelled(const std::string &incarnation, InterruptedSend send, TimePoint now);

	/** The target incarnation \a incarnation has terminated, as another one is listed or answers at its address. */
	void OnOtherIncarnation(const std::string &incarnation, TimePoint now);

	/** Time out and repeat probes; to be called several times a second. */
	void OnTick(TimePoint now);

private:
	/** A check in progress. */
	struct PendingCheck {
		CrashCheck check;
		TimePoint started_at; ///< Time of the first interrupted send.
		uint64_t call = 0;    ///< Probe in progress; 0 if it is to be repeated.
		uint32_t probes = 0;  ///< Probes sent.
		uint64_t token = 0;   ///< Distinguishes its answer from that of an earlier check of the same target.
	};

	/** A cancelled send. */
	struct CancelledSend {
		std::string incarnation; ///< Target incarnation.
		InterruptedSend send;
		TimePoint at; ///< Time of the cancellation.
	};

	/** @return Whether a send to \a incarnation was recently cancelled. */
	bool HasCancelledSend(const std::string &incarnation) const;
	/** Add the recently cancelled sends to the target of \a check to its suspects. */
	void AddCancelledSends(CrashCheck &check);
	/** Send a liveness probe to the target \a name. */
	void SendProbe(const std::string &name, PendingCheck &check);
	/** Conclude the check, or repeat the probe at the next tick. */
	void OnProbeResult(const std::string &name, uint64_t token, ProbeResult result);
	/** Sort out the suspects of a finished check, and report it. */
	void Conclude(const std::string &name, TimePoint now);

	HttpUpstream &upstream;
	Duration timeout;                          ///< Timeout of the probe.
	Duration cancelled_window;                 ///< Time for which a cancelled send may be the cause of a crash.
	std::deque<CancelledSend> cancelled_sends; ///< Recently cancelled sends, oldest first.
	Handler handler;
	std::map<std::string, PendingCheck> pending; ///< Checks in progress by target incarnation.
	uint64_t next_token = 1;
};

} // namespace cottonspool
