/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file places_test.cpp Emptied halls get nothing new, cold targets what they bear, and requests stay in their homes. */

#include "decision/dispatcher.h"
#include "decision/placement_table.h"
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr const char *HALLS[] = {"hall-a", "hall-b", "hall-c"};

/** A dispatcher with two engines in each of three halls, and the time. */
struct PlacesWorld {
	PlacesWorld() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *hall : HALLS) {
			for (int i = 0; i < 2; i++) this->Add(hall);
		}
	}

	void Add(const std::string &hall)
	{
		TargetTable &table = this->dispatcher.Targets();
		this->targets.push_back(table.Configure("t" + std::to_string(this->targets.size()), hall, {ModelNumber{0}}));
		LoadReport report;
		report.sequence = 1;
		report.capacity_tokens = 40000;
		table.OnReport(this->targets.back(), report, this->now);
	}

	CallSpec Call(std::vector<HallPreference> halls = {})
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.service_class = ServiceClass::Stream; // One that waits for room.
		call.prompt_tokens = 100;
		call.arrived = this->now;
		call.deadline = this->now + seconds(1);
		call.halls = std::move(halls);
		return call;
	}

	const std::string &HallOf(TargetNumber target) { return this->dispatcher.Targets().Get(target).hall; }

	Dispatcher dispatcher;                ///< Decisions.
	std::vector<TargetNumber> targets;    ///< Engines.
	uint64_t next = 1;                    ///< Number of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Time.
};

TEST_CASE("Places - an emptied hall gets no first send, no second one and no move, and is used again once it is taken back")
{
	PlacesWorld world;
	CallSpec run = world.Call({{"hall-a", 1}, {"hall-b", 1}});
	REQUIRE(world.dispatcher.Submit(run, world.now).sends.size() == 1);
	TargetNumber holder = *world.dispatcher.Holder(run.id);
	CHECK(world.HallOf(holder) == "hall-a");
	world.dispatcher.Targets().SetEvacuatedHalls({"hall-a"});
	world.dispatcher.Targets().MarkDraining(holder);
	std::optional<TargetNumber> to = world.dispatcher.ChooseMigrationTarget(run.id, {}, world.now);
	REQUIRE(to);
	CHECK(world.HallOf(*to) == "hall-b");
	for (int i = 0; i < 20; i++) {
		Decisions decisions = world.dispatcher.Submit(world.Call({{"hall-a", 1}, {"hall-b", 1}}), world.now);
		REQUIRE(decisions.sends.size() == 1);
		CHECK(world.HallOf(decisions.sends[0].target) == "hall-b");
	}
	Decisions again = world.dispatcher.OnSendEnded(run.id, SendOutcome::NotExecuted, world.now);
	REQUIRE(again.sends.size() == 1);
	CHECK(world.HallOf(again.sends[0].target) == "hall-b");
	// A target that joins an emptied hall gets nothing either.
	world.Add("hall-a");
	CHECK(world.HallOf(world.dispatcher.Submit(world.Call({{"hall-a", 1}, {"hall-b", 1}}), world.now).sends.at(0).target) == "hall-b");
	world.dispatcher.Targets().SetEvacuatedHalls({});
	CHECK(world.HallOf(world.dispatcher.Submit(world.Call({{"hall-a", 1}, {"hall-b", 1}}), world.now).sends.at(0).target) == "hall-a");
}

TEST_CASE("Places - calls that wait are refused at the moment when the last hall where they may run is emptied")
{
	PlacesWorld world;
	std::vector<CallSpec> waiting;
	for (TargetNumber target : world.targets) {
		CallSpec filler = world.Call();
		filler.prompt_tokens = 39000;
		world.dispatcher.Targets().OnSent(target, filler, world.now);
	}
	for (int i = 0; i < 3; i++) {
		waiting.push_back(world.Call({{"hall-a", 1}}));
		waiting.back().prompt_tokens = 5000;
		CHECK(world.dispatcher.Submit(waiting.back(), world.now).sends.empty());
	}
	CallSpec elsewhere = world.Call({{"hall-b", 1}});
	elsewhere.prompt_tokens = 5000;
	CHECK(world.dispatcher.Submit(elsewhere, world.now).sends.empty());
	world.dispatcher.Targets().SetEvacuatedHalls({"hall-a"});
	Decisions decisions = world.dispatcher.OnPlacementChanged(world.now);
	CHECK(decisions.rejections.size() == 3);
	for (const RejectAction &action : decisions.rejections) {
		CHECK(action.reason == RejectReason::NoTarget);
		CHECK(action.retry_after > Duration(0));
	}
	CHECK(world.dispatcher.Queue().Size() == 1);
	CHECK(world.dispatcher.Submit(world.Call({{"hall-a", 1}}), world.now).rejections.size() == 1);
}

TEST_CASE("Places - a call whose homes change while it waits goes only where it may run by then")
{
	PlacesWorld world;
	for (TargetNumber target : world.targets) {
		CallSpec filler = world.Call();
		filler.prompt_tokens = 39000;
		world.dispatcher.Targets().OnSent(target, filler, world.now);
	}
	CallSpec call = world.Call({{"hall-a", 1}, {"hall-b", 1}});
	call.prompt_tokens = 5000;
	CHECK(world.dispatcher.Submit(call, world.now).sends.empty());
	world.dispatcher.SetHalls(call.id, {{"hall-c", 1}});
	world.Add("hall-a");
	CHECK(world.dispatcher.OnPlacementChanged(world.now).sends.empty());
	world.Add("hall-c");
	Decisions decisions = world.dispatcher.OnPlacementChanged(world.now);
	REQUIRE(decisions.sends.size() == 1);
	CHECK(world.HallOf(decisions.sends[0].target) == "hall-c");
}

