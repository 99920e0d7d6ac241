/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch_test.cpp Following a table of a store that fails in every way. */

#include "tests/manual_store.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

struct WatchWorld {
	WatchWorld()
	{
		this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->all.push_back(rows.size()); };
		this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->changes.push_back(rows.size()); };
		this->watch.on_unavailable = [this](const RowsAnswer &, TimePoint) { this->lost++; };
		this->watch.on_reconnected = [this](Duration, TimePoint) { this->regained++; };
		this->watch.Start(this->now);
	}

	void Pass(Duration time)
	{
		this->now += time;
		this->watch.OnTick(this->now);
	}

	ManualStore store;                                                                   ///< Store.
	TableWatch watch{this->store, "table", WatchLimits{}, [this] { return this->now; }}; ///< Under test.
	TimePoint now = MonotonicNow();                                                      ///< Clock.
	std::vector<size_t> all;                                                             ///< Sizes of whole reads.
	std::vector<size_t> changes;                                                         ///< Sizes of changes.
	int lost = 0;                                                                        ///< Losses told.
	int regained = 0;                                                                    ///< Returns told.
};

} // namespace

TEST_CASE("Watch - a table of several pages is taken in whole, and followed from the version of its first page")
{
	WatchWorld world;
	world.store.Answer(Page({"a", "b"}, 10, true));
	CHECK(world.store.Newest().from > "b");
	CHECK(world.all.empty());
	world.store.Answer(Page({"c"}, 12));
	CHECK(world.all == std::vector<size_t>{3});
	CHECK(world.store.Newest().changes);
	CHECK(world.store.Newest().version == 10);
}

TEST_CASE("Watch - history that is gone leads to a whole read, without a loss being told")
{
	WatchWorld world;
	world.store.Answer(Page({"a"}, 10));
	world.store.Answer(Failed(StoreFailure::HistoryUnavailable));
	CHECK(!world.store.Newest().changes);
	world.store.Answer(Page({"a", "b"}, 20));
	CHECK(world.all == std::vector<size_t>{1, 2});
	CHECK(world.lost == 0);
}

TEST_CASE("Watch - a read that is older than what is known is not taken in")
{
	WatchWorld world;
	world.store.Answer(Page({"a"}, 10));
	world.store.Answer(Failed(StoreFailure::HistoryUnavailable));
	world.store.Answer(Page({}, 9));
	CHECK(world.all == std::vector<size_t>{1});
	world.Pass(std::chrono::seconds(1));
	world.store.Answer(Page({"a", "b"}, 11));
	CHECK(world.all == std::vector<size_t>{1, 2});
}

TEST_CASE("Watch - one that hears of the table leaves the reading to others, and reads when it hears nothing or is behind")
{
	WatchWorld world;
	world.watch.SetTakeoverDelay(milliseconds(1300));
	world.store.Answer(Page({"a"}, 10));
	CHECK(world.store.calls.empty());
	TableUpdate update{"table", {0, 10}, {0, 12}, false, true, {{"b", "v", 12, false}}};
	world.watch.OnUpdate(update, world.now);
	CHECK(world.changes == std::vector<size_t>{1});
	CHECK(world.watch.Version() == StoreVersion{0, 12});
	CHECK(world.store.calls.empty());
	// News that were lost on the way: a later one does not fit, so the rest is read here.
	world.watch.OnUpdate({"table", {0, 14}, {0, 15}, false, true, {{"d", "v", 15, false}}}, world.now);
	CHECK(world.changes == std::vector<size_t>{1});
	world.Pass(milliseconds(20));
	REQUIRE(world.store.calls.size() == 1);
	CHECK(world.store.Newest().version == 12);
	world.store.Answer(Page({"c", "d"}, 15));
	CHECK(world.watch.Version() == StoreVersion{0, 15});
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(1200));
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(200));
	CHECK(world.store.calls.size() == 1);
}

