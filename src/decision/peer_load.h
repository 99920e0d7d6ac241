/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load.h What other instances tell of their calls, entered into the table of targets like own ones. */

#pragma once

#include "decision/target_table.h"
#include <map>

namespace cottonspool {

/** News of one call of an instance. */
struct CallUpdate {
	enum class Kind : uint8_t {
		At,    ///< It is at a target: new there, moved there, or further on.
		Ended, ///< It has ended.
	};
	Kind kind = Kind::At;                              ///< What has become of it.
	uint64_t call = 0;                                 ///< Its number at that instance.
	std::string target;                                ///< Target that has it.
	uint32_t prompt_tokens = 0;                        ///< Length of its prompt.
	uint32_t generated = 0;                            ///< Tokens generated so far.
	uint32_t max_tokens = 0;                           ///< Most output tokens.
	std::string pool;                                  ///< Model or service that it asks for.
	ServiceClass service_class = ServiceClass::Stream; ///< Class.
};

/** A target's report that another instance has read. */
struct ReportUpdate {
	std::string target; ///< Target.
	LoadReport report;  ///< Report, with the target's own notice; its number and age are the receiver's to set.
};

/** What an instance tells its peers. */
struct LoadMessage {
	std::string instance;              ///< Who tells it.
	uint64_t incarnation = 0;          ///< Its start.
	bool full = false;                 ///< All its calls are listed: others of it have ended.
	std::vector<CallUpdate> calls;     ///< Calls.
	std::vector<ReportUpdate> reports; ///< Reports that it has read.
};

/**
 * Calls of other instances. With them every instance sees nearly the same load of each target at once, instead of a report
 * that is old and that all read together. A peer that falls silent is forgotten with its calls.
 */
class PeerLoad {
public:
	PeerLoad(TargetTable &targets, NameTable<ModelNumber> &pools, Duration timeout) : targets(targets), pools(pools), timeout(timeout) {}

	/** A peer is forgotten after \a longest of silence from now on. */
	void SetTimeout(Duration longest) { this->timeout = longest; }

	/** Take in what a peer tells. Reports are left to the caller. */
	void OnMessage(const LoadMessage &message, TimePoint now);

	/** Time has passed. */
	void OnTick(TimePoint now);

	/** @return Names of the peers that were heard lately. */
	std::vector<std::string> Live() const;

	/** @return Calls of others that are in flight. */
	size_t Calls() const;

private:
	/** One call of a peer. */
	struct PeerCall {
		CallId id;              ///< Number under which it stands in the table.
		TargetNumber target;    ///< Target that has it.
		uint32_t generated = 0; ///< Tokens told so far.
	};

	/** One peer. */
	struct Peer {
		uint64_t incarnation = 0;           ///< Its start.
		TimePoint last_heard;               ///< When it was last heard.
		std::map<uint64_t, PeerCall> calls; ///< Its calls in flight.
	};

	void ApplyUpdate(Peer &peer, const CallUpdate &update, TimePoint now);
	void Remove(Peer &peer, uint64_t call, TimePoint now);
	void RemoveAll(Peer &peer, TimePoint now);

	static constexpr uint64_t FIRST_PEER_CALL_ID = 1ULL << 62; ///< Numbers of own calls stay below.

	TargetTable &targets;                  ///< Targets.
	NameTable<ModelNumber> &pools;         ///< Numbers of models and services.
	Duration timeout;                      ///< Silence after which a peer is forgotten.
	std::map<std::string, Peer> peers;     ///< Peers by name.
	uint64_t next_id = FIRST_PEER_CALL_ID; ///< Next number in the table.
};

} // namespace cottonspool
