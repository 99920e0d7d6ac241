/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform_base.h Interface to the platform's table, object store and instance list. */

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
	std::string version; ///< Version for conditional writes; empty if there is no such row or object.
};

/** Result of a write. */
struct WriteOutcome {
	WriteResult result = WriteResult::Unknown; ///< Whether it was executed.
	std::string version;                       ///< New version, if it was.
};

/** An entry of the platform's instance list, which may be out of date. */
struct ListedInstance {
	std::string name;      ///< Name of an instance or a target.
	bool draining = false; ///< Listed as draining.
};

/** The platform's services. Each call leads to exactly one call of its \a done function, possibly before the call returns. */
class Platform {
public:
	using ReadDone = std::function<void(Result<PlatformRow>)>;
	using ScanDone = std::function<void(Result<std::vector<PlatformRow>>)>;
	using WriteDone = std::function<void(WriteOutcome)>;
	using ListDone = std::function<void(Result<std::vector<ListedInstance>>)>;

	virtual ~Platform() = default;

	/** Read a row of the table. */
	virtual void ReadRow(const std::string &key, ReadDone done) = 0;

	/** Write a row if it does not exist. */
	virtual void InsertRow(const std::string &key, const std::string &value, WriteDone done) = 0;

	/** Write a row if its version is still \a version. */
	virtual void ReplaceRow(const std::string &key, const std::string &value, const std::string &version, WriteDone done) = 0;

	/** Read up to SCAN_PAGE rows, in order of their keys, whose keys begin with \a prefix and follow \a after. */
	virtual void ScanRows(const std::string &prefix, const std::string &after, ScanDone done) = 0;

	/** Read an object. */
	virtual void ReadObject(const std::string &key, ReadDone done) = 0;

	/** Write an object if its version is still \a version, or if it does not exist for an empty \a version. */
	virtual void WriteObject(const std::string &key, const std::string &value, const std::string &version, WriteDone done) = 0;

	/** Read the list of live and draining instances. */
	virtual void ListInstances(ListDone done) = 0;

	static constexpr size_t SCAN_PAGE = 500; ///< Rows of a page of a scan.
};

} // namespace cottonspool
