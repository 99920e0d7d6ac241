/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file end_watch.h Finds out whether a target that interrupted sends has crashed, and which requests may have caused it. */

#pragma once

#include "decision/request_print.h"
#include "gateway/run_stage_type.h"
#include "platform/wire_engine.h"
#include <deque>
#include <map>

namespace cottonspool {

/** A send that ended before its answer was complete. */
struct BrokenSend {
	RequestPrint print;
	std::string request;                ///< Id of this attempt, for logs.
	RunStage stage = RunStage::Waiting; ///< Progress of the request at the target.
};

/** The target of an interrupted send. */
struct BrokenTarget {
	TargetLife life;
	Endpoint address;
	std::string path; ///< Path for the liveness probe, which causes no work.
};

/** Result of checking a target that interrupted sends. */
struct TargetCheck {
	BrokenTarget target;
	std::optional<LifeSign> sign;    ///< Result of the liveness probe; nothing if it timed out.
	std::vector<BrokenSend> sends;   ///< Interrupted sends that may have crashed the target.
	std::vector<BrokenSend> cleared; ///< Interrupted sends that were still waiting when others had started, and so did not crash it.
	Duration took{0};                ///< Time from the first interrupted send to the result.

	/** @return Whether the target has crashed; one that does not answer may just be unreachable or suspended. */
	bool HasEnded() const { return this->sign == LifeSign::Refused || this->sign == LifeSign::OtherLife; }
};

/** Sends a liveness probe to each target that interrupts a send, one for all its interrupted sends. */
class EndWatch {
public:
	using Handler = std::function<void(const TargetCheck &)>;

	/** @param lately Time for which a cancelled send may still be the cause of a crash. */
	EndWatch(HttpUpstream &upstream, Duration limit, Duration lately, Handler handler)
	    : upstream(upstream), limit(limit), lately(lately), handler(std::move(handler))
	{
	}

	/** \a target interrupted \a send. @return Whether this counts as a crash under it until the probe has answered. */
	bool OnBroken(const BrokenTarget &target, BrokenSend send, TimePoint now);

	/**
	 * \a send to the target incarnation \a life was cancelled, as its caller disconnected; it becomes a suspect if the target soon turns
	 * out to have crashed.
	 */
	void OnWithdrawn(const std::string &life, BrokenSend send, TimePoint now);

	/** The target incarnation \a life has terminated, as another one is listed or answers at its address. */
	void OnOtherLife(const std::string &life, TimePoint now);

	/** Time out and repeat probes; to be called several times a second. */
	void OnTick(TimePoint now);

private:
	/** A check in progress. */
	struct Pending {
		TargetCheck check;
		TimePoint begun;    ///< Time of the first interrupted send.
		uint64_t call = 0;  ///< Probe in progress; 0 if it is to be repeated.
		uint32_t asks = 0;  ///< Probes sent.
		uint64_t token = 0; ///< Distinguishes its answer from that of an earlier check of the same target.
	};

	/** A cancelled send. */
	struct Withdrawn {
		std::string life; ///< Target incarnation.
		BrokenSend send;
		TimePoint at; ///< Time of the cancellation.
	};

	bool HasWithdrawn(const std::string &life) const;
	void TakeWithdrawn(TargetCheck &check);
	void Ask(const std::string &name, Pending &check);
	void OnSign(const std::string &name, uint64_t token, LifeSign sign);
	void Conclude(const std::string &name, TimePoint now);

	HttpUpstream &upstream;
	Duration limit;                  ///< Timeout of the probe.
	Duration lately;                 ///< Time for which a cancelled send may be the cause of a crash.
	std::deque<Withdrawn> withdrawn; ///< Recently cancelled sends, oldest first.
	Handler handler;
	std::map<std::string, Pending> pending; ///< Checks in progress by target incarnation.
	uint64_t next_token = 1;
};

} // namespace cottonspool
