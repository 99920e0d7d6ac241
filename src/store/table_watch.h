/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch.h Keeps a local view of one table of the store: a snapshot first, then changes, across outages and restores of the
 * store. */

#pragma once

#include "store/table_store_base.h"
#include <map>
#include <memory>

namespace cottonspool {

/** Timeouts and options of a table watch. */
struct WatchLimits {
	Duration wait = std::chrono::seconds(3); ///< Long-poll time of a read of changes; also delays the detection of a dead connection.
	Duration slack = std::chrono::milliseconds(700);          ///< Time allowed for the answer after the long-poll time.
	Duration patience = std::chrono::milliseconds(4000);      ///< Time without an update after which another instance takes over.
	Duration patience_step = std::chrono::milliseconds(100);  ///< Added to it for each position in the reader order.
	Duration patience_most = std::chrono::milliseconds(5000); ///< Upper limit of that time.
	Duration read_limit = std::chrono::milliseconds(1000);    ///< Timeout for a page of a snapshot; doubled after each timeout.
	Duration read_most = std::chrono::seconds(4);             ///< Upper limit of that timeout, so that a slow store can still answer.
	Duration gather = std::chrono::milliseconds(150);      ///< Delay between a change and the next read: a burst of changes costs one call.
	bool keep = false;                                     ///< Keep the rows, to serve snapshots to other instances.
	bool gaps = false;                                     ///< Accept updates from peers even if earlier ones were missed.
	Duration pause_least = std::chrono::milliseconds(150); ///< Backoff after the first failure; doubled after each further one.
	Duration pause_most = std::chrono::milliseconds(1200); ///< Longest backoff; limits how late the store's recovery is detected.
};

/** Why a table watch calls the store. */
enum class ReadReason : uint8_t {
	Whole,    ///< Snapshot: at the start, or because the change history is not available.
	Follow,   ///< Regular poll of the instance that reads for its peers.
	TakeOver, ///< First poll after the reader's updates stopped.
	Behind,   ///< A peer advertised a version without sending the changes.
	CatchUp,  ///< One read requested by CatchUp().
	Lost,     ///< Probe whether the store is available again.
};

/** @return The name of \a reason for logs. */
const char *ReadReasonName(ReadReason reason);

/** The store was restored from a backup and counts its versions in another epoch. */
struct StoreChange {
	StoreVersion known; ///< Last version seen in the former epoch.
	StoreVersion read;  ///< First version seen in the new epoch.
	bool told = false;  ///< It was received from a peer rather than read from the store.
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
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_all;     ///< A snapshot was taken in.
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_changes; ///< Changed rows were taken in.
	std::function<void(const RowsAnswer &, TimePoint)> on_lost;                ///< The store became unavailable.
	std::function<void(Duration, TimePoint)> on_regained; ///< The store is available again after an outage of that duration.
	std::function<void(ReadReason)> on_call;              ///< A call to the store was started.
	std::function<void(StoreVersion read)> on_older;      ///< A snapshot was older than the local view and was dropped.
	/** The store epoch changed; a snapshot follows, which may lack rows that were lost in the restore. */
	std::function<void(const StoreChange &, TimePoint)> on_other_store;
	std::function<void(const TableNews &)> on_read; ///< An update to be published to the peers; rows may be empty.
	/** Removes rows that neither this instance nor those for which it reads need, out of a snapshot (\a whole) or changes. */
	std::function<void(std::vector<StoredRow> &, bool whole)> select;

	using Clock = std::function<TimePoint()>;

	TableWatch(TableStore &store, std::string table, WatchLimits limits, Clock clock = MonotonicNow);
	~TableWatch();
	TableWatch(const TableWatch &) = delete;
	TableWatch &operator=(const TableWatch &) = delete;

	/** Start with a snapshot from the store. */
	void Start(TimePoint now);

	/** Start with a snapshot from a peer; it is read from the store if none has arrived by \a read_at. */
	void StartAmongOthers(TimePoint read_at);

	/** Request another snapshot from a peer; it is read from the store if none has arrived by \a read_at. */
	void Renew(TimePoint read_at);

	/** @return Whether a snapshot from a peer is needed. */
	bool IsWanted() const { return this->started && this->wants_whole; }

	/** @return Whether Whole() returns a snapshot. */
	bool CanTellWhole() const { return this->limits.keep && this->known && !this->wants_whole && !this->behind; }

	/** @return A snapshot of the local view, for a peer; nothing if rows are not kept or the view is incomplete. */
	std::optional<TableNews> Whole() const;

	/** Check timeouts and start due reads; to be called about ten times per second. */
	void OnTick(TimePoint now);

	/**
	 * Leave polling to another instance as long as its updates are at most \a news_within apart; zero to poll always. The first snapshot is
	 * read regardless.
	 */
	void SetPatience(Duration news_within) { this->patience = news_within; }

	/** Handle an update of this table from a peer. */
	void OnNews(const TableNews &news, TimePoint now);

	/** While the store is unavailable to \a first too, don't probe it here: one probe per instance is enough. */
	void WaitForReturnAt(const TableWatch &first) { this->probe = &first; }

	/**
	 * Couple this table to \a leading, which changes more often: the instance that reads \a leading for its peers reads this table too,
	 * with the longest long polls, and publishes its version along with each update of \a leading. No snapshot is read at the start.
	 */
	void ReadWith(const TableWatch &leading);

	/** @return An update without rows that advertises the version of the local view; nothing unless the table is being followed. */
	std::optional<TableNews> SignOfLife() const;

