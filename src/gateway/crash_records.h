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
	/** Delays of the instances that find the same are spread over this time, so that few of them write the row. */
	Duration finding_spread = std::chrono::milliseconds(1500);
	Duration removed_retention = std::chrono::seconds(60); ///< Time for which removals are remembered; at least the age of a backup.
	size_t max_removed = 256;                              ///< Limit of remembered removals.
};

/** @return The key of the row for \a crash. */
std::string CrashKey(const CrashRecord &crash);

/**
 * The table of crash records, one row for each crash that counts against a request. Findings have rows of their own: that a feature
 * did not cause the crashes of older rows by itself, or that requests with certain features crash their targets. The table is usually
 * empty, so it is read together with the table of targets and costs nothing while it does not change. After the store was restored from a
 * backup, instances write crash records that it lacks again.
 */
class CrashRecordStore {
public:
	using Handler = std::function<void(const std::vector<CrashRecord> &added, const std::vector<CrashRecord> &removed, TimePoint)>;
	using ClearedHandler = std::function<void(const RequestFeature &, const std::vector<CrashRecord> &)>;
	using HarmfulHandler = std::function<void(const FeatureList &, bool removed)>;

	/** @param handler Receives changes of other instances, and own ones once the table contains them. */
	CrashRecordStore(TableStore &store, WatchLimits watch_limits, CrashRecordLimits limits, std::string own_name, Handler handler);

	/** Write \a crash to the table. @return False if too many changes are pending. */
	bool Add(const CrashRecord &crash);

	/** Remove \a crash from the table. */
	void Remove(const CrashRecord &crash);

	/** Write, unless another instance does so first, that \a feature did not cause the crashes in the table by itself. */
	void ClearFeature(const RequestFeature &feature, TimePoint now);

	/** Write, unless another instance does so first, that requests with all of \a features crash their targets. */
	void ReportHarmful(const FeatureList &features, TimePoint now);

	/** Remove findings about features that no crash record has, as far as this instance is in charge of them. */
	void RemoveUnusedFindings();

	/** The store has been restored from a backup; a snapshot of the table follows. */
	void OnStoreRestored();

	/** Send writes that are due; to be called at each tick. */
	void OnTick(TimePoint now);

	std::function<bool(const CrashRecord &)> rewrites_first;  ///< @return Whether this instance is in charge of rewriting a missing row.
	std::function<bool(const std::string &key)> is_in_charge; ///< @return Whether this instance removes the row \a key of a finding.
	ClearedHandler on_cleared; ///< A feature did not cause these crashes by itself, as another instance found.
	HarmfulHandler
	        on_harmful; ///< Another instance has found that requests with certain features crash their targets, or that has been removed.
	bool from_snapshot = false; ///< Whether the records that the handler receives were in the table before this instance followed it.

	/** @return The follower of the table. */
	TableWatch &Watch() { return this->watch; }

	/** @return Whether \a crash is in the table, or about to be written to it. */
	bool Holds(const CrashRecord &crash) const { return this->listed.contains(crash) || this->IsPendingAdd(CrashKey(crash)); }

	/** @return Number of changes not yet written. */
	size_t Waiting() const { return this->changes.size(); }

private:
	/** A change of a row that is not yet written. */
	struct Change {
		bool add = true;                    ///< Whether the row is added, or removed otherwise.
		std::optional<CrashRecord> crash{}; ///< Crash record of the row; nothing for a finding.
		TimePoint due{};                    ///< When the change is to be written, or its write times out.
		uint64_t call = 0;                  ///< Write in progress; 0 for none.
		uint64_t number = 0;                ///< Distinguishes its answer from that of an earlier write.
	};

	/** A row of a crash record. */
	struct ListedCrash {
		FeatureList shared;   ///< Shared features of the request that may be the cause.
		uint64_t version = 0; ///< Version number of the row; 0 as long as only the own write is known.
	};

	/** @return Whether a row \a key is about to be written. */
	bool IsPendingAdd(const std::string &key) const;
	/** Send the write for \a change of the row \a key. */
	void Write(const std::string &key, Change &change, TimePoint now);
	/** The write \a number of the row \a key has ended. */
	void OnWritten(const std::string &key, uint64_t number, StoreWriteResult result);
	/** Apply rows of the table. @param is_snapshot Whether they are all rows, rather than changes. */
	void OnRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now);
	/** Apply the findings in \a rows. */
	void OnFindings(const std::vector<StoredRow> &rows, bool is_snapshot);
	/** Apply the row \a row, which says that \a feature did not cause crashes by itself. */
	void OnCleared(const RequestFeature &feature, const StoredRow &row);
	/** Write the finding \a key about \a features once it is due. */
	void WriteFinding(const std::string &key, TimePoint now);
	/** Write rows again that a restored store lacks. */
	void RewriteMissing(const std::map<CrashRecord, ListedCrash> &missing, TimePoint now);

	TableStore &store;
	CrashRecordLimits limits;
	std::string own_name; ///< Name of this instance, the value of its rows.
	Handler handler;
	TableWatch watch;
	std::map<std::string, Change> changes;       ///< Changes not yet written, by the key of the row.
	std::map<CrashRecord, ListedCrash> listed;   ///< Crash records in the table, as far as known.
	std::map<std::string, FeatureList> findings; ///< Keys of the findings in the table, as far as known, and the features they are about.
	std::map<CrashRecord, TimePoint> recently_removed; ///< Rows that this instance has removed, with the time.
	bool has_snapshot = false;                         ///< Whether the table has been read.
	bool verify_snapshot = false; ///< The store may have lost rows, so the next snapshot is compared with the known rows.
	TimePoint last_tick_at;       ///< Time of the last tick.
	uint64_t next_number = 1;
};

/** @return The key of the row which says that requests with all of \a features crash their targets. */
std::string HarmfulKey(const FeatureList &features);

/** @return The features that the row \a key says to be harmful; empty if it is no such row. */
FeatureList ParseHarmfulKey(std::string_view key);

/** @return The crash that the row \a key stands for, or nothing. */
std::optional<CrashRecord> ParseCrashKey(std::string_view key);

/** @return The value of the row for \a crash: the name \a writer and the shared features, which earlier versions leave out. */
std::string CrashValue(const CrashRecord &crash, const std::string &writer);

/** @return The shared features in the row value \a value. */
FeatureList ParseCrashValue(std::string_view value);

} // namespace cottonspool
