/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory.cpp Implementation of the directory of the other instances. */

#include "decision/peer_directory.h"
#include "decision/reader_order.h"
#include <algorithm>
#include <set>

namespace cottonspool {

void PeerDirectory::Update(const std::string &peer, const PeerLocation &location)
{
	if (peer == this->own_name) return;
	if (!this->division.IsOwn(peer)) {
		this->other_cells[peer] = location;
		return;
	}
	Peer &known = this->peers[peer];
	if (known.location.address != location.address) known = Peer{.location = location};
	known.location = location;
}

void PeerDirectory::OnPeerAlive(const std::string &peer, const PeerLocation &location)
{
	this->Update(peer, location);
	auto found = this->peers.find(peer);
	if (found == this->peers.end()) return;
	found->second.redial_delay = Duration(0);
	found->second.next_dial = TimePoint{};
}

void PeerDirectory::Remove(const std::string &peer)
{
	this->peers.erase(peer);
	this->other_cells.erase(peer);
}

void PeerDirectory::Clear()
{
	this->peers.clear();
	this->other_cells.clear();
}

void PeerDirectory::ReassignCells()
{
	std::map<std::string, Peer> known = std::move(this->peers);
	this->peers.clear();
	for (auto &[name, location] : this->other_cells) known.emplace(name, Peer{.location = location});
	this->other_cells.clear();
	for (auto &[name, peer] : known) {
		if (this->division.IsOwn(name)) {
			this->peers.emplace(name, std::move(peer));
		} else {
			this->other_cells.emplace(name, std::move(peer.location));
		}
	}
}

bool PeerDirectory::Divide(bool complete, StoreVersion version, bool bootstrapping)
{
	std::map<std::string_view, size_t> instances_by_hall{{this->own_hall, 1}};
	for (const auto &[name, peer] : this->peers) instances_by_hall[peer.location.hall]++;
	for (const auto &[name, location] : this->other_cells) instances_by_hall[location.hall]++;
	size_t largest = 0;
	for (const auto &[hall, instances] : instances_by_hall) largest = std::max(largest, instances);
	bool changed =
	        complete ? this->division.OnInstanceList(largest, version, bootstrapping) : this->division.OnInstanceChanges(largest, version);
	if (changed) this->ReassignCells();
	return changed;
}

bool PeerDirectory::OnPeerCellCount(const CellCount &peer_cells)
{
	if (!this->division.OnPeerCellCount(peer_cells)) return false;
	this->ReassignCells();
	return true;
}

bool PeerDirectory::KeepOrDial(Peer &peer, LinkState state, TimePoint now) const
{
	if (state == LinkState::Open) {
		peer.redial_delay = Duration(0);
		peer.next_dial = TimePoint{};
		return true;
	}
	if (state == LinkState::Dialling) return now < peer.dial_until;
	if (now < peer.next_dial) return false;
	peer.redial_delay = std::clamp(2 * peer.redial_delay, this->limits.min_redial_interval, this->limits.max_redial_interval);
	peer.next_dial = now + peer.redial_delay;
	peer.dial_until = now + this->limits.dial_timeout;
	return true;
}

WantedLinks PeerDirectory::Wanted(const LinkStateOf &link_state_of, bool is_hall_reader, TimePoint now)
{
	bool same_hall_only = this->IsHallOnly();
	WantedLinks wanted;
	for (auto &[name, peer] : this->peers) {
		if (same_hall_only && peer.location.hall != this->own_hall) continue;
		if (this->KeepOrDial(peer, link_state_of(peer.location.address), now)) wanted.peers.push_back(peer.location.address);
	}
	if (!same_hall_only || !is_hall_reader) return wanted;
	for (const std::string &hall : this->Halls()) {
		if (hall == this->own_hall) continue;
		if (const Peer *relay = this->ForwarderIn(hall, link_state_of, now)) wanted.forwarders.push_back(relay->location.address);
	}
	return wanted;
}

PeerDirectory::Peer *PeerDirectory::ForwarderIn(const std::string &hall, const LinkStateOf &link_state_of, TimePoint now)
{
	std::vector<Reader> candidates;
	for (const auto &[name, peer] : this->peers) {
		if (peer.location.hall == hall) candidates.push_back({name, peer.location.link_mbps});
	}
	std::vector<std::string> order = ReaderOrder(FORWARDER_KEY, candidates);
	// Candidates whose last dial failed come last, so that unreachable ones do not delay the others.
	std::stable_sort(order.begin(), order.end(), [this](const std::string &a, const std::string &b) {
		return this->peers[a].redial_delay < this->peers[b].redial_delay;
	});
	// An open link is preferred to one being established, and that to a new one.
	for (LinkState wanted : {LinkState::Open, LinkState::Dialling, LinkState::None}) {
		for (const std::string &name : order) {
			Peer &peer = this->peers[name];
			LinkState state = link_state_of(peer.location.address);
			if (state == wanted && this->KeepOrDial(peer, state, now)) return &peer;
		}
	}
	return nullptr;
}

size_t PeerDirectory::ExchangePeerCount() const
{
	if (!this->IsHallOnly()) return this->peers.size();
	auto local_targets = [this](const auto &entry) { return entry.second.location.hall == this->own_hall; };
	return static_cast<size_t>(std::count_if(this->peers.begin(), this->peers.end(), local_targets));
}

std::vector<std::string> PeerDirectory::Halls() const
{
	std::set<std::string> halls{this->own_hall};
	for (const auto &[name, peer] : this->peers) halls.insert(peer.location.hall);
	return {halls.begin(), halls.end()};
}

std::vector<std::string> PeerDirectory::Names() const
{
	std::vector<std::string> names;
	for (const auto &[name, peer] : this->peers) names.push_back(name);
	return names;
}

const PeerLocation *PeerDirectory::Find(const std::string &peer) const
{
	auto found = this->peers.find(peer);
	return found == this->peers.end() ? nullptr : &found->second.location;
}

} // namespace cottonspool
