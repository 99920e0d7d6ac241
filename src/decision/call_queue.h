/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue.h Queue of waiting calls: classes in strict priority, weighted fair queueing by client account, models independent. */

#pragma once

#include "decision/request_type.h"
#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace cottonspool {

/** Limits of the queue. */
struct QueueLimits {
	size_t max_calls = 20000;            ///< Maximum number of waiting calls.
	size_t max_calls_per_account = 2000; ///< Maximum number of waiting calls of one account for one model in one class.
	bool fair = true;                    ///< Schedule fairly between accounts; otherwise first come, first served within a class.
};

/**
 * Waiting calls of one instance. Start-time fair queueing: every (model, account) pair is a flow with a virtual start time, which
 * advances by the tokens of each dispatched call divided by the account's weight; the flow with the smallest one is served first.
 */
class CallQueue {
public:
	explicit CallQueue(QueueLimits limits) : limits(limits) {}

	/** Append \a call, with an expected cost of \a tokens, to its flow. @return False if a limit of the queue is reached. */
	[[nodiscard]] bool Push(const CallSpec &call, double tokens);

	/** Put a call that is to be retried back at the head of its flow, ignoring the limits. */
	void PushFront(const CallSpec &call, double tokens);

	/** Remove \a call. @return Whether it was waiting. */
	bool Remove(CallId call);

	/**
	 * Call \a visit with the head of each flow in fair order, with at most \a limit flows of each class and model. A call for which
	 * \a visit returns true is removed from the queue, and its expected cost is charged to its flow.
	 * @return Number of calls removed.
	 */
	template <typename Visit> size_t ForEachHead(size_t limit, Visit visit)
	{
		return this->ForEachHead(limit, visit, [](const CallSpec &) { return false; });
	}

	/** The same, where calls for which \a defer returns true are visited after the others of their class. */
	template <typename Visit, typename Defer> size_t ForEachHead(size_t limit, Visit visit, Defer defer);

	/** Remove and return all calls whose deadline is at or before \a now. */
	std::vector<CallSpec> TakeExpired(TimePoint now);

	/** @return Expected cost, in tokens, of the waiting calls for the same model that would be dispatched before a new call like \a call.
	 */
	double TokensAhead(const CallSpec &call) const;

	/** Charge the flow of \a call another \a tokens (may be negative), once the actual cost of the call is known. */
	void AdjustCharge(const CallSpec &call, double tokens);

	/** @return Number of waiting calls. */
	size_t Size() const { return this->index.size(); }

	/** @return Number of waiting calls of \a service_class. */
	size_t ClassSize(ServiceClass service_class) const { return this->classes[static_cast<size_t>(service_class)].calls; }

private:
	/** A waiting call. */
	struct Waiting {
		CallSpec call;
		double tokens; ///< Expected cost.
	};

	/** Identifies a flow within its class: the model in the upper 32 bits, the account in the lower 32 bits. */
	using FlowKey = uint64_t;

	/** The calls of one account for one model in one class. */
	struct Flow {
		std::deque<Waiting> calls; ///< Waiting calls, by priority and then by arrival.
		double virtual_start = 0;  ///< Virtual start time.
		double tokens = 0;         ///< Expected cost of all waiting calls.
	};

	/** The flows of one model in one class. */
	struct ModelFlows {
		std::multimap<double, FlowKey> order; ///< Flows with waiting calls, by virtual start time.
		double tokens = 0;                    ///< Expected cost of all waiting calls.
	};

	/** All flows of one class. */
	struct ClassFlows {
		std::unordered_map<FlowKey, Flow> by_key; ///< All flows, including idle ones.
		std::map<uint32_t, ModelFlows> models;    ///< Flows with waiting calls, by model.
		double virtual_time = 0;                  ///< Virtual time: virtual start time of the last served flow.
		size_t calls = 0;                         ///< Number of waiting calls.
	};

	/** @return The key of the flow of \a call; all accounts share one flow if the queue is not fair. */
	static FlowKey KeyOf(const QueueLimits &limits, const CallSpec &call)
	{
		return static_cast<FlowKey>(call.model.value) << 32 | (limits.fair ? call.account.value : 0);
	}
	/** @return The model of the flow \a key. */
	static uint32_t ModelOf(FlowKey key) { return static_cast<uint32_t>(key >> 32); }
	/** Add \a call to its flow, at the head or else behind the calls of at least its priority. */
	void Insert(const CallSpec &call, double tokens, bool front);
	/** Remove the flow \a key from the order of its model. */
	void Unlink(ClassFlows &flows, FlowKey key);
	/** Remove the head of the flow \a key. @param charge Whether its cost advances the virtual start time of the flow. */
	void PopHead(ClassFlows &flows, FlowKey key, bool charge);
	static constexpr size_t MAX_IDLE_FLOWS = 4096; ///< Idle flows that are kept so that their virtual start times are not lost.

	QueueLimits limits;
	std::array<ClassFlows, SERVICE_CLASS_COUNT> classes;                              ///< Flows by class.
	std::unordered_map<CallId, std::pair<ServiceClass, FlowKey>, StrongIdHash> index; ///< Class and flow of each waiting call.
	std::multimap<TimePoint, CallId> deadlines;                                       ///< Waiting calls by deadline.
};

template <typename Visit, typename Defer> size_t CallQueue::ForEachHead(size_t limit, Visit visit, Defer defer)
{
	size_t taken = 0;
	for (ClassFlows &flows : this->classes) {
		// The limit applies to each model separately, so that an overloaded model does not keep the calls of others from being tried.
		std::vector<std::pair<double, FlowKey>> heads;
		for (const auto &[model, own] : flows.models) {
			size_t tried = 0;
			for (auto it = own.order.begin(); it != own.order.end() && tried < limit; ++it, tried++) heads.push_back(*it);
		}
		std::sort(heads.begin(), heads.end());
		std::stable_partition(heads.begin(), heads.end(),
		                      [&](const auto &head) { return !defer(flows.by_key[head.second].calls.front().call); });
		for (const auto &[virtual_start, key] : heads) {
			if (!visit(flows.by_key[key].calls.front().call)) continue;
			this->PopHead(flows, key, true);
			taken++;
		}
	}
	return taken;
}

} // namespace cottonspool
