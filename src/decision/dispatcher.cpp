/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher.cpp Admission, dispatch, retries and rejections of calls. */

#include "decision/dispatcher.h"
#include "core/hash_func.h"
#include "decision/copy_order.h"
#include "decision/placement_table.h"
#include <algorithm>

namespace cottonspool {

static constexpr Duration RATE_WINDOW = std::chrono::seconds(1);         ///< Window over which the dispatch rate is measured.
static constexpr double RATE_SMOOTHING = 0.3;                            ///< Weight of the newest window in the dispatch rate.
static constexpr Duration SLOW_CHECK_INTERVAL = std::chrono::seconds(1); ///< Interval of the check for slow targets.
static constexpr size_t MAX_ACCOUNT_BUDGETS = 4096;                      ///< Number of account budgets above which all are dropped.

/**
 * Pressure advantage that an engine in another hall needs to be the target of a migration. A copy between halls takes twice as long, and
 * other copies wait for the link behind it.
 */
static constexpr double MIGRATION_OTHER_HALL_PENALTY = 0.5;

/** Time between tokens assumed for a target without measurements, in seconds. A step of an engine takes 7 ms or more. */
static constexpr double DEFAULT_TOKEN_INTERVAL = 0.01;

/** Base of the priority that is passed to the engine, by class; the engine preempts the smallest first. */
static constexpr std::array<int, SERVICE_CLASS_COUNT> CLASS_PRIORITY{200, 100, 0};

Dispatcher::Dispatcher(DispatchLimits limits, std::unique_ptr<Router> router)
    : limits(limits), lengths(limits.lengths), targets(limits.targets, this->lengths), queue(limits.queue), router(std::move(router)),
      shares(limits.shares), quarantine(limits.quarantine)
{
}

double Dispatcher::ExpectedTokens(const CallSpec &call) const
{
	if (!call.generated) return 1;
	return call.prompt_tokens + this->lengths.Residual(call, 0);
}

bool Dispatcher::HasEligibleTarget(const CallSpec &call) const
{
	for (TargetNumber number : this->targets.ForModel(call.model)) {
		const TargetState &target = this->targets.Get(number);
		if (!target.restrictions.draining && !target.restrictions.evacuated && MayRunIn(call, target.hall)) return true;
	}
	return false;
}

Duration Dispatcher::QueueDelay(const CallSpec &call) const
{
	return this->dispatch_rate <= 0 ? Duration(0) : FromSeconds(this->queue.TokensAhead(call) / this->dispatch_rate);
}

Duration Dispatcher::RetryAfter(const CallSpec &call, TimePoint now) const
{
	auto overload = this->overloads.find(call.model.value);
	Duration queue_delay = this->QueueDelay(call);
	uint64_t random = HashText("retry-after", call.id.value);
	// A retry only makes sense once the quarantine is over.
	if (this->IsQuarantined(call, now))
		return std::min<Duration>(this->quarantine.RemainingTime(call.features, now), this->limits.retry_after_max);
	Duration wait = overload == this->overloads.end() ? queue_delay : overload->second.RetryAfter(queue_delay, random, now);
	return std::clamp(wait, this->limits.retry_after_min, this->limits.retry_after_max);
}

/** @return Whether \a reason means that there was not enough capacity. */
static bool IsOverload(RejectReason reason)
{
	return reason == RejectReason::DeadlinePassed || reason == RejectReason::WaitTooLong || reason == RejectReason::QueueFull;
}

void Dispatcher::Reject(const CallSpec &call, RejectReason reason, TimePoint now, Decisions &decisions)
{
	this->counters.rejected[static_cast<size_t>(reason)]++;
	if (IsOverload(reason)) this->overloads[call.model.value].OnRejected(now);
	decisions.rejections.push_back({call.id, reason, this->RetryAfter(call, now)});
	auto found = this->calls.find(call.id);
	if (found == this->calls.end()) return;
	// Another instance may serve it, which counts it then.
	if (found->second.attempts == 0) this->WithdrawFromBudget(found->second);
	this->calls.erase(found);
}

/** @return Retry-After for a call that no target may get for \a wait, with jitter from \a random so that callers don't return together. */
static Duration RetryAfterRestriction(Duration wait, uint64_t random)
{
	static constexpr Duration MIN_SPREAD = std::chrono::milliseconds(300);
	static constexpr uint64_t STEPS = 1000;
	Duration spread = MIN_SPREAD + wait / 4;
	return wait + spread * static_cast<int64_t>(random % STEPS) / static_cast<int64_t>(STEPS);
}

bool Dispatcher::RejectIfRestricted(const CallSpec &call, TimePoint now, Decisions &decisions)
{
	RestrictionCounts counts{};
	TimePoint free_at = this->targets.FreeAt(call, now, &counts);
	if (free_at <= std::max(now, call.deadline)) return false;
	this->counters.rejected[static_cast<size_t>(RejectReason::AllRestricted)]++;
	// If no restriction expires by itself, the Retry-After for overload is used.
	bool known = free_at != TimePoint::max();
	Duration wait = known ? RetryAfterRestriction(free_at - now, HashText("bound", call.id.value)) : this->RetryAfter(call, now);
	wait = std::clamp(wait, this->limits.retry_after_min, this->limits.retry_after_max);
	this->queue.Remove(call.id);
	decisions.rejections.push_back({call.id, RejectReason::AllRestricted, wait, counts});
	this->calls.erase(call.id);
	return true;
}

Decisions Dispatcher::Submit(const CallSpec &call, TimePoint now)
{
	Decisions decisions;
	this->counters.submitted++;
	if (call.account_weight != 1) this->account_weights.insert_or_assign(call.account.value, call.account_weight);
	TrackedCall &tracked = this->calls.emplace(call.id, TrackedCall{.call = call}).first->second;
	if (call.generated && this->limits.leave_urgent_room) {
		double need = this->ExpectedTokens(call);
		this->urgent_room.OnCall(call.model, call.route_priority, need, call.max_tokens);
		tracked.call.urgent_room = this->urgent_room.RoomFor(call.model, call.route_priority);
		// In the queue of its account, it must not hold up the calls that it leaves room for.
		if (tracked.call.urgent_room > 0) tracked.call.priority--;
	}
	if (this->IsQuarantined(call, now)) {
		this->Reject(call, RejectReason::Quarantined, now, decisions);
		return decisions;
	}
	if (!this->HasEligibleTarget(call)) {
		this->Reject(call, RejectReason::NoTarget, now, decisions);
		return decisions;
	}
	Duration queue_delay = this->QueueDelay(call);
	if (this->limits.refuse_early && queue_delay > Duration(0) && now + queue_delay > call.deadline) {
		this->Reject(call, RejectReason::WaitTooLong, now, decisions);
		return decisions;
	}
	if (!this->queue.Push(tracked.call, this->ExpectedTokens(call))) {
		this->Reject(call, RejectReason::QueueFull, now, decisions);
		return decisions;
	}
	this->DispatchWaiting(now, decisions);
	auto waiting = this->calls.find(call.id);
	bool waits = waiting != this->calls.end() && !waiting->second.holder;
	if (!waits || this->RejectIfRestricted(call, now, decisions)) return decisions;
	std::optional<Duration> retry_after = this->RejectionForShare(waiting->second, now);
	if (retry_after) this->RejectForShare(call.id, *retry_after, decisions);
	return decisions;
}

template <typename Refuse> void Dispatcher::RejectWaiting(RejectReason reason, TimePoint now, Decisions &decisions, Refuse refuse)
{
	std::vector<CallSpec> refused;
	for (const auto &[id, tracked] : this->calls) {
		if (!tracked.holder && refuse(tracked.call)) refused.push_back(tracked.call);
	}
	for (const CallSpec &call : refused) {
		this->queue.Remove(call.id);
		this->Reject(call, reason, now, decisions);
	}
}

Decisions Dispatcher::OnPlacementChanged(TimePoint now)
{
	Decisions decisions;
	this->RejectWaiting(RejectReason::NoTarget, now, decisions, [this](const CallSpec &call) { return !this->HasEligibleTarget(call); });
	this->DispatchWaiting(now, decisions);
	std::vector<CallSpec> waiting;
	for (const auto &[id, tracked] : this->calls) {
		if (!tracked.holder) waiting.push_back(tracked.call);
	}
	for (const CallSpec &call : waiting) this->RejectIfRestricted(call, now, decisions);
	return decisions;
}

Decisions Dispatcher::OnQuarantineChanged(TimePoint now)
{
	Decisions decisions;
	this->RejectWaiting(RejectReason::Quarantined, now, decisions,
	                    [this, now](const CallSpec &call) { return this->IsQuarantined(call, now); });
	return decisions;
}

void Dispatcher::SetHalls(CallId call, std::vector<HallPreference> halls)
{
	auto found = this->calls.find(call);
	if (found != this->calls.end()) found->second.call.halls = std::move(halls);
}

void Dispatcher::Withdraw(CallId id, TimePoint now)
{
	auto found = this->calls.find(id);
	if (found == this->calls.end()) return;
	TrackedCall &tracked = found->second;
	this->WithdrawFromBudget(tracked);
	if (!tracked.holder) return this->CancelWaiting(id);
	this->targets.OnEnded(*tracked.holder, id, SendResult::Unreachable, now);
	this->in_flight--;
	this->queue.AdjustCharge(tracked.call, -tracked.charged_tokens);
	this->calls.erase(found);
}

void Dispatcher::CancelWaiting(CallId call)
{
	this->queue.Remove(call);
	this->calls.erase(call);
}

bool Dispatcher::TrySend(const CallSpec &call, TimePoint now, Decisions &decisions)
{
	TrackedCall &tracked = this->calls.at(call.id);
	// After a suspension of the process, events are handled before the tick that rejects expired calls.
	if (now < tracked.not_before || now > tracked.call.deadline) return false;
	// The tracked copy has the current halls, which may have changed since the call was queued.
	tracked.call.memory_margin = this->IsLimited(call) ? this->limits.shares.margin : 0;
	std::optional<TargetNumber> target = this->router->Choose(tracked.call, this->targets, now);
	tracked.call.memory_margin = 0;
	tracked.waits_for_headroom = !target && this->WaitsForHeadroom(tracked.call, now);
	if (!target) return false;
	tracked.holder = target;
	tracked.charged_tokens = this->ExpectedTokens(call);
	if (tracked.attempts++ > 0) this->counters.retries++;
	this->CountFirstAttempt(tracked);
	this->counters.sends++;
	this->in_flight++;
	std::optional<ExpectedLateness> lateness = this->LatenessAt(tracked.call, *target, now);
	this->targets.OnSent(*target, call, now);
	this->targets.OnRequestSent(*target, now);
	this->target_budgets.try_emplace(target->value, this->limits.retry).first->second.OnFirstAttempt();
	if (this->account_budgets.size() > MAX_ACCOUNT_BUDGETS) this->account_budgets.clear();
	this->account_budgets.try_emplace(call.account.value, this->limits.retry).first->second.OnFirstAttempt();
	this->window_tokens += tracked.charged_tokens;
	decisions.sends.push_back({call.id, *target, CLASS_PRIORITY[static_cast<size_t>(call.service_class)] + call.priority, lateness});
	return true;
}

std::optional<ExpectedLateness> Dispatcher::LatenessAt(const CallSpec &call, TargetNumber target, TimePoint now) const
{
	if (!call.generated) return std::nullopt;
	const TargetState &state = this->targets.Get(target);
	TimeFactors factors = this->targets.PlacementFactors(state, now);
	if (factors.empty()) return std::nullopt;
	return this->targets.LatenessAt(state, call, factors, now);
}

void Dispatcher::DispatchWaiting(TimePoint now, Decisions &decisions)
{
	auto visit = [&](const CallSpec &call) { return this->TrySend(call, now, decisions); };
	auto defer = [&](const CallSpec &call) { return this->IsLimited(call); };
	while (this->queue.ForEachHead(this->limits.max_heads_tried, visit, defer) > 0) {}
}

void Dispatcher::OnToken(CallId call, TimePoint now, uint32_t tokens)
{
	auto found = this->calls.find(call);
	if (found == this->calls.end() || !found->second.holder) return;
	this->targets.OnToken(*found->second.holder, call, now, tokens);
}

TimePoint Dispatcher::ExtendDeadline(TrackedCall &tracked, TimePoint now) const
{
	CallSpec &call = tracked.call;
	if (call.response_deadline == TimePoint::max()) return call.deadline;
	// Each attempt gets the full wait limit again, up to the time at which the answer is due.
	call.deadline = std::min(call.response_deadline, now + (call.deadline - call.arrived));
	call.arrived = now;
	call.overcommit_from = now;
	return call.response_deadline;
}

/** @return The behaviour of the target that the outcome \a end implies. */
static SendResult SendResultOf(SendOutcome end)
{
	if (end == SendOutcome::Complete || end == SendOutcome::CallerDisconnected) return SendResult::Answered;
	if (end == SendOutcome::Rejected) return SendResult::Rejected;
	return end == SendOutcome::NotSent ? SendResult::Unreachable : SendResult::Failed;
}

Decisions Dispatcher::OnSendEnded(CallId id, SendOutcome end, TimePoint now)
{
	Decisions decisions;
	auto found = this->calls.find(id);
	if (found == this->calls.end() || !found->second.holder) return decisions;
	TrackedCall &tracked = found->second;
	uint32_t generated = this->targets.OnEnded(*tracked.holder, id, SendResultOf(end), now);
	this->in_flight--;
	if (end == SendOutcome::Complete && tracked.call.generated) {
		this->lengths.Learn(tracked.call, generated);
		this->targets.OnOutputComplete(tracked.call, generated);
	}
	double cost = tracked.call.generated ? tracked.call.prompt_tokens + generated : 1;
	this->queue.AdjustCharge(tracked.call, cost - tracked.charged_tokens);
	bool failed = end == SendOutcome::Lost || end == SendOutcome::Failed;
	bool not_executed = end == SendOutcome::NotExecuted || end == SendOutcome::Rejected;
	bool may_retry = not_executed || (failed && tracked.call.repeatable && this->limits.retry_failed);
	if (end == SendOutcome::NotSent) {
		this->RetryUnreachable(tracked, now, decisions);
	} else if (may_retry) {
		this->RetryCall(tracked, end, now, decisions);
	} else {
		this->calls.erase(found);
	}
	this->DispatchWaiting(now, decisions);
	auto waiting = this->calls.find(id);
	if (waiting != this->calls.end() && !waiting->second.holder) this->RejectIfRestricted(CallSpec(waiting->second.call), now, decisions);
	return decisions;
}

Decisions Dispatcher::OnReport(TargetNumber target, const LoadReport &report, TimePoint now)
{
	Decisions decisions;
	this->targets.OnReport(target, report, now);
	this->DispatchWaiting(now, decisions);
	return decisions;
}

void Dispatcher::UpdateDispatchRate(double tokens, TimePoint now)
{
	if (now - this->window_start < RATE_WINDOW) return;
	double measured = tokens / Seconds(now - this->window_start);
	bool saturated = this->queue.Size() > 0;
	if (saturated)
		this->dispatch_rate = this->dispatch_rate == 0 ? measured : this->dispatch_rate + RATE_SMOOTHING * (measured - this->dispatch_rate);
	if (!saturated) this->dispatch_rate = std::max(this->dispatch_rate, measured);
	this->window_tokens = 0;
	this->window_start = now;
}

Decisions Dispatcher::OnTick(TimePoint now)
{
	Decisions decisions;
	for (const CallSpec &call : this->queue.TakeExpired(now)) this->Reject(call, RejectReason::DeadlinePassed, now, decisions);
	if (now - this->last_slow_check >= SLOW_CHECK_INTERVAL) {
		this->targets.UpdateSlowTargets();
		this->last_slow_check = now;
	}
	this->UpdateShares(now);
	this->DispatchWaiting(now, decisions);
	this->RejectAboveShare(now, decisions);
	this->UpdateDispatchRate(this->window_tokens, now);
	return decisions;
}

std::optional<TargetNumber> Dispatcher::ChooseMigrationTarget(CallId id, const std::vector<TargetNumber> &refused, TimePoint now)
{
	auto found = this->calls.find(id);
	if (found == this->calls.end() || !found->second.holder) return std::nullopt;
	const TrackedCall &tracked = found->second;
	if (this->IsQuarantined(tracked.call, now)) return std::nullopt;
	CallSpec run = tracked.call;
	const TargetState &source = this->targets.Get(*tracked.holder);
	// The new target needs memory for the tokens generated so far as well.
	auto flight = source.in_flight.find(id);
	run.migrated_output = flight != source.in_flight.end() ? flight->second.generated : 0;
	// Copies within a data hall are faster, so the run's own hall is preferred over the caller's preference.
	for (HallPreference &hall : run.halls) {
		if (hall.hall == source.hall) std::swap(hall, run.halls.front());
	}
	run.other_hall_penalty = std::max(run.other_hall_penalty, MIGRATION_OTHER_HALL_PENALTY);
	run.avoid = refused;
	run.avoid.push_back(*tracked.holder);
	run.exclude_avoided = true;
	run.exclude_cold = true;
	run.overcommit_from = now;
	return this->router->Choose(run, this->targets, now);
}

Duration Dispatcher::RemainingTime(const InFlightCall &flight, const TargetState &source, TimePoint now) const
{
	if (std::optional<Duration> expected = this->targets.RemainingOutputTime(source, flight, now)) return *expected;
	double interval = source.interval > 0 ? source.interval : DEFAULT_TOKEN_INTERVAL;
	return FromSeconds(flight.residual * interval);
}

Duration Dispatcher::MigrationCopyDelay(CallId id, const EnginePool &pool, Duration min_remaining, TimePoint now) const
{
	std::optional<TargetNumber> holder = this->Holder(id);
	if (!holder) return Duration(0);
	const TargetState &source = this->targets.Get(*holder);
	std::vector<CopyCandidate> candidates;
	for (const auto &[run, flight] : source.in_flight) {
		double held = static_cast<double>(flight.call.prompt_tokens) + flight.generated;
		candidates.push_back({run, held, flight.generated > 0, this->RemainingTime(flight, source, now)});
	}
	CopyOrderRules rules{.min_remaining = min_remaining, .rescue_order = this->limits.use_rescue_order};
	if (source.shutdown_at) rules.time_left = std::max(Duration(0), std::chrono::duration_cast<Duration>(*source.shutdown_at - now));
	return CopyDelay(id, candidates, pool, rules);
}

void Dispatcher::OnMigrated(CallId id, TargetNumber target, TimePoint now)
{
	auto found = this->calls.find(id);
	if (found == this->calls.end() || !found->second.holder) return;
	this->targets.OnMigrated(*found->second.holder, target, id, now);
	this->target_budgets.try_emplace(target.value, this->limits.retry);
	found->second.holder = target;
}

std::vector<CallId> Dispatcher::CallsAt(TargetNumber target) const
{
	std::vector<std::pair<double, CallId>> held;
	for (const auto &[id, flight] : this->targets.Get(target).in_flight) held.emplace_back(-flight.residual, id);
	std::sort(held.begin(), held.end());
	std::vector<CallId> calls;
	for (const auto &[residual, id] : held) calls.push_back(id);
	return calls;
}

std::optional<TargetNumber> Dispatcher::Holder(CallId call) const
{
	auto found = this->calls.find(call);
	return found == this->calls.end() ? std::nullopt : found->second.holder;
}

} // namespace cottonspool