TEST_CASE("Watch - writes to other tables, which the store counts too, make nobody read again")
{
	WatchWorld world;
	world.watch.SetTakeoverDelay(milliseconds(1300));
	world.store.Answer(Page({"a"}, 10));
	// Another instance has read the same last change, at another version of the store.
	for (int i = 0; i < 10; i++) {
		world.watch.OnUpdate({"table", {0, 10}, {0, 10}, false, true, {}}, world.now);
		world.Pass(milliseconds(300));
		CHECK(world.store.calls.empty());
	}
	// A removal that a whole read cannot show is looked for once.
	world.watch.OnUpdate({"table", {0, 14}, {0, 14}, false, true, {}}, world.now);
	world.Pass(milliseconds(20));
	REQUIRE(world.store.calls.size() == 1);
	world.store.Answer(Page({}, 15));
	for (int i = 0; i < 5; i++) {
		world.watch.OnUpdate({"table", {0, 14}, {0, 14}, false, true, {}}, world.now);
		world.Pass(milliseconds(300));
		CHECK(world.store.calls.empty());
	}
}

TEST_CASE("Watch - the others are told only what the store has just confirmed, and take over in time when it confirms nothing")
{
	WatchWorld world;
	int told = 0;
	world.watch.on_publish = [&](const TableUpdate &) { told++; };
	world.store.Answer(Page({"a"}, 10));
	world.store.Answer(Page({}, 11));
	CHECK(told == 2);
	// Its next call hangs: nothing is told meanwhile, however long it lasts.
	for (int i = 0; i < 30; i++) world.Pass(milliseconds(50));
	CHECK(told == 2);
	// One that only catches up tells nothing either.
	WatchWorld other;
	int told_by_other = 0;
	other.watch.on_publish = [&](const TableUpdate &) { told_by_other++; };
	other.watch.SetTakeoverDelay(milliseconds(800));
	other.store.Answer(Page({"a"}, 10));
	told_by_other = 0;
	other.watch.OnUpdate({"table", {0, 12}, {0, 12}, false, true, {}}, other.now);
	other.Pass(milliseconds(20));
	other.store.Answer(Page({"b"}, 12));
	CHECK(told_by_other == 0);
	// After its patience it reads, and tells that it does.
	other.Pass(milliseconds(820));
	REQUIRE(other.store.calls.size() == 1);
	other.store.Answer(Page({}, 13));
	CHECK(told_by_other == 1);
}

TEST_CASE("Watch - a change is read at once, those that follow in a burst together")
{
	WatchWorld world;
	world.store.Answer(Page({"a"}, 10));
	world.store.Answer(Page({"b"}, 12));
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(100));
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(60));
	REQUIRE(world.store.calls.size() == 1);
	CHECK(world.store.Newest().version == 12);
	// An answer without a change is no burst: the store is asked again at once.
	world.store.Answer(Page({}, 12));
	CHECK(world.store.calls.size() == 1);
}

TEST_CASE("Watch - of two that have lost the store one asks whether it is back, and the other reads as soon as it is")
{
	WatchWorld first;
	WatchWorld second;
	second.watch.SetRecoveryProbe(first.watch);
	auto pass = [&](Duration time) {
		first.Pass(time);
		second.Pass(time);
	};
	for (WatchWorld *world : {&first, &second}) {
		world->store.Answer(Page({"a"}, 10));
		world->store.Answer(Failed(StoreFailure::Refused));
	}
	uint64_t asked = first.store.last;
	for (int i = 0; i < 50; i++) {
		pass(milliseconds(100));
		if (!first.store.calls.empty()) first.store.Answer(Failed(StoreFailure::Refused));
		CHECK(second.store.calls.empty());
	}
	CHECK(first.store.last > asked);
	while (first.store.calls.empty()) pass(milliseconds(100));
	first.store.Answer(Page({}, 11));
	pass(milliseconds(20));
	REQUIRE(second.store.calls.size() == 1);
	second.store.Answer(Page({"b"}, 12));
	CHECK(second.changes == std::vector<size_t>{1});
	CHECK(!second.watch.IsUnavailable());
}

