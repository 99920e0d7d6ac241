/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_records.h Stores crashes of targets under requests in a table that all instances follow. */

#pragma once

#include "decision/quarantine.h"
#include "store/table_watch.h"
#include <functional>
#include <map>
#include <set>

namespace cottonspool {

/** Limits of the writes to the table. */
struct CrashRecordLimits {
	size_t max_pending = 64;                                 ///< Limit of unwritten changes, which pile up while the store is unavailable.
	size_t max_concurrent_writes = 4;                        ///< Concurrent writes; all instances together share the store's rate limit.
	Duration write_timeout = std::chrono::milliseconds(500); ///< Time after which a write is cancelled and repeated.
	Duration retry_delay = std::chrono::milliseconds(300);   ///< Delay after a failed write.
	/** Delay after which other instances rewrite rows that a restored store lacks, if the instance in charge has not. */
	Duration fallback_rewrite_delay = std::chrono::seconds(2);
	Duration removed_retention = std::chrono::seconds(60); ///< Time for which removals are remembered; at least the age of a backup.
	size_t max_removed = 256;                              ///< Limit of remembered removals.
};

/**
 * The table of crash records, one row for each crash that counts against a request. It is usually empty, so it is read together with the
 * table of targets and costs nothing while it does not change. After the store was restored from a backup, instances write rows that
 * it lacks again.
 */
class CrashRecordStore {
public:
	using Handler = std::function<void(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint)>;

	/** @param handler Receives changes of other instances, and own ones once the table contains them. */
	CrashRecordStore(TableStore &store, WatchLimits watch_limits, CrashRecordLimits limits, std::string own_name, Handler handler);

	/** Write \a crash to the table. @return False if too many changes are pending. */
	bool Add(const CrashRecord &crash);

	/** Remove \a crash from the table. */
	void Remove(const CrashRecord &crash);

	/** The store has been restored from a backup; a snapshot of the table follows. */
	void OnStoreRestored();

	/** Send writes that are due; to be called at each tick. */
	void OnTick(TimePoint now);

	std::function<bool(const CrashRecord &)> rewrites_first; ///< @return Whether this instance is in charge of rewriting a missing row.

	/** @return The follower of the table. */
	TableWatch &Watch() { return this->watch; }

	/** @return Whether \a crash is in the table, or about to be written to it. */
	bool Holds(const CrashRecord &crash) const { return this->listed.contains(crash) || this->IsPendingAdd(crash); }

	/** @return Number of changes not yet written. */
	size_t Waiting() const { return this->changes.size(); }

private:
	/** A change not yet written. */
	struct Change {
		bool add = true;     ///< Whether the row is added, or removed otherwise.
		uint64_t call = 0;   ///< Write in progress; 0 for none.
		uint64_t number = 0; ///< Distinguishes its answer from that of an earlier write.
		TimePoint due;       ///< When the change is to be written, or its write times out.
	};

	/** @return Whether \a crash is about to be written. */
	bool IsPendingAdd(const CrashRecord &crash) const;
	/** Send the write for \a change. */
	void Write(const CrashRecord &crash, Change &change, TimePoint now);
	/** The write \a number has ended. */
	void OnWritten(const CrashRecord &crash, uint64_t number, StoreWriteResult result);
	/** Apply rows of the table. @param is_snapshot Whether they are all rows, rather than changes. */
	void OnRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now);
	/** Write rows again that a restored store lacks. */
	void RewriteMissing(const std::set<CrashRecord> &missing, TimePoint now);

	TableStore &store;
	CrashRecordLimits limits;
	std::string own_name; ///< Name of this instance, the value of its rows.
	Handler handler;
	TableWatch watch;
	std::map<CrashRecord, Change> changes;             ///< Changes not yet written.
	std::set<CrashRecord> listed;                      ///< Rows of the table, as far as known.
	std::map<CrashRecord, TimePoint> recently_removed; ///< Rows that this instance has removed, with the time.
	bool verify_snapshot = false; ///< The store may have lost rows, so the next snapshot is compared with the known rows.
	TimePoint last_tick_at;       ///< Time of the last tick.
	uint64_t next_number = 1;
};

/** @return The key of the row for \a crash. */
std::string CrashKey(const CrashRecord &crash);

/** @return The crash that the row \a key stands for, or nothing. */
std::optional<CrashRecord> ParseCrashKey(std::string_view key);

} // namespace cottonspool
