/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load.cpp Implementation of the tracking of other instances' calls. */

#include "decision/peer_load.h"

namespace cottonspool {

void PeerLoad::Remove(Peer &peer, uint64_t call, TimePoint now)
{
	auto found = peer.calls.find(call);
	if (found == peer.calls.end()) return;
	this->targets.OnPeerCallEnded(found->second.target, found->second.id, now);
	peer.calls.erase(found);
}

void PeerLoad::RemoveAll(Peer &peer, TimePoint now)
{
	while (!peer.calls.empty()) this->Remove(peer, peer.calls.begin()->first, now);
}

void PeerLoad::ApplyUpdate(Peer &peer, const CallUpdate &update, TimePoint now)
{
	std::optional<TargetNumber> target = this->targets.Find(update.target);
	if (!target) return this->Remove(peer, update.call, now);
	auto known = peer.calls.find(update.call);
	bool migrated = known != peer.calls.end() && known->second.target != *target;
	if (migrated || known == peer.calls.end()) {
		this->Remove(peer, update.call, now);
		CallSpec spec;
		spec.id = CallId{this->next_id++};
		spec.model = this->pools.Intern(update.pool);
		spec.service_class = update.service_class;
		spec.prompt_tokens = update.prompt_tokens;
		spec.max_tokens = update.max_tokens;
		spec.gap_objective = this->targets.GapObjectiveOf(spec.model);
		known = peer.calls.emplace(update.call, PeerCall{spec.id, *target, update.generated}).first;
		std::optional<AccountNumber> account;
		if (this->accounts != nullptr && update.account) account = this->accounts->Intern(*update.account);
		this->targets.OnPeerCallSent(*target, spec, now, update.generated, account);
	}
	if (update.generated <= known->second.generated) return;
	this->targets.OnPeerCallToken(*target, known->second.id, now, update.generated - known->second.generated);
	known->second.generated = update.generated;
}

void PeerLoad::OnMessage(const LoadMessage &message, TimePoint now)
{
	Peer &peer = this->peers[message.instance];
	if (message.incarnation < peer.incarnation) return;
	if (message.incarnation > peer.incarnation) this->RemoveAll(peer, now);
	peer.incarnation = message.incarnation;
	peer.last_heard = now;
	if (message.full) {
		std::map<uint64_t, PeerCall> missing = peer.calls;
		for (const CallUpdate &update : message.calls) missing.erase(update.call);
		for (const auto &[call, entry] : missing) this->Remove(peer, call, now);
	}
	for (const CallUpdate &update : message.calls) {
		if (update.kind == CallUpdate::Kind::Ended) {
			this->Remove(peer, update.call, now);
		} else {
			this->ApplyUpdate(peer, update, now);
		}
	}
}

void PeerLoad::OnTick(TimePoint now)
{
	for (auto it = this->peers.begin(); it != this->peers.end();) {
		bool timed_out = now - it->second.last_heard > this->timeout;
		if (timed_out) this->RemoveAll(it->second, now);
		it = timed_out ? this->peers.erase(it) : std::next(it);
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