TEST_CASE("Watch - one that is cut off and has to read what could not be passed on asks with growing pauses, whatever others tell")
{
	WatchWorld world;
	world.watch.SetTakeoverDelay(milliseconds(1300));
	world.store.Answer(Page({"a"}, 10));
	world.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, world.now);
	uint64_t before = world.store.last;
	for (int i = 0; i < 100; i++) {
		world.Pass(milliseconds(50));
		if (!world.store.calls.empty()) world.store.Answer(Failed(StoreFailure::Refused));
		if (i % 5 == 0) world.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, world.now);
	}
	CHECK(world.store.last - before <= 8);
	CHECK(world.lost == 1);
	CHECK(world.regained == 0);
	while (world.store.calls.empty()) world.Pass(milliseconds(50));
	world.store.Answer(Page({"b"}, 20));
	CHECK(world.regained == 1);
	CHECK(world.changes == std::vector<size_t>{1});
}

TEST_CASE("Watch - news that come again after a silence end a pause at once, for the store is back")
{
	WatchWorld world;
	world.watch.SetTakeoverDelay(milliseconds(1300));
	world.store.Answer(Page({"a"}, 10));
	while (world.lost == 0 || !world.store.calls.empty()) {
		world.Pass(milliseconds(50));
		if (!world.store.calls.empty()) world.store.Answer(Failed(StoreFailure::Refused));
	}
	// The pauses have grown to their longest.
	for (int i = 0; i < 100; i++) {
		world.Pass(milliseconds(50));
		if (!world.store.calls.empty()) world.store.Answer(Failed(StoreFailure::Refused));
	}
	while (world.store.calls.empty()) world.Pass(milliseconds(10));
	world.store.Answer(Failed(StoreFailure::Refused));
	world.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, world.now);
	world.Pass(milliseconds(20));
	REQUIRE(world.store.calls.size() == 1);
	world.store.Answer(Page({"b"}, 20));
	CHECK(world.changes == std::vector<size_t>{1});
}

TEST_CASE("Watch - a store that says nothing is given up in time, asked again with pauses, and its return is told")
{
	WatchWorld world;
	world.store.Answer(Page({"a"}, 10));
	world.Pass(std::chrono::seconds(5));
	CHECK(world.lost == 1);
	CHECK(world.store.calls.empty());
	uint64_t before = world.store.last;
	for (int i = 0; i < 40; i++) {
		world.Pass(milliseconds(100));
		if (!world.store.calls.empty()) world.store.Answer(Failed(StoreFailure::Refused));
	}
	CHECK(world.store.last - before <= 12);
	CHECK(world.store.last - before >= 4);
	CHECK(world.lost == 1);
	world.Pass(std::chrono::seconds(1));
	CHECK(world.store.Newest().version == 10);
	world.store.Answer(Page({"b"}, 15));
	CHECK(world.regained == 1);
	CHECK(world.changes == std::vector<size_t>{1});
	CHECK(!world.watch.IsUnavailable());
}

TEST_CASE("Watch - a table is not read before it is told to, however often time passes")
{
	ManualStore store;
	TimePoint now = MonotonicNow();
	TableWatch watch(store, "table", WatchLimits{}, [&now] { return now; });
	watch.OnTick(now);
	CHECK(store.calls.empty());
	watch.Start(now);
	watch.OnTick(now);
	CHECK(store.calls.size() == 1);
}

TEST_CASE("Watch - one that leaves the reading to others catches up once when told to")
{
	WatchWorld world;
	world.watch.SetTakeoverDelay(std::chrono::seconds(3600));
	world.store.Answer(Page({"a"}, 10));
	CHECK(world.store.calls.empty());
	world.watch.CatchUp();
	world.Pass(std::chrono::milliseconds(25));
	CHECK(world.store.Newest().version == 10);
	world.store.Answer(Page({"b"}, 12));
	world.Pass(std::chrono::milliseconds(25));
	CHECK(world.store.calls.empty());
	CHECK(world.changes == std::vector<size_t>{1});
}

