/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch_test.cpp Guards against stale views, needless calls and late recovery when the store or peers fail. */

#include "tests/manual_store.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A table watch that is started, with a store answered by the test. */
struct WatchFixture {
	WatchFixture()
	{
		this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->all.push_back(rows.size()); };
		this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->changes.push_back(rows.size()); };
		this->watch.on_unavailable = [this](const RowsAnswer &, TimePoint) { this->outages++; };
		this->watch.on_reconnected = [this](Duration, TimePoint) { this->recovered++; };
		this->watch.Start(this->now);
	}

	void Advance(Duration time)
	{
		this->now += time;
		this->watch.OnTick(this->now);
	}

	ManualStore store;                                                                   ///< Store.
	TableWatch watch{this->store, "table", WatchLimits{}, [this] { return this->now; }}; ///< Under test.
	TimePoint now = MonotonicNow();                                                      ///< Clock.
	std::vector<size_t> all;                                                             ///< Number of rows of each snapshot.
	std::vector<size_t> changes;                                                         ///< Number of rows of each set of changes.
	int outages = 0;                                                                     ///< Outages reported.
	int recovered = 0;                                                                   ///< Recoveries reported.
};

} // namespace

TEST_CASE("Watch - a snapshot of several pages is complete, and changes are read from the version of its first page")
{
	WatchFixture fixture;
	fixture.store.Answer(Page({"a", "b"}, 10, true));
	CHECK(fixture.store.Newest().from > "b");
	CHECK(fixture.all.empty());
	fixture.store.Answer(Page({"c"}, 12));
	CHECK(fixture.all == std::vector<size_t>{3});
	CHECK(fixture.store.Newest().changes);
	CHECK(fixture.store.Newest().version == 10);
}

TEST_CASE("Watch - a truncated change history leads to a snapshot, and does not count as an outage")
{
	WatchFixture fixture;
	fixture.store.Answer(Page({"a"}, 10));
	fixture.store.Answer(Failed(StoreFailure::HistoryUnavailable));
	CHECK(!fixture.store.Newest().changes);
	fixture.store.Answer(Page({"a", "b"}, 20));
	CHECK(fixture.all == std::vector<size_t>{1, 2});
	CHECK(fixture.outages == 0);
}

TEST_CASE("Watch - a snapshot older than the local view is dropped")
{
	WatchFixture fixture;
	fixture.store.Answer(Page({"a"}, 10));
	fixture.store.Answer(Failed(StoreFailure::HistoryUnavailable));
	fixture.store.Answer(Page({}, 9));
	CHECK(fixture.all == std::vector<size_t>{1});
	fixture.Advance(std::chrono::seconds(1));
	fixture.store.Answer(Page({"a", "b"}, 11));
	CHECK(fixture.all == std::vector<size_t>{1, 2});
}

TEST_CASE("Watch - an instance that receives updates does not poll, and reads when updates stop or one was missed")
{
	WatchFixture fixture;
	fixture.watch.SetTakeoverDelay(milliseconds(1300));
	fixture.store.Answer(Page({"a"}, 10));
	CHECK(fixture.store.calls.empty());
	TableUpdate update{"table", {0, 10}, {0, 12}, false, true, {{"b", "v", 12, false}}};
	fixture.watch.OnUpdate(update, fixture.now);
	CHECK(fixture.changes == std::vector<size_t>{1});
	CHECK(fixture.watch.Version() == StoreVersion{0, 12});
	CHECK(fixture.store.calls.empty());
	// An update was lost, so that the next one does not apply and the changes are read from the store.
	fixture.watch.OnUpdate({"table", {0, 14}, {0, 15}, false, true, {{"d", "v", 15, false}}}, fixture.now);
	CHECK(fixture.changes == std::vector<size_t>{1});
	fixture.Advance(milliseconds(20));
	REQUIRE(fixture.store.calls.size() == 1);
	CHECK(fixture.store.Newest().version == 12);
	fixture.store.Answer(Page({"c", "d"}, 15));
	CHECK(fixture.watch.Version() == StoreVersion{0, 15});
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(1200));
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(200));
	CHECK(fixture.store.calls.size() == 1);
}

TEST_CASE("Watch - writes to other tables, which advance the store's version too, cause no read")
{
	WatchFixture fixture;
	fixture.watch.SetTakeoverDelay(milliseconds(1300));
	fixture.store.Answer(Page({"a"}, 10));
	// A peer knows the same last change, while the version of the store advances.
	for (int i = 0; i < 10; i++) {
		fixture.watch.OnUpdate({"table", {0, 10}, {0, 10}, false, true, {}}, fixture.now);
		fixture.Advance(milliseconds(300));
		CHECK(fixture.store.calls.empty());
	}
	// A newer version without rows, such as a deletion, is read once.
	fixture.watch.OnUpdate({"table", {0, 14}, {0, 14}, false, true, {}}, fixture.now);
	fixture.Advance(milliseconds(20));
	REQUIRE(fixture.store.calls.size() == 1);
	fixture.store.Answer(Page({}, 15));
	for (int i = 0; i < 5; i++) {
		fixture.watch.OnUpdate({"table", {0, 14}, {0, 14}, false, true, {}}, fixture.now);
		fixture.Advance(milliseconds(300));
		CHECK(fixture.store.calls.empty());
	}
}