TEST_CASE("Places - whatever homes a route and an account have, the halls are those in the regions of both")
{
	bool good = rc::check("homes", [] {
		std::map<std::string, std::string> regions;
		for (const char *hall : {"a", "b", "c", "d", "e"}) regions[hall] = *rc::gen::element<std::string>("r1", "r2", "r3");
		PlacementTable places("c", regions);
		auto home_regions = rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>("r1", "r2", "r3", "r4"));
		Route route;
		route.home_regions = *home_regions;
		ClientAccount account;
		account.home_regions = *home_regions;
		auto has = [](const std::vector<std::string> &all, const std::string &region) {
			return all.empty() || std::find(all.begin(), all.end(), region) != all.end();
		};
		std::vector<HallPreference> halls = places.HallsFor(route, &account);
		for (const auto &[hall, region] : regions) {
			bool allowed = has(route.home_regions, region) && has(account.home_regions, region);
			auto named = [&, hall = hall](const HallPreference &preference) { return preference.hall == hall; };
			RC_ASSERT(std::any_of(halls.begin(), halls.end(), named) == allowed);
		}
		if (!halls.empty() && has(route.home_regions, regions["c"]) && has(account.home_regions, regions["c"]))
			RC_ASSERT(halls.front().hall == "c");
	});
	CHECK(good);
}

/** Most requests that arrived within a second at a target, of \a arrivals in any order. */
static size_t MostInASecond(std::vector<TimePoint> arrivals)
{
	std::sort(arrivals.begin(), arrivals.end());
	size_t max_requests = 0;
	for (size_t first = 0, last = 0; last < arrivals.size(); last++) {
		while (arrivals[last] - arrivals[first] >= seconds(1)) first++;
		max_requests = std::max(max_requests, last - first + 1);
	}
	return max_requests;
}

TEST_CASE("Cold start - however many instances send all they may, a cold target gets no more in any second than it bears")
{
	bool good = rc::check("rates", [] {
		size_t count = *rc::gen::element<size_t>(1, 6, 62, 300);
		double per_second = *rc::gen::element(0.4, 1.0, 7.0, 25.0, 400.0);
		pcg32 random(*rc::gen::arbitrary<uint32_t>());
		std::vector<std::string> names;
		for (size_t i = 0; i < count; i++) names.push_back("instance-" + std::to_string(i));
		TimePoint begin{seconds(1000)};
		std::vector<TimePoint> arrivals;
		for (const std::string &own : names) {
			ColdStart start;
			start.SetShare(ShareRate("target", {per_second, seconds(1)}, names, own));
			start.ExtendTo(begin + seconds(5));
			// They see the target at moments of their own, try all the time, and a request may wait for its connection.
			for (TimePoint now = begin + milliseconds(random() % 600); now < begin + seconds(5); now += milliseconds(1 + random() % 20)) {
				if (!start.MaySend(now)) continue;
				start.OnSent(now);
				arrivals.push_back(now + milliseconds(random() % 150));
			}
		}
		RC_ASSERT(static_cast<double>(MostInASecond(arrivals)) <= std::max(1.0, per_second));
		// And it is not left idle: half of what it bears at least, or of what they try.
		double tried = static_cast<double>(count) * 90;
		RC_ASSERT(static_cast<double>(arrivals.size()) >= 5 * std::min(per_second, tried) / 2);
	});
	CHECK(good);
}

TEST_CASE("Cold start - an instance that knows no others sends nothing, and a warm target is not held back")
{
	ColdStart start;
	start.SetShare(ShareRate("target", {25, seconds(1)}, {}, "own"));
	TimePoint now{seconds(100)};
	CHECK(start.MaySend(now));
	start.ExtendTo(now + seconds(1));
	CHECK(!start.MaySend(now));
	CHECK(start.MaySend(now + seconds(1)));
}

TEST_CASE("Cold start - instances whose lists differ by some names stay within half as much again")
{
	std::vector<std::string> all;
	for (int i = 0; i < 300; i++) all.push_back("instance-" + std::to_string(i));
	pcg32 random(5);
	uint32_t sum = 0;
	for (const std::string &own : all) {
		std::vector<std::string> known;
		for (const std::string &name : all) {
			if (name == own || random() % 20 != 0) known.push_back(name);
		}
		sum += ShareRate("target", {25, seconds(1)}, known, own).max_requests;
	}
	CHECK(sum <= 37);
}

TEST_CASE("Cold start - moves leave cold engines alone, and a cold engine's share is used up by sends")
{
	PlacesWorld world;
	CallSpec run = world.Call();
	REQUIRE(world.dispatcher.Submit(run, world.now).sends.size() == 1);
	for (TargetNumber target : world.targets) world.dispatcher.Targets().SetCold(target, world.now + seconds(2), {1, seconds(1)});
	CHECK(!world.dispatcher.ChooseMigrationTarget(run.id, {}, world.now));
	size_t sent = 0;
	for (int i = 0; i < 30; i++) sent += world.dispatcher.Submit(world.Call(), world.now).sends.size();
	// One of them has had its request.
	CHECK(sent == world.targets.size() - 1);
	CHECK(world.dispatcher.OnTick(world.now + milliseconds(900)).sends.empty());
}
