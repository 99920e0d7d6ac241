/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher.h The decisions about calls: wait, send, send again, refuse. Pure: events and times in, decisions out. */

#pragma once

#include "decision/call_queue.h"
#include "decision/overload_tracker.h"
#include "decision/quarantine.h"
#include "decision/retry_budget.h"
#include "decision/router_base.h"
#include "decision/serving_type.h"

namespace cottonspool {

/** Settings of a dispatcher. */
struct DispatchLimits {
	AdmissionLimits targets;                                   ///< Admission and health of targets.
	QueueLimits queue;                                         ///< Waiting calls.
	RetryLimits retry;                                         ///< Retries caused by one target, and spent for one client account.
	std::optional<RetryLimits> pool_retry;                     ///< Retries at all targets of one model or service together.
	uint32_t max_unreachable_sends = 6;                        ///< Most targets tried in a row that could not be reached.
	LengthEstimateLimits lengths;                              ///< Length estimate.
	QuarantineLimits quarantine;                               ///< Requests under which targets end.
	bool refuse_early = true;                                  ///< Give up at once when the expected wait passes the deadline.
	bool retry_failed = true;                                  ///< Send a repeatable call that failed at a target to another.
	uint32_t max_attempts = 3;                                 ///< Most sends of one call.
	size_t max_heads_tried = 24;                               ///< Waiting accounts tried per class and event.
	Duration retry_after_min = std::chrono::milliseconds(500); ///< Least time told to come back after.
	Duration retry_after_max = std::chrono::seconds(30);       ///< Largest time told to come back after.
};

/** How a send ended. */
enum class SendOutcome : uint8_t {
	Complete,           ///< The whole answer came.
	NotSent,            ///< Certain: no byte has reached a target; does not count as an attempt.
	NotExecuted,        ///< Certain: the target has not begun.
	Rejected,           ///< The same, and it has asked for a pause.
	Failed,             ///< The whole answer came, and it tells a fault of the target.
	Lost,               ///< In doubt, or the run is lost with nothing delivered.
	LostAfterDelivery,  ///< Lost after something reached the caller; never sent again.
	CallerDisconnected, ///< The caller went away.
};

/** Counters of a dispatcher since its start. */
struct DispatchCounters {
	uint64_t submitted = 0;                               ///< Calls taken in.
	uint64_t sends = 0;                                   ///< Sends, first and repeated.
	uint64_t retries = 0;                                 ///< Repeated sends.
	std::array<uint64_t, REJECT_REASON_COUNT> rejected{}; ///< Refusals by reason.
};

/** Decides for all calls of one instance. */
class Dispatcher {
public:
	Dispatcher(DispatchLimits limits, std::unique_ptr<Router> router);

	/**
	 * Share the retries that all instances may save up, \a slack for each model or service, among \a instances.
	 * @param own Name of this one: where there is less than one for each, the names tell who gets one.
	 */
	void SetRetryShare(double slack, size_t instances, std::string_view own);

	/** A new call has come in. */
	Decisions Submit(const CallSpec &call, TimePoint now);

	/** Targets, what they say of themselves, halls or homes have changed: calls that can't be served any more are refused at once, others
	 * may be sent. */
	Decisions OnPlacementChanged(TimePoint now);

	/** What is held against requests has changed: those that are quarantined by now and wait here are refused at once. */
	Decisions OnQuarantineChanged(TimePoint now);

	/** @return Ends of targets under requests, to add to and to look at. */
	Quarantine &QuarantineState() { return this->quarantine; }

	/** \a call may run in \a halls from now on, in this order of preference. */
	void SetHalls(CallId call, std::vector<HallPreference> halls);

	/** The caller of \a call went away while it waited. */
	void CancelWaiting(CallId call);

	/** \a tokens of \a call came at once. */
	void OnToken(CallId call, TimePoint now, uint32_t tokens = 1);

	/** @return Where a run of \a call could go on, other than where it is and than \a refused; nothing when there is no room. */
	std::optional<TargetNumber> ChooseMigrationTarget(CallId call, const std::vector<TargetNumber> &refused, TimePoint now);

	/**
	 * Runs that leave an engine together are copied one after another over its link, and a copy holds what the run had when it
	 * was asked for: one asked for too early lacks all that the run makes while it waits for the link.
	 * @param pool What is known of the engines of the pool.
	 * @param min_remaining Runs that are expected to end within it are not copied.
	 * @return Time from the notice until the runs that go before \a call, those that hold less memory, have been copied.
	 */
	Duration MigrationCopyDelay(CallId call, const EnginePool &pool, Duration min_remaining) const;

	/** The run of \a call goes on at \a target. */
	void OnMigrated(CallId call, TargetNumber target, TimePoint now);

	/** @return The calls whose runs \a target holds, those with most still to come first. */
	std::vector<CallId> CallsAt(TargetNumber target) const;