TEST_CASE("Watch - only reads that the store confirmed are published, and a peer takes over when there are none")
{
	WatchFixture fixture;
	int published = 0;
	fixture.watch.on_publish = [&](const TableUpdate &) { published++; };
	fixture.store.Answer(Page({"a"}, 10));
	fixture.store.Answer(Page({}, 11));
	CHECK(published == 2);
	// The next call is not answered: nothing is published meanwhile.
	for (int i = 0; i < 30; i++) fixture.Advance(milliseconds(50));
	CHECK(published == 2);
	// An instance that reads only what it missed does not publish it.
	WatchFixture other;
	int published_by_other = 0;
	other.watch.on_publish = [&](const TableUpdate &) { published_by_other++; };
	other.watch.SetTakeoverDelay(milliseconds(800));
	other.store.Answer(Page({"a"}, 10));
	published_by_other = 0;
	other.watch.OnUpdate({"table", {0, 12}, {0, 12}, false, true, {}}, other.now);
	other.Advance(milliseconds(20));
	other.store.Answer(Page({"b"}, 12));
	CHECK(published_by_other == 0);
	// After its takeover time it becomes the reader and publishes that.
	other.Advance(milliseconds(820));
	REQUIRE(other.store.calls.size() == 1);
	other.store.Answer(Page({}, 13));
	CHECK(published_by_other == 1);
}

TEST_CASE("Watch - a change is read at once, and further ones of a burst in one call")
{
	WatchFixture fixture;
	fixture.store.Answer(Page({"a"}, 10));
	fixture.store.Answer(Page({"b"}, 12));
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(100));
	CHECK(fixture.store.calls.empty());
	fixture.Advance(milliseconds(60));
	REQUIRE(fixture.store.calls.size() == 1);
	CHECK(fixture.store.Newest().version == 12);
	// After an answer without changes the next poll starts at once.
	fixture.store.Answer(Page({}, 12));
	CHECK(fixture.store.calls.size() == 1);
}

TEST_CASE("Watch - of two watches without the store one probes it, and the other reads as soon as it is available")
{
	WatchFixture first;
	WatchFixture second;
	second.watch.SetRecoveryProbe(first.watch);
	auto pass = [&](Duration time) {
		first.Advance(time);
		second.Advance(time);
	};
	for (WatchFixture *fixture : {&first, &second}) {
		fixture->store.Answer(Page({"a"}, 10));
		fixture->store.Answer(Failed(StoreFailure::Refused));
	}
	uint64_t calls_before = first.store.last;
	for (int i = 0; i < 50; i++) {
		pass(milliseconds(100));
		if (!first.store.calls.empty()) first.store.Answer(Failed(StoreFailure::Refused));
		CHECK(second.store.calls.empty());
	}
	CHECK(first.store.last > calls_before);
	while (first.store.calls.empty()) pass(milliseconds(100));
	first.store.Answer(Page({}, 11));
	pass(milliseconds(20));
	REQUIRE(second.store.calls.size() == 1);
	second.store.Answer(Page({"b"}, 12));
	CHECK(second.changes == std::vector<size_t>{1});
	CHECK(!second.watch.IsUnavailable());
}

TEST_CASE("Watch - an instance cut off from the store backs off its reads, whatever its peers publish")
{
	WatchFixture fixture;
	fixture.watch.SetTakeoverDelay(milliseconds(1300));
	fixture.store.Answer(Page({"a"}, 10));
	fixture.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, fixture.now);
	uint64_t before = fixture.store.last;
	for (int i = 0; i < 100; i++) {
		fixture.Advance(milliseconds(50));
		if (!fixture.store.calls.empty()) fixture.store.Answer(Failed(StoreFailure::Refused));
		if (i % 5 == 0) fixture.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, fixture.now);
	}
	CHECK(fixture.store.last - before <= 8);
	CHECK(fixture.outages == 1);
	CHECK(fixture.recovered == 0);
	while (fixture.store.calls.empty()) fixture.Advance(milliseconds(50));
	fixture.store.Answer(Page({"b"}, 20));
	CHECK(fixture.recovered == 1);
	CHECK(fixture.changes == std::vector<size_t>{1});
}

