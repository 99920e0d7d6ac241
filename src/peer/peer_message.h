/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_message.h Messages between instances, and their CBOR form. */

#pragma once

#include "core/error_type.h"
#include "decision/hall_load.h"
#include "decision/membership.h"
#include "decision/peer_directory.h"
#include "decision/target_signals.h"
#include "store/table_store_base.h"
#include <variant>

namespace cottonspool {

/** Regular news of an instance. */
struct HeartbeatMessage {
	std::vector<MemberInfo> members;                      ///< The sender first, then some others it knows.
	std::vector<DrainingTarget> draining;                 ///< Targets it knows to leave.
	Duration confirmed_age{0};                            ///< Age of its last confirmation that its configuration is the newest.
	std::vector<std::pair<std::string, uint64_t>> echoes; ///< Peers heard directly, each with the last counter heard of it.
};

/** Accepted entries, in order. */
struct EntriesMessage {
	std::vector<std::string> entries; ///< Entries in JSON, as in the table.
};

/** Asks for what comes after a sequence. */
struct FetchMessage {
	uint64_t after = 0; ///< Last sequence that the asker has.
};

/** The whole configuration. */
struct SnapshotMessage {
	std::string snapshot; ///< As written by ConfigurationState::Snapshot().
};

/** What an instance has read of the store's tables, or that it still does. */
struct TablesMessage {
	std::string instance;            ///< Who tells it.
	std::string hall;                ///< Data hall it stands in.
	bool forwarded = false;          ///< It was passed on by an instance of the receiver's hall.
	std::vector<TableUpdate> tables; ///< News by table.
	std::vector<PoolShards> shards;  ///< How the teller divides targets among cells, if the list of targets is told whole.
};

/** An instance that has started asks for tables, to read them from nobody else. */
struct TablesRequestMessage {
	std::string instance;            ///< Who asks.
	std::vector<std::string> tables; ///< Tables.
};

/** Where an instance is, told to each peer when the link to it opens: whoever is dialled thereby knows who dials. */
struct PresenceMessage {
	std::string instance;   ///< Who tells it.
	PeerLocation location;  ///< Where it is.
	uint32_t instances = 0; ///< Instances that the store lists, as far as the teller knows; 0 if it has not read that.
	CellCount cells;        ///< Into how many cells it divides them.
};

/** What targets have said of themselves lately. */
struct SignalsMessage {
	std::string instance;                 ///< Who tells it.
	std::string hall;                     ///< Data hall of who heard it first.
	bool forwarded = false;               ///< It was passed on by an instance of the receiver's hall.
	std::vector<TargetSignalUpdate> news; ///< By target.
};

/** An instance asks another one for a part of its share of a target's limit. */
struct LeaseRequestMessage {
	std::string instance; ///< Who asks.
	std::string target;   ///< Life of the target, by name.
	uint64_t number = 0;  ///< Number of the ask, given by who asks.
	uint32_t wanted = 0;  ///< Requests in a window.
};

/** The answer to it. */
struct LeaseGrantMessage {
	std::string instance; ///< Who lends.
	std::string target;   ///< Life of the target, by name.
	uint64_t number = 0;  ///< Number of the ask.
	uint32_t granted = 0; ///< Requests in a window that are lent.
};

using PeerMessage =
        std::variant<HeartbeatMessage, EntriesMessage, FetchMessage, SnapshotMessage, LoadMessage, TablesMessage, PresenceMessage,
                     HallLoadMessage, SignalsMessage, LeaseRequestMessage, LeaseGrantMessage, TablesRequestMessage>;

/** @return \a message in CBOR. */
std::string EncodePeerMessage(const PeerMessage &message);

/** Read a message; anything that is not one is an error, never a crash. */
Result<PeerMessage> DecodePeerMessage(const std::string &bytes);

} // namespace cottonspool
