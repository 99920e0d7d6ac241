/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file store_epoch_test.cpp Following a table of a store that comes back from a copy and gives its versions out a second time. */

#include "tests/manual_store.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A watch that has read its table whole at version 90 of era 1. */
struct EraWorld {
	EraWorld()
	{
		this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->Note("all", rows); };
		this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->Note("changes", rows); };
		this->watch.on_store_restored = [this](const StoreEpochChange &change, TimePoint) { this->met.push_back(change); };
		this->watch.Start(this->now);
		this->store.Answer(WithEpoch(1, Page({"a"}, 90)));
		this->heard.clear();
	}

	void Note(const std::string &how, const std::vector<StoredRow> &rows)
	{
		std::string text = how;
		for (const StoredRow &row : rows) text += ' ' + row.key;
		this->heard.push_back(text);
	}

	void Pass(Duration time)
	{
		this->now += time;
		this->watch.OnTick(this->now);
	}

	/** Leave the reading to others, and answer the call under way. */
	void LeaveItToOthers()
	{
		this->watch.SetTakeoverDelay(milliseconds(4000));
		this->store.Answer(WithEpoch(1, Page({}, 91)));
		REQUIRE(this->store.calls.empty());
		this->heard.clear();
	}

	ManualStore store;                                                                   ///< Store.
	TimePoint now = MonotonicNow();                                                      ///< Clock.
	TableWatch watch{this->store, "table", WatchLimits{}, [this] { return this->now; }}; ///< Under test.
	std::vector<std::string> heard;                                                      ///< What it told, with the keys of the rows.
	std::vector<StoreEpochChange> met;                                                   ///< Other stores that it met.
};

} // namespace

TEST_CASE("Store era - a store that comes back far below what is known is read whole and taken in at once")
{
	EraWorld world;
	world.store.Answer(WithEpoch(2, Failed(StoreFailure::HistoryUnavailable)));
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(2, Page({"a", "b"}, 10)));
	CHECK(world.heard == std::vector<std::string>{"all a b"});
	CHECK(world.watch.Version() == StoreVersion{2, 10});
	CHECK_FALSE(world.watch.IsUnavailable());
	REQUIRE(world.met.size() == 1);
	CHECK(world.met[0].known == StoreVersion{1, 90});
	CHECK(world.met[0].read == StoreVersion{2, 10});
	CHECK(world.store.Newest().version == 10);
}

TEST_CASE("Store era - a feed that is not refused, as its number was given out again, leads to a whole read all the same")
{
	EraWorld world;
	world.store.Answer(WithEpoch(2, Page({}, 90)));
	CHECK(world.heard.empty());
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(2, Page({"b"}, 90)));
	CHECK(world.heard == std::vector<std::string>{"all b"});
	CHECK(world.watch.Version() == StoreVersion{2, 90});
}

TEST_CASE("Store era - a refusal tells it too, and the pause after it is kept")
{
	EraWorld world;
	world.store.Answer(WithEpoch(2, Failed(StoreFailure::Refused)));
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(2, Failed(StoreFailure::Refused)));
	CHECK(world.store.calls.empty());
	CHECK(world.watch.IsUnavailable());
	world.Pass(milliseconds(100));
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(100));
	world.store.Answer(WithEpoch(2, Page({"b"}, 3)));
	CHECK(world.heard == std::vector<std::string>{"all b"});
}

TEST_CASE("Store era - pages of two eras are never put together")
{
	EraWorld world;
	world.store.Answer(WithEpoch(1, Failed(StoreFailure::HistoryUnavailable)));
	world.store.Answer(WithEpoch(1, Page({"a", "b"}, 95, true)));
	REQUIRE(world.store.Newest().from > "b");
	world.store.Answer(WithEpoch(2, Page({"c"}, 96)));
	CHECK(world.heard.empty());
	REQUIRE(world.store.Newest().from.empty());
	world.store.Answer(WithEpoch(2, Page({"d"}, 12)));
	CHECK(world.heard == std::vector<std::string>{"all d"});
}