TEST_CASE("Watch - the first update after an outage ends the backoff")
{
	WatchFixture fixture;
	fixture.watch.SetTakeoverDelay(milliseconds(1300));
	fixture.store.Answer(Page({"a"}, 10));
	while (fixture.outages == 0 || !fixture.store.calls.empty()) {
		fixture.Advance(milliseconds(50));
		if (!fixture.store.calls.empty()) fixture.store.Answer(Failed(StoreFailure::Refused));
	}
	// The backoff has grown to its maximum.
	for (int i = 0; i < 100; i++) {
		fixture.Advance(milliseconds(50));
		if (!fixture.store.calls.empty()) fixture.store.Answer(Failed(StoreFailure::Refused));
	}
	while (fixture.store.calls.empty()) fixture.Advance(milliseconds(10));
	fixture.store.Answer(Failed(StoreFailure::Refused));
	fixture.watch.OnUpdate({"table", {0, 20}, {0, 20}, false, true, {}}, fixture.now);
	fixture.Advance(milliseconds(20));
	REQUIRE(fixture.store.calls.size() == 1);
	fixture.store.Answer(Page({"b"}, 20));
	CHECK(fixture.changes == std::vector<size_t>{1});
}

TEST_CASE("Watch - calls to a silent store time out and are retried with backoff, and its recovery is reported")
{
	WatchFixture fixture;
	fixture.store.Answer(Page({"a"}, 10));
	fixture.Advance(std::chrono::seconds(5));
	CHECK(fixture.outages == 1);
	CHECK(fixture.store.calls.empty());
	uint64_t before = fixture.store.last;
	for (int i = 0; i < 40; i++) {
		fixture.Advance(milliseconds(100));
		if (!fixture.store.calls.empty()) fixture.store.Answer(Failed(StoreFailure::Refused));
	}
	CHECK(fixture.store.last - before <= 12);
	CHECK(fixture.store.last - before >= 4);
	CHECK(fixture.outages == 1);
	fixture.Advance(std::chrono::seconds(1));
	CHECK(fixture.store.Newest().version == 10);
	fixture.store.Answer(Page({"b"}, 15));
	CHECK(fixture.recovered == 1);
	CHECK(fixture.changes == std::vector<size_t>{1});
	CHECK(!fixture.watch.IsUnavailable());
}

TEST_CASE("Watch - a table is not read before it is started")
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

TEST_CASE("Watch - an instance that is not the reader reads once when it has to catch up")
{
	WatchFixture fixture;
	fixture.watch.SetTakeoverDelay(std::chrono::seconds(3600));
	fixture.store.Answer(Page({"a"}, 10));
	CHECK(fixture.store.calls.empty());
	fixture.watch.CatchUp();
	fixture.Advance(std::chrono::milliseconds(25));
	CHECK(fixture.store.Newest().version == 10);
	fixture.store.Answer(Page({"b"}, 12));
	fixture.Advance(std::chrono::milliseconds(25));
	CHECK(fixture.store.calls.empty());
	CHECK(fixture.changes == std::vector<size_t>{1});
}

namespace {

/** A leading table and one that is coupled to it. */
struct CoupledFixture {
	CoupledFixture()
	{
		this->coupled.SetLeadTable(this->lead_table);
		this->coupled.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->changes += rows.size(); };
		this->coupled.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->all += rows.size(); };
		this->lead_table.Start(this->now);
		this->lead_store.Answer(Page({"a"}, 10));
	}

	void Advance(Duration time)
	{
		this->now += time;
		this->lead_table.OnTick(this->now);
		this->coupled.OnTick(this->now);
	}

	ManualStore lead_store;                                                                       ///< Store of the leading table.
	ManualStore coupled_store;                                                                    ///< Store of the coupled table.
	TimePoint now = MonotonicNow();                                                               ///< Clock.
	TableWatch lead_table{this->lead_store, "lead", WatchLimits{}, [this] { return this->now; }}; ///< Leading table.
	TableWatch coupled{this->coupled_store, "led", WatchLimits{.wait = std::chrono::seconds(10)},
	                   [this] { return this->now; }}; ///< Under test.
	size_t changes = 0;                               ///< Number of changed rows.
	size_t all = 0;                                   ///< Number of rows in snapshots.
};

} // namespace

