/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load_test.cpp Calls that peers tell: counted once, and gone with their peer. */

#include "decision/backup_choice.h"
#include "decision/peer_load.h"
#include "decision/reader_order.h"
#include "decision/target_incarnation.h"
#include "peer/peer_message.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

struct LoadWorld {
	LoadWorld()
	{
		for (int i = 0; i < 3; i++) {
			TargetNumber number =
			        this->targets.Configure("t" + std::to_string(i), i == 0 ? "hall-a" : "hall-b", {this->pools.Intern("pool")});
			this->targets.SetServiceCapacity(number, 30000);
		}
	}

	LoadMessage News(uint64_t incarnation, std::vector<CallUpdate> calls, bool full = false)
	{
		LoadMessage message;
		message.instance = "peer";
		message.incarnation = incarnation;
		message.calls = std::move(calls);
		message.full = full;
		return message;
	}

	static CallUpdate At(uint64_t call, const std::string &target, uint32_t generated = 0)
	{
		return {CallUpdate::Kind::At, call, target, 1000, generated, 500, "pool", ServiceClass::Stream};
	}

	double Known() const
	{
		double sum = 0;
		for (uint32_t i = 0; i < this->targets.Size(); i++) sum += this->targets.Get(TargetNumber{i}).known_tokens;
		return sum;
	}

	LengthEstimate lengths{LengthEstimateLimits{}};        ///< Lengths.
	TargetTable targets{AdmissionLimits{}, this->lengths}; ///< Targets.
	NameTable<ModelNumber> pools;                          ///< Pools.
	TimePoint now{std::chrono::seconds(50)};               ///< Clock.
};

} // namespace

TEST_CASE("Peer load - each call of a peer counts once, at its last target, until it ends or its peer falls silent")
{
	bool good = rc::check("once", [](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
		LoadWorld world;
		PeerLoad load(world.targets, world.pools, milliseconds(1800));
		std::map<uint64_t, std::pair<std::string, uint32_t>> truth;
		for (const auto &[what, which] : steps) {
			world.now += milliseconds(10);
			uint64_t call = which % 5;
			std::string target = "t" + std::to_string(what % 3);
			if (what % 4 == 0) {
				truth.erase(call);
				load.OnMessage(world.News(1, {{CallUpdate::Kind::Ended, call}}), world.now);
			} else if (what % 4 == 1) {
				std::vector<CallUpdate> all;
				for (const auto &[id, entry] : truth) all.push_back(LoadWorld::At(id, entry.first, entry.second));
				load.OnMessage(world.News(1, all, true), world.now);
			} else {
				bool moved = truth.contains(call) && truth[call].first != target;
				uint32_t generated = truth.contains(call) && !moved ? truth[call].second + 4 : what % 7;
				truth[call] = {target, generated};
				load.OnMessage(world.News(1, {LoadWorld::At(call, target, generated)}), world.now);
			}
			double expected = 0;
			for (const auto &[id, entry] : truth) expected += 1000 + entry.second;
			RC_ASSERT(load.Calls() == truth.size());
			RC_ASSERT(std::abs(world.Known() - expected) < 1e-6);
		}
		load.OnTick(world.now + milliseconds(2000));
		RC_ASSERT(load.Calls() == 0U);
		RC_ASSERT(std::abs(world.Known()) < 1e-6);
	});
	CHECK(good);
}

TEST_CASE("Peer load - a peer that starts anew has none of its former calls, and old news of it is dropped")
{
	LoadWorld world;
	PeerLoad load(world.targets, world.pools, milliseconds(1800));
	load.OnMessage(world.News(5, {LoadWorld::At(1, "t0")}), world.now);
	load.OnMessage(world.News(6, {LoadWorld::At(2, "t1")}), world.now);
	CHECK(load.Calls() == 1);
	load.OnMessage(world.News(5, {LoadWorld::At(3, "t2")}), world.now);
	CHECK(load.Calls() == 1);
	CHECK(world.Known() == doctest::Approx(1000));
}

TEST_CASE("Peer load - a prompt that a peer sent holds up the next one for everybody")
{
	LoadWorld world;
	PeerLoad load(world.targets, world.pools, milliseconds(1800));
	CallSpec call;
	call.model = world.pools.Intern("pool");
	call.prompt_tokens = 100;
	Duration before = world.targets.FirstTokenWait(world.targets.Get(TargetNumber{0}), call, world.now);
	load.OnMessage(world.News(1, {LoadWorld::At(1, "t0")}), world.now);
	CHECK(world.targets.FirstTokenWait(world.targets.Get(TargetNumber{0}), call, world.now) > before);
	load.OnMessage(world.News(1, {LoadWorld::At(1, "t0", 4)}), world.now);
	CHECK(world.targets.FirstTokenWait(world.targets.Get(TargetNumber{0}), call, world.now) == before);
}

