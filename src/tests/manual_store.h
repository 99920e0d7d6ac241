/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file manual_store.h A store whose answers a test gives by hand. */

#pragma once

#include "store/table_watch.h"
#include <doctest/doctest.h>
#include <map>

namespace cottonspool {

/** A store whose answers the test gives by hand. */
class ManualStore : public TableStore {
public:
	/** One call that waits for its answer. */
	struct Waiting {
		bool changes = false; ///< Changes are asked for.
		uint64_t version = 0; ///< Since this version.
		std::string from;     ///< First key.
		RowsDone done;        ///< Gets the answer.
	};

	uint64_t ReadRows(const std::string &, const std::string &from, RowsDone done) override
	{
		this->calls[++this->last] = {false, 0, from, std::move(done)};
		return this->last;
	}

	uint64_t ReadChanges(const std::string &, uint64_t version, Duration, RowsDone done) override
	{
		this->calls[++this->last] = {true, version, "", std::move(done)};
		return this->last;
	}

	uint64_t WriteRow(const std::string &, const std::string &key, const std::string &value, WriteDone done) override
	{
		this->writes.push_back({key, value, std::move(done)});
		return ++this->last_write;
	}

	uint64_t RemoveRow(const std::string &, const std::string &key, WriteDone done) override
	{
		this->removals.push_back({key, {}, std::move(done)});
		return ++this->last_write;
	}

	void Cancel(uint64_t call) override { this->calls.erase(call); }

	/** One write that waits for its answer. */
	struct Write {
		std::string key;   ///< Key.
		std::string value; ///< Content; empty for a removal.
		WriteDone done;    ///< Gets the answer.
	};

	/** Answer the newest call. */
	void Answer(RowsAnswer answer)
	{
		REQUIRE(this->calls.contains(this->last));
		RowsDone done = std::move(this->calls[this->last].done);
		this->calls.erase(this->last);
		done(std::move(answer));
	}

	Waiting &Newest() { return this->calls.at(this->last); }

	std::map<uint64_t, Waiting> calls; ///< Calls that wait.
	std::vector<Write> writes;         ///< Rows written.
	std::vector<Write> removals;       ///< Rows removed.
	uint64_t last_write = 1ULL << 32;  ///< Number of the newest write.
	uint64_t last = 0;                 ///< Number of the newest call.
};

/** @return A page that holds a row for each of \a keys. */
inline RowsAnswer Page(std::vector<std::string> keys, uint64_t version, bool more = false)
{
	RowsPage page;
	for (const std::string &key : keys) page.rows.push_back({key, "v", version, false});
	page.version = version;
	page.more = more;
	return {page, StoreFailure::NoAnswer, ""};
}

/** @return \a answer as the life \a epoch of the store gives it. */
inline RowsAnswer WithEpoch(uint64_t epoch, RowsAnswer answer)
{
	answer.epoch = epoch;
	return answer;
}

/** @return The answer of a store that fails with \a failure. */
inline RowsAnswer Failed(StoreFailure failure)
{
	return {std::nullopt, failure, "test"};
}

} // namespace cottonspool