TEST_CASE("Watch - a coupled table is read only by the reader of its leading table")
{
	CoupledFixture fixture;
	fixture.lead_table.SetTakeoverDelay(std::chrono::seconds(5));
	fixture.lead_table.OnUpdate({"lead", {0, 10}, {0, 10}, false, true, {}}, fixture.now);
	fixture.coupled.Start(fixture.now);
	fixture.Advance(milliseconds(100));
	CHECK(fixture.coupled_store.calls.empty());
	// An update that applies to the empty view is taken in; after one that does not, a snapshot is read.
	fixture.coupled.OnUpdate({"led", {0, 0}, {0, 20}, false, true, {{"x", "v", 20, false}}}, fixture.now);
	CHECK(fixture.changes == 1);
	fixture.coupled.OnUpdate({"led", {0, 30}, {0, 30}, false, true, {}}, fixture.now);
	fixture.Advance(milliseconds(100));
	REQUIRE(fixture.coupled_store.calls.size() == 1);
	CHECK_FALSE(fixture.coupled_store.Newest().changes);
	fixture.coupled_store.Answer(Page({"x", "y"}, 31));
	CHECK(fixture.all == 2);
	fixture.Advance(milliseconds(100));
	CHECK(fixture.coupled_store.calls.empty());
	// The updates stop: this instance becomes the reader of the leading table, and of this one.
	fixture.Advance(std::chrono::seconds(6));
	CHECK(fixture.coupled_store.calls.size() == 1);
}

TEST_CASE("Watch - a coupled table becomes unavailable and available again with its leading table")
{
	CoupledFixture fixture;
	fixture.coupled.Start(fixture.now);
	fixture.Advance(milliseconds(100));
	fixture.coupled_store.Answer(Page({}, 10));
	CHECK(fixture.coupled_store.calls.size() == 1);
	CHECK(fixture.coupled.HeartbeatUpdate().has_value());
	fixture.lead_store.Answer(Failed(StoreFailure::NoAnswer));
	fixture.Advance(milliseconds(25));
	CHECK(fixture.coupled_store.calls.empty());
	CHECK(fixture.coupled.IsUnavailable());
	CHECK_FALSE(fixture.coupled.HeartbeatUpdate().has_value());
	fixture.Advance(milliseconds(500));
	CHECK(fixture.coupled_store.calls.empty());
	fixture.lead_store.Answer(Page({}, 11));
	fixture.Advance(milliseconds(25));
	REQUIRE(fixture.coupled_store.calls.size() == 1);
	fixture.coupled_store.Answer(Page({}, 11));
	CHECK_FALSE(fixture.coupled.IsUnavailable());
}

TEST_CASE("Watch - an instance that starts gets a snapshot from a peer, and reads it from the store only if none arrives in time")
{
	TimePoint now = MonotonicNow();
	for (bool published : {true, false}) {
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
		// Changes don't apply before the first snapshot.
		watch.OnUpdate({"table", {0, 6}, {0, 7}, false, true, {{"x", "v", 7, false}}, {0, 7}}, now);
		CHECK_FALSE(watch.IsKnown());
		if (published) watch.OnUpdate({"table", {}, {0, 9}, true, true, {{"a", "v", 5, false}, {"b", "v", 9, false}}, {0, 40}}, now);
		CHECK(watch.IsKnown() == published);
		watch.OnTick(now + milliseconds(600));
		CHECK(store.calls.size() == (published ? 0 : 1));
		if (!published) store.Answer(Page({"a", "b"}, 9));
		CHECK(rows == std::vector<std::string>{"a", "b"});
		CHECK_FALSE(watch.NeedsSnapshot());
		// Now it can serve a snapshot itself, which includes later changes.
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

TEST_CASE("Watch - changes that concern no instance are published without rows, and are not read again")
{
	TimePoint now = MonotonicNow();
	ManualStore store;
	TableWatch reader(store, "table", WatchLimits{}, [&] { return now; });
	reader.filter_rows = [](std::vector<StoredRow> &rows, bool) {
		std::erase_if(rows, [](const StoredRow &row) { return row.key != "own"; });
	};
	std::vector<TableUpdate> published;
	reader.on_publish = [&](const TableUpdate &update) { published.push_back(update); };
	reader.Start(now);
	store.Answer(Page({"other", "own"}, 5));
	REQUIRE(published.size() == 1);
	CHECK(published[0].rows.size() == 1);
	store.Answer(Page({"other"}, 7));
	REQUIRE(published.size() == 2);
	CHECK(published[1].rows.empty());
	ManualStore other_store;
	TableWatch member(other_store, "table", WatchLimits{}, [&] { return now; });
	member.SetTakeoverDelay(WatchLimits{}.takeover_delay);
	member.StartFromPeers(now + std::chrono::hours(1));
	for (const TableUpdate &update : published) member.OnUpdate(update, now);
	CHECK(member.RowsVersion() == reader.RowsVersion());
	member.OnTick(now);
	CHECK(other_store.calls.empty());
	// A heartbeat with a newer version still advertises changes to be read.
	member.OnUpdate({"table", {0, 9}, {0, 9}, false, true, {}, {0, 9}}, now);
	member.OnTick(now);
	CHECK(other_store.calls.size() == 1);
}

TEST_CASE("Watch - a takeover continues from the last published version, for which the store still has history")
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
