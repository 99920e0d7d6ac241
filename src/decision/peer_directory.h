/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory.h Directory of the other instances, and the links that this instance keeps to them. */

#pragma once

#include "decision/cell_division.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** Key of the rendezvous hash by which all instances choose the same forwarder of a hall. */
inline constexpr const char *FORWARDER_KEY = "relay";

/** Network location of an instance. */
struct PeerLocation {
	std::string address;  ///< IP:PORT for peers.
	std::string hall;     ///< Data hall of the instance.
	double link_mbps = 0; ///< Bandwidth of its network link, in Mbit/s; 0 if unknown.
	/** Port at the same IP for requests that other instances pass on; 0 if it accepts none. */
	uint16_t forward_port = 0;
};

/** State of an outgoing link to a peer. */
enum class LinkState : uint8_t {
	None,     ///< There is no link.
	Dialling, ///< The link is being established.
	Open,     ///< The link can be used.
};

/** Limits for establishing links. */
struct DialLimits {
	Duration dial_timeout = std::chrono::seconds(1);        ///< Maximum time to establish a link.
	Duration min_redial_interval = std::chrono::seconds(1); ///< Initial delay before a peer is dialled again; doubles with each attempt.
	Duration max_redial_interval = std::chrono::seconds(8); ///< Maximum delay before a peer is dialled again.
	/** Number of instances up to which links may cross halls. Each instance dials each other one, so that 295 would open 87,000 links. */
	size_t max_mesh_instances = 64;
};

/** Links that an instance keeps. */
struct WantedLinks {
	std::vector<std::string> peers;      ///< Addresses of the peers with which all updates are exchanged.
	std::vector<std::string> forwarders; ///< Addresses of one instance in each other hall, which forwards store updates to its hall.
};

/**
 * Locations of all other instances, and connection state of those in this instance's cell. Links are kept to the peers in this instance's
 * hall or, with SetHallOnly(false) and few instances, to all peers of the cell.
 */
class PeerDirectory {
public:
	PeerDirectory(std::string own_name, std::string own_hall, DialLimits limits)
	    : own_name(std::move(own_name)), own_hall(std::move(own_hall)), limits(limits), division(this->own_name)
	{
	}

	/** Stores the \a location of \a peer, from the instance list or from the peer itself. */
	void Update(const std::string &peer, const PeerLocation &location);

	/** Stores the \a location that \a peer has sent itself. It is alive, so it is dialled without delay. */
	void OnPeerAlive(const std::string &peer, const PeerLocation &location);

	/** Removes \a peer. */
	void Remove(const std::string &peer);

	/** Removes all instances; the complete list follows. */
	void Clear();

	/**
	 * Recomputes the cells after the instance list of \a version was read; see CellDivision.
	 * @param complete The list was read completely; otherwise parts of it have changed.
	 * @param bootstrapping The list is still incomplete, as the fleet is starting for the first time.
	 * @return Whether the number of cells has changed.
	 */
	bool Divide(bool complete, StoreVersion version, bool bootstrapping);

	/** Handles the number of cells that a peer uses. @return Whether the number of cells has changed on this instance. */
	bool OnPeerCellCount(const CellCount &peer_cells);

	/** @return The current number of cells. */
	const CellCount &Cells() const { return this->division.Count(); }

	/** @return Whether \a peer is in the same cell as this instance. */
	bool IsOwn(std::string_view peer) const { return this->division.IsOwn(peer); }

	/** Restricts the exchange of updates to this instance's hall, or allows it with all halls as long as there are few instances. */
	void SetHallOnly(bool only) { this->hall_only = only; }

	/** @return Whether updates are exchanged only inside this instance's hall. */
	bool IsHallOnly() const { return this->hall_only || this->peers.size() >= this->limits.max_mesh_instances; }

	using LinkStateOf = std::function<LinkState(const std::string &)>;

	/**
	 * Selects the links to keep or establish; to be called after each change and several times per second.
	 * @param is_hall_reader This instance reads a store table for its hall, so it keeps a link to each other hall.
	 * @return Addresses of the links.
	 */
	WantedLinks Wanted(const LinkStateOf &link_state_of, bool is_hall_reader, TimePoint now);

	/** @return Data halls with instances of this cell, including this instance's hall. */
	std::vector<std::string> Halls() const;

	/** @return Names of the other instances of this cell. */
	std::vector<std::string> Names() const;

	/** @return The location of \a peer; null if it is unknown or in another cell. */
	const PeerLocation *Find(const std::string &peer) const;

	/** @return Number of other instances in all cells. */
	size_t Size() const { return this->peers.size() + this->other_cells.size(); }

	/** @return Number of peers with which updates are exchanged. */
	size_t ExchangePeerCount() const;

	/** @return Number of other instances in this cell. */
	size_t CellPeerCount() const { return this->peers.size(); }

private:
	/** Another instance of this cell. */
	struct Peer {
		PeerLocation location;    ///< Location of the instance.
		TimePoint next_dial;      ///< Time from which it may be dialled.
		TimePoint dial_until;     ///< Time at which the current dial times out.
		Duration redial_delay{0}; ///< Delay after the last dial.
	};

	void ReassignCells();
	/** Updates the dial state of \a peer. @return Whether its link is to be kept or established now. */
	bool KeepOrDial(Peer &peer, LinkState state, TimePoint now) const;
	/** @return The instance that forwards updates in \a hall; null if none can be dialled now. */
	Peer *ForwarderIn(const std::string &hall, const LinkStateOf &link_state_of, TimePoint now);

	std::string own_name;                            ///< Name of this instance.
	std::string own_hall;                            ///< Data hall of this instance.
	DialLimits limits;                               ///< Limits for establishing links.
	CellDivision division;                           ///< Cells of the fleet.
	std::map<std::string, Peer> peers;               ///< Other instances of this cell by name.
	std::map<std::string, PeerLocation> other_cells; ///< Locations of the instances in other cells by name.
	bool hall_only = true;                           ///< Updates are exchanged only inside this instance's hall.
};

} // namespace cottonspool
