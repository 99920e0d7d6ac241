/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch.h Keeps a local view of one table of the store, across outages and restores of the store. */

#pragma once

#include "decision/update_age_type.h"
#include "store/table_store_base.h"
#include <map>
#include <memory>

namespace cottonspool {

/** Timeouts and options of a table watch. */
struct WatchLimits {
	Duration wait = std::chrono::seconds(3); ///< Long-poll time of a read of changes; also delays the detection of a dead connection.
	Duration slack = std::chrono::milliseconds(700);               ///< Time allowed for the answer after the long-poll time.
	Duration takeover_delay = std::chrono::milliseconds(4000);     ///< Time without an update after which another instance takes over.
	Duration takeover_delay_step = std::chrono::milliseconds(100); ///< Added to it for each position in the reader order.
	Duration max_takeover_delay = std::chrono::milliseconds(5000); ///< Upper limit of that time.
	Duration min_read_timeout = std::chrono::milliseconds(1000);   ///< Timeout for a page of a snapshot; doubled after each timeout.
	Duration max_read_timeout = std::chrono::seconds(4);           ///< Upper limit of that timeout, so that a slow store can still answer.
	Duration batch_delay = std::chrono::milliseconds(150); ///< Delay between a change and the next read: a burst of changes costs one call.
	bool keep_rows = false;                                ///< Keep the rows, to serve snapshots to other instances.
	bool allow_gaps = false;                               ///< Accept updates from peers even if earlier ones were missed.
	Duration min_backoff = std::chrono::milliseconds(150); ///< Backoff after the first failure; doubled after each further one.
	Duration max_backoff = std::chrono::milliseconds(1200); ///< Longest backoff; limits how late the store's recovery is detected.
};

/** Why a table watch calls the store. */
enum class ReadReason : uint8_t {
	Snapshot, ///< Read of a snapshot, at the start or because the change history is not available.
	Follow,   ///< Regular poll of the instance that reads for its peers.
	TakeOver, ///< First poll after the reader's updates stopped.
	Behind,   ///< A peer advertised a version without sending the changes.
	CatchUp,  ///< One read requested by CatchUp().
	Probe,    ///< Probe whether the store is available again.
};

/** @return The name of \a reason for logs. */
const char *ReadReasonName(ReadReason reason);

/** The store was restored from a backup and counts its versions in another epoch. */
struct StoreEpochChange {
	StoreVersion known;     ///< Last version seen in the former epoch.
	StoreVersion read;      ///< First version seen in the new epoch.
	bool from_peer = false; ///< It was received from a peer rather than read from the store.
};

/**
 * Keeps a local view of one table, from the store or from updates of peers.
 *
 * Within a store epoch versions only increase; older answers and updates are dropped. After a change of epoch a snapshot is read, since
 * version numbers of different epochs cannot be compared. The epoch in force is the one that the store reported to the most recently
 * started call. An update from a peer with a later epoch is applied if it is a snapshot, and otherwise leads to a read; one with an earlier
 * epoch is ignored.
 */
class TableWatch {
public:
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_snapshot; ///< A snapshot was taken in.
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_changes;  ///< Changed rows were taken in.
	std::function<void(const RowsAnswer &, TimePoint)> on_unavailable;          ///< The store became unavailable.
	std::function<void(Duration, TimePoint)> on_reconnected;  ///< The store is available again after an outage of that duration.
	std::function<void(ReadReason)> on_call;                  ///< A call to the store was started.
	std::function<void(StoreVersion read)> on_stale_snapshot; ///< A snapshot was older than the local view and was dropped.
	/** The store epoch changed; a snapshot follows, which may lack rows that were lost in the restore. */
	std::function<void(const StoreEpochChange &, TimePoint)> on_store_restored;
	std::function<void(const TableUpdate &)> on_publish; ///< An update to be published to the peers; rows may be empty.
	/** Removes rows that neither this instance nor those for which it reads need, out of a snapshot (\a full) or changes. */
	std::function<void(std::vector<StoredRow> &, bool full)> filter_rows;

	using Clock = std::function<TimePoint()>;

	TableWatch(TableStore &store, std::string table, WatchLimits limits, Clock clock = MonotonicNow);
	~TableWatch();
	TableWatch(const TableWatch &) = delete;
	TableWatch &operator=(const TableWatch &) = delete;

