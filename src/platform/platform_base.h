/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_base.h The platform's table, object store and instance list, as an interface. */

#pragma once

#include "core/error_type.h"
#include "decision/lease.h"
#include <functional>
#include <vector>

namespace cottonspool {

/** A row of the table, or an object. */
struct PlatformRow {
	std::string key;     ///< Key.
	std::string value;   ///< Content.
	std::string version; ///< Version for Replace(); empty when there is no such row.
};

/** How a write ended. */
struct WriteOutcome {
	WriteResult result = WriteResult::Unknown; ///< Done, not done, or unknown.
	std::string version;                       ///< New version, when done.
};

/** An instance as the platform's list shows it, with a lag. */
struct ListedInstance {
	std::string name;      ///< Name of an instance or a target.
	bool draining = false; ///< Shown as leaving.
};

/** The platform's services. Each call comes to exactly one call of its \a done function, later or at once. */
class Platform {
public:
	using ReadDone = std::function<void(Result<PlatformRow>)>;
	using ScanDone = std::function<void(Result<std::vector<PlatformRow>>)>;
	using WriteDone = std::function<void(WriteOutcome)>;
	using ListDone = std::function<void(Result<std::vector<ListedInstance>>)>;

	virtual ~Platform() = default;

	/** Read a row of the table. */
	virtual void ReadRow(const std::string &key, ReadDone done) = 0;

	/** Write a row if there is none. */
	virtual void InsertRow(const std::string &key, const std::string &value, WriteDone done) = 0;

	/** Write a row if it still has \a version. */
	virtual void ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done) = 0;

	/** Read up to SCAN_PAGE rows whose keys begin with \a prefix and come after \a after, in order. */
	virtual void ScanRows(const std::string &prefix, const std::string &after, ScanDone done) = 0;

	/** Read an object. */
	virtual void ReadObject(const std::string &key, ReadDone done) = 0;

	/** Write an object if it still has \a version; an empty version means if there is none. */
	virtual void WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done) = 0;

	/** Read the list of live and leaving instances. */
	virtual void ListInstances(ListDone done) = 0;

	static constexpr size_t SCAN_PAGE = 500; ///< Rows of a full page of a scan.
};

} // namespace cottonspool
