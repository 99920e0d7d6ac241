/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher_retries.cpp Sends calls to further targets, within the retry budgets. */

#include "core/hash_func.h"
#include "decision/dispatcher.h"
#include <algorithm>

namespace cottonspool {

/** @return Retry burst, 0 or 1, of the instance \a own if the \a share per instance is less than one: a hash of the name decides. */
static double DrawRetryBurst(double share, std::string_view own)
{
	static constexpr double WIN_MARGIN = 0.1; // Lowers the chance, as by accident more instances than intended can win.
	static constexpr uint64_t LOT_COUNT = 1U << 20;
	double draw = static_cast<double>(HashText(own) % LOT_COUNT) / static_cast<double>(LOT_COUNT);
	return draw < share * (1 - WIN_MARGIN) ? 1 : 0;
}

void Dispatcher::SetRetryShare(double slack, size_t instances, std::string_view own)
{
	if (!this->limits.pool_retry) return;
	double share = slack / static_cast<double>(std::max<size_t>(instances, 1));
	double burst = share < 1 ? DrawRetryBurst(share, own) : share;
	if (burst == this->limits.pool_retry->burst) return;
	this->limits.pool_retry->burst = burst;
	for (auto &[model, budget] : this->pool_budgets) budget.SetBurst(burst);
}

RetryBudget *Dispatcher::PoolBudget(ModelNumber model)
{
	if (!this->limits.pool_retry) return nullptr;
	return &this->pool_budgets.try_emplace(model.value, *this->limits.pool_retry).first->second;
}

void Dispatcher::CountFirstAttempt(TrackedCall &tracked)
{
	// A call is sent once more without being counted again where its target could not be reached.
	if (tracked.counted || tracked.call.sent_elsewhere) return;
	tracked.counted = true;
	if (RetryBudget *pool = this->PoolBudget(tracked.call.model)) pool->OnFirstAttempt();
}

void Dispatcher::WithdrawFromBudget(TrackedCall &tracked)
{
	RetryBudget *pool = this->PoolBudget(tracked.call.model);
	if (pool == nullptr) return;
	// The present attempt, if there is one, has not reached its target.
	uint32_t received = tracked.attempts - (tracked.holder ? 1 : 0);
	if (received > 0) return pool->OnRetryWithdrawn();
	if (tracked.counted) pool->OnAttemptWithdrawn();
	tracked.counted = false;
}

bool Dispatcher::TryRetryElsewhere(ModelNumber model)
{
	RetryBudget *pool = this->PoolBudget(model);
	return pool == nullptr || pool->TryRetry();
}

bool Dispatcher::SpendRetry(const TrackedCall &tracked)
{
	RetryBudget *pool = this->PoolBudget(tracked.call.model);
	if (pool != nullptr) return pool->TryRetry();
	RetryBudget &target = this->target_budgets.at(tracked.holder->value);
	RetryBudget &account = this->account_budgets.try_emplace(tracked.call.account.value, this->limits.retry).first->second;
	return target.TryRetry() && account.TryRetry();
}

void Dispatcher::RetryCall(TrackedCall &tracked, SendOutcome end, TimePoint now, Decisions &decisions)
{
	if (this->IsQuarantined(tracked.call, now)) {
		CallSpec rejected = tracked.call;
		this->Reject(rejected, RejectReason::Quarantined, now, decisions);
		return;
	}
	uint32_t most = tracked.call.max_attempts > 0 ? tracked.call.max_attempts : this->limits.max_attempts;
	if (tracked.attempts >= most || now >= this->ExtendDeadline(tracked, now)) {
		CallSpec rejected = tracked.call;
		this->Reject(rejected, RejectReason::DeadlinePassed, now, decisions);
		return;
	}
	if (!this->SpendRetry(tracked)) {
		CallSpec rejected = tracked.call;
		this->Reject(rejected, RejectReason::RetryBudget, now, decisions);
		return;
	}
	uint64_t random = HashText("backoff", tracked.call.id.value * 31 + tracked.attempts);
	RetryBudget &target = this->target_budgets.at(tracked.holder->value);
	bool not_executed = end == SendOutcome::NotExecuted || end == SendOutcome::Rejected;
	// The next target may be as full as a brittle one that has just refused.
	bool brittle = this->targets.Get(*tracked.holder).restrictions.refusals.IsActive();
	tracked.not_before = not_executed && !brittle ? now : now + target.Backoff(tracked.attempts, random);
	tracked.call.avoid.push_back(*tracked.holder);
	tracked.holder.reset();
	this->queue.PushFront(tracked.call, this->ExpectedTokens(tracked.call));
}

void Dispatcher::RetryUnreachable(TrackedCall &tracked, TimePoint now, Decisions &decisions)
{
	tracked.attempts--;
	tracked.call.avoid.push_back(*tracked.holder);
	tracked.holder.reset();
	if (this->IsQuarantined(tracked.call, now)) {
		CallSpec rejected = tracked.call;
		this->Reject(rejected, RejectReason::Quarantined, now, decisions);
		return;
	}
	if (++tracked.unreachable_sends >= this->limits.max_unreachable_sends || now >= this->ExtendDeadline(tracked, now)) {
		CallSpec rejected = tracked.call;
		this->Reject(rejected, RejectReason::NoTarget, now, decisions);
		return;
	}
	this->queue.PushFront(tracked.call, this->ExpectedTokens(tracked.call));
}

} // namespace cottonspool
