/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file store_restore_test.cpp What is true although a store that came back from a copy has forgotten it, or lists it again. */

#include "decision/placement_table.h"
#include "decision/target_registry.h"
#include "gateway/crash_records.h"
#include "gateway/peer_exchange.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

TargetRow Row(const std::string &id, uint64_t sequence, bool draining = false)
{
	ListedTarget target;
	target.incarnation = {id, 0};
	target.pool = "pool";
	target.address = "127.0.0.1:8000";
	target.sequence = sequence;
	target.draining = draining;
	return {id, target};
}

TargetRow Gone(const std::string &id)
{
	return {id, std::nullopt};
}

/** @return The changes in \a events for \a id: "usable", "leaving". */
std::string Told(const std::vector<TargetEvent> &events, const std::string &id)
{
	std::string text;
	for (const TargetEvent &event : events) {
		if (event.target.incarnation.id == id) text += event.change == TargetChange::EligibleTargets ? "usable" : "leaving";
	}
	return text;
}

/** A registry that knows targets a to d, of which b has left with notice and c without. */
struct CopyWorld {
	CopyWorld()
	{
		this->registry.OnFullList({Row("a", 5), Row("b", 5), Row("c", 5), Row("d", 5)}, this->now);
		this->registry.OnChanges({Row("b", 6, true)}, this->now);
		this->registry.OnChanges({Gone("c")}, this->now);
		this->now += seconds(3);
		this->registry.OnTick(this->now);
	}

	TimePoint now = MonotonicNow();            ///< Clock.
	TargetRegistry registry{RegistryLimits{}}; ///< Under test.
};

} // namespace

TEST_CASE("Store copy - a target that has left is not believed to be there because the copy still lists it")
{
	CopyWorld world;
	world.registry.OnStoreRestored(world.now);
	std::vector<TargetEvent> events = world.registry.OnFullList({Row("a", 5), Row("b", 5), Row("c", 5), Row("d", 5)}, world.now);
	CHECK(Told(events, "a").empty());
	CHECK(Told(events, "b").empty());
	CHECK(Told(events, "c").empty());
	world.now += seconds(5);
	CHECK(world.registry.OnTick(world.now).empty());
	// Its removal is written again, and changes nothing; nor does the copy's next whole read.
	CHECK(world.registry.OnChanges({Gone("c")}, world.now).empty());
	CHECK(Told(world.registry.OnFullList({Row("a", 5), Row("c", 5), Row("d", 5)}, world.now), "c").empty());
}

TEST_CASE("Store copy - a target that was taken for gone and lives is used once it says so, or after a while")
{
	{
		CopyWorld world;
		world.registry.OnStoreRestored(world.now);
		world.registry.OnFullList({Row("a", 5), Row("c", 5), Row("d", 5)}, world.now);
		CHECK(Told(world.registry.OnChanges({Row("c", 5)}, world.now), "c") == "usable");
	}
	{
		CopyWorld world;
		world.registry.OnStoreRestored(world.now);
		CHECK(Told(world.registry.OnFullList({Row("a", 5), Row("c", 6), Row("d", 5)}, world.now), "c") == "usable");
	}
	{
		CopyWorld world;
		world.registry.OnStoreRestored(world.now);
		world.registry.OnFullList({Row("a", 5), Row("c", 5), Row("d", 5)}, world.now);
		CHECK(world.registry.OnTick(world.now + RegistryLimits{}.restore_distrust_period - milliseconds(1)).empty());
		CHECK(Told(world.registry.OnTick(world.now + RegistryLimits{}.restore_distrust_period), "c") == "usable");
	}
}

TEST_CASE("Store copy - a target that the copy does not list yet is used on, for as long as live ones need to write their rows again")
{
	CopyWorld world;
	world.registry.OnStoreRestored(world.now);
	CHECK(world.registry.OnFullList({Row("a", 5)}, world.now).empty());
	CHECK(world.registry.OnTick(world.now + RegistryLimits{}.expiry_grace - milliseconds(1)).empty());
	CHECK(Told(world.registry.OnTick(world.now + RegistryLimits{}.expiry_grace), "d") == "leaving");
}

