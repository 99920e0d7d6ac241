/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file pool_reachability.cpp Detection of pools that cannot be reached. */

#include "decision/pool_reachability.h"

namespace cottonspool {

bool PoolReachability::OnDoubt(ReachDoubt doubt, TimePoint now)
{
	if (doubt == ReachDoubt::NoConnection) this->failed_connects++;
	if (this->probing || this->lost || now < this->next_round_at) return false;
	// While others answer, a silent target is slow or suspended. New connections may fail even so, but those to one target that is down do.
	if (doubt == ReachDoubt::NoConnection) return this->failed_connects >= this->limits.failed_connects;
	return now - this->answered_at > this->limits.answer_ttl;
}

bool PoolReachability::IsRetryDue(TimePoint now) const
{
	return this->lost && !this->probing && now >= this->next_round_at;
}

void PoolReachability::BeginRound(const std::vector<TargetNumber> &targets, TimePoint now)
{
	this->open_probes.clear();
	for (TargetNumber target : targets) this->open_probes[target] = true;
	this->probing = !targets.empty();
	this->all_refused = true;
	this->round_begun_at = now;
	this->next_round_at = now + (this->lost ? this->limits.lost_interval : this->limits.round_interval);
}

bool PoolReachability::OnProbed(TargetNumber target, ReachResult result, TimePoint now)
{
	if (!this->probing || this->open_probes.erase(target) == 0) return false;
	if (result == ReachResult::Connected) return this->EndRound(true, now);
	if (result == ReachResult::Silent) this->all_refused = false;
	return this->open_probes.empty() && this->EndRound(false, now);
}

bool PoolReachability::ShowsLoss() const
{
	// Full targets accept no connections for a while either, but they go on to answer.
	bool answers = this->answered_at >= this->round_begun_at;
	return this->all_refused || !answers || this->failed_rounds >= this->limits.silent_rounds;
}

bool PoolReachability::EndRound(bool reached, TimePoint now)
{
	this->probing = false;
	this->open_probes.clear();
	this->failed_connects = 0;
	this->failed_rounds = reached ? 0 : this->failed_rounds + 1;
	bool was_lost = this->lost;
	this->lost = !reached && (was_lost || this->ShowsLoss());
	if (this->lost && !was_lost) {
		this->lost_since = now;
		this->next_round_at = now + this->limits.lost_interval;
	}
	if (!reached && !this->lost) this->next_round_at = now + this->limits.lost_interval;
	return this->lost != was_lost;
}

} // namespace cottonspool
