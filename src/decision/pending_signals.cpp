/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file pending_signals.cpp Merges signals of targets that wait to be sent to the other instances. */

#include "decision/pending_signals.h"

namespace cottonspool {

void PendingSignals::Add(const TargetSignalUpdate &update, TimePoint stated_at)
{
	Pending &entry = this->pending[update.target];
	entry.update.target = update.target;
	if (update.time_factor) {
		entry.update.time_factor = update.time_factor;
		entry.sampled_at = stated_at;
	}
	if (update.limit != SignalState::Unreadable) {
		entry.update.limit = update.limit;
		entry.update.limit_per_s = update.limit_per_s;
		entry.requested_at = stated_at;
	}
	if (update.draining && entry.update.limit == SignalState::Unreadable) entry.requested_at = stated_at;
	entry.update.draining = entry.update.draining || update.draining;
}

std::vector<TargetSignalUpdate> PendingSignals::Take(TimePoint now)
{
	std::vector<TargetSignalUpdate> updates;
	for (auto &[target, entry] : this->pending) {
		bool has_request = entry.update.draining || entry.update.limit != SignalState::Unreadable;
		if (has_request) entry.update.request_age = now - entry.requested_at;
		if (entry.update.time_factor) entry.update.factor_age = now - entry.sampled_at;
		updates.push_back(std::move(entry.update));
	}
	this->pending.clear();
	return updates;
}

} // namespace cottonspool
