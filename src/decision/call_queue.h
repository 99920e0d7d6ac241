/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue.h Calls that wait at an instance: by class, then fair by client account in tokens. */

#pragma once

#include "decision/request_type.h"
#include <deque>
#include <map>
#include <unordered_map>

namespace cottonspool {

/** Bounds of the queue. */
struct QueueLimits {
	size_t max_calls = 20000;            ///< Most calls waiting at one instance.
	size_t max_calls_per_account = 2000; ///< Most calls of one account waiting.
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
	 * Call \a visit with the head of each account's line, fairest first, at most \a limit of each class; a call for which
	 * it returns true is taken out and its account charged.
	 * @return Calls taken out.
	 */
	template <typename Visit> size_t ForEachHead(size_t limit, Visit visit);

	/** Take out all calls whose deadline is at or before \a now. */
	std::vector<CallSpec> TakeExpired(TimePoint now);

	/** @return Tokens expected to go before a new call of \a service_class of \a account. */
	double TokensAhead(ServiceClass service_class, AccountNumber account) const;

	/** Correct what \a account was charged, once the true cost is known. */
	void Correct(AccountNumber account, ServiceClass service_class, double weight, double tokens);

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

	/** The line of one account in one class. */
	struct Line {
		std::deque<Waiting> calls; ///< In order.
		double tag = 0;            ///< Virtual start time: tokens charged over weight.
		double tokens = 0;         ///< Expected cost of all calls in the line.
	};

	/** All lines of one class. */
	struct ClassLines {
		std::unordered_map<uint32_t, Line> lines; ///< By account.
		std::multimap<double, uint32_t> order;    ///< Accounts with waiting calls by tag.
		double clock = 0;                         ///< Virtual time: tag of the last line served.
		double tokens = 0;                        ///< Expected cost of all waiting calls.
		size_t calls = 0;                         ///< Waiting calls.
	};

	static uint32_t LineKey(const QueueLimits &limits, AccountNumber account) { return limits.fair ? account.value : 0; }
	void Insert(const CallSpec &call, double tokens, bool front);
	void Unlink(ClassLines &lines, uint32_t account);
	void TakeHead(ClassLines &lines, uint32_t account, bool charge);
	static constexpr size_t MAX_IDLE_LINES = 4096; ///< Empty lines kept for their tags.

	QueueLimits limits;                                                                ///< Bounds.
	std::array<ClassLines, SERVICE_CLASS_COUNT> classes;                               ///< By class.
	std::unordered_map<CallId, std::pair<ServiceClass, uint32_t>, StrongIdHash> index; ///< Where each call waits.
	std::multimap<TimePoint, CallId> deadlines;                                        ///< Calls by deadline.
};

template <typename Visit> size_t CallQueue::ForEachHead(size_t limit, Visit visit)
{
	size_t taken = 0;
	for (ClassLines &lines : this->classes) {
		std::vector<uint32_t> heads;
		for (auto it = lines.order.begin(); it != lines.order.end() && heads.size() < limit; ++it) heads.push_back(it->second);
		for (uint32_t account : heads) {
			if (!visit(lines.lines[account].calls.front().call)) continue;
			this->TakeHead(lines, account, true);
			taken++;
		}
	}
	return taken;
}

} // namespace cottonspool