	/** Start with a snapshot from the store. */
	void Start(TimePoint now);

	/** Start with a snapshot from a peer; it is read from the store if none has arrived by \a read_at. */
	void StartFromPeers(TimePoint read_at);

	/** Request another snapshot from a peer; it is read from the store if none has arrived by \a read_at. */
	void RefreshSnapshot(TimePoint read_at);

	/** @return Whether a snapshot from a peer is needed. */
	bool NeedsSnapshot() const { return this->started && this->needs_snapshot; }

	/** @return Whether Snapshot() returns a snapshot. */
	bool HasSnapshot() const { return this->limits.keep_rows && this->known && !this->needs_snapshot && !this->behind; }

	/** @return A snapshot of the local view, for a peer; nothing if rows are not kept or the view is incomplete. */
	std::optional<TableUpdate> Snapshot() const;

	/** Check timeouts and start due reads; to be called about ten times per second. */
	void OnTick(TimePoint now);

	/**
	 * Leave polling to another instance as long as its updates are at most \a max_update_gap apart; zero to poll always. The first snapshot
	 * is read regardless.
	 */
	void SetTakeoverDelay(Duration max_update_gap) { this->takeover_delay = max_update_gap; }

	/** Handle an update of this table from a peer. */
	void OnUpdate(const TableUpdate &update, TimePoint now);

	/** While the store is unavailable to \a first too, don't probe it here: one probe per instance is enough. */
	void SetRecoveryProbe(const TableWatch &first) { this->prober = &first; }

	/**
	 * Couple this table to \a lead, which changes more often: the instance that reads \a lead for its peers reads this table too,
	 * with the longest long polls, and publishes its version along with each update of \a lead. No snapshot is read at the start.
	 */
	void SetLeadTable(const TableWatch &lead);

	/** @return An update without rows that advertises the version of the local view; nothing unless the table is being followed. */
	std::optional<TableUpdate> HeartbeatUpdate() const;

	/** @return Name of the table whose reader order applies to this one. */
	const std::string &ReaderOrderKey() const { return this->lead_table == nullptr ? this->table : this->lead_table->table; }

	/** Read the changes from the store once, even if another instance is the reader. */
	void CatchUp() { this->catch_up = true; }

	/** @return Timeouts and options. */
	const WatchLimits &Limits() const { return this->limits; }

	/** @return Whether this instance reads the table from the store at present, for any reason. */
	bool ReadsFromStore(TimePoint now) const;

	/** @return Whether there is a local view of the table. */
	bool IsKnown() const { return this->known; }

	/** @return Whether the store is unavailable: the last call failed. */
	bool IsUnavailable() const { return this->unavailable; }

	/** @return When the local view was last confirmed to be up to date. */
	TimePoint ConfirmedAt() const { return this->confirmed_at; }

	/** @return How old the changes may be that were taken in last, or whether reads failed before they succeeded again. */
	const UpdateAge &LastUpdateAge() const { return this->update_age; }

	/** @return Version of the store up to which the table is known. */
	StoreVersion Version() const { return this->version; }

	/** @return Version of the last known change of the table. */
	StoreVersion RowsVersion() const { return this->rows_version; }

	/** @return Name of the table. */
	const std::string &Table() const { return this->table; }

