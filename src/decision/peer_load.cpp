/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load.cpp What other instances tell of their calls. */

#include "decision/peer_load.h"

namespace cottonspool {

void PeerLoad::Remove(Peer &peer, uint64_t call, TimePoint now)
{
	auto found = peer.calls.find(call);
	if (found == peer.calls.end()) return;
	this->targets.OnForeignEnded(found->second.target, found->second.id, now);
	peer.calls.erase(found);
}

void PeerLoad::RemoveAll(Peer &peer, TimePoint now)
{
	while (!peer.calls.empty()) this->Remove(peer, peer.calls.begin()->first, now);
}

void PeerLoad::Enter(Peer &peer, const CallNews &news, TimePoint now)
{
	std::optional<TargetNumber> target = this->targets.Find(news.target);
	if (!target) return this->Remove(peer, news.call, now);
	auto known = peer.calls.find(news.call);
	bool moved = known != peer.calls.end() && known->second.target != *target;
	if (moved || known == peer.calls.end()) {
		this->Remove(peer, news.call, now);
		CallSpec spec;
		spec.id = CallId{this->next_id++};
		spec.model = this->pools.Intern(news.pool);
		spec.service_class = news.service_class;
		spec.prompt_tokens = news.prompt_tokens;
		spec.max_tokens = news.max_tokens;
		known = peer.calls.emplace(news.call, PeerCall{spec.id, *target, news.generated}).first;
		this->targets.OnForeignSent(*target, spec, now, news.generated);
	}
	if (news.generated <= known->second.generated) return;
	this->targets.OnForeignToken(*target, known->second.id, now, news.generated - known->second.generated);
	known->second.generated = news.generated;
}

void PeerLoad::OnMessage(const LoadMessage &message, TimePoint now)
{
	Peer &peer = this->peers[message.instance];
	if (message.incarnation < peer.incarnation) return;
	if (message.incarnation > peer.incarnation) this->RemoveAll(peer, now);
	peer.incarnation = message.incarnation;
	peer.heard = now;
	if (message.whole) {
		std::map<uint64_t, PeerCall> before = peer.calls;
		for (const CallNews &news : message.calls) before.erase(news.call);
		for (const auto &[call, entry] : before) this->Remove(peer, call, now);
	}
	for (const CallNews &news : message.calls) {
		if (news.kind == CallNews::Kind::Ended) {
			this->Remove(peer, news.call, now);
		} else {
			this->Enter(peer, news, now);
		}
	}
}

void PeerLoad::OnTick(TimePoint now)
{
	for (auto it = this->peers.begin(); it != this->peers.end();) {
		bool silent = now - it->second.heard > this->silence;
		if (silent) this->RemoveAll(it->second, now);
		it = silent ? this->peers.erase(it) : std::next(it);
	}
}

std::vector<std::string> PeerLoad::Live() const
{
	std::vector<std::string> names;
	for (const auto &[name, peer] : this->peers) names.push_back(name);
	return names;
}

size_t PeerLoad::Calls() const
{
	size_t calls = 0;
	for (const auto &[name, peer] : this->peers) calls += peer.calls.size();
	return calls;
}

} // namespace cottonspool
