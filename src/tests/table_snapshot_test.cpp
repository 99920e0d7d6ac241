/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_snapshot_test.cpp Tables that an instance of a divided fleet takes from another one as it starts, over real links. */

#include "gateway/peer_exchange.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;
using std::chrono::hours;
using std::chrono::milliseconds;

namespace {

const char *const HALL = "hall-a";

/** One instance of a fleet of a hundred others, nearly all of which don't run, on a loop that it shares. */
struct FleetInstance {
	FleetInstance(uv_loop_t *loop, std::string name)
	    : name(std::move(name)), exchange(loop, this->store, this->load, this->name, HALL, {}, [](const ReportUpdate &) {})
	{
		for (TableWatch *table : {&this->first, &this->second}) this->exchange.Share(*table);
		REQUIRE(this->exchange.Start({"127.0.0.1", 0}, MonotonicNow()));
	}

	/** Let it read that the hundred and \a others are listed, and write its own row. @return That row. */
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

	static WatchLimits Kept()
	{
		WatchLimits limits;
		limits.keep_rows = true;
		return limits;
	}

	std::string name;                                              ///< Name.
	LengthEstimate lengths{{}};                                    ///< Needed by the table of targets.
	TargetTable targets{{}, this->lengths};                        ///< Needed by the load.
	NameTable<ModelNumber> pools;                                  ///< Needed by the load.
	PeerLoad load{this->targets, this->pools, milliseconds(2000)}; ///< Calls of others.
	ManualStore store;                                             ///< Store with the list of instances.
	ManualStore table_store;                                       ///< Store with the tables.
	TableWatch first{this->table_store, "first", Kept()};          ///< A table.
	TableWatch second{this->table_store, "second", Kept()};        ///< Another one.
	PeerExchange exchange;                                         ///< Under test.
};

/** @return The name of an instance in the same one of four cells as \a own. */
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

// Half of a thousand instances that had lost power knew their targets after 5 s: who had read one table waited for who had read the other,
// and told neither until it had both.
TEST_CASE("Exchange - an instance that starts in a divided fleet takes each table from another one as soon as that one knows it")
{
	uv_loop_t loop;
	uv_loop_init(&loop);
	{
		FleetInstance knows(&loop, "knows");
		FleetInstance starts(&loop, InCellOf("knows"));
		StoredRow row = knows.List({});
		starts.List({row});
		CHECK(starts.exchange.Cells() == 4);
		CHECK(starts.exchange.ChooseTableSource(MonotonicNow()) == TableSource::Ask);
		knows.first.Start(MonotonicNow());
		knows.table_store.Answer(Page({"a", "b"}, 5));
		for (TableWatch *table : {&starts.first, &starts.second}) table->StartFromPeers(MonotonicNow() + hours(1));
		auto run = [&](auto done) {
			for (int turn = 0; turn < 300 && !done(); turn++) {
				uv_run(&loop, UV_RUN_NOWAIT);
				uv_sleep(1);
				for (FleetInstance *each : {&knows, &starts}) each->exchange.OnTick(MonotonicNow());
			}
		};
		run([&] { return starts.first.IsKnown(); });
		CHECK(starts.first.IsKnown());
		CHECK(starts.first.RowsVersion() == knows.first.RowsVersion());
		CHECK_FALSE(starts.second.IsKnown());
		// What was asked too early is told once it is known.
		knows.second.Start(MonotonicNow());
		knows.table_store.Answer(Page({"c"}, 7));
		run([&] { return starts.second.IsKnown(); });
		CHECK(starts.second.IsKnown());
		CHECK(starts.table_store.calls.empty());
	}
	while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {}
	uv_loop_close(&loop);
}