	/** @return Number of calls made to the store. */
	uint64_t Calls() const { return this->calls; }

private:
	bool ReadsForPeers(TimePoint now) const;
	void CheckLeadTable(TimePoint now);
	/** @return The version \a number in the epoch that \a answer reports, or in the current epoch if it reports none. */
	StoreVersion VersionOf(const RowsAnswer &answer, uint64_t number) const;
	/** @return Whether \a seen is of another epoch than the local view. */
	bool IsOtherEpoch(const StoreVersion &seen) const { return this->version.IsKnown() && seen.epoch != this->version.epoch; }
	/** @return Whether \a seen is the answer to a call during which a later epoch became known. */
	bool IsSuperseded(const StoreVersion &seen) const
	{
		return seen.epoch < this->version.epoch && this->call_version.epoch < this->version.epoch;
	}
	void CancelCall();
	void BeginSnapshotRead(TimePoint now);
	void DiscardRefutedUpdate();
	void ReadPage(TimePoint now);
	void ReadChanges(TimePoint now);
	ReadReason ReasonToRead(TimePoint now) const;
	void CountCall(ReadReason reason);
	void OnPage(RowsAnswer answer);
	void OnChanges(RowsAnswer answer);
	void OnFailure(const RowsAnswer &answer, TimePoint now);
	void OnAnswered(TimePoint now);
	/** The local view has all changes that the store acknowledged before \a complete, according to what arrived \a now. */
	void SetComplete(TimePoint complete, TimePoint now);
	void PublishRead(StoreVersion from, bool full, const std::vector<StoredRow> &rows, TimePoint now);
	/** @return Whether a snapshot has to be read from the store, as no peer has sent one in time. */
	bool SnapshotIsDue(TimePoint now) const { return this->needs_snapshot && now >= this->snapshot_due; }
	void OnSnapshotKnown(TimePoint now);
	void UpdateKeptRows(const std::vector<StoredRow> &rows, bool full);
	void ApplyUpdate(const TableUpdate &update, bool full, bool epoch_changed, TimePoint now);
	void ContinueReading(TimePoint now);
	bool DefersToProbe(TimePoint now);
	void AdvanceRowsVersion(const std::vector<StoredRow> &rows);

	TableStore &store;                  ///< Store.
	Clock clock;                        ///< Clock, read when an answer arrives.
	std::string table;                  ///< Name of the table.
	WatchLimits limits;                 ///< Timeouts and options.
	std::vector<StoredRow> pages;       ///< Rows of the snapshot being read.
	std::string next_key;               ///< Start key of its next page; empty before the first page.
	StoreVersion pages_version;         ///< Version of its first page, from which changes are read afterwards.
	StoreVersion version;               ///< Version of the whole store up to which this table is known; writes to any table increase it.
	StoreVersion rows_version;          ///< Version of the last known change of this table; equal on all instances that know that change.
	StoreVersion advertised;            ///< Version that a peer advertised without sending all changes up to it.
	StoreVersion call_version;          ///< Value of version when the current call was started.
	StoreVersion call_advertised;       ///< Value of the advertised version when the snapshot read was started.
	uint64_t call = 0;                  ///< Number of the current call; 0 if there is none.
	uint64_t calls = 0;                 ///< Number of calls made.
	TimePoint call_deadline;            ///< When the current call times out.
	TimePoint next_call_at;             ///< Earliest time of the next call.
	TimePoint confirmed_at;             ///< When the local view was last confirmed to be up to date.
	TimePoint unavailable_since;        ///< When the store became unavailable.
	TimePoint pages_begun_at;           ///< When the first page of the snapshot being read arrived.
	TimePoint complete_until;           ///< The local view has all changes that the store acknowledged before this time.
	UpdateAge update_age;               ///< How old the changes may be that were taken in last.
	Duration backoff{0};                ///< Current backoff; zero after a success.
	Duration read_timeout{0};           ///< Current timeout for a page.
	Duration takeover_delay{0};         ///< Time without an update from a peer after which this instance polls; zero to poll always.
	TimePoint peer_update_at;           ///< When a peer that can reach the store last sent an update.
	const TableWatch *prober = nullptr; ///< Watch that probes an unavailable store on behalf of this one; null for none.
	const TableWatch *lead_table = nullptr;     ///< Table to which this one is coupled, see SetLeadTable(); null for none.
	bool awaits_probe = false;                  ///< Probing is left to prober at present.
	bool behind = false;                        ///< A peer advertised changes that have to be read from the store.
	bool catch_up = false;                      ///< A read by CatchUp() is due.
	bool started = false;                       ///< A start function was called.
	bool known = false;                         ///< The local view is based on a snapshot, or is that of a coupled table.
	bool following = false;                     ///< The next read is one of changes; otherwise a snapshot is read.
	bool needs_snapshot = true;                 ///< A snapshot is needed, from the first peer that sends one.
	TimePoint snapshot_due;                     ///< When it is read from the store otherwise.
	std::map<std::string, StoredRow> kept_rows; ///< Rows by key, if they are kept.
	bool unavailable = false;                   ///< The store is unavailable.
	std::shared_ptr<bool> alive;                ///< False after destruction; held by the callbacks of calls.
};

} // namespace cottonspool