	/** The send of \a call has ended. A call that may run again waits again; otherwise it is forgotten or given up. */
	Decisions OnSendEnded(CallId call, SendOutcome end, TimePoint now);

	/** A load report of \a target came. */
	Decisions OnReport(TargetNumber target, const LoadReport &report, TimePoint now);

	/** Time has passed; to be called some ten times a second. */
	Decisions OnTick(TimePoint now);

	/** @return The targets, to configure and to look at. */
	TargetTable &Targets() { return this->targets; }

	/** @return The targets, to look at. */
	const TargetTable &Targets() const { return this->targets; }

	/** @return The target that holds \a call, or nothing while it waits. */
	std::optional<TargetNumber> Holder(CallId call) const;

	/** @return Calls waiting here. */
	const CallQueue &Queue() const { return this->queue; }

	/** @return Calls sent and not yet ended. */
	size_t InFlight() const { return this->in_flight; }

	/** @return Counters since the start. */
	const DispatchCounters &Counters() const { return this->counters; }

	/** @return Expected lengths. */
	const LengthEstimate &Lengths() const { return this->lengths; }

private:
	/** A call that is waiting or sent. */
	struct TrackedCall {
		CallSpec call;                      ///< The call.
		std::optional<TargetNumber> holder; ///< Target that has it.
		uint32_t attempts = 0;              ///< Sends so far.
		uint32_t unreachable_sends = 0;     ///< Targets in a row that could not be reached.
		double charged = 0;                 ///< Tokens its account was charged.
		TimePoint not_before;               ///< Earliest next send, after a failed one.
	};

	bool TrySend(const CallSpec &call, TimePoint now, Decisions &decisions);
	void Drain(TimePoint now, Decisions &decisions);
	void Reject(const CallSpec &call, RejectReason reason, TimePoint now, Decisions &decisions);
	/**
	 * Give up \a call, which waits, if no target may get it before its deadline: it is told so at once, and when one may.
	 * @return Whether it was given up.
	 */
	bool RejectIfRestricted(const CallSpec &call, TimePoint now, Decisions &decisions);
	/** @return When the caller of \a call, refused at \a now, should come back. */
	Duration RetryAfter(const CallSpec &call, TimePoint now) const;
	/** @return Time in which what waits before \a call is expected to be sent; zero while that is unknown. */
	Duration Drain(const CallSpec &call) const;
	void RetryCall(TrackedCall &tracked, SendOutcome end, TimePoint now, Decisions &decisions);
	void RetryUnreachable(TrackedCall &tracked, TimePoint now, Decisions &decisions);
	TimePoint ExtendDeadline(TrackedCall &tracked, TimePoint now) const;
	bool SpendRetry(const TrackedCall &tracked);
	RetryBudget *PoolBudget(ModelNumber model);
	void UpdateDispatchRate(double tokens, TimePoint now);
	double ExpectedTokens(const CallSpec &call) const;
	bool HasEligibleTarget(const CallSpec &call) const;
	bool IsQuarantined(const CallSpec &call, TimePoint now) const
	{
		return this->quarantine.Judge(call.fingerprint, now) == Suspicion::Quarantined;
	}
	/** Refuse waiting calls for which \a refuse is true. */
	template <typename Refuse> void RejectWaiting(RejectReason reason, TimePoint now, Decisions &decisions, Refuse refuse);

	DispatchLimits limits;                                       ///< Settings.
	LengthEstimate lengths;                                      ///< Expected lengths.
	TargetTable targets;                                         ///< Targets.
	CallQueue queue;                                             ///< Waiting calls.
	std::unique_ptr<Router> router;                              ///< Choice of a target.
	std::unordered_map<CallId, TrackedCall, StrongIdHash> calls; ///< Calls not yet ended.
	std::unordered_map<uint32_t, RetryBudget> target_budgets;    ///< Retries caused by each target.
	std::unordered_map<uint32_t, RetryBudget> account_budgets;   ///< Retries spent for each account.
	std::unordered_map<uint32_t, RetryBudget> pool_budgets;      ///< Retries at all targets of each model or service.
	std::unordered_map<uint32_t, OverloadTracker> overloads;     ///< Refusals for want of room, by model or service.
	Quarantine quarantine;                                       ///< Requests under which targets have ended.
	DispatchCounters counters;                                   ///< Counters.
	size_t in_flight = 0;                                        ///< Calls sent and not ended.
	double rate = 0;                                             ///< Tokens dispatched a second while calls waited; 0 while unknown.
	double rate_tokens = 0;                                      ///< Tokens dispatched in the running window.
	TimePoint rate_since;                                        ///< Start of the running window.
	TimePoint slow_checked;                                      ///< When slow targets were last looked for.
};

} // namespace cottonspool
