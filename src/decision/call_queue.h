/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue.h Calls that wait at an instance: by class, then fair by client account; none waits behind another model's. */

#pragma once

#include "decision/request_type.h"
#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>

namespace cottonspool {

/** Bounds of the queue. */
struct QueueLimits {
	size_t max_calls = 20000;            ///< Most calls waiting at one instance.
	size_t max_calls_per_account = 2000; ///< Most calls of one account waiting for one model.
	bool fair = true;                    ///< Order by account; false is one queue a class in order of arrival.
};

/** Waiting calls in the order in which they are to be tried. */
class CallQueue {
public:
	explicit CallQueue(QueueLimits limits) : limits(limits) {}

	/** Put \a call, expected to cost \a tokens, at the end of its account's line. @return False when a bound is reached. */
	[[nodiscard]] bool Push(const CallSpec &call, double tokens);

	/** Put a call that was sent in vain back at the head of its account's line; no bound applies. */
	void PushFront(const CallSpec &call, double tokens);

	/** Take \a call out, wherever it stands. @return Whether it was waiting. */
	bool Remove(CallId call);

	/**
	 * Call \a visit with the head of each line, fairest first, at most \a limit of each class and model; a call for which
	 * it returns true is taken out and its account charged.
	 * @return Calls taken out.
	 */
	template <typename Visit> size_t ForEachHead(size_t limit, Visit visit);

	/** Take out all calls whose deadline is at or before \a now. */
	std::vector<CallSpec> TakeExpired(TimePoint now);

	/** @return Tokens expected to go before a new call like \a call: those that wait for the same model. */
	double TokensAhead(const CallSpec &call) const;

	/** Correct by \a tokens what the account of \a call was charged, once the true cost is known. */
	void Correct(const CallSpec &call, double tokens);

	/** @return Calls waiting. */
	size_t Size() const { return this->index.size(); }

	/** @return Calls of \a service_class waiting. */
	size_t ClassSize(ServiceClass service_class) const { return this->classes[static_cast<size_t>(service_class)].calls; }

private:
	/** A waiting call. */
	struct Waiting {
		CallSpec call; ///< The call.
		double tokens; ///< Its expected cost.
	};

	/** Names the line of an account's calls for a model. */
	using FlowKey = uint64_t;

	/** The line of one account's calls for one model in one class. */
	struct Flow {
		std::deque<Waiting> calls; ///< In order.
		double tag = 0;            ///< Virtual start time: tokens charged over weight.
		double tokens = 0;         ///< Expected cost of all calls in the line.
	};

	/** The lines of one model in one class. */
	struct ModelFlows {
		std::multimap<double, FlowKey> order; ///< Lines with waiting calls by tag.
		double tokens = 0;                    ///< Expected cost of all waiting calls.
	};

	/** All lines of one class. */
	struct ClassFlows {
		std::unordered_map<FlowKey, Flow> lines; ///< By model and account.
		std::map<uint32_t, ModelFlows> models;   ///< By model.
		double clock = 0;                        ///< Virtual time: tag of the last line served.
		size_t calls = 0;                        ///< Waiting calls.
	};

	static FlowKey KeyOf(const QueueLimits &limits, const CallSpec &call)
	{
		return static_cast<FlowKey>(call.model.value) << 32 | (limits.fair ? call.account.value : 0);
	}
	static uint32_t ModelOf(FlowKey key) { return static_cast<uint32_t>(key >> 32); }
	void Insert(const CallSpec &call, double tokens, bool front);
	void Unlink(ClassFlows &lines, FlowKey key);
	void PopHead(ClassFlows &lines, FlowKey key, bool charge);
	static constexpr size_t MAX_IDLE_FLOWS = 4096; ///< Empty lines kept for their tags.

	QueueLimits limits;                                                               ///< Bounds.
	std::array<ClassFlows, SERVICE_CLASS_COUNT> classes;                              ///< By class.
	std::unordered_map<CallId, std::pair<ServiceClass, FlowKey>, StrongIdHash> index; ///< Where each call waits.
	std::multimap<TimePoint, CallId> deadlines;                                       ///< Calls by deadline.
};

template <typename Visit> size_t CallQueue::ForEachHead(size_t limit, Visit visit)
{
	size_t taken = 0;
	for (ClassFlows &lines : this->classes) {
		// Lines of each model by themselves: those that wait for a model without room do not use up the others' tries.
		std::vector<std::pair<double, FlowKey>> heads;
		for (const auto &[model, own] : lines.models) {
			size_t tried = 0;
			for (auto it = own.order.begin(); it != own.order.end() && tried < limit; ++it, tried++) heads.push_back(*it);
		}
		std::sort(heads.begin(), heads.end());
		for (const auto &[tag, key] : heads) {
			if (!visit(lines.lines[key].calls.front().call)) continue;
			this->PopHead(lines, key, true);
			taken++;
		}
	}
	return taken;
}

} // namespace cottonspool