TEST_CASE("Store copy - a hall that is emptied stays so until the operators say otherwise, for a bounded time")
{
	TimePoint now = MonotonicNow();
	PlacementTable places("a", {{"a", "r"}, {"b", "r"}});
	places.SetEvacuated("b", true);
	places.OnStoreRestored(now);
	places.SetAllEvacuated({});
	CHECK(places.Evacuated(now) == std::set<std::string>{"b"});
	CHECK(places.Evacuated(now + seconds(9)) == std::set<std::string>{"b"});
	// A second return within that time doesn't shorten it.
	places.OnStoreRestored(now + seconds(9));
	places.SetAllEvacuated({});
	CHECK(places.Evacuated(now + seconds(18)) == std::set<std::string>{"b"});
	CHECK(places.Evacuated(now + seconds(20)).empty());
	// Written again: it holds without an end, until it is taken back.
	places.SetEvacuated("b", true);
	places.OnStoreRestored(now);
	places.SetAllEvacuated({"b"});
	CHECK(places.Evacuated(now + seconds(60)) == std::set<std::string>{"b"});
	places.OnStoreRestored(now);
	places.SetEvacuated("b", false);
	CHECK(places.Evacuated(now).empty());
}

namespace {

/** Ends of targets under requests, with a store that is answered by hand. */
struct EndsWorld {
	void Pass(Duration time)
	{
		this->now += time;
		this->records.OnTick(this->now);
	}

	/** The store has come back from a copy that holds \a ends. */
	void ComeBack(const std::vector<CrashRecord> &ends)
	{
		this->records.OnStoreRestored();
		std::vector<StoredRow> rows;
		for (const CrashRecord &end : ends) rows.push_back({CrashKey(end), "", 5, false});
		this->records.Watch().on_snapshot(rows, this->now);
	}

	ManualStore store;                ///< Store.
	std::vector<CrashRecord> added;   ///< Told as added.
	std::vector<CrashRecord> removed; ///< Told as removed.
	TimePoint now = MonotonicNow();   ///< Clock.
	CrashRecordStore records{this->store, WatchLimits{}, CrashRecordLimits{}, "g1",
	                         [this](const std::vector<CrashRecord> &more, const std::vector<CrashRecord> &gone, TimePoint) {
		                         this->added.insert(this->added.end(), more.begin(), more.end());
		                         this->removed.insert(this->removed.end(), gone.begin(), gone.end());
	                         }}; ///< Under test.
};

const CrashRecord ONE{RequestFingerprint{7}, "engine-1"};
const CrashRecord TWO{RequestFingerprint{7}, "engine-2"};

} // namespace

TEST_CASE(
        "Store copy - ends that it has forgotten stay held against their request and are written again, first by the one whose turn it is")
{
	for (bool first : {true, false}) {
		EndsWorld world;
		world.records.rewrites_first = [first](const CrashRecord &) { return first; };
		world.ComeBack({ONE, TWO});
		CHECK(world.added.size() == 2);
		world.ComeBack({ONE});
		CHECK(world.removed.empty());
		CHECK(world.records.Holds(TWO));
		world.Pass(milliseconds(25));
		CHECK(world.store.writes.size() == (first ? 1 : 0));
		world.Pass(CrashRecordLimits{}.fallback_rewrite_delay);
		REQUIRE(!world.store.writes.empty());
		CHECK(ParseCrashKey(world.store.writes[0].key) == TWO);
	}
	// Those whose turn it is not leave it when the row is there again.
	EndsWorld world;
	world.records.rewrites_first = [](const CrashRecord &) { return false; };
	world.ComeBack({ONE, TWO});
	world.ComeBack({ONE});
	world.Pass(milliseconds(500));
	world.records.Watch().on_changes({{CrashKey(TWO), "", 9, false}}, world.now);
	world.Pass(CrashRecordLimits{}.fallback_rewrite_delay);
	CHECK(world.store.writes.empty());
	CHECK(world.records.Holds(TWO));
	// A row that is missing from a whole read of the same store was taken out.
	world.records.Watch().on_snapshot({{CrashKey(ONE), "", 5, false}}, world.now);
	CHECK(world.removed == std::vector<CrashRecord>{TWO});
}

