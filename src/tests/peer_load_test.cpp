/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_load_test.cpp Calls of peers are counted once and removed with their peer; order of backups and table readers. */

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

struct PeerLoadHarness {
	PeerLoadHarness()
	{
		for (int i = 0; i < 3; i++) {
			TargetNumber number =
			        this->targets.Configure("t" + std::to_string(i), i == 0 ? "hall-a" : "hall-b", {this->pools.Intern("pool")});
			this->targets.SetServiceCapacity(number, 30000);
		}
	}

	LoadMessage MakeMessage(uint64_t incarnation, std::vector<CallUpdate> calls, bool full = false)
	{
		LoadMessage message;
		message.instance = "peer";
		message.incarnation = incarnation;
		message.calls = std::move(calls);
		message.full = full;
		return message;
	}

	static CallUpdate MakeUpdate(uint64_t call, const std::string &target, uint32_t generated = 0)
	{
		return {CallUpdate::Kind::Active, call, target, 1000, generated, 500, "pool", ServiceClass::Stream};
	}

	double KnownTokens() const
	{
		double sum = 0;
		for (uint32_t i = 0; i < this->targets.Size(); i++) sum += this->targets.Get(TargetNumber{i}).known_tokens;
		return sum;
	}

	LengthEstimate lengths{LengthEstimateLimits{}};        ///< Length estimates.
	TargetTable targets{AdmissionLimits{}, this->lengths}; ///< Table of targets.
	NameTable<ModelNumber> pools;                          ///< Numbers of pools.
	TimePoint now{std::chrono::seconds(50)};               ///< Simulated time.
};

} // namespace

TEST_CASE("Peer load - each call of a peer counts once, on its last target, until it ends or its peer times out")
{
	bool good = rc::check("once", [](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
		PeerLoadHarness harness;
		PeerLoad load(harness.targets, harness.pools, milliseconds(1800));
		std::map<uint64_t, std::pair<std::string, uint32_t>> truth;
		for (const auto &[what, which] : steps) {
			harness.now += milliseconds(10);
			uint64_t call = which % 5;
			std::string target = "t" + std::to_string(what % 3);
			if (what % 4 == 0) {
				truth.erase(call);
				load.OnMessage(harness.MakeMessage(1, {{CallUpdate::Kind::Ended, call}}), harness.now);
			} else if (what % 4 == 1) {
				std::vector<CallUpdate> all;
				for (const auto &[id, entry] : truth) all.push_back(PeerLoadHarness::MakeUpdate(id, entry.first, entry.second));
				load.OnMessage(harness.MakeMessage(1, all, true), harness.now);
			} else {
				bool moved = truth.contains(call) && truth[call].first != target;
				uint32_t generated = truth.contains(call) && !moved ? truth[call].second + 4 : what % 7;
				truth[call] = {target, generated};
				load.OnMessage(harness.MakeMessage(1, {PeerLoadHarness::MakeUpdate(call, target, generated)}), harness.now);
			}
			double expected = 0;
			for (const auto &[id, entry] : truth) expected += 1000 + entry.second;
			RC_ASSERT(load.Calls() == truth.size());
			RC_ASSERT(std::abs(harness.KnownTokens() - expected) < 1e-6);
		}
		load.OnTick(harness.now + milliseconds(2000));
		RC_ASSERT(load.Calls() == 0U);
		RC_ASSERT(std::abs(harness.KnownTokens()) < 1e-6);
	});
	CHECK(good);
}

TEST_CASE("Peer load - a restarted peer has none of its earlier calls, and its outdated updates are ignored")
{
	PeerLoadHarness harness;
	PeerLoad load(harness.targets, harness.pools, milliseconds(1800));
	load.OnMessage(harness.MakeMessage(5, {PeerLoadHarness::MakeUpdate(1, "t0")}), harness.now);
	load.OnMessage(harness.MakeMessage(6, {PeerLoadHarness::MakeUpdate(2, "t1")}), harness.now);
	CHECK(load.Calls() == 1);
	load.OnMessage(harness.MakeMessage(5, {PeerLoadHarness::MakeUpdate(3, "t2")}), harness.now);
	CHECK(load.Calls() == 1);
	CHECK(harness.KnownTokens() == doctest::Approx(1000));
}

TEST_CASE("Peer load - a prompt sent by a peer delays the next one")
{
	PeerLoadHarness harness;
	PeerLoad load(harness.targets, harness.pools, milliseconds(1800));
	CallSpec call;
	call.model = harness.pools.Intern("pool");
	call.prompt_tokens = 100;
	Duration before = harness.targets.FirstTokenWait(harness.targets.Get(TargetNumber{0}), call, harness.now);
	load.OnMessage(harness.MakeMessage(1, {PeerLoadHarness::MakeUpdate(1, "t0")}), harness.now);
	CHECK(harness.targets.FirstTokenWait(harness.targets.Get(TargetNumber{0}), call, harness.now) > before);
	load.OnMessage(harness.MakeMessage(1, {PeerLoadHarness::MakeUpdate(1, "t0", 4)}), harness.now);
	CHECK(harness.targets.FirstTokenWait(harness.targets.Get(TargetNumber{0}), call, harness.now) == before);
}

