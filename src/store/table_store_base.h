/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_store_base.h A store of versioned rows that can be read whole and followed, as an interface. */

#pragma once

#include "core/store_version_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** One row, or the news that it is gone. */
struct StoredRow {
	std::string key;         ///< Key inside the table.
	std::string value;       ///< Content; empty when deleted.
	uint64_t version = 0;    ///< Number of the store's version at which it was written, of the era that the page or the news are of.
	bool deleted = false;    ///< It is gone.
	bool unreadable = false; ///< Its content could not be decoded.
};

/** A part of a table as of one version of the store, or what has changed since one. */
struct RowsPage {
	std::vector<StoredRow> rows; ///< Rows.
	uint64_t version = 0;        ///< Number of the store's version that the rows are of; the answer tells its era.
	bool more = false;           ///< Further rows follow behind the last one.
};

/** What an instance that reads a table itself tells the others of it. */
struct TableUpdate {
	std::string table;           ///< Table.
	StoreVersion from;           ///< Version after which the rows are.
	StoreVersion to;             ///< Version up to which they are.
	bool full = false;           ///< The rows are the whole table.
	bool healthy = false;        ///< The store answers the teller.
	std::vector<StoredRow> rows; ///< Rows; none in a sign of life, and where none of those that changed concerns the receivers.
	StoreVersion read;           ///< Version of the whole store at which the teller knew the table like this.
};

/** Why the store gave no rows. */
enum class StoreFailure : uint8_t {
	NoAnswer,           ///< No connection, or it broke.
	Refused,            ///< It turned the call away: nothing was done.
	HistoryUnavailable, ///< Changes since that version are not known, or no longer: read the table again.
	Malformed,          ///< The answer could not be read.
};

/** @return The name of \a failure for logs. */
const char *StoreFailureName(StoreFailure failure);

/** Rows, or why there are none. */
struct RowsAnswer {
	std::optional<RowsPage> page;                  ///< Rows, if they came.
	StoreFailure failure = StoreFailure::NoAnswer; ///< Why not, otherwise.
	std::string cause;                             ///< What went wrong, for logs.
	uint64_t epoch = 0;                            ///< Which life of the store answered, as it tells itself; 0 if it does not.
};

/** What became of a write. */
enum class StoreWriteResult : uint8_t {
	Done,    ///< It was done.
	NotDone, ///< Certain: nothing was done.
	Unknown, ///< It may have been done, or may be done yet.
};

/** A store of versioned rows. Each call ends with exactly one call of its \a done function unless it is cancelled. */
class TableStore {
public:
	using RowsDone = std::function<void(RowsAnswer)>;
	using WriteDone = std::function<void(StoreWriteResult)>;

	virtual ~TableStore() = default;

	/** Read rows of \a table from the key \a from on. @return A number for Cancel(). */
	virtual uint64_t ReadRows(const std::string &table, const std::string &from, RowsDone done) = 0;

	/** Read what has changed in \a table after the number \a version; the store waits up to \a wait for a change. @return A number for
	 * Cancel(). */
	virtual uint64_t ReadChanges(const std::string &table, uint64_t version, Duration wait, RowsDone done) = 0;

	/** Write a row whatever was there. @return A number for Cancel(). */
	virtual uint64_t WriteRow(const std::string &table, const std::string &key, const std::string &value, WriteDone done) = 0;

	/** Remove a row whatever it holds. @return A number for Cancel(). */
	virtual uint64_t RemoveRow(const std::string &table, const std::string &key, WriteDone done) = 0;

	/** Give a call up; its connection is closed, since an answer may still come on it. */
	virtual void Cancel(uint64_t call) = 0;
};

} // namespace cottonspool
