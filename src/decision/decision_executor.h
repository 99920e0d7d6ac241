/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file decision_executor.h Hands decisions to the calls that they are about, in order. */

#pragma once

#include "decision/request_type.h"
#include <deque>
#include <memory>
#include <unordered_map>

namespace cottonspool {

/**
 * Carries decisions out one after another. What is decided while one of them is carried out waits until it is done, so that
 * no call is entered twice.
 * @tparam Call Has OnSend(SendAction) and OnReject(RejectAction).
 */
template <typename Call> class DecisionExecutor {
public:
	using Calls = std::unordered_map<CallId, std::shared_ptr<Call>, StrongIdHash>;

	/** Decisions go to those of \a calls that are still there. */
	explicit DecisionExecutor(const Calls &calls) : calls(calls) {}

	/** Carry out \a decisions, now or behind those that are being carried out. */
	void Execute(Decisions decisions)
	{
		this->waiting.push_back(std::move(decisions));
		if (this->executing) return;
		this->executing = true;
		while (!this->waiting.empty()) {
			Decisions next = std::move(this->waiting.front());
			this->waiting.pop_front();
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
	/** @return The call \a id, kept alive while it is held; null if it is over. */
	std::shared_ptr<Call> Find(CallId id) const
	{
		auto found = this->calls.find(id);
		return found == this->calls.end() ? nullptr : found->second;
	}

	const Calls &calls;            ///< Calls not yet answered.
	std::deque<Decisions> waiting; ///< Decisions not yet carried out.
	bool executing = false;        ///< Decisions are being carried out.
};

} // namespace cottonspool