TEST_CASE("Store era - the whole table is taken from another instance that has met the new store, changes of it are not")
{
	EraWorld world;
	world.LeaveItToOthers();
	world.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, world.now);
	CHECK(world.heard == std::vector<std::string>{"all b"});
	CHECK(world.watch.Version() == StoreVersion{2, 12});
	REQUIRE(world.met.size() == 1);
	CHECK(world.met[0].from_peer);
	// The next changes follow on it.
	world.watch.OnUpdate({"table", {2, 12}, {2, 14}, false, true, {{"c", "v", 14, false}}}, world.now);
	CHECK(world.heard == std::vector<std::string>{"all b", "changes c"});
	CHECK(world.store.calls.empty());
	// Of the era after it only changes are heard: what it lost is not among them.
	world.watch.OnUpdate({"table", {3, 11}, {3, 95}, false, true, {{"d", "v", 95, false}}}, world.now);
	CHECK(world.heard.size() == 2);
	world.Pass(milliseconds(25));
	REQUIRE(world.store.calls.size() == 1);
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(3, Page({"d", "e"}, 95)));
	CHECK(world.heard.back() == "all d e");
	CHECK(world.store.calls.empty());
}

TEST_CASE("Store era - an empty table is known by a sign of life, without a call")
{
	EraWorld world;
	world.LeaveItToOthers();
	world.watch.OnUpdate({"table", {2, 0}, {2, 0}, false, true, {}}, world.now);
	CHECK(world.heard == std::vector<std::string>{"all"});
	CHECK(world.met.size() == 1);
	world.Pass(milliseconds(25));
	CHECK(world.store.calls.empty());
}

TEST_CASE("Store era - whoever has not met the new store is not heard: not its rows, not its sign of life")
{
	EraWorld world;
	world.LeaveItToOthers();
	world.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, world.now);
	for (int i = 0; i < 9; i++) {
		world.Pass(milliseconds(500));
		world.watch.OnUpdate({"table", {1, 90}, {1, 95}, false, true, {{"x", "v", 95, false}}}, world.now);
	}
	CHECK(world.heard == std::vector<std::string>{"all b"});
	// It reads by itself, as it would if it heard nothing at all.
	CHECK(world.store.calls.size() == 1);
}

TEST_CASE("Store era - a call that began before the new store was known is not believed, one that began after it is")
{
	EraWorld world;
	REQUIRE(world.store.Newest().changes);
	// News come while a call to the former store is under way: its answer is of no use any more.
	world.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, world.now);
	CHECK(world.store.calls.empty());
	world.Pass(milliseconds(25));
	REQUIRE(world.store.Newest().changes);
	CHECK(world.store.Newest().version == 12);
	world.store.Answer(WithEpoch(2, Page({"c"}, 13)));
	CHECK(world.heard == std::vector<std::string>{"all b", "changes c"});
}

TEST_CASE("Store era - an era that the store itself does not know is asked after once, and not for ever")
{
	EraWorld world;
	world.LeaveItToOthers();
	world.watch.OnUpdate({"table", {999, 5}, {999, 7}, false, true, {}}, world.now);
	world.Pass(milliseconds(25));
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(1, Page({"a"}, 95)));
	CHECK(world.watch.Version() == StoreVersion{1, 95});
	world.Pass(milliseconds(25));
	CHECK(world.store.calls.empty());
	// Rows of such an era are given up as soon as the store is asked.
	world.watch.OnUpdate({"table", {999, 0}, {999, 7}, true, true, {{"x", "v", 7, false}}}, world.now);
	CHECK(world.watch.Version() == StoreVersion{999, 7});
	world.watch.SetTakeoverDelay(Duration(0));
	world.Pass(milliseconds(25));
	world.store.Answer(WithEpoch(1, Failed(StoreFailure::HistoryUnavailable)));
	REQUIRE_FALSE(world.store.Newest().changes);
	world.store.Answer(WithEpoch(1, Page({"a"}, 96)));
	CHECK(world.watch.Version() == StoreVersion{1, 96});
	CHECK(world.heard.back() == "all a");
}
