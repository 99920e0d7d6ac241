/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory.cpp The other instances that are known. */

#include "decision/peer_directory.h"
#include "decision/reader_order.h"
#include <algorithm>
#include <set>

namespace cottonspool {

void PeerDirectory::Note(const std::string &peer, const PeerPlace &place)
{
	if (peer == this->own_name) return;
	if (!this->division.IsOwn(peer)) {
		this->others[peer] = place;
		return;
	}
	Peer &known = this->peers[peer];
	if (known.place.address != place.address) known = Peer{.place = place};
	known.place = place;
}

void PeerDirectory::NoteAlive(const std::string &peer, const PeerPlace &place)
{
	this->Note(peer, place);
	auto found = this->peers.find(peer);
	if (found == this->peers.end()) return;
	found->second.pause = Duration(0);
	found->second.next_dial = TimePoint{};
}

void PeerDirectory::Remove(const std::string &peer)
{
	this->peers.erase(peer);
	this->others.erase(peer);
}

void PeerDirectory::Clear()
{
	this->peers.clear();
	this->others.clear();
}

void PeerDirectory::Regroup()
{
	std::map<std::string, Peer> known = std::move(this->peers);
	this->peers.clear();
	for (auto &[name, place] : this->others) known.emplace(name, Peer{.place = place});
	this->others.clear();
	for (auto &[name, peer] : known) {
		if (this->division.IsOwn(name)) {
			this->peers.emplace(name, std::move(peer));
		} else {
			this->others.emplace(name, std::move(peer.place));
		}
	}
}

bool PeerDirectory::Divide(bool whole, StoreVersion version, bool growing)
{
	std::map<std::string_view, size_t> in_hall{{this->own_hall, 1}};
	for (const auto &[name, peer] : this->peers) in_hall[peer.place.hall]++;
	for (const auto &[name, place] : this->others) in_hall[place.hall]++;
	size_t largest = 0;
	for (const auto &[hall, instances] : in_hall) largest = std::max(largest, instances);
	bool changed = whole ? this->division.OnList(largest, version, growing) : this->division.OnChanges(largest, version);
	if (changed) this->Regroup();
	return changed;
}

bool PeerDirectory::OnToldCells(const CellCount &told)
{
	if (!this->division.OnTold(told)) return false;
	this->Regroup();
	return true;
}

bool PeerDirectory::KeepOrDial(Peer &peer, LinkState state, TimePoint now) const
{
	if (state == LinkState::Open) {
		peer.pause = Duration(0);
		peer.next_dial = TimePoint{};
		return true;
	}
	if (state == LinkState::Dialling) return now < peer.dial_until;
	if (now < peer.next_dial) return false;
	peer.pause = std::clamp(2 * peer.pause, this->limits.least, this->limits.most);
	peer.next_dial = now + peer.pause;
	peer.dial_until = now + this->limits.longest_dial;
	return true;
}

WantedLinks PeerDirectory::Wanted(const StateOf &state_of, bool reads_for_hall, TimePoint now)
{
	bool only = this->IsHallOnly();
	WantedLinks wanted;
	for (auto &[name, peer] : this->peers) {
		if (only && peer.place.hall != this->own_hall) continue;
		if (this->KeepOrDial(peer, state_of(peer.place.address), now)) wanted.peers.push_back(peer.place.address);
	}
	if (!only || !reads_for_hall) return wanted;
	for (const std::string &hall : this->Halls()) {
		if (hall == this->own_hall) continue;
		if (const Peer *relay = this->RelayIn(hall, state_of, now)) wanted.relays.push_back(relay->place.address);
	}
	return wanted;
}

PeerDirectory::Peer *PeerDirectory::RelayIn(const std::string &hall, const StateOf &state_of, TimePoint now)
{
	std::vector<Reader> candidates;
	for (const auto &[name, peer] : this->peers) {
		if (peer.place.hall == hall) candidates.push_back({name, peer.place.link_mbps});
	}
	std::vector<std::string> order = ReaderOrder(RELAY_KEY, candidates);
	// Those that were dialled in vain come last, so that two dead ones don't take turns before all others.
	std::stable_sort(order.begin(), order.end(),
	                 [this](const std::string &a, const std::string &b) { return this->peers[a].pause < this->peers[b].pause; });
	// One that is open or being dialled is kept; only when there is none is another one dialled.
	for (LinkState wanted : {LinkState::Open, LinkState::Dialling, LinkState::None}) {
		for (const std::string &name : order) {
			Peer &peer = this->peers[name];
			LinkState state = state_of(peer.place.address);
			if (state == wanted && this->KeepOrDial(peer, state, now)) return &peer;
		}
	}
	return nullptr;
}

size_t PeerDirectory::Exchanging() const
{
	if (!this->IsHallOnly()) return this->peers.size();
	auto at_home = [this](const auto &entry) { return entry.second.place.hall == this->own_hall; };
	return static_cast<size_t>(std::count_if(this->peers.begin(), this->peers.end(), at_home));
}

std::vector<std::string> PeerDirectory::Halls() const
{
	std::set<std::string> halls{this->own_hall};
	for (const auto &[name, peer] : this->peers) halls.insert(peer.place.hall);
	return {halls.begin(), halls.end()};
}

std::vector<std::string> PeerDirectory::Names() const
{
	std::vector<std::string> names;
	for (const auto &[name, peer] : this->peers) names.push_back(name);
	return names;
}

const PeerPlace *PeerDirectory::Find(const std::string &peer) const
{
	auto found = this->peers.find(peer);
	return found == this->peers.end() ? nullptr : &found->second.place;
}

} // namespace cottonspool