TEST_CASE("Peer load - messages survive their encoding")
{
	LoadMessage message;
	message.instance = "a";
	message.incarnation = 7;
	message.full = true;
	message.calls.push_back(LoadWorld::At(9, "t1", 12));
	LoadReport report;
	report.capacity_tokens = 100;
	report.used_tokens = 40;
	report.draining = true;
	message.reports.push_back({"t2", report});
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(message));
	REQUIRE(read);
	const LoadMessage &got = std::get<LoadMessage>(read.value());
	CHECK(got.calls[0].generated == 12);
	CHECK(got.calls[0].target == "t1");
	CHECK(got.reports[0].report.used_tokens == 40);
	CHECK(got.reports[0].report.draining);
	CHECK(got.full);
}

TEST_CASE("Backup - a copy goes to another engine with memory to spare, to another hall if it can")
{
	LoadWorld world;
	CallSpec call;
	call.model = world.pools.Intern("pool");
	call.prompt_tokens = 3000;
	call.max_tokens = 800;
	std::optional<TargetNumber> at = ChooseBackup(call, TargetNumber{1}, world.targets, {.use = true}, world.now);
	REQUIRE(at);
	CHECK(at->value == 0);
	CHECK(ChooseBackup(call, TargetNumber{0}, world.targets, {.use = true}, world.now) != TargetNumber{0});
	for (uint32_t i = 0; i < 3; i++) world.targets.OnBackup(TargetNumber{i}, 20000);
	CHECK(!ChooseBackup(call, TargetNumber{1}, world.targets, {.use = true}, world.now));
	CHECK(!ChooseBackup(call, TargetNumber{1}, world.targets, {.use = false}, world.now));
}

TEST_CASE("Readers - those with the fastest links read first, and all agree on the order")
{
	std::vector<Reader> readers{{"a", 10}, {"b", 200}, {"c", 10}, {"d", 200}, {"e", 0}};
	std::vector<std::string> order = ReaderOrder("table", readers);
	REQUIRE(order.size() == 5);
	CHECK(std::set<std::string>{order[0], order[1]} == std::set<std::string>{"b", "d"});
	CHECK(order[4] == "e");
	std::reverse(readers.begin(), readers.end());
	CHECK(ReaderOrder("table", readers) == order);
	// Without the first one the others keep their order.
	std::erase_if(readers, [&](const Reader &reader) { return reader.name == order[0]; });
	CHECK(ReaderOrder("table", readers) == std::vector<std::string>(order.begin() + 1, order.end()));
}

TEST_CASE("Peers - news of a former life of a target say nothing of its next one")
{
	LengthEstimate lengths{LengthEstimateLimits{}};
	TargetTable targets{AdmissionLimits{}, lengths};
	NameTable<ModelNumber> pools;
	PeerLoad load{targets, pools, std::chrono::seconds(2)};
	TimePoint now{std::chrono::seconds(100)};
	TargetIncarnation former{"engine", 1000};
	TargetIncarnation next{"engine", 2000};
	TargetNumber old_number = targets.Configure(former.Name(), "hall", {pools.Intern("pool")});
	TargetNumber new_number = targets.Configure(next.Name(), "hall", {pools.Intern("pool")});
	CallUpdate news;
	news.call = 1;
	news.target = former.Name();
	news.prompt_tokens = 500;
	news.pool = "pool";
	load.OnMessage({"peer", 1, false, {news}, {}}, now);
	CHECK(targets.Get(old_number).in_flight.size() == 1);
	CHECK(targets.Get(new_number).in_flight.empty());
	// An instance that knows only the next life leaves such news out.
	news.target = TargetIncarnation{"engine", 3000}.Name();
	news.call = 2;
	load.OnMessage({"peer", 1, false, {news}, {}}, now);
	CHECK(load.Calls() == 1);
}

TEST_CASE("Lives - names tell them apart, and a target that tells no start keeps its id")
{
	CHECK(TargetIncarnation{"i-1", 0}.Name() == "i-1");
	CHECK(TargetIncarnation{"i-1", 1764723600123}.Name() != TargetIncarnation{"i-1", 1764723600124}.Name());
	CHECK(TargetIncarnation{"i-1", 1764723600123}.Name().size() <= std::string("i-1").size() + 7);
	CHECK_FALSE(TargetIncarnation{"i-1", 0}.IsOtherIncarnation(5));
	CHECK_FALSE(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(0));
	CHECK_FALSE(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(5));
	CHECK(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(6));
}
