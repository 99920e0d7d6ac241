/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher.h Decides for each call whether it waits, is sent, retried or rejected. No I/O: events and times in, decisions out. */

#pragma once

#include "decision/account_shares.h"
#include "decision/call_queue.h"
#include "decision/overload_tracker.h"
#include "decision/quarantine.h"
#include "decision/retry_budget.h"
#include "decision/router_base.h"
#include "decision/serving_type.h"
#include "decision/urgent_room.h"
#include <utility>

namespace cottonspool {

/** Settings of a dispatcher. */
struct DispatchLimits {
	AdmissionLimits targets;               ///< Admission to targets and their health.
	QueueLimits queue;                     ///< Queue of waiting calls.
	RetryLimits retry;                     ///< Retry budget of each target and of each client account.
	std::optional<RetryLimits> pool_retry; ///< Retry budget of each model or service; if set, it replaces the other two.
	uint32_t max_unreachable_sends = 6;    ///< Consecutive unreachable targets after which a call is rejected.
	LengthEstimateLimits lengths;          ///< Output length estimate.
	QuarantineLimits quarantine;           ///< Quarantine of requests that crash targets.
	ShareLimits shares;                    ///< Shares of client accounts in the memory of pools.
	bool refuse_early = true;              ///< Reject a call at once if its expected wait exceeds its deadline.
	bool leave_urgent_room = true;         ///< Calls of less urgent routes leave room for a call of a more urgent one.
	bool use_rescue_order = false;         ///< Copy the runs of a draining engine first that can still be saved; see CopyOrderRules.
	bool retry_failed = true;              ///< Retry repeatable calls that failed at a target on another one.
	uint32_t max_attempts = 3;             ///< Maximum number of attempts per call, unless the call sets its own.
	size_t max_heads_tried = 24;           ///< Maximum number of flows tried per class, model and pass over the queue.
	Duration retry_after_min = std::chrono::milliseconds(500); ///< Minimum Retry-After of rejections.
	Duration retry_after_max = std::chrono::seconds(30);       ///< Maximum Retry-After of rejections.
};

/** Outcome of one attempt to run a call on a target. */
enum class SendOutcome : uint8_t {
	Complete,           ///< The complete answer was received.
	NotSent,            ///< No byte reached the target; does not count as an attempt.
	NotExecuted,        ///< The target stated that it did not execute the call.
	Rejected,           ///< The target did not execute the call and asked for a pause.
	Failed,             ///< The complete answer was received and reports a failure of the target.
	Lost,               ///< The outcome is unknown, or the run was lost before anything was delivered to the caller.
	LostAfterDelivery,  ///< The run was lost after a part was delivered to the caller; never retried.
	CallerDisconnected, ///< The caller disconnected.
};

/** Counters of a dispatcher since its start. */
struct DispatchCounters {
	uint64_t submitted = 0;                               ///< Calls submitted.
	uint64_t sends = 0;                                   ///< Attempts, including retries.
	uint64_t retries = 0;                                 ///< Retries.
	std::array<uint64_t, REJECT_REASON_COUNT> rejected{}; ///< Rejected calls by reason.
};

/** Makes the decisions for all calls of one instance. */
class Dispatcher {
public:
	Dispatcher(DispatchLimits limits, std::unique_ptr<Router> router);

	/**
	 * Set this instance's share of the retry burst that all \a instances together have for each model or service.
	 * @param slack The common burst.
	 * @param own Name of this instance: if the share is less than one retry, a hash of the names selects the instances that get one.
	 */
	void SetRetryShare(double slack, size_t instances, std::string_view own);

	/** Handle the new call \a call. */
	Decisions Submit(const CallSpec &call, TimePoint now);

	/**
	 * Handle a change of targets, their restrictions, data halls or home regions: waiting calls that no target can serve any more are
	 * rejected, others are dispatched if possible.
	 */
	Decisions OnPlacementChanged(TimePoint now);

	/** Handle a change of the quarantine: waiting calls that are now quarantined are rejected. */
	Decisions OnQuarantineChanged(TimePoint now);

	/** @return The quarantine, to update and to query. */
	Quarantine &QuarantineState() { return this->quarantine; }

	/** Set the data halls in which \a call may run, in order of preference. */
	void SetHalls(CallId call, std::vector<HallPreference> halls);

	/** Remove \a call, which another instance will serve: it waits, or its target could not be reached and has got nothing of it. */
	void Withdraw(CallId call, TimePoint now);

	/** @return Whether a call for \a model that a target has got may be sent to another one by another instance; it is a retry. */
	[[nodiscard]] bool TryRetryElsewhere(ModelNumber model);

	/** Remove the waiting \a call because its caller disconnected. */
	void CancelWaiting(CallId call);

	/** Handle the arrival of \a tokens output tokens of \a call. */
	void OnToken(CallId call, TimePoint now, uint32_t tokens = 1);

