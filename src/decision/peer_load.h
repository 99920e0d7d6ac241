/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load.h Calls of other instances, tracked in the table of targets like local calls. */

#pragma once

#include "decision/target_table.h"
#include <map>

namespace cottonspool {

/** Update about one call of an instance. */
struct CallUpdate {
	enum class Kind : uint8_t {
		Active, ///< The call is on a target: it was sent or migrated there, or has generated more tokens.
		Ended,  ///< The call has ended.
	};
	Kind kind = Kind::Active;                          ///< What happened to the call.
	uint64_t call = 0;                                 ///< Id of the call on the sending instance.
	std::string target;                                ///< Target that executes the call.
	uint32_t prompt_tokens = 0;                        ///< Length of the prompt.
	uint32_t generated = 0;                            ///< Tokens generated so far.
	uint32_t max_tokens = 0;                           ///< Maximum number of output tokens.
	std::string pool;                                  ///< Requested model or service.
	ServiceClass service_class = ServiceClass::Stream; ///< Service class.
	std::optional<std::string> account;                ///< Client account; nothing if the sender's release does not state it.
};

/** Load report of a target that another instance has read. */
struct ReportUpdate {
	std::string target; ///< Target that sent the report.
	LoadReport report;  ///< The report, including the target's drain notice; number and age are set by the receiver.
};

/** Load update that an instance sends to its peers. */
struct LoadMessage {
	std::string instance;              ///< Sending instance.
	uint64_t incarnation = 0;          ///< Incarnation of the sending instance.
	bool full = false;                 ///< The message lists all calls of the sender: calls that are missing have ended.
	std::vector<CallUpdate> calls;     ///< Updates about calls.
	std::vector<ReportUpdate> reports; ///< Load reports that the sender has read.
};

/**
 * Tracks the calls of other instances, so that every instance sees nearly the same load of each target without waiting for the target's
 * next load report. A peer that is silent for too long is removed with its calls.
 */
class PeerLoad {
public:
	/** @param accounts Numbers of client accounts; null if the accounts of peers' calls don't matter. */
	PeerLoad(TargetTable &targets, NameTable<ModelNumber> &pools, Duration timeout, NameTable<AccountNumber> *accounts = nullptr)
	    : targets(targets), pools(pools), accounts(accounts), timeout(timeout)
	{
	}

	/** Sets the time without a message after which a peer is removed. */
	void SetTimeout(Duration longest) { this->timeout = longest; }

	/** Applies the calls in \a message; its load reports are left to the caller. */
	void OnMessage(const LoadMessage &message, TimePoint now);

	/** Removes peers that have timed out. */
	void OnTick(TimePoint now);

	/** @return Names of the peers that have not timed out. */
	std::vector<std::string> Live() const;

	/** @return Number of calls of other instances in flight. */
	size_t Calls() const;

private:
	/** A call of a peer. */
	struct PeerCall {
		CallId id;              ///< Id of the call in the table of targets.
		TargetNumber target;    ///< Target that executes the call.
		uint32_t generated = 0; ///< Generated tokens reported so far.
	};

	/** Another instance. */
	struct Peer {
		uint64_t incarnation = 0;           ///< Its incarnation.
		TimePoint last_heard;               ///< Time of its last message.
		std::map<uint64_t, PeerCall> calls; ///< Its calls in flight, by their id on the peer.
	};

	void ApplyUpdate(Peer &peer, const CallUpdate &update, TimePoint now);
	void Remove(Peer &peer, uint64_t call, TimePoint now);
	void RemoveAll(Peer &peer, TimePoint now);

	static constexpr uint64_t FIRST_PEER_CALL_ID = 1ULL << 62; ///< Ids of local calls are smaller.

	TargetTable &targets;                  ///< Table of all targets.
	NameTable<ModelNumber> &pools;         ///< Numbers of models and services.
	NameTable<AccountNumber> *accounts;    ///< Numbers of client accounts, or null.
	Duration timeout;                      ///< Time without a message after which a peer is removed.
	std::map<std::string, Peer> peers;     ///< Peers by name.
	uint64_t next_id = FIRST_PEER_CALL_ID; ///< Next id in the table of targets.
};

} // namespace cottonspool
