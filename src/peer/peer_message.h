/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_message.h Messages between instances, and their encoding in CBOR. */

#pragma once

#include "core/error_type.h"
#include "decision/hall_load.h"
#include "decision/membership.h"
#include "decision/peer_directory.h"
#include "decision/target_signals.h"
#include "store/table_store_base.h"
#include <variant>

namespace cottonspool {

/** Regular heartbeat of an instance without a gateway. */
struct HeartbeatMessage {
	std::vector<MemberInfo> members;      ///< The sender, then some other members it knows.
	std::vector<DrainingTarget> draining; ///< Draining targets that the sender knows.
	Duration confirmed_age{0};            ///< Time since the sender last confirmed that its configuration is the newest.
	/** Peers from which the sender got heartbeats directly, each with the latest counter. */
	std::vector<std::pair<std::string, uint64_t>> echoes;
};

/** Accepted entries of the configuration log, in order. */
struct EntriesMessage {
	std::vector<std::string> entries; ///< Entries in JSON, as in the table.
};

/** Requests the entries that follow a sequence number. */
struct FetchMessage {
	uint64_t after = 0; ///< Latest sequence number that the sender has.
};

/** A snapshot of the configuration. */
struct SnapshotMessage {
	std::string snapshot; ///< As written by ConfigurationState::Snapshot().
};

/** Updates of the store's tables, or the confirmation that the sender still follows them. */
struct TablesMessage {
	std::string instance;            ///< Sender, or the instance that read the tables if it was forwarded.
	std::string hall;                ///< Hall of that instance.
	bool forwarded = false;          ///< Whether it was forwarded by an instance of the receiver's hall.
	std::vector<TableUpdate> tables; ///< Updates by table.
	std::vector<PoolShards> shards;  ///< Division of the targets among cells, if the message contains a snapshot of them.
};

/** Request of an instance that has started for snapshots of tables. */
struct TablesRequestMessage {
	std::string instance;            ///< Sender.
	std::vector<std::string> tables; ///< Names of the tables.
};

/** Location and view of an instance, sent to each peer when a link to it opens, so that the peer knows its address. */
struct PresenceMessage {
	std::string instance; ///< Sender.
	PeerLocation location;
	uint32_t instances = 0; ///< Number of instances in the store, as far as the sender knows; 0 if it has not read them.
	CellCount cells;        ///< Number of cells into which the sender divides them.
};

/** Signals that targets have sent with their answers. */
struct SignalsMessage {
	std::string instance;                    ///< Sender, or the instance that got the signals if it was forwarded.
	std::string hall;                        ///< Hall of that instance.
	bool forwarded = false;                  ///< Whether it was forwarded to the receiver's hall.
	std::vector<TargetSignalUpdate> signals; ///< Signals by target.
};

/** Request for a lease of a part of the receiver's share of a target's rate limit. */
struct LeaseRequestMessage {
	std::string instance; ///< Sender.
	std::string target;   ///< Target incarnation, by name.
	uint64_t number = 0;  ///< Number of the request, assigned by the sender.
	uint32_t wanted = 0;  ///< Requests in a window.
};

/** Answer to a lease request. */
struct LeaseGrantMessage {
	std::string instance; ///< Sender, which lends.
	std::string target;   ///< Target incarnation, by name.
	uint64_t number = 0;  ///< Number of the lease request.
	uint32_t granted = 0; ///< Requests in a window that are lent; 0 for none.
};

using PeerMessage =
        std::variant<HeartbeatMessage, EntriesMessage, FetchMessage, SnapshotMessage, LoadMessage, TablesMessage, PresenceMessage,
                     HallLoadMessage, SignalsMessage, LeaseRequestMessage, LeaseGrantMessage, TablesRequestMessage>;

/** @return \a message in CBOR, compressed if it is long. */
std::string EncodePeerMessage(const PeerMessage &message);

/** @return The decoded message; an error for any bytes that are not a valid message. */
Result<PeerMessage> DecodePeerMessage(const std::string &bytes);

} // namespace cottonspool
