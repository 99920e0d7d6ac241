/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_sharing_test.cpp Guards against several readers of a table, and against a late takeover from a failed one. */

#include "core/hash_func.h"
#include "store/table_sharing.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A shared table with a store of its own. */
struct SharedWatch {
	SharedWatch(TableSharing &sharing, std::string table, TimePoint &now)
	    : watch(this->store, std::move(table), WatchLimits{}, [&now] { return now; })
	{
		sharing.Share(this->watch);
		this->watch.Start(now);
		this->store.Answer(Page({"row"}, 5));
	}

	ManualStore store; ///< Store.
	TableWatch watch;  ///< View of the table.
};

/** @return Name of a peer that follows "self" in the reader order of \a first and precedes it in that of \a second. */
std::string PeerFor(const std::string &first, const std::string &second)
{
	for (int i = 0;; i++) {
		std::string peer = "peer-" + std::to_string(i);
		std::vector<Reader> both{{"self", 10}, {peer, 10}};
		if (ReaderOrder(first, both).front() == "self" && ReaderOrder(second, both).front() == peer) return peer;
	}
}

} // namespace

TEST_CASE("Sharing - the reader of one table does not read other tables, which have other readers")
{
	TimePoint now = MonotonicNow();
	TableSharing sharing("self", "hall-a");
	SharedWatch own(sharing, "own", now);
	SharedWatch other(sharing, "other", now);
	std::string peer = PeerFor("own", "other");
	sharing.SetReaders({{"self", 10}, {peer, 10}}, {}, false);
	sharing.OnTick(now);
	CHECK(own.watch.ReadsFromStore(now));
	// The peer sends heartbeats for longer than the takeover time of any instance.
	for (int i = 0; i < 20; i++) {
		now += milliseconds(500);
		sharing.OnUpdate(peer, "hall-a", {"other", {0, 5}, {0, 5}, false, true, {}}, now);
		sharing.OnTick(now);
		CHECK_FALSE(other.watch.ReadsFromStore(now));
	}
	CHECK(own.watch.ReadsFromStore(now));
	now += WatchLimits{}.max_takeover_delay + milliseconds(1);
	CHECK(other.watch.ReadsFromStore(now));
}

TEST_CASE("Sharing - one instance reads a table for all halls, and the first instance of the next hall is the first to take over")
{
	TimePoint now = MonotonicNow();
	const std::vector<std::string> halls{"hall-a", "hall-b", "hall-c"};
	const std::vector<std::string> order = RendezvousChoice("table", halls, halls.size());
	std::map<std::string, Duration> takeover_delay;
	for (const std::string &hall : halls) {
		for (const char *place : {"first", "second"}) {
			std::string name = hall + "-" + place;
			TableSharing sharing(name, hall);
			SharedWatch table(sharing, "table", now);
			sharing.SetReaders({{hall + "-first", 100}, {hall + "-second", 10}}, halls, false);
			CHECK(sharing.IsHallReader() == (std::string(place) == "first"));
			TimePoint later = now;
			while (!table.watch.ReadsFromStore(later)) later += milliseconds(10);
			takeover_delay[name] = later - now;
		}
	}
	CHECK(takeover_delay[order[0] + "-first"] == Duration(0));
	CHECK(takeover_delay[order[1] + "-first"] < takeover_delay[order[2] + "-first"]);
	for (const std::string &hall : halls) {
		CHECK(takeover_delay[hall + "-second"] > takeover_delay[order[2] + "-first"]);
		CHECK(takeover_delay[hall + "-second"] <= WatchLimits{}.max_takeover_delay + milliseconds(10));
	}
}

TEST_CASE("Sharing - a reader yields to one of a hall earlier in the order, but not to one of a later hall")
{
	TimePoint now = MonotonicNow();
	const std::vector<std::string> halls = RendezvousChoice("table", {"hall-a", "hall-b", "hall-c"}, 3);
	TableSharing sharing("self", halls[1]);
	SharedWatch table(sharing, "table", now);
	sharing.SetReaders({{"self", 10}}, halls, false);
	now += WatchLimits{}.max_takeover_delay;
	CHECK(table.watch.ReadsFromStore(now));
	sharing.OnUpdate("other", halls[2], {"table", {0, 5}, {0, 5}, false, true, {}}, now);
	CHECK(table.watch.ReadsFromStore(now));
	sharing.OnUpdate("other", halls[0], {"table", {0, 5}, {0, 5}, false, true, {}}, now);
	CHECK_FALSE(table.watch.ReadsFromStore(now));
}
