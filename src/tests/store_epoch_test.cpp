/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file store_epoch_test.cpp Guards against stale or mixed views after a restore of the store, which issues version numbers again. */

#include "tests/manual_store.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A watch that has read a snapshot at version 90 of epoch 1. */
struct EpochFixture {
	EpochFixture()
	{
		this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->Record("all", rows); };
		this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->Record("changes", rows); };
		this->watch.on_store_restored = [this](const StoreEpochChange &change, TimePoint) { this->epoch_changes.push_back(change); };
		this->watch.Start(this->now);
		this->store.Answer(WithEpoch(1, Page({"a"}, 90)));
		this->reported.clear();
	}

	void Record(const std::string &how, const std::vector<StoredRow> &rows)
	{
		std::string text = how;
		for (const StoredRow &row : rows) text += ' ' + row.key;
		this->reported.push_back(text);
	}

	void Advance(Duration time)
	{
		this->now += time;
		this->watch.OnTick(this->now);
	}

	/** Make a peer the reader, and answer the pending call. */
	void MakePeerReader()
	{
		this->watch.SetTakeoverDelay(milliseconds(4000));
		this->store.Answer(WithEpoch(1, Page({}, 91)));
		REQUIRE(this->store.calls.empty());
		this->reported.clear();
	}

	ManualStore store;                                                                   ///< Store.
	TimePoint now = MonotonicNow();                                                      ///< Clock.
	TableWatch watch{this->store, "table", WatchLimits{}, [this] { return this->now; }}; ///< Under test.
	std::vector<std::string> reported;           ///< Reported snapshots and changes, with the keys of their rows.
	std::vector<StoreEpochChange> epoch_changes; ///< Reported changes of the store epoch.
};

} // namespace

TEST_CASE("Store epoch - a snapshot of a restored store is taken in at once, although its version number is lower")
{
	EpochFixture fixture;
	fixture.store.Answer(WithEpoch(2, Failed(StoreFailure::HistoryUnavailable)));
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(2, Page({"a", "b"}, 10)));
	CHECK(fixture.reported == std::vector<std::string>{"all a b"});
	CHECK(fixture.watch.Version() == StoreVersion{2, 10});
	CHECK_FALSE(fixture.watch.IsUnavailable());
	REQUIRE(fixture.epoch_changes.size() == 1);
	CHECK(fixture.epoch_changes[0].known == StoreVersion{1, 90});
	CHECK(fixture.epoch_changes[0].read == StoreVersion{2, 10});
	CHECK(fixture.store.Newest().version == 10);
}

TEST_CASE("Store epoch - changes from another epoch lead to a snapshot, even if the version number matches")
{
	EpochFixture fixture;
	fixture.store.Answer(WithEpoch(2, Page({}, 90)));
	CHECK(fixture.reported.empty());
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(2, Page({"b"}, 90)));
	CHECK(fixture.reported == std::vector<std::string>{"all b"});
	CHECK(fixture.watch.Version() == StoreVersion{2, 90});
}

TEST_CASE("Store epoch - a rejected call reports the epoch too, and its backoff is kept")
{
	EpochFixture fixture;
	fixture.store.Answer(WithEpoch(2, Failed(StoreFailure::Refused)));
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(2, Failed(StoreFailure::Refused)));
	CHECK(fixture.store.calls.empty());
	CHECK(fixture.watch.IsUnavailable());
	fixture.Advance(milliseconds(100));
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(100));
	fixture.store.Answer(WithEpoch(2, Page({"b"}, 3)));
	CHECK(fixture.reported == std::vector<std::string>{"all b"});
}

TEST_CASE("Store epoch - pages of two epochs are never combined")
{
	EpochFixture fixture;
	fixture.store.Answer(WithEpoch(1, Failed(StoreFailure::HistoryUnavailable)));
	fixture.store.Answer(WithEpoch(1, Page({"a", "b"}, 95, true)));
	REQUIRE(fixture.store.Newest().from > "b");
	fixture.store.Answer(WithEpoch(2, Page({"c"}, 96)));
	CHECK(fixture.reported.empty());
	REQUIRE(fixture.store.Newest().from.empty());
	fixture.store.Answer(WithEpoch(2, Page({"d"}, 12)));
	CHECK(fixture.reported == std::vector<std::string>{"all d"});
}

