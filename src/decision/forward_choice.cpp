/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file forward_choice.cpp Choice of the instance to which a request is passed on. */

#include "decision/forward_choice.h"
#include "core/hash_func.h"
#include <algorithm>

namespace cottonspool {

const char *ForwardResultName(ForwardResult result)
{
	static constexpr const char *NAMES[] = {"answered", "abandoned", "unreachable", "pool-lost", "busy"};
	return NAMES[static_cast<size_t>(result)];
}

HallCandidates ForwardChoice::UsableIn(const HallCandidates &hall, ModelNumber pool, const std::vector<std::string> &tried, bool only_good,
                                       TimePoint now) const
{
	HallCandidates good;
	HallCandidates unknown;
	size_t lost = 0;
	for (const std::string &name : hall) {
		auto found = this->peers.find(name);
		Peer peer = found == this->peers.end() ? Peer{} : found->second;
		PoolView view = peer.pools[pool];
		if (now < view.lost_until) lost++;
		bool refused = std::find(tried.begin(), tried.end(), name) != tried.end();
		if (refused || now < peer.held_until || now < view.lost_until) continue;
		(now < view.good_until ? good : unknown).push_back(name);
	}
	if (only_good || good.size() >= this->limits.spread) return good;
	// A hall that is cut off as a whole, or a pool that is down for everybody, must not cost a try at each instance.
	if (lost >= this->limits.max_lost_per_hall) return good;
	// Instances that have lost the pool at the same time choose different ones.
	HallCandidates chosen = RendezvousChoice(this->own_name, unknown, this->limits.spread - good.size());
	good.insert(good.end(), chosen.begin(), chosen.end());
	return good;
}

std::optional<std::string> ForwardChoice::FindBest(const std::vector<HallCandidates> &halls, ModelNumber pool,
                                                   const std::vector<std::string> &tried, bool only_good, TimePoint now) const
{
	std::optional<std::string> best;
	std::pair<uint64_t, uint64_t> best_load;
	uint64_t penalty = 0;
	for (const HallCandidates &hall : halls) {
		for (const std::string &name : this->UsableIn(hall, pool, tried, only_good, now)) {
			auto found = this->peers.find(name);
			Peer peer = found == this->peers.end() ? Peer{} : found->second;
			std::pair<uint64_t, uint64_t> load{peer.in_progress + penalty, peer.passed};
			if (best && load >= best_load) continue;
			best = name;
			best_load = load;
		}
		penalty += this->limits.hall_penalty;
	}
	return best;
}

std::optional<std::string> ForwardChoice::Choose(const std::vector<HallCandidates> &halls, ModelNumber pool,
                                                 const std::vector<std::string> &tried, TimePoint now) const
{
	if (!this->limits.use || tried.size() >= this->limits.max_tries) return std::nullopt;
	// A request that was refused once goes to an instance that is known to serve, so that it does not explore a second time.
	std::optional<std::string> good = tried.empty() ? std::nullopt : this->FindBest(halls, pool, tried, true, now);
	return good ? good : this->FindBest(halls, pool, tried, false, now);
}

void ForwardChoice::OnPassed(const std::string &peer)
{
	Peer &state = this->peers[peer];
	state.in_progress++;
	state.passed++;
}

void ForwardChoice::OnEnded(const std::string &peer, ModelNumber pool, ForwardResult result, TimePoint now)
{
	auto found = this->peers.find(peer);
	if (found == this->peers.end() || found->second.in_progress == 0) return;
	Peer &state = found->second;
	state.in_progress--;
	if (result == ForwardResult::Unreachable) state.held_until = now + this->limits.unreachable_hold;
	if (result == ForwardResult::Busy) state.held_until = now + this->limits.busy_hold;
	if (result == ForwardResult::PoolLost) state.pools[pool] = {TimePoint{}, now + this->limits.lost_hold};
	if (result == ForwardResult::Answered) state.pools[pool].good_until = now + this->limits.good_ttl;
}

bool ForwardChoice::IsLostElsewhere(ModelNumber pool, TimePoint now) const
{
	return std::any_of(this->peers.begin(), this->peers.end(), [&](const auto &peer) {
		auto view = peer.second.pools.find(pool);
		return view != peer.second.pools.end() && now < view->second.lost_until;
	});
}

uint32_t ForwardChoice::InProgress() const
{
	uint32_t sum = 0;
	for (const auto &[name, peer] : this->peers) sum += peer.in_progress;
	return sum;
}

} // namespace cottonspool
