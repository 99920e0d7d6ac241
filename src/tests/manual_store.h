/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file manual_store.h Store for unit tests, whose answers a test gives one by one. */

#pragma once

#include "store/table_watch.h"
#include <doctest/doctest.h>
#include <map>

namespace cottonspool {

/** A store whose calls wait until the test answers them. */
class ManualStore : public TableStore {
public:
	/** A read that waits for its answer. */
	struct Waiting {
		bool changes = false; ///< It is a read of changes, otherwise of a page.
		uint64_t version = 0; ///< Version number after which changes are requested.
		std::string from;     ///< Key at which the page starts.
		RowsDone done;        ///< Callback for the answer.
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

	/** A write or removal that waits for its answer. */
	struct Write {
		std::string key;   ///< Key.
		std::string value; ///< Content; empty for a removal.
		WriteDone done;    ///< Callback for the answer.
	};

	/** Answer the most recent read. */
	void Answer(RowsAnswer answer)
	{
		REQUIRE(this->calls.contains(this->last));
		RowsDone done = std::move(this->calls[this->last].done);
		this->calls.erase(this->last);
		done(std::move(answer));
	}

	/** @return The most recent read, which must be unanswered. */
	Waiting &Newest() { return this->calls.at(this->last); }

	std::map<uint64_t, Waiting> calls; ///< Unanswered reads by call number.
	std::vector<Write> writes;         ///< Writes in order.
	std::vector<Write> removals;       ///< Removals in order.
	uint64_t last_write = 1ULL << 32;  ///< Call number of the most recent write or removal.
	uint64_t last = 0;                 ///< Call number of the most recent read.
};

/** @return A page with a row for each of \a keys, all of version \a version. */
inline RowsAnswer Page(std::vector<std::string> keys, uint64_t version, bool more = false)
{
	RowsPage page;
	for (const std::string &key : keys) page.rows.push_back({key, "v", version, false});
	page.version = version;
	page.more = more;
	return {page, StoreFailure::NoAnswer, ""};
}

/** @return \a answer with the store epoch \a epoch. */
inline RowsAnswer WithEpoch(uint64_t epoch, RowsAnswer answer)
{
	answer.epoch = epoch;
	return answer;
}

/** @return An answer with \a failure. */
inline RowsAnswer Failed(StoreFailure failure)
{
	return {std::nullopt, failure, "test"};
}

} // namespace cottonspool