TEST_CASE("Store epoch - a peer's snapshot of a later epoch is taken in, changes of a later epoch are not")
{
	EpochFixture fixture;
	fixture.MakePeerReader();
	fixture.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, fixture.now);
	CHECK(fixture.reported == std::vector<std::string>{"all b"});
	CHECK(fixture.watch.Version() == StoreVersion{2, 12});
	REQUIRE(fixture.epoch_changes.size() == 1);
	CHECK(fixture.epoch_changes[0].from_peer);
	// Later changes apply to it.
	fixture.watch.OnUpdate({"table", {2, 12}, {2, 14}, false, true, {{"c", "v", 14, false}}}, fixture.now);
	CHECK(fixture.reported == std::vector<std::string>{"all b", "changes c"});
	CHECK(fixture.store.calls.empty());
	// Changes of the next epoch don't suffice, as they don't include what the restore lost.
	fixture.watch.OnUpdate({"table", {3, 11}, {3, 95}, false, true, {{"d", "v", 95, false}}}, fixture.now);
	CHECK(fixture.reported.size() == 2);
	fixture.Advance(milliseconds(25));
	REQUIRE(fixture.store.calls.size() == 1);
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(3, Page({"d", "e"}, 95)));
	CHECK(fixture.reported.back() == "all d e");
	CHECK(fixture.store.calls.empty());
}

TEST_CASE("Store epoch - a heartbeat suffices for an empty table, without a call")
{
	EpochFixture fixture;
	fixture.MakePeerReader();
	fixture.watch.OnUpdate({"table", {2, 0}, {2, 0}, false, true, {}}, fixture.now);
	CHECK(fixture.reported == std::vector<std::string>{"all"});
	CHECK(fixture.epoch_changes.size() == 1);
	fixture.Advance(milliseconds(25));
	CHECK(fixture.store.calls.empty());
}

TEST_CASE("Store epoch - updates of an earlier epoch are ignored, rows and heartbeats alike")
{
	EpochFixture fixture;
	fixture.MakePeerReader();
	fixture.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, fixture.now);
	for (int i = 0; i < 9; i++) {
		fixture.Advance(milliseconds(500));
		fixture.watch.OnUpdate({"table", {1, 90}, {1, 95}, false, true, {{"x", "v", 95, false}}}, fixture.now);
	}
	CHECK(fixture.reported == std::vector<std::string>{"all b"});
	// They don't count as heartbeats either: this instance takes over.
	CHECK(fixture.store.calls.size() == 1);
}

TEST_CASE("Store epoch - a call that began before the new epoch was known is cancelled, one that began after it counts")
{
	EpochFixture fixture;
	REQUIRE(fixture.store.Newest().changes);
	// The update cancels the pending call of the former epoch.
	fixture.watch.OnUpdate({"table", {2, 0}, {2, 12}, true, true, {{"b", "v", 12, false}}}, fixture.now);
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(25));
	REQUIRE(fixture.store.Newest().changes);
	CHECK(fixture.store.Newest().version == 12);
	fixture.store.Answer(WithEpoch(2, Page({"c"}, 13)));
	CHECK(fixture.reported == std::vector<std::string>{"all b", "changes c"});
}

TEST_CASE("Store epoch - an epoch that the store does not know leads to one read only")
{
	EpochFixture fixture;
	fixture.MakePeerReader();
	fixture.watch.OnUpdate({"table", {999, 5}, {999, 7}, false, true, {}}, fixture.now);
	fixture.Advance(milliseconds(25));
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(1, Page({"a"}, 95)));
	CHECK(fixture.watch.Version() == StoreVersion{1, 95});
	fixture.Advance(milliseconds(25));
	CHECK(fixture.store.calls.empty());
	// A snapshot of such an epoch is replaced as soon as the store is read.
	fixture.watch.OnUpdate({"table", {999, 0}, {999, 7}, true, true, {{"x", "v", 7, false}}}, fixture.now);
	CHECK(fixture.watch.Version() == StoreVersion{999, 7});
	fixture.watch.SetTakeoverDelay(Duration(0));
	fixture.Advance(milliseconds(25));
	fixture.store.Answer(WithEpoch(1, Failed(StoreFailure::HistoryUnavailable)));
	REQUIRE_FALSE(fixture.store.Newest().changes);
	fixture.store.Answer(WithEpoch(1, Page({"a"}, 96)));
	CHECK(fixture.watch.Version() == StoreVersion{1, 96});
	CHECK(fixture.reported.back() == "all a");
}