namespace {

/** Two tables, the second of which is read where the first is. */
struct LedWorld {
	LedWorld()
	{
		this->led.SetLeadTable(this->lead_table);
		this->led.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->changes += rows.size(); };
		this->led.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->all += rows.size(); };
		this->lead_table.Start(this->now);
		this->lead_store.Answer(Page({"a"}, 10));
	}

	void Pass(Duration time)
	{
		this->now += time;
		this->lead_table.OnTick(this->now);
		this->led.OnTick(this->now);
	}

	ManualStore lead_store;                                                                       ///< Answers for the first.
	ManualStore led_store;                                                                        ///< Answers for the second.
	TimePoint now = MonotonicNow();                                                               ///< Clock.
	TableWatch lead_table{this->lead_store, "lead", WatchLimits{}, [this] { return this->now; }}; ///< Leads.
	TableWatch led{this->led_store, "led", WatchLimits{.wait = std::chrono::seconds(10)}, [this] { return this->now; }}; ///< Under test.
	size_t changes = 0; ///< Rows told as changed.
	size_t all = 0;     ///< Rows told in whole reads.
};

} // namespace

TEST_CASE("Watch - a table read with another one costs a call only where that one is read")
{
	LedWorld world;
	world.lead_table.SetTakeoverDelay(std::chrono::seconds(5));
	world.lead_table.OnUpdate({"lead", {0, 10}, {0, 10}, false, true, {}}, world.now);
	world.led.Start(world.now);
	world.Pass(milliseconds(100));
	CHECK(world.led_store.calls.empty());
	// Rows that follow on what is known (nothing) are taken in; those that don't are read here, whole.
	world.led.OnUpdate({"led", {0, 0}, {0, 20}, false, true, {{"x", "v", 20, false}}}, world.now);
	CHECK(world.changes == 1);
	world.led.OnUpdate({"led", {0, 30}, {0, 30}, false, true, {}}, world.now);
	world.Pass(milliseconds(100));
	REQUIRE(world.led_store.calls.size() == 1);
	CHECK_FALSE(world.led_store.Newest().changes);
	world.led_store.Answer(Page({"x", "y"}, 31));
	CHECK(world.all == 2);
	world.Pass(milliseconds(100));
	CHECK(world.led_store.calls.empty());
	// Nobody is heard any more: the first table is taken over, and this one with it.
	world.Pass(std::chrono::seconds(6));
	CHECK(world.led_store.calls.size() == 1);
}

TEST_CASE("Watch - a table read with another one is given up with it, and asked for at once when that one is back")
{
	LedWorld world;
	world.led.Start(world.now);
	world.Pass(milliseconds(100));
	world.led_store.Answer(Page({}, 10));
	CHECK(world.led_store.calls.size() == 1);
	CHECK(world.led.HeartbeatUpdate().has_value());
	world.lead_store.Answer(Failed(StoreFailure::NoAnswer));
	world.Pass(milliseconds(25));
	CHECK(world.led_store.calls.empty());
	CHECK(world.led.IsUnavailable());
	CHECK_FALSE(world.led.HeartbeatUpdate().has_value());
	world.Pass(milliseconds(500));
	CHECK(world.led_store.calls.empty());
	world.lead_store.Answer(Page({}, 11));
	world.Pass(milliseconds(25));
	REQUIRE(world.led_store.calls.size() == 1);
	world.led_store.Answer(Page({}, 11));
	CHECK_FALSE(world.led.IsUnavailable());
}

