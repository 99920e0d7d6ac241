/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch.h Follows one table of the store: whole at first, then change by change, whatever becomes of the store. */

#pragma once

#include "store/table_store_base.h"
#include <map>
#include <memory>

namespace cottonspool {

/** Times of a table watch. */
struct WatchLimits {
	Duration wait = std::chrono::seconds(3); ///< Time the store may wait for a change; bounds how long a dead connection goes unnoticed.
	Duration slack = std::chrono::milliseconds(700); ///< Time beyond it after which a call is given up.
	Duration takeover_delay =
	        std::chrono::milliseconds(4000); ///< Time without news of it after which the first of those that don't read it does.
	Duration takeover_delay_step = std::chrono::milliseconds(100); ///< Further time for each one that comes before in the order of readers.
	Duration max_takeover_delay = std::chrono::milliseconds(5000); ///< Longest such time.
	Duration min_read_timeout =
	        std::chrono::milliseconds(1000);             ///< Time after which reading a page is given up, at first; doubles with each try.
	Duration max_read_timeout = std::chrono::seconds(4); ///< Longest such time: a slow store must not be asked in vain for ever.
	Duration batch_delay = std::chrono::milliseconds(
	        150);            ///< Time after a change before the next is asked for: changes come in bursts, and each call is paid for.
	bool keep_rows = false;  ///< Rows are kept, to be handed to instances that start.
	bool allow_gaps = false; ///< Rows that others tell are taken in even if earlier ones are missing: what was missed is learned elsewhere.
	Duration min_backoff = std::chrono::milliseconds(150);  ///< Pause after a first failure; doubles.
	Duration max_backoff = std::chrono::milliseconds(1200); ///< Longest pause: with it a return is seen well inside the operators' bounds.
};

/** Why a table watch calls the store. */
enum class ReadReason : uint8_t {
	Snapshot, ///< The table is read whole: at the start, or since its history is gone.
	Follow,   ///< This instance follows it, for itself and for its peers.
	TakeOver, ///< Nobody has told of it for too long: whether the store answers here is found out at once.
	Behind,   ///< Another instance has told of changes that it could not pass on.
	CatchUp,  ///< What has changed meanwhile is read once, whoever follows the table.
	Probe,    ///< The store has stopped answering: whether it is back.
};

/** @return The name of \a reason for logs. */
const char *ReadReasonName(ReadReason reason);

/** A table was read of a store that has come back from a copy. */
struct StoreEpochChange {
	StoreVersion known;     ///< What was known of the store before.
	StoreVersion read;      ///< What the table was read as.
	bool from_peer = false; ///< Another instance has read it.
};

/**
 * Follows one table. Of one era of the store, versions only go forward: an older answer than one taken in before is dropped. With another
 * era the table is read whole, whatever the versions are: neither a feed that is not refused nor a number that was known before says
 * that nothing was lost. Which era is in force is what the store answers to a call that began last; what other instances tell of a
 * later one is taken in or read after, and what they tell of a former one is not heard.
 */
class TableWatch {
public:
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_snapshot; ///< The whole table was read.
	std::function<void(const std::vector<StoredRow> &, TimePoint)> on_changes;  ///< Rows changed.
	std::function<void(const RowsAnswer &, TimePoint)> on_unavailable;          ///< The store has stopped answering.
	std::function<void(Duration, TimePoint)> on_reconnected;                    ///< It answers again after that time.
	std::function<void(ReadReason)> on_call;                                    ///< The store is called.
	std::function<void(StoreVersion read)> on_stale_snapshot;                   ///< A whole read was older than what is known here.
	/** The store is another one than before: what it lost may be missing from the whole table, which follows at once. */
	std::function<void(const StoreEpochChange &, TimePoint)> on_store_restored;
	std::function<void(const TableUpdate &)> on_publish; ///< This instance has asked the store for all; rows may be none.
	/** Takes out of the rows that were read those that concern neither this instance nor those for which it reads; given the whole table
	 *  or changes. */
	std::function<void(std::vector<StoredRow> &, bool full)> filter_rows;

	using Clock = std::function<TimePoint()>;

	TableWatch(TableStore &store, std::string table, WatchLimits limits, Clock clock = MonotonicNow);
	~TableWatch();
	TableWatch(const TableWatch &) = delete;
	TableWatch &operator=(const TableWatch &) = delete;

	/** Begin to read. */
	void Start(TimePoint now);

	/** Begin by taking the whole table from another instance; it is read here if none has told it by \a read_at. */
	void StartFromPeers(TimePoint read_at);

	/** The table is wanted whole once more, from whoever tells it; it is read here if nobody has by \a read_at. */
	void RefreshSnapshot(TimePoint read_at);

	/** @return Whether the whole table is wanted from others. */
	bool NeedsSnapshot() const { return this->started && this->needs_snapshot; }

	/** @return Whether Snapshot() tells the table. */
	bool HasSnapshot() const { return this->limits.keep_rows && this->known && !this->needs_snapshot && !this->behind; }

	/** @return The whole table as it is known here, for an instance that starts; nothing while it is not known or not kept. */
	std::optional<TableUpdate> Snapshot() const;

	/** Time has passed; to be called some ten times a second. */
	void OnTick(TimePoint now);

	/**
	 * Leave the reading to another instance as long as its news come at least this often; zero to read all the time. Until
	 * the table was read whole once, it is always read here.
	 */
	void SetTakeoverDelay(Duration max_update_gap) { this->takeover_delay = max_update_gap; }

	/** Take in what another instance tells of this table. */
	void OnUpdate(const TableUpdate &update, TimePoint now);

