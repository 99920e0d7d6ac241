/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file placement_test.cpp Evacuated halls get no new requests, requests stay in their home regions, and cold targets keep their limit. */

#include "decision/dispatcher.h"
#include "decision/placement_table.h"
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr const char *HALLS[] = {"hall-a", "hall-b", "hall-c"};

/** A dispatcher with two engines in each of three halls. */
struct PlacementHarness {
	PlacementHarness() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *hall : HALLS) {
			for (int i = 0; i < 2; i++) this->AddEngine(hall);
		}
	}

	void AddEngine(const std::string &hall)
	{
		TargetTable &table = this->dispatcher.Targets();
		this->targets.push_back(table.Configure("t" + std::to_string(this->targets.size()), hall, {ModelNumber{0}}));
		LoadReport report;
		report.sequence = 1;
		report.capacity_tokens = 40000;
		table.OnReport(this->targets.back(), report, this->now);
	}

	CallSpec MakeCall(std::vector<HallPreference> halls = {})
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.service_class = ServiceClass::Stream; // Class of calls that wait if there is no capacity.
		call.prompt_tokens = 100;
		call.arrived = this->now;
		call.deadline = this->now + seconds(1);
		call.halls = std::move(halls);
		return call;
	}

	const std::string &HallOf(TargetNumber target) { return this->dispatcher.Targets().Get(target).hall; }

	Dispatcher dispatcher;                ///< Dispatcher under test.
	std::vector<TargetNumber> targets;    ///< All engines.
	uint64_t next = 1;                    ///< Id of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Simulated time.
};

TEST_CASE("Placement - an evacuated hall gets no send, retry or migration, and is used again once it is reinstated")
{
	PlacementHarness harness;
	CallSpec run = harness.MakeCall({{"hall-a", 1}, {"hall-b", 1}});
	REQUIRE(harness.dispatcher.Submit(run, harness.now).sends.size() == 1);
	TargetNumber holder = *harness.dispatcher.Holder(run.id);
	CHECK(harness.HallOf(holder) == "hall-a");
	harness.dispatcher.Targets().SetEvacuatedHalls({"hall-a"});
	harness.dispatcher.Targets().MarkDraining(holder);
	std::optional<TargetNumber> to = harness.dispatcher.ChooseMigrationTarget(run.id, {}, harness.now);
	REQUIRE(to);
	CHECK(harness.HallOf(*to) == "hall-b");
	for (int i = 0; i < 20; i++) {
		Decisions decisions = harness.dispatcher.Submit(harness.MakeCall({{"hall-a", 1}, {"hall-b", 1}}), harness.now);
		REQUIRE(decisions.sends.size() == 1);
		CHECK(harness.HallOf(decisions.sends[0].target) == "hall-b");
	}
	Decisions again = harness.dispatcher.OnSendEnded(run.id, SendOutcome::NotExecuted, harness.now);
	REQUIRE(again.sends.size() == 1);
	CHECK(harness.HallOf(again.sends[0].target) == "hall-b");
	// A target added to an evacuated hall gets no requests either.
	harness.AddEngine("hall-a");
	CHECK(harness.HallOf(harness.dispatcher.Submit(harness.MakeCall({{"hall-a", 1}, {"hall-b", 1}}), harness.now).sends.at(0).target) ==
	      "hall-b");
	harness.dispatcher.Targets().SetEvacuatedHalls({});
	CHECK(harness.HallOf(harness.dispatcher.Submit(harness.MakeCall({{"hall-a", 1}, {"hall-b", 1}}), harness.now).sends.at(0).target) ==
	      "hall-a");
}

TEST_CASE("Placement - waiting calls are rejected as soon as the last hall in which they may run is evacuated")
{
	PlacementHarness harness;
	std::vector<CallSpec> waiting;
	for (TargetNumber target : harness.targets) {
		CallSpec filler = harness.MakeCall();
		filler.prompt_tokens = 39000;
		harness.dispatcher.Targets().OnSent(target, filler, harness.now);
	}
	for (int i = 0; i < 3; i++) {
		waiting.push_back(harness.MakeCall({{"hall-a", 1}}));
		waiting.back().prompt_tokens = 5000;
		CHECK(harness.dispatcher.Submit(waiting.back(), harness.now).sends.empty());
	}
	CallSpec elsewhere = harness.MakeCall({{"hall-b", 1}});
	elsewhere.prompt_tokens = 5000;
	CHECK(harness.dispatcher.Submit(elsewhere, harness.now).sends.empty());
	harness.dispatcher.Targets().SetEvacuatedHalls({"hall-a"});
	Decisions decisions = harness.dispatcher.OnPlacementChanged(harness.now);
	CHECK(decisions.rejections.size() == 3);
	for (const RejectAction &action : decisions.rejections) {
		CHECK(action.reason == RejectReason::NoTarget);
		CHECK(action.retry_after > Duration(0));
	}
	CHECK(harness.dispatcher.Queue().Size() == 1);
	CHECK(harness.dispatcher.Submit(harness.MakeCall({{"hall-a", 1}}), harness.now).rejections.size() == 1);
}