TEST_CASE("Peer load - messages survive encoding")
{
	LoadMessage message;
	message.instance = "a";
	message.incarnation = 7;
	message.full = true;
	message.calls.push_back(PeerLoadHarness::MakeUpdate(9, "t1", 12));
	LoadReport report;
	report.capacity_tokens = 100;
	report.used_tokens = 40;
	report.draining = true;
	message.reports.push_back({"t2", report});
	report.shutdown_in = std::chrono::milliseconds(1700);
	message.reports.push_back({"t3", report});
	report.shutdown_in = std::chrono::milliseconds(-5);
	message.reports.push_back({"t4", report});
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(message));
	REQUIRE(read);
	const LoadMessage &got = std::get<LoadMessage>(read.value());
	CHECK(got.calls[0].generated == 12);
	CHECK(got.calls[0].target == "t1");
	CHECK(got.reports[0].report.used_tokens == 40);
	CHECK(got.reports[0].report.draining);
	CHECK_FALSE(got.reports[0].report.shutdown_in);
	CHECK(got.reports[1].report.shutdown_in == std::chrono::milliseconds(1700));
	CHECK_MESSAGE(got.reports[2].report.shutdown_in == Duration(0), "a time that has passed must not make the message unreadable");
	CHECK(got.full);
}

TEST_CASE("Backup - a backup goes to another engine with free memory, preferably in another hall")
{
	PeerLoadHarness harness;
	CallSpec call;
	call.model = harness.pools.Intern("pool");
	call.prompt_tokens = 3000;
	call.max_tokens = 800;
	std::optional<TargetNumber> at = ChooseBackup(call, TargetNumber{1}, harness.targets, {.use = true}, harness.now);
	REQUIRE(at);
	CHECK(at->value == 0);
	CHECK(ChooseBackup(call, TargetNumber{0}, harness.targets, {.use = true}, harness.now) != TargetNumber{0});
	for (uint32_t i = 0; i < 3; i++) harness.targets.OnBackup(TargetNumber{i}, 20000);
	CHECK(!ChooseBackup(call, TargetNumber{1}, harness.targets, {.use = true}, harness.now));
	CHECK(!ChooseBackup(call, TargetNumber{1}, harness.targets, {.use = false}, harness.now));
}

TEST_CASE("Readers - instances with the fastest links come first, and all agree on the order")
{
	std::vector<Reader> readers{{"a", 10}, {"b", 200}, {"c", 10}, {"d", 200}, {"e", 0}};
	std::vector<std::string> order = ReaderOrder("table", readers);
	REQUIRE(order.size() == 5);
	CHECK(std::set<std::string>{order[0], order[1]} == std::set<std::string>{"b", "d"});
	CHECK(order[4] == "e");
	std::reverse(readers.begin(), readers.end());
	CHECK(ReaderOrder("table", readers) == order);
	// Without the first reader the others keep their order.
	std::erase_if(readers, [&](const Reader &reader) { return reader.name == order[0]; });
	CHECK(ReaderOrder("table", readers) == std::vector<std::string>(order.begin() + 1, order.end()));
}

TEST_CASE("Peer load - updates for one incarnation of a target do not affect the next one")
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
	CallUpdate update;
	update.call = 1;
	update.target = former.Name();
	update.prompt_tokens = 500;
	update.pool = "pool";
	load.OnMessage({"peer", 1, false, {update}, {}}, now);
	CHECK(targets.Get(old_number).in_flight.size() == 1);
	CHECK(targets.Get(new_number).in_flight.empty());
	// Updates for an unknown incarnation are ignored.
	update.target = TargetIncarnation{"engine", 3000}.Name();
	update.call = 2;
	load.OnMessage({"peer", 1, false, {update}, {}}, now);
	CHECK(load.Calls() == 1);
}

TEST_CASE("Incarnations - names are distinct, and a target without a start time keeps its id")
{
	CHECK(TargetIncarnation{"i-1", 0}.Name() == "i-1");
	CHECK(TargetIncarnation{"i-1", 1764723600123}.Name() != TargetIncarnation{"i-1", 1764723600124}.Name());
	CHECK(TargetIncarnation{"i-1", 1764723600123}.Name().size() <= std::string("i-1").size() + 7);
	CHECK_FALSE(TargetIncarnation{"i-1", 0}.IsOtherIncarnation(5));
	CHECK_FALSE(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(0));
	CHECK_FALSE(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(5));
	CHECK(TargetIncarnation{"i-1", 5}.IsOtherIncarnation(6));
}
