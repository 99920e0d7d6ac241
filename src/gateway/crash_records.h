/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_records.h Keeps the ends of targets under requests in the store, where all instances find them. */

#pragma once

#include "decision/quarantine.h"
#include "store/table_watch.h"
#include <functional>
#include <map>
#include <set>

namespace cottonspool {

/** Bounds of what is written. */
struct CrashRecordLimits {
	size_t max_pending = 64;          ///< Changes that may wait to be written: a store that is away must not fill the memory.
	size_t max_concurrent_writes = 4; ///< Writes under way at a time: all instances together share the store's rate.
	Duration write_timeout = std::chrono::milliseconds(500);   ///< Time after which a write is taken for lost, and made again.
	Duration pause = std::chrono::milliseconds(300);           ///< Pause after a write that failed.
	Duration fallback_rewrite_delay = std::chrono::seconds(2); ///< Time after which others write again what a store has forgotten, if the
	                                                           ///< one whose turn it is has not.
	Duration removed_retention = std::chrono::seconds(60); ///< Time for which it is remembered what was taken out: as old as a copy gets.
	size_t max_removed = 256;                              ///< Most of them.
};

/**
 * The table of ends: a row for each end that is held against a request. One of these rows or none is what ordinary days need, so the
 * table is followed by whoever follows the targets, and costs nothing while it doesn't change. What a store that comes back from a copy
 * has forgotten is written again by those that know it.
 */
class CrashRecordStore {
public:
	using Handler = std::function<void(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint)>;

	/** @param handler Gets what other instances have added and removed, and own changes once they come back. */
	CrashRecordStore(TableStore &store, WatchLimits watch_limits, CrashRecordLimits limits, std::string own_name, Handler handler);

	/** Write \a end. @return False if too much waits already. */
	bool Add(const CrashRecord &end);

	/** Take \a end out. */
	void Remove(const CrashRecord &end);

	/** The store has come back from a copy; the whole table follows. */
	void OnStoreRestored();

	/** Time has passed. */
	void OnTick(TimePoint now);

	std::function<bool(const CrashRecord &)> rewrites_first; ///< Tells whether it is this instance's turn to write an end again.

	/** @return Follows the table. */
	TableWatch &Watch() { return this->watch; }

	/** @return Whether \a end is in the table, or is to be written to it. */
	bool Holds(const CrashRecord &end) const { return this->listed.contains(end) || this->IsWaiting(end); }

	/** @return Changes not yet written. */
	size_t Waiting() const { return this->changes.size(); }

private:
	/** A change not yet written. */
	struct Change {
		bool add = true;     ///< The end is added; otherwise removed.
		uint64_t call = 0;   ///< Call under way; 0 for none.
		uint64_t number = 0; ///< Tells its answer from that of an earlier call.
		TimePoint due;       ///< When it is written, or taken for lost.
	};

	bool IsWaiting(const CrashRecord &end) const;
	void Write(const CrashRecord &end, Change &change, TimePoint now);
	void OnWritten(const CrashRecord &end, uint64_t number, StoreWriteResult result);
	void OnRows(const std::vector<StoredRow> &rows, bool all, TimePoint now);
	void RewriteMissing(const std::set<CrashRecord> &missing, TimePoint now);

	TableStore &store;                                 ///< Store.
	CrashRecordLimits limits;                          ///< Bounds.
	std::string own_name;                              ///< Name of this instance, for whoever reads the rows.
	Handler handler;                                   ///< Gets what changes.
	TableWatch watch;                                  ///< Follows the table.
	std::map<CrashRecord, Change> changes;             ///< Changes not yet written.
	std::set<CrashRecord> listed;                      ///< Ends that the table holds, as far as known.
	std::map<CrashRecord, TimePoint> recently_removed; ///< Ends that this instance has taken out, and when.
	bool verify_snapshot = false;                      ///< The store may have lost rows: the whole table that comes next is checked.
	TimePoint last_tick_at;                            ///< When time last passed.
	uint64_t next_number = 1;                          ///< Number of the next write.
};

/** @return The key of the row of \a end. */
std::string CrashKey(const CrashRecord &end);

/** @return The end that the row \a key is for, or nothing. */
std::optional<CrashRecord> ParseCrashKey(std::string_view key);

} // namespace cottonspool
