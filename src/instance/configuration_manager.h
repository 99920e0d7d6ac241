/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_manager.h Replication of the configuration log in one instance, and acceptance of operators' changes. */

#pragma once

#include "configuration/configuration_state.h"
#include "peer/peer_message.h"
#include "platform/platform_base.h"
#include <deque>

namespace cottonspool {

/** Result code of an operator's change. */
enum class ApplyOutcome : uint8_t {
	Accepted, ///< Appended to the log; the sequence is set.
	Conflict, ///< A concurrent change touched the same records; that change is set.
	Invalid,  ///< Failed validation; the message is set.
	Failed,   ///< The table is unreachable; nothing was written.
	Unknown,  ///< It may have been accepted; the operator has to repeat it with the same id.
};

/** Result of an operator's change. */
struct ApplyResult {
	ApplyOutcome end = ApplyOutcome::Unknown; ///< Result code.
	uint64_t sequence = 0;                    ///< Position in the log, if accepted.
	bool repeated = false;                    ///< An earlier request with the same id had been accepted.
	AcceptedChange other;                     ///< The conflicting change.
	std::string message;                      ///< Error message.
};

/** Counters of the configuration since the start. */
struct ConfigurationCounters {
	uint64_t from_table = 0; ///< Entries first received from the table.
	uint64_t from_peers = 0; ///< Entries first received from a peer.
	uint64_t accepted = 0;   ///< Changes accepted through this instance.
	uint64_t conflicts = 0;  ///< Changes rejected because of a conflict.
	uint64_t snapshots = 0;  ///< Snapshots written to the object store.
};

/**
 * Replicates the configuration log, whose entries are the rows "config/entry/N" of the platform's table. A change is accepted by
 * inserting the next row if absent, so the table orders concurrent changes. After a lost answer, the change's id is searched in the log.
 */
class ConfigurationManager {
public:
	/** Called after an update, with the new entries; without any after a snapshot. */
	using ChangeHandler = std::function<void(const std::vector<std::string> &new_entries)>;
	/** Receives the result of a change. */
	using ApplyDone = std::function<void(const ApplyResult &)>;

	ConfigurationManager(Platform &platform, int64_t snapshot_every, PolicyCheck check_policy, ChangeHandler on_changed)
	    : platform(platform), snapshot_every(snapshot_every), check_policy(std::move(check_policy)), on_changed(std::move(on_changed))
	{
	}

	/** Load the snapshot, then the entries that follow it. */
	void Bootstrap();

	/** Read newer entries from the table. */
	void Poll();

	/** Apply entries from a peer. @return False if earlier ones are missing, which are then to be fetched. */
	bool OnEntries(const std::vector<std::string> &entries);

	/** Load a snapshot from a peer, if it is newer. */
	void OnSnapshot(const std::string &snapshot);

	/** @return The entries that follow sequence \a after, or a snapshot if they are no longer kept. */
	PeerMessage MakeFetchReply(uint64_t after) const;

	/** Validate \a change and append it to the log. */
	void Accept(const Change &change, ApplyDone done);

	/** Record that at \a at this instance had all entries. */
	void OnConfirmed(TimePoint at) { this->confirmed_at = std::max(this->confirmed_at, at); }

	/** @return When this instance was last confirmed to have all entries; the epoch if never. */
	TimePoint ConfirmedAt() const { return this->confirmed_at; }

	/** @return The current configuration. */
	const ConfigurationState &State() const { return this->state; }

	/** @return The counters. */
	const ConfigurationCounters &Counters() const { return this->counters; }

private:
	/** A change that is being accepted. */
	struct PendingChange {
		Change change;                ///< The change.
		ApplyDone done;               ///< Receives the result.
		int tries = 0;                ///< Attempts so far.
		bool outcome_unknown = false; ///< A write without an answer may have taken effect.
	};

	/** Receives whether the table was read. */
	using PollDone = std::function<void(bool)>;

	/** Read all newer entries from the table. */
	void PollTable(PollDone done);
	/** Apply an entry if it is the next one. @param counter Incremented for an applied entry. @return Whether it was applied. */
	bool ApplyEntryText(const std::string &text, uint64_t *counter);
	/** Start the next attempt by reading the newest entries. */
	void RetryAccept(std::shared_ptr<PendingChange> pending);
	/** Check the change against the current configuration, and insert it as the next entry. */
	void ProposeChange(const std::shared_ptr<PendingChange> &pending);
	/** Handle the result of inserting the entry \a text. */
	void OnInserted(const std::shared_ptr<PendingChange> &pending, const std::string &text, const WriteOutcome &outcome);
	void WriteSnapshotIfDue();
	void NotifyChanged(std::vector<std::string> entries);

	static constexpr size_t MAX_RECENT = 512;              ///< Most recent entries kept for peers.
	static constexpr size_t MAX_RECENT_BYTES = 256U << 10; ///< Most bytes of recent entries.
	static constexpr int MAX_TRIES = 8;                    ///< Most attempts for one change.

	Platform &platform;                                  ///< Access to the table and the objects.
	int64_t snapshot_every;                              ///< Number of entries between snapshots.
	PolicyCheck check_policy;                            ///< Validates policy programs.
	ChangeHandler on_changed;                            ///< Called after each update of the configuration.
	ConfigurationState state;                            ///< Current configuration.
	std::deque<std::pair<uint64_t, std::string>> recent; ///< Recent entries with their sequences, oldest first.
	size_t recent_bytes = 0;                             ///< Size of the recent entries.
	TimePoint confirmed_at;                              ///< Time of the last confirmation.
	bool polling = false;                                ///< A poll is in progress.
	ConfigurationCounters counters;                      ///< Counters.
};

} // namespace cottonspool
