/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory.h The other instances that are known, and which of them are dialled when. */

#pragma once

#include "decision/cell_division.h"
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** Key by which all choose the same instance of a hall to pass news on there. */
inline constexpr const char *FORWARDER_KEY = "relay";

/** Where an instance is. */
struct PeerLocation {
	std::string address;  ///< IP:PORT for peers.
	std::string hall;     ///< Data hall.
	double link_mbps = 0; ///< Speed of its link, in Mbit/s; 0 if unknown.
};

/** How far the link that this instance dials to another has come. */
enum class LinkState : uint8_t {
	None,     ///< There is none.
	Dialling, ///< It is being opened.
	Open,     ///< It can be used.
};

/** Times of dialling. */
struct DialLimits {
	Duration dial_timeout = std::chrono::seconds(1);        ///< Time that a dial may take.
	Duration min_redial_interval = std::chrono::seconds(1); ///< Time from one dial of a peer to the next; doubles.
	Duration max_redial_interval = std::chrono::seconds(8); ///< Longest such time.
	size_t max_mesh_instances = 64; ///< Instances up to which links may cross halls: each dials each, so that 295 of them would open
	                                ///< 87,000 (by arithmetic).
};

/** Links that an instance keeps. */
struct WantedLinks {
	std::vector<std::string> peers;      ///< Addresses of those with which all news are exchanged.
	std::vector<std::string> forwarders; ///< Addresses in other halls, one each, which pass on there what is read of the store for all.
};

/**
 * The other instances of the own cell; of those of other cells only where they are. Those in the own hall are dialled; with
 * SetHallOnly(false) and few instances all are.
 */
class PeerDirectory {
public:
	PeerDirectory(std::string own_name, std::string own_hall, DialLimits limits)
	    : own_name(std::move(own_name)), own_hall(std::move(own_hall)), limits(limits), division(this->own_name)
	{
	}

	/** \a peer is at \a location, says the list of all or the peer itself. */
	void Update(const std::string &peer, const PeerLocation &location);

	/** \a peer has told by itself that it is at \a location: it lives, so it is dialled without waiting. */
	void OnPeerAlive(const std::string &peer, const PeerLocation &location);

	/** \a peer has left. */
	void Remove(const std::string &peer);

	/** Forget all, as the whole list follows. */
	void Clear();

	/**
	 * The list was read as of \a version: find out anew who is in the own cell; see CellDivision.
	 * @param complete It was read whole; otherwise some of it has changed.
	 * @param bootstrapping It is not complete yet.
	 * @return Whether the number of cells has changed.
	 */
	bool Divide(bool complete, StoreVersion version, bool bootstrapping);

	/** Another instance divides the fleet as \a peer_cells says. @return Whether the number of cells has changed here. */
	bool OnPeerCellCount(const CellCount &peer_cells);

	/** @return Into how many cells the fleet is divided. */
	const CellCount &Cells() const { return this->division.Count(); }

	/** @return Whether \a peer is in the own cell. */
	bool IsOwn(std::string_view peer) const { return this->division.IsOwn(peer); }

	/** Exchange news with the instances of the own hall only, or with all unless they are too many. */
	void SetHallOnly(bool only) { this->hall_only = only; }

	/** @return Whether news are exchanged inside the own hall only. */
	bool IsHallOnly() const { return this->hall_only || this->peers.size() >= this->limits.max_mesh_instances; }

	using LinkStateOf = std::function<LinkState(const std::string &)>;

	/**
	 * To be called at each change and some times a second.
	 * @param is_hall_reader This instance is the first of its hall that reads a table: it keeps a link to each other hall.
	 * @return Addresses to which links are kept or dialled now.
	 */
	WantedLinks Wanted(const LinkStateOf &link_state_of, bool is_hall_reader, TimePoint now);

	/** @return Data halls with instances of the own cell, the own hall included. */
	std::vector<std::string> Halls() const;

	/** @return Names of the other instances of the own cell. */
	std::vector<std::string> Names() const;

	/** @return Where \a peer is; null if it is not known, or in another cell. */
	const PeerLocation *Find(const std::string &peer) const;

	/** @return Other instances known, those of other cells included. */
	size_t Size() const { return this->peers.size() + this->other_cells.size(); }

	/** @return Those of them with which news are exchanged. */
	size_t ExchangePeerCount() const;

	/** @return Other instances of the own cell. */
	size_t CellPeerCount() const { return this->peers.size(); }

private:
	/** One other instance. */
	struct Peer {
		PeerLocation location;    ///< Where it is.
		TimePoint next_dial;      ///< When it is dialled next.
		TimePoint dial_until;     ///< When the dial under way is given up.
		Duration redial_delay{0}; ///< Pause after the last dial.
	};

	void ReassignCells();
	/** @return Whether the link to \a peer is to be kept or dialled now. */
	bool KeepOrDial(Peer &peer, LinkState state, TimePoint now) const;
	/** @return The instance of \a hall that passes news on there; null while none is to be dialled. */
	Peer *ForwarderIn(const std::string &hall, const LinkStateOf &link_state_of, TimePoint now);

	std::string own_name;                            ///< Name of this instance.
	std::string own_hall;                            ///< Data hall it stands in.
	DialLimits limits;                               ///< Times.
	CellDivision division;                           ///< Cells.
	std::map<std::string, Peer> peers;               ///< Other instances of the own cell by name.
	std::map<std::string, PeerLocation> other_cells; ///< Those of other cells.
	bool hall_only = true;                           ///< News go to the own hall only.
};

} // namespace cottonspool