	/** @return The target to migrate the run of \a call to, other than its present one and \a refused; nothing if none has headroom. */
	std::optional<TargetNumber> ChooseMigrationTarget(CallId call, const std::vector<TargetNumber> &refused, TimePoint now);

	/**
	 * Time to wait before the migration copy of \a call is requested. Runs that migrate from an engine at the same time are copied one
	 * after another over its link, in the order of CopyDelay(). A copy is a snapshot from the time of its request, so an early request
	 * misses the tokens that are generated while it waits for the link.
	 * @param pool Properties of the engines of the pool.
	 * @param min_remaining Runs with a shorter expected remaining time are not migrated.
	 * @return Expected time until the runs that go first have been copied.
	 */
	Duration MigrationCopyDelay(CallId call, const EnginePool &pool, Duration min_remaining, TimePoint now) const;

	/** @return Expected remaining time of the run \a flight at \a source. */
	Duration RemainingTime(const InFlightCall &flight, const TargetState &source, TimePoint now) const;

	/** Handle the migration of the run of \a call to \a target. */
	void OnMigrated(CallId call, TargetNumber target, TimePoint now);

	/** @return The calls in flight at \a target, those with the longest expected remaining output first. */
	std::vector<CallId> CallsAt(TargetNumber target) const;

	/** Handle the end of an attempt of \a call: the call is queued for a retry, rejected, or forgotten if it is done. */
	Decisions OnSendEnded(CallId call, SendOutcome end, TimePoint now);

	/**
	 * Set whether the calls of most instances are known here. While they are not, no account is limited to its share.
	 * Initially they are not.
	 */
	void SetShareView(bool complete);

	/** @return Accounts that have gone above or below their share since the last call. */
	std::vector<ShareChange> TakeShareChanges() { return std::exchange(this->share_changes, {}); }

	/** @return The shares of client accounts. */
	const AccountShares &Shares() const { return this->shares; }

	/** Handle a load report of \a target. */
	Decisions OnReport(TargetNumber target, const LoadReport &report, TimePoint now);

	/** Reject calls whose deadline has passed and dispatch others if possible; to be called about ten times a second. */
	Decisions OnTick(TimePoint now);

	/** @return The targets, to configure and to query. */
	TargetTable &Targets() { return this->targets; }

	/** @return The targets, to query. */
	const TargetTable &Targets() const { return this->targets; }

	/** @return The target to which \a call was sent, or nothing while it waits. */
	std::optional<TargetNumber> Holder(CallId call) const;

	/** @return The queue of waiting calls. */
	const CallQueue &Queue() const { return this->queue; }

	/** @return Number of calls in flight. */
	size_t InFlight() const { return this->in_flight; }

	/** @return The counters. */
	const DispatchCounters &Counters() const { return this->counters; }

	/** @return The output length estimate. */
	const LengthEstimate &Lengths() const { return this->lengths; }

private:
	/** A call that is waiting or in flight. */
	struct TrackedCall {
		CallSpec call;
		std::optional<TargetNumber> holder; ///< Target to which it was sent.
		uint32_t attempts = 0;              ///< Attempts so far.
		uint32_t unreachable_sends = 0;     ///< Consecutive targets that could not be reached.
		bool counted = false;               ///< Its first attempt was counted in the retry budget of its pool.
		double charged_tokens = 0;          ///< Tokens charged to its flow in the queue.
		TimePoint not_before;               ///< Earliest time of the next attempt.
		bool waits_for_headroom = false;    ///< Whether it waits although a target without headroom may get it.
	};