TEST_CASE("Store copy - a write that was under way when the store came back is made again, whatever the former store did with it")
{
	EndsWorld world;
	world.Pass(milliseconds(25));
	CHECK(world.records.Add(ONE));
	world.Pass(milliseconds(25));
	REQUIRE(world.store.writes.size() == 1);
	world.ComeBack({});
	CHECK(world.removed.empty());
	world.Pass(milliseconds(25));
	CHECK(world.store.writes.size() == 2);
	CHECK(world.records.Waiting() == 1);
}

TEST_CASE("Store copy - an end that was taken out is not held against its request again because the copy still has it")
{
	EndsWorld world;
	world.Pass(milliseconds(25));
	world.ComeBack({ONE, TWO});
	world.records.Remove(ONE);
	world.Pass(milliseconds(25));
	REQUIRE(world.store.removals.size() == 1);
	world.store.removals[0].done(StoreWriteResult::Done);
	world.added.clear();
	world.ComeBack({ONE, TWO});
	CHECK(world.added.empty());
	world.Pass(milliseconds(25));
	REQUIRE(world.store.removals.size() == 2);
	CHECK(ParseCrashKey(world.store.removals[1].key) == ONE);
}

TEST_CASE("Store copy - an instance whose own row is forgotten writes it again, not all of them at once")
{
	std::set<int64_t> written_after;
	for (int i = 0; i < 12; i++) {
		uv_loop_t loop{};
		uv_loop_init(&loop);
		{
			LengthEstimate lengths{{}};
			TargetTable targets{{}, lengths};
			NameTable<ModelNumber> pools;
			PeerLoad load{targets, pools, milliseconds(2000)};
			ManualStore store;
			PeerExchange exchange(&loop, store, load, "self-" + std::to_string(i), "hall-a", ExchangeLimits{}, [](const ReportUpdate &) {});
			exchange.Watch().on_store_restored = [&](const StoreEpochChange &, TimePoint at) { exchange.OnStoreRestored(at); };
			REQUIRE(exchange.Start({"127.0.0.1", 0}, MonotonicNow()));
			store.Answer(WithEpoch(1, Page({}, 10)));
			TimePoint now = MonotonicNow();
			exchange.OnTick(now);
			REQUIRE(store.writes.size() == 1);
			store.writes[0].done(StoreWriteResult::Done);
			exchange.OnTick(now);
			RowsPage page;
			page.version = 11;
			page.rows.push_back({"self-" + std::to_string(i), store.writes[0].value, 11, false});
			store.Answer(WithEpoch(1, {page, StoreFailure::NoAnswer, ""}));
			exchange.Watch().SetTakeoverDelay(Duration(0));
			exchange.Watch().OnTick(now + seconds(1));
			// The store has come back, and lacks the row.
			store.Answer(WithEpoch(2, Failed(StoreFailure::HistoryUnavailable)));
			store.Answer(WithEpoch(2, Page({}, 3)));
			for (int64_t ms = 0; store.writes.size() == 1 && ms <= 1100; ms += 25) {
				exchange.OnTick(now + milliseconds(ms));
				if (store.writes.size() == 2) written_after.insert(ms);
			}
			CHECK(store.writes.size() == 2);
		}
		uv_run(&loop, UV_RUN_NOWAIT);
		uv_loop_close(&loop);
	}
	CHECK(written_after.size() >= 6);
}
