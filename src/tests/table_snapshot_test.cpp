/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_snapshot_test.cpp Table snapshots that a starting instance of a system with cells gets from a peer over real links. */

#include "gateway/peer_exchange.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

const char *const HALL = "hall-a";

/** One instance on a shared loop; the list of instances has a hundred others that don't run. */
struct TestInstance {
	TestInstance(uv_loop_t *loop, std::string name)
	    : name(std::move(name)), exchange(loop, this->store, this->load, this->name, HALL, {}, [](const ReportUpdate &) {})
	{
		for (TableWatch *table : {&this->first, &this->second}) this->exchange.Share(*table);
		REQUIRE(this->exchange.Start({"127.0.0.1", 0}, MonotonicNow()));
	}

	/** Answer its read of the list with the hundred and \a others, and let it write its own row. @return That row. */
	StoredRow List(std::vector<StoredRow> others)
	{
		static constexpr size_t NOT_RUNNING = 100;
		for (size_t i = 0; i < NOT_RUNNING; i++)
			others.push_back({"x" + std::to_string(i), std::string("127.0.0.1:9 10 ") + HALL, 5, false});
		RowsPage page{std::move(others), 10, false};
		this->store.Answer({page, StoreFailure::NoAnswer, ""});
		this->exchange.OnTick(MonotonicNow());
		REQUIRE(this->store.writes.size() == 1);
		this->store.writes[0].done(StoreWriteResult::Done);
		return {this->name, this->store.writes[0].value, 11, false};
	}

	static WatchLimits KeepRows()
	{
		WatchLimits limits;
		limits.keep_rows = true;
		return limits;
	}

	std::string name;
	LengthEstimate lengths{{}};             ///< Needed by the table of targets.
	TargetTable targets{{}, this->lengths}; ///< Needed by the load.
	NameTable<ModelNumber> pools;           ///< Needed by the load.
	PeerLoad load{this->targets, this->pools, milliseconds(2000)};
	ManualStore store;       ///< Store with the list of instances.
	ManualStore table_store; ///< Store with the tables.
	TableWatch first{this->table_store, "first", KeepRows()};
	TableWatch second{this->table_store, "second", KeepRows()};
	PeerExchange exchange; ///< The exchange under test.
};

/** @return The name of an instance that is in the same of four cells as \a own. */
std::string InCellOf(const std::string &own)
{
	CellDivision division(own);
	division.OnPeerCellCount({4, {1, 1}});
	for (int i = 0;; i++) {
		std::string name = "starts-" + std::to_string(i);
		if (division.IsOwn(name)) return name;
	}
}

} // namespace

// Guards against a deadlock in which two instances, each of which has read one table, wait for the other's table before they send any.
TEST_CASE("Exchange - an instance that starts in a system with cells gets each table from a peer as soon as the peer knows it")
{
	uv_loop_t loop;
	uv_loop_init(&loop);
	{
		TestInstance informed(&loop, "knows");
		TestInstance starting(&loop, InCellOf("knows"));
		StoredRow row = informed.List({});
		starting.List({row});
		CHECK(starting.exchange.Cells() == 4);
		CHECK(starting.exchange.ChooseTableSource(MonotonicNow()) == TableSource::FromPeers);
		informed.first.Start(MonotonicNow());
		informed.table_store.Answer(Page({"a", "b"}, 5));
		for (TableWatch *table : {&starting.first, &starting.second}) table->StartFromPeers(MonotonicNow() + hours(1));
		auto run = [&](auto done) {
			for (int turn = 0; turn < 300 && !done(); turn++) {
				uv_run(&loop, UV_RUN_NOWAIT);
				uv_sleep(1);
				for (TestInstance *each : {&informed, &starting}) each->exchange.OnTick(MonotonicNow());
			}
		};
		run([&] { return starting.first.IsKnown(); });
		CHECK(starting.first.IsKnown());
		CHECK(starting.first.RowsVersion() == informed.first.RowsVersion());
		CHECK_FALSE(starting.second.IsKnown());
		// A request that came before the table was known is answered once it is.
		informed.second.Start(MonotonicNow());
		informed.table_store.Answer(Page({"c"}, 7));
		run([&] { return starting.second.IsKnown(); });
		CHECK(starting.second.IsKnown());
		CHECK(starting.table_store.calls.empty());
	}
	while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {}
	uv_loop_close(&loop);
}
