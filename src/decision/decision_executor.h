/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file decision_executor.h Delivers the dispatcher's decisions to the calls they concern, in order. */

#pragma once

#include "decision/request_type.h"
#include <deque>
#include <memory>
#include <unordered_map>

namespace cottonspool {

/**
 * Executes decisions one after another. Decisions made during an execution are queued, so that the handlers of a call are never
 * re-entered.
 * @tparam Call Has OnSend(SendAction) and OnReject(RejectAction).
 */
template <typename Call> class DecisionExecutor {
public:
	using Calls = std::unordered_map<CallId, std::shared_ptr<Call>, StrongIdHash>;

	/** @param calls The calls that get decisions; decisions for calls no longer in the map are dropped. */
	explicit DecisionExecutor(const Calls &calls) : calls(calls) {}

	/** Execute \a decisions now, or after the ones that are being executed. */
	void Execute(Decisions decisions)
	{
		this->pending.push_back(std::move(decisions));
		if (this->executing) return;
		this->executing = true;
		while (!this->pending.empty()) {
			Decisions next = std::move(this->pending.front());
			this->pending.pop_front();
			for (const SendAction &action : next.sends) {
				if (std::shared_ptr<Call> call = this->Find(action.call)) call->OnSend(action);
			}
			for (const RejectAction &action : next.rejections) {
				if (std::shared_ptr<Call> call = this->Find(action.call)) call->OnReject(action);
			}
		}
		this->executing = false;
	}

private:
	/** @return The call \a id, or null if it has finished. */
	std::shared_ptr<Call> Find(CallId id) const
	{
		auto found = this->calls.find(id);
		return found == this->calls.end() ? nullptr : found->second;
	}

	const Calls &calls;            ///< Unfinished calls.
	std::deque<Decisions> pending; ///< Decisions that are not executed yet.
	bool executing = false;        ///< Whether decisions are being executed.
};

} // namespace cottonspool