	/** Send the waiting \a call if a target may get it now. @return Whether it was sent. */
	bool TrySend(const CallSpec &call, TimePoint now, Decisions &decisions);
	/** @return Expected lateness of \a call at \a target; nothing if the placement does not use it. */
	std::optional<ExpectedLateness> LatenessAt(const CallSpec &call, TargetNumber target, TimePoint now) const;
	/** Send waiting calls in the order of the queue for as long as any can be sent. */
	void DispatchWaiting(TimePoint now, Decisions &decisions);
	/** Reject \a call, which is no longer in the queue. */
	void Reject(const CallSpec &call, RejectReason reason, TimePoint now, Decisions &decisions);
	/**
	 * Reject the waiting \a call if restrictions keep it from all targets until after its deadline.
	 * @return Whether it was rejected.
	 */
	bool RejectIfRestricted(const CallSpec &call, TimePoint now, Decisions &decisions);
	/** Update the shares of accounts, if it is time to. */
	void UpdateShares(TimePoint now);
	/** @return Whether a target may get \a call now, apart from its headroom; always false while the shares are not in use. */
	bool WaitsForHeadroom(const CallSpec &call, TimePoint now) const;
	/** @return The demand of all accounts for the memory of the engines of \a pool. */
	PoolDemand DemandFor(ModelNumber pool, TimePoint now) const;
	/** @return Whether \a call is limited, as its account is above its share of a scarce pool. */
	bool IsLimited(const CallSpec &call) const
	{
		return this->share_view && call.generated && this->shares.IsLimited(call.model, call.account);
	}
	/**
	 * @return Retry-After for the waiting call \a tracked, if it has to be rejected as its account does not fall below its share in time;
	 *         nothing otherwise.
	 */
	std::optional<Duration> RejectionForShare(const TrackedCall &tracked, TimePoint now) const;
	/** Reject the waiting \a call, as its account is above its share. */
	void RejectForShare(CallId call, Duration retry_after, Decisions &decisions);
	/** Reject the waiting calls of accounts that don't fall below their share in time. */
	void RejectAboveShare(TimePoint now, Decisions &decisions);
	/** @return Retry-After for the caller of \a call, which is rejected at \a now. */
	Duration RetryAfter(const CallSpec &call, TimePoint now) const;
	/** @return Expected time until the calls ahead of \a call are dispatched; zero while the dispatch rate is unknown. */
	Duration QueueDelay(const CallSpec &call) const;
	/** Queue the call \a tracked for a retry after an attempt with the outcome \a end, or reject it. */
	void RetryCall(TrackedCall &tracked, SendOutcome end, TimePoint now, Decisions &decisions);
	/** Queue the call \a tracked for another target after its target could not be reached, or reject it. */
	void RetryUnreachable(TrackedCall &tracked, TimePoint now, Decisions &decisions);
	/** Restart the wait limit of the call \a tracked for its next attempt. @return The time after which it must not be retried. */
	TimePoint ExtendDeadline(TrackedCall &tracked, TimePoint now) const;
	/** Count the first attempt of the call \a tracked in the retry budget of its pool, unless that was done before. */
	void CountFirstAttempt(TrackedCall &tracked);
	/** Take the attempt back that the call \a tracked was to have next, as it will have none here. */
	void WithdrawFromBudget(TrackedCall &tracked);
	/** Deduct a retry of the call \a tracked from the retry budgets. @return Whether they allow it. */
	bool SpendRetry(const TrackedCall &tracked);
	/** @return The retry budget of \a model, or null if models have none. */
	RetryBudget *PoolBudget(ModelNumber model);
	/** Update the dispatch rate at the end of a window in which \a tokens were dispatched. */
	void UpdateDispatchRate(double tokens, TimePoint now);
	/** @return Expected cost of \a call in the queue, in tokens. */
	double ExpectedTokens(const CallSpec &call) const;
	/** @return Whether any target could serve \a call, now or later. */
	bool HasEligibleTarget(const CallSpec &call) const;
	/** @return Whether \a call is quarantined. */
	bool IsQuarantined(const CallSpec &call, TimePoint now) const
	{
		return this->quarantine.Assess(call.features, now) == Suspicion::Quarantined;
	}
	/** Reject the waiting calls for which \a refuse returns true. */
	template <typename Refuse> void RejectWaiting(RejectReason reason, TimePoint now, Decisions &decisions, Refuse refuse);

	DispatchLimits limits;
	LengthEstimate lengths;                                      ///< Output length estimate.
	TargetTable targets;                                         ///< State of the targets.
	CallQueue queue;                                             ///< Queue of waiting calls.
	std::unique_ptr<Router> router;                              ///< Chooses the target of a call.
	std::unordered_map<CallId, TrackedCall, StrongIdHash> calls; ///< Calls that are waiting or in flight.
	std::unordered_map<uint32_t, RetryBudget> target_budgets;    ///< Retry budgets by target.
	std::unordered_map<uint32_t, RetryBudget> account_budgets;   ///< Retry budgets by client account.
	std::unordered_map<uint32_t, RetryBudget> pool_budgets;      ///< Retry budgets by model or service.
	std::unordered_map<uint32_t, OverloadTracker> overloads;     ///< Duration of the present overload, by model or service.
	UrgentRoom urgent_room;                                      ///< Memory to leave free for calls of more urgent routes.
	AccountShares shares;                                        ///< Accounts above their share of a pool.
	std::unordered_map<uint32_t, double> account_weights;        ///< Weights other than 1, by account.
	std::vector<ShareChange> share_changes;                      ///< Changes not yet taken.
	Quarantine quarantine;                                       ///< Requests that are suspected of crashing targets.
	DispatchCounters counters;
	size_t in_flight = 0;      ///< Number of calls in flight.
	double dispatch_rate = 0;  ///< Tokens dispatched per second while calls waited; 0 while unknown.
	double window_tokens = 0;  ///< Tokens dispatched in the current window.
	TimePoint window_start;    ///< Start of the current window.
	TimePoint last_slow_check; ///< Time of the last check for slow targets.
	TimePoint shares_updated;  ///< When the shares of accounts were last updated.
	bool share_view = false;   ///< Whether the calls of most instances are known here.
};

} // namespace cottonspool