TEST_CASE("Watch - an instance that starts takes the whole table from another one, and reads it only if nobody tells it in time")
{
	TimePoint now = MonotonicNow();
	for (bool told : {true, false}) {
		ManualStore store;
		WatchLimits limits;
		limits.keep_rows = true;
		TableWatch watch(store, "table", limits, [&] { return now; });
		watch.SetTakeoverDelay(limits.takeover_delay);
		std::vector<std::string> rows;
		watch.on_snapshot = [&](const std::vector<StoredRow> &all, TimePoint) {
			for (const StoredRow &row : all) rows.push_back(row.key);
		};
		watch.StartFromPeers(now + milliseconds(500));
		watch.OnTick(now);
		CHECK(store.calls.empty());
		CHECK(watch.NeedsSnapshot());
		// Changes of what it does not know tell it nothing.
		watch.OnUpdate({"table", {0, 6}, {0, 7}, false, true, {{"x", "v", 7, false}}, {0, 7}}, now);
		CHECK_FALSE(watch.IsKnown());
		if (told) watch.OnUpdate({"table", {}, {0, 9}, true, true, {{"a", "v", 5, false}, {"b", "v", 9, false}}, {0, 40}}, now);
		CHECK(watch.IsKnown() == told);
		watch.OnTick(now + milliseconds(600));
		CHECK(store.calls.size() == (told ? 0 : 1));
		if (!told) store.Answer(Page({"a", "b"}, 9));
		CHECK(rows == std::vector<std::string>{"a", "b"});
		CHECK_FALSE(watch.NeedsSnapshot());
		// By now it can hand the table on itself, with what has changed since.
		watch.OnUpdate({"table", {0, 9}, {0, 12}, false, true, {{"a", "", 12, true}, {"c", "v", 11, false}}, {0, 12}}, now);
		std::optional<TableUpdate> full = watch.Snapshot();
		REQUIRE(full);
		CHECK(full->full);
		CHECK(full->to == StoreVersion{0, 12});
		REQUIRE(full->rows.size() == 2);
		CHECK(full->rows[0].key == "b");
		CHECK(full->rows[1].key == "c");
	}
}

TEST_CASE("Watch - changes that concern nobody here are told without rows, and nobody reads them")
{
	TimePoint now = MonotonicNow();
	ManualStore store;
	TableWatch reader(store, "table", WatchLimits{}, [&] { return now; });
	reader.filter_rows = [](std::vector<StoredRow> &rows, bool) {
		std::erase_if(rows, [](const StoredRow &row) { return row.key != "own"; });
	};
	std::vector<TableUpdate> told;
	reader.on_publish = [&](const TableUpdate &update) { told.push_back(update); };
	reader.Start(now);
	store.Answer(Page({"other", "own"}, 5));
	REQUIRE(told.size() == 1);
	CHECK(told[0].rows.size() == 1);
	store.Answer(Page({"other"}, 7));
	REQUIRE(told.size() == 2);
	CHECK(told[1].rows.empty());
	ManualStore other_store;
	TableWatch member(other_store, "table", WatchLimits{}, [&] { return now; });
	member.SetTakeoverDelay(WatchLimits{}.takeover_delay);
	member.StartFromPeers(now + std::chrono::hours(1));
	for (const TableUpdate &update : told) member.OnUpdate(update, now);
	CHECK(member.RowsVersion() == reader.RowsVersion());
	member.OnTick(now);
	CHECK(other_store.calls.empty());
	// A sign of life that is ahead still means that there is more to read.
	member.OnUpdate({"table", {0, 9}, {0, 9}, false, true, {}, {0, 9}}, now);
	member.OnTick(now);
	CHECK(other_store.calls.size() == 1);
}

TEST_CASE("Watch - who takes the reading over goes on from the version that was last told, which the store still remembers")
{
	TimePoint now = MonotonicNow();
	ManualStore store;
	TableWatch watch(store, "table", WatchLimits{}, [&] { return now; });
	watch.SetTakeoverDelay(WatchLimits{}.takeover_delay);
	watch.Start(now);
	store.Answer(Page({"a"}, 5));
	watch.OnUpdate({"table", {0, 5}, {0, 5}, false, true, {}, {0, 800}}, now);
	now += WatchLimits{}.takeover_delay + milliseconds(1);
	watch.OnTick(now);
	REQUIRE(store.calls.size() == 1);
	CHECK(store.Newest().changes);
	CHECK(store.Newest().version == 800);
}