	/** While \a first has lost the store too, leave finding out that it is back to it: one call tells as much as two. */
	void SetRecoveryProbe(const TableWatch &first) { this->recovery_probe = &first; }

	/**
	 * Read this table where \a lead is read, which changes more often: whoever reads that one for the others reads this one too, with
	 * waits as long as the store allows, and tells with each of its news how far this one is known. Until then nothing is read.
	 */
	void SetLeadTable(const TableWatch &lead);

	/** @return How far the table is known here, for the others; nothing while it was not read here. */
	std::optional<TableUpdate> HeartbeatUpdate() const;

	/** @return Table by whose name the instances that read this one are ordered. */
	const std::string &ReaderOrderKey() const { return this->lead_table == nullptr ? this->table : this->lead_table->table; }

	/** Read what has changed once, whoever reads for all. */
	void CatchUp() { this->catch_up = true; }

	/** @return Times of this watch. */
	const WatchLimits &Limits() const { return this->limits; }

	/** @return Whether this instance reads the table itself now. */
	bool ReadsFromStore(TimePoint now) const;

	/** @return Whether the table was read whole at least once. */
	bool IsKnown() const { return this->known; }

	/** @return Whether the last call failed. */
	bool IsUnavailable() const { return this->lost; }

	/** @return When the store last confirmed what is known here. */
	TimePoint ConfirmedAt() const { return this->confirmed_at; }

	/** @return Version of the store up to which the table is known. */
	StoreVersion Version() const { return this->version; }

	/** @return Version of the table's last change that is known. */
	StoreVersion RowsVersion() const { return this->rows_version; }

	/** @return Name of the table. */
	const std::string &Table() const { return this->table; }

	/** @return Calls made since the start. */
	uint64_t Calls() const { return this->calls; }

private:
	bool ReadsForPeers(TimePoint now) const;
	void CheckLeadTable(TimePoint now);
	/** @return The version \a number of the era that \a answer tells; of the one known if it tells none. */
	StoreVersion VersionOf(const RowsAnswer &answer, uint64_t number) const;
	/** @return Whether \a seen is of another era than what is known. */
	bool IsOtherEpoch(const StoreVersion &seen) const { return this->version.IsKnown() && seen.epoch != this->version.epoch; }
	/** @return Whether an answer as of \a seen was overtaken: a later era has become known since the call began. */
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
	void PublishRead(StoreVersion from, bool full, const std::vector<StoredRow> &rows, TimePoint now);
	/** @return Whether the whole table is to be read here now. */
	bool SnapshotIsDue(TimePoint now) const { return this->needs_snapshot && now >= this->snapshot_due; }
	void OnSnapshotKnown(TimePoint now);
	void UpdateKeptRows(const std::vector<StoredRow> &rows, bool full);
	void ApplyUpdate(const TableUpdate &update, bool full, bool other, TimePoint now);
	void ContinueReading(TimePoint now);
	bool DefersToProbe(TimePoint now);
	void AdvanceRowsVersion(const std::vector<StoredRow> &rows);

	TableStore &store;            ///< Store.
	Clock clock;                  ///< Tells the time at which an answer comes.
	std::string table;            ///< Table.
	WatchLimits limits;           ///< Times.
	std::vector<StoredRow> pages; ///< Rows of a read that is under way.
	std::string next_key;         ///< Where its next page begins.
	StoreVersion pages_version;   ///< Version of its first page: changes are read from there.
	StoreVersion version;         ///< Version up to which the table is known: the store's, which rises with every table's writes.
	StoreVersion rows_version;    ///< Version of the table's last change that is known; the same at all who know it.
	StoreVersion advertised;      ///< Version that another instance told of, up to which the rest is read here.
	StoreVersion call_version;    ///< What was known when the call under way began.
	StoreVersion call_advertised; ///< What was wanted then.
	uint64_t call = 0;            ///< Call under way; 0 for none.
	uint64_t calls = 0;           ///< Calls made.
	TimePoint call_deadline;      ///< When it is given up.
	TimePoint next_call_at;       ///< Earliest next call.
	TimePoint confirmed_at;       ///< When the store last confirmed what is known.
	TimePoint unavailable_since;  ///< When the first call failed.
	Duration backoff{0};          ///< Pause after the last failure.
	Duration read_timeout{0};     ///< Time that a page may take now.
	Duration takeover_delay{0};   ///< Time without news after which it is read here; zero for always.
	TimePoint peer_update_at;     ///< When another instance last told that the store answers it.
	const TableWatch *recovery_probe = nullptr; ///< Watch that finds out for this one that the store is back; null for none.
	const TableWatch *lead_table = nullptr;     ///< Watch whose readers read this table too; null for none.
	bool awaits_probe = false;                  ///< It is left to that one now.
	bool behind = false;                        ///< Another instance knows more than was told: the rest is read here.
	bool catch_up = false;                      ///< CatchUp() was called, and no changes were read since.
	bool started = false;                       ///< Start() was called.
	bool known = false;                         ///< Read whole once.
	bool following = false;                     ///< Changes are followed; otherwise the table is read whole.
	bool needs_snapshot = true;                 ///< The whole table is taken from whoever tells it first.
	TimePoint snapshot_due;                     ///< When it is read here otherwise.
	std::map<std::string, StoredRow> kept_rows; ///< Rows by key, if they are kept.
	bool lost = false;                          ///< The last call failed.
	std::shared_ptr<bool> alive;                ///< False once this is gone; calls hold it.
};

} // namespace cottonspool
