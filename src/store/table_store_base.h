/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_store_base.h Interface of a store of versioned rows that can be listed and polled for changes. */

#pragma once

#include "core/store_version_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** A row, or the tombstone of a deleted one. */
struct StoredRow {
	std::string key;         ///< Key within the table.
	std::string value;       ///< Content; empty if deleted.
	uint64_t version = 0;    ///< Version number of the last write, within the store epoch of the page or update that holds the row.
	bool deleted = false;    ///< The row was deleted.
	bool unreadable = false; ///< The content could not be decoded.
};

/** A page of a table as of one store version, or the changes after a version. */
struct RowsPage {
	std::vector<StoredRow> rows; ///< Rows.
	uint64_t version = 0;        ///< Version number of the store; its epoch is in RowsAnswer.
	bool more = false;           ///< Further rows follow the last one.
};

/** Changes or a snapshot of a table, as published by the instance that reads it from the store. */
struct TableUpdate {
	std::string table;           ///< Name of the table.
	StoreVersion from;           ///< Table version to which the rows apply.
	StoreVersion to;             ///< Table version after the rows are applied.
	bool full = false;           ///< The rows are a snapshot of the table.
	bool healthy = false;        ///< The sender can reach the store.
	std::vector<StoredRow> rows; ///< Rows; empty in a heartbeat, or if no changed row concerns the receivers.
	StoreVersion read;           ///< Version of the store as a whole at which the sender last read the table.
};

/** Why a read returned no rows. */
enum class StoreFailure : uint8_t {
	NoAnswer,           ///< The connection failed, or the call timed out.
	Refused,            ///< The store rejected the call without executing it.
	HistoryUnavailable, ///< The store has no change history back to the requested version; a snapshot has to be read.
	Malformed,          ///< The answer could not be decoded.
};

/** @return The name of \a failure for logs. */
const char *StoreFailureName(StoreFailure failure);

/** Result of a read. */
struct RowsAnswer {
	std::optional<RowsPage> page;                  ///< Rows; nothing if the read failed.
	StoreFailure failure = StoreFailure::NoAnswer; ///< Reason of a failure.
	std::string cause;                             ///< Details of a failure, for logs.
	uint64_t epoch = 0;                            ///< Store epoch as reported by the store; 0 if not reported.
};

/** Result of a write. */
enum class StoreWriteResult : uint8_t {
	Done,    ///< Executed.
	NotDone, ///< Certainly not executed.
	Unknown, ///< Outcome unknown: it may have been executed, or may still be.
};

/** A store of versioned rows. The \a done function of each call is called exactly once, unless the call is cancelled. */
class TableStore {
public:
	using RowsDone = std::function<void(RowsAnswer)>;
	using WriteDone = std::function<void(StoreWriteResult)>;

	virtual ~TableStore() = default;

	/** Read a page of \a table that starts at the key \a from. @return Call number for Cancel(). */
	virtual uint64_t ReadRows(const std::string &table, const std::string &from, RowsDone done) = 0;

	/**
	 * Read the changes of \a table after the version number \a version.
	 * @param wait Longest time for which the store holds the call open until there is a change (long poll).
	 * @return Call number for Cancel().
	 */
	virtual uint64_t ReadChanges(const std::string &table, uint64_t version, Duration wait, RowsDone done) = 0;

	/** Write a row unconditionally. @return Call number for Cancel(). */
	virtual uint64_t WriteRow(const std::string &table, const std::string &key, const std::string &value, WriteDone done) = 0;

	/** Delete a row unconditionally. @return Call number for Cancel(). */
	virtual uint64_t RemoveRow(const std::string &table, const std::string &key, WriteDone done) = 0;

	/** Cancel a call and close its connection, on which an answer may still arrive. */
	virtual void Cancel(uint64_t call) = 0;
};

} // namespace cottonspool
