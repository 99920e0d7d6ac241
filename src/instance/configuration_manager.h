/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_manager.h Keeps one instance's configuration at the head: boots, polls, takes pushes, accepts changes. */

#pragma once

#include "configuration/configuration_state.h"
#include "peer/peer_message.h"
#include "platform/platform_base.h"
#include <deque>

namespace cottonspool {

/** How an operator's change ended. */
enum class ApplyOutcome : uint8_t {
	Accepted, ///< It is in the order; see the sequence.
	Conflict, ///< Another change came between; see the other change.
	Invalid,  ///< It was refused; see the error.
	Failed,   ///< The table could not be reached; nothing was written.
	Unknown,  ///< It may have been accepted: repeat it with the same id.
};

/** Result of an operator's change. */
struct ApplyResult {
	ApplyOutcome end = ApplyOutcome::Unknown; ///< How it ended.
	uint64_t sequence = 0;                    ///< Place, when accepted.
	bool repeated = false;                    ///< It had been accepted before.
	AcceptedChange other;                     ///< The other change, on a conflict.
	std::string message;                      ///< The error, when it was refused.
};

/** Counters of the keeper. */
struct ConfigurationCounters {
	uint64_t from_table = 0; ///< Entries first seen in the table.
	uint64_t from_peers = 0; ///< Entries first seen from a peer.
	uint64_t accepted = 0;   ///< Changes accepted through this instance.
	uint64_t conflicts = 0;  ///< Changes refused for a conflict.
	uint64_t snapshots = 0;  ///< Snapshots written.
};

/**
 * The log of entries is a run of rows "config/entry/N". A change is accepted by inserting the next row if it is absent, so the
 * table orders racing operators; a lost answer is settled by looking for the change's id in the rows that are there.
 */
class ConfigurationManager {
public:
	using ChangeHandler = std::function<void(const std::vector<std::string> &new_entries)>;
	using ApplyDone = std::function<void(const ApplyResult &)>;

	ConfigurationManager(Platform &platform, int64_t snapshot_every, PolicyCheck check_policy, ChangeHandler on_changed)
	    : platform(platform), snapshot_every(snapshot_every), check_policy(std::move(check_policy)), on_changed(std::move(on_changed))
	{
	}

	/** Read the snapshot, then the tail. */
	void Bootstrap();

	/** Look for newer entries in the table. */
	void Poll();

	/** Entries came from a peer. @return False when some are missing before them: fetch from Sequence(). */
	bool OnEntries(const std::vector<std::string> &entries);

	/** A snapshot came from a peer. */
	void OnSnapshot(const std::string &snapshot);

	/** @return What a peer that has \a after is to be sent: entries, or the whole when they are no longer remembered. */
	PeerMessage MakeFetchReply(uint64_t after) const;

	/** Try to have \a change accepted. */
	void Accept(const Change &change, ApplyDone done);

	/** The head was confirmed by a peer no earlier than \a at. */
	void OnConfirmed(TimePoint at) { this->confirmed_at = std::max(this->confirmed_at, at); }

	/** @return When this instance last knew that it was at the head; the epoch before the first time. */
	TimePoint ConfirmedAt() const { return this->confirmed_at; }

	/** @return The configuration in force. */
	const ConfigurationState &State() const { return this->state; }

	/** @return Counters since the start. */
	const ConfigurationCounters &Counters() const { return this->counters; }

private:
	/** A change on its way to acceptance. */
	struct PendingChange {
		Change change;                ///< The change.
		ApplyDone done;               ///< Gets the result.
		int tries = 0;                ///< Rounds so far.
		bool outcome_unknown = false; ///< Some write may have taken effect.
	};

	using PollDone = std::function<void(bool)>;

	void PollTable(PollDone done);
	bool ApplyEntryText(const std::string &text, uint64_t *counter);
	void RetryAccept(std::shared_ptr<PendingChange> acceptance);
	void ProposeChange(const std::shared_ptr<PendingChange> &acceptance);
	void OnInserted(const std::shared_ptr<PendingChange> &acceptance, const std::string &text, const WriteOutcome &outcome);
	void WriteSnapshotIfDue();
	void NotifyChanged(std::vector<std::string> entries);

	static constexpr size_t MAX_RECENT = 512;              ///< Entries remembered for peers.
	static constexpr size_t MAX_RECENT_BYTES = 256U << 10; ///< Most bytes of them.
	static constexpr int MAX_TRIES = 8;                    ///< Rounds of one acceptance.

	Platform &platform;                                  ///< Table and objects.
	int64_t snapshot_every;                              ///< Entries between snapshots.
	PolicyCheck check_policy;                            ///< Checks policies.
	ChangeHandler on_changed;                            ///< Told of every movement.
	ConfigurationState state;                            ///< Configuration in force.
	std::deque<std::pair<uint64_t, std::string>> recent; ///< Last entries, for peers.
	size_t recent_bytes = 0;                             ///< Bytes of the last entries.
	TimePoint confirmed_at;                              ///< Last confirmation.
	bool polling = false;                                ///< A poll is under way.
	ConfigurationCounters counters;                      ///< Counters.
};

} // namespace cottonspool