TEST_CASE("Placement - a waiting call whose home regions change runs only where it is then allowed")
{
	PlacementHarness harness;
	for (TargetNumber target : harness.targets) {
		CallSpec filler = harness.MakeCall();
		filler.prompt_tokens = 39000;
		harness.dispatcher.Targets().OnSent(target, filler, harness.now);
	}
	CallSpec call = harness.MakeCall({{"hall-a", 1}, {"hall-b", 1}});
	call.prompt_tokens = 5000;
	CHECK(harness.dispatcher.Submit(call, harness.now).sends.empty());
	harness.dispatcher.SetHalls(call.id, {{"hall-c", 1}});
	harness.AddEngine("hall-a");
	CHECK(harness.dispatcher.OnPlacementChanged(harness.now).sends.empty());
	harness.AddEngine("hall-c");
	Decisions decisions = harness.dispatcher.OnPlacementChanged(harness.now);
	REQUIRE(decisions.sends.size() == 1);
	CHECK(harness.HallOf(decisions.sends[0].target) == "hall-c");
}

TEST_CASE("Placement - the allowed halls are those in the home regions of both route and account")
{
	bool good = rc::check("home regions", [] {
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

/** @return Maximum number of \a arrivals within a second. */
static size_t MaxPerSecond(std::vector<TimePoint> arrivals)
{
	std::sort(arrivals.begin(), arrivals.end());
	size_t max_requests = 0;
	for (size_t first = 0, last = 0; last < arrivals.size(); last++) {
		while (arrivals[last] - arrivals[first] >= seconds(1)) first++;
		max_requests = std::max(max_requests, last - first + 1);
	}
	return max_requests;
}

TEST_CASE("Cold start - however many instances send, a cold target gets no more requests in any second than its limit")
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
			// Instances discover the target at different times and send as often as allowed; a request may wait for its connection.
			for (TimePoint now = begin + milliseconds(random() % 600); now < begin + seconds(5); now += milliseconds(1 + random() % 20)) {
				if (!start.MaySend(now)) continue;
				start.OnSent(now);
				arrivals.push_back(now + milliseconds(random() % 150));
			}
		}
		RC_ASSERT(static_cast<double>(MaxPerSecond(arrivals)) <= std::max(1.0, per_second));
		// At least half of the limit, or of the attempts, has to be used.
		double tried = static_cast<double>(count) * 90;
		RC_ASSERT(static_cast<double>(arrivals.size()) >= 5 * std::min(per_second, tried) / 2);
	});
	CHECK(good);
}

TEST_CASE("Cold start - an instance without known peers sends nothing, and a warm target is not limited")
{
	ColdStart start;
	start.SetShare(ShareRate("target", {25, seconds(1)}, {}, "own"));
	TimePoint now{seconds(100)};
	CHECK(start.MaySend(now));
	start.ExtendTo(now + seconds(1));
	CHECK(!start.MaySend(now));
	CHECK(start.MaySend(now + seconds(1)));
}

TEST_CASE("Cold start - instances with slightly different lists exceed the limit by at most half")
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

TEST_CASE("Cold start - cold engines get no migrations, and sends use up their share")
{
	PlacementHarness harness;
	CallSpec run = harness.MakeCall();
	REQUIRE(harness.dispatcher.Submit(run, harness.now).sends.size() == 1);
	for (TargetNumber target : harness.targets) harness.dispatcher.Targets().SetCold(target, harness.now + seconds(2), {1, seconds(1)});
	CHECK(!harness.dispatcher.ChooseMigrationTarget(run.id, {}, harness.now));
	size_t sent = 0;
	for (int i = 0; i < 30; i++) sent += harness.dispatcher.Submit(harness.MakeCall(), harness.now).sends.size();
	// One of the engines has already received its request.
	CHECK(sent == harness.targets.size() - 1);
	CHECK(harness.dispatcher.OnTick(harness.now + milliseconds(900)).sends.empty());
}