	/** @return Name of the table whose reader order applies to this one. */
	const std::string &OrderedBy() const { return this->lead == nullptr ? this->table : this->lead->table; }

	/** Read the changes from the store once, even if another instance is the reader. */
	void CatchUp() { this->catch_up = true; }

	/** @return Timeouts and options. */
	const WatchLimits &Limits() const { return this->limits; }

	/** @return Whether this instance reads the table from the store at present, for any reason. */
	bool ReadsItself(TimePoint now) const;

	/** @return Whether the local view has had a snapshot. */
	bool IsKnown() const { return this->known; }

	/** @return Whether the store is unavailable: the last call failed. */
	bool IsLost() const { return this->lost; }

	/** @return When the local view was last confirmed to be up to date. */
	TimePoint ConfirmedAt() const { return this->confirmed; }

	/** @return Version of the store up to which the table is known. */
	StoreVersion Version() const { return this->version; }

	/** @return Version of the last known change of the table. */
	StoreVersion RowsVersion() const { return this->rows_version; }

	/** @return Name of the table. */
	const std::string &Table() const { return this->table; }

	/** @return Number of calls made to the store. */
	uint64_t Calls() const { return this->calls; }

private:
	bool ReadsForAll(TimePoint now) const;
	void FollowLoss(TimePoint now);
	/** @return The version \a number in the epoch that \a answer reports, or in the current epoch if it reports none. */
	StoreVersion VersionOf(const RowsAnswer &answer, uint64_t number) const;
	/** @return Whether \a seen is of another epoch than the local view. */
	bool IsOfOtherStore(const StoreVersion &seen) const { return this->version.IsKnown() && seen.era != this->version.era; }
	/** @return Whether \a seen is the answer to a call during which a later epoch became known. */
	bool IsOvertaken(const StoreVersion &seen) const { return seen.era < this->version.era && this->asked.era < this->version.era; }
	void GiveUpCall();
	void BeginWholeRead(TimePoint now);
	void DropDisproved();
	void ReadPage(TimePoint now);
	void ReadChanges(TimePoint now);
	ReadReason ReasonToRead(TimePoint now) const;
	void NoteCall(ReadReason reason);
	void OnPage(RowsAnswer answer);
	void OnChanges(RowsAnswer answer);
	void OnFailure(const RowsAnswer &answer, TimePoint now);
	void OnAnswered(TimePoint now);
	void TellRead(StoreVersion from, bool whole, const std::vector<StoredRow> &rows, TimePoint now);
	/** @return Whether a snapshot has to be read from the store, as no peer has sent one in time. */
	bool ReadsWhole(TimePoint now) const { return this->wants_whole && now >= this->whole_at; }
	void OnWholeKnown(TimePoint now);
	void Keep(const std::vector<StoredRow> &rows, bool whole);
	void TakeNews(const TableNews &news, bool whole, bool other, TimePoint now);
	void GoOn(TimePoint now);
	bool LeavesItToProbe(TimePoint now);
	void NoteRows(const std::vector<StoredRow> &rows);

	TableStore &store;                 ///< Store.
	Clock clock;                       ///< Clock, read when an answer arrives.
	std::string table;                 ///< Name of the table.
	WatchLimits limits;                ///< Timeouts and options.
	std::vector<StoredRow> pages;      ///< Rows of the snapshot being read.
	std::string next_key;              ///< Start key of its next page; empty before the first page.
	StoreVersion pages_version;        ///< Version of its first page, from which changes are read afterwards.
	StoreVersion version;              ///< Version of the whole store up to which this table is known; writes to any table increase it.
	StoreVersion rows_version;         ///< Version of the last known change of this table; equal on all instances that know that change.
	StoreVersion wanted;               ///< Version that a peer advertised without sending all changes up to it.
	StoreVersion asked;                ///< Value of version when the current call was started.
	StoreVersion asked_wanted;         ///< Value of the advertised version when the snapshot read was started.
	uint64_t call = 0;                 ///< Number of the current call; 0 if there is none.
	uint64_t calls = 0;                ///< Number of calls made.
	TimePoint call_limit;              ///< When the current call times out.
	TimePoint not_before;              ///< Earliest time of the next call.
	TimePoint confirmed;               ///< When the local view was last confirmed to be up to date.
	TimePoint lost_since;              ///< When the store became unavailable.
	Duration pause{0};                 ///< Current backoff; zero after a success.
	Duration read_time{0};             ///< Current timeout for a page.
	Duration patience{0};              ///< Time without an update from a peer after which this instance polls; zero to poll always.
	TimePoint news_at;                 ///< When a peer that can reach the store last sent an update.
	const TableWatch *probe = nullptr; ///< Watch that probes an unavailable store on behalf of this one; null for none.
	const TableWatch *lead = nullptr;  ///< Table to which this one is coupled, see ReadWith(); null for none.
	bool waits_for_probe = false;      ///< Probing is left to the other watch at present.
	bool behind = false;               ///< A peer advertised changes that have to be read from the store.
	bool catch_up = false;             ///< A read by CatchUp() is due.
	bool started = false;              ///< Started.
	bool known = false;                ///< The local view has had a snapshot.
	bool following = false;            ///< The next read is one of changes; otherwise a snapshot is read.
	bool wants_whole = true;           ///< A snapshot is needed, from the first peer that sends one.
	TimePoint whole_at;                ///< When it is read from the store otherwise.
	std::map<std::string, StoredRow> kept; ///< Rows by key, if they are kept.
	bool lost = false;                     ///< The store is unavailable.
	std::shared_ptr<bool> alive;           ///< False after destruction; held by the callbacks of calls.
};

} // namespace cottonspool
