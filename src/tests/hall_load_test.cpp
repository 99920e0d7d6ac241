/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load_test.cpp What data halls tell each other of their engines' load, and what placing makes of it. */

#include "decision/dispatcher.h"
#include "decision/hall_load.h"
#include "peer/peer_message.h"
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t MEMORY = 20000; ///< Memory of each engine, in tokens.
static const char *const HALLS[] = {"hall-a", "hall-b", "hall-c"};
static const char *const ENGINES[] = {"a1", "a2", "b1", "b2", "c1", "c2"};

/** One instance: its decisions, and what it hears of other halls. */
struct HallInstance {
	HallInstance(std::string own_hall, TimePoint now)
	    : hall(std::move(own_hall)), dispatcher(Limits(), MakeRouter("headroom", 1)), load(this->dispatcher.Targets(), this->hall)
	{
		for (const char *name : ENGINES) {
			const char *stands_in = HALLS[name[0] - 'a'];
			TargetNumber number = this->dispatcher.Targets().Configure(name, stands_in, {ModelNumber{0}});
			this->dispatcher.Targets().SetServiceCapacity(number, MEMORY);
			if (stands_in == this->hall) this->Report(number, 0, now);
		}
	}

	static DispatchLimits Limits()
	{
		DispatchLimits limits;
		limits.targets.use_growth_feedback = false;
		limits.targets.growth_start = 0.4;
		return limits;
	}

	void Report(TargetNumber number, uint64_t used, TimePoint now)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.capacity_tokens = MEMORY;
		report.used_tokens = used;
		report.running = used > 0 ? 1 : 0;
		this->dispatcher.OnReport(number, report, now);
	}

	/** Hear what another hall tells, as an instance does. */
	void Hear(const HallLoadMessage &message, TimePoint now)
	{
		for (const ReportUpdate &news : this->load.OnMessage(message, now)) {
			LoadReport report = news.report;
			report.sequence = ++this->reports;
			this->dispatcher.OnReport(*this->dispatcher.Targets().Find(news.target), report, now);
		}
	}

	/** Submit a call that may run anywhere. @return Name of the engine that gets it; empty if it waits. */
	std::string Place(uint64_t id, uint32_t prompt, TimePoint now)
	{
		CallSpec call;
		call.id = CallId{id};
		call.service_class = ServiceClass::Stream;
		call.prompt_tokens = prompt;
		call.max_tokens = 100;
		call.arrived = now;
		call.deadline = now + seconds(1);
		call.other_hall_penalty = 1.2;
		call.halls.push_back({this->hall, 1});
		for (const char *other : HALLS) {
			if (other != this->hall) call.halls.push_back({other, 1});
		}
		Decisions decisions = this->dispatcher.Submit(call, now);
		return decisions.sends.empty() ? std::string() : this->dispatcher.Targets().Get(decisions.sends[0].target).name;
	}

	std::string hall;      ///< Hall.
	Dispatcher dispatcher; ///< Decisions.
	HallLoad load;         ///< What halls tell.
	uint64_t reports = 0;  ///< Reports taken in.
};

TEST_CASE("Hall load - a call that finds no room at home goes to an engine that has room, as its hall tells, or waits")
{
	TimePoint now{seconds(100)};
	HallInstance home("hall-a", now);
	HallInstance other("hall-b", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(home.Place(id, 18000, now).front() == 'a');
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(other.Place(id, id == 1 ? 18000 : 5000, now).front() == 'b');
	std::string free_engine = other.dispatcher.Targets().Get(*other.dispatcher.Holder(CallId{2})).name;
	HallInstance third("hall-c", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(third.Place(id, 18000, now).front() == 'c');
	home.Hear(other.load.BuildMessage(now), now);
	home.Hear(third.load.BuildMessage(now), now);
	CHECK(home.Place(3, 6000, now) == free_engine);
	CHECK(home.Place(4, 6000, now) == free_engine);
	CHECK(home.Place(5, 6000, now).empty());
}

TEST_CASE("Hall load - calls of another hall count at home before any report tells them, and are forgotten when it falls silent")
{
	TimePoint now{seconds(100)};
	HallInstance home("hall-a", now);
	HallInstance other("hall-b", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(other.Place(id, 18000, now).front() == 'b');
	std::string at = other.Place(3, 9000, now);
	REQUIRE(!at.empty());
	REQUIRE(at.front() != 'b');
	HallInstance target_hall(at.front() == 'a' ? "hall-a" : "hall-c", now);
	target_hall.Hear(other.load.BuildMessage(now), now);
	TargetTable &targets = target_hall.dispatcher.Targets();
	const TargetState &engine = targets.Get(*targets.Find(at));
	CHECK(targets.TotalLoadAt(engine, now).tokens == doctest::Approx(9000));
	// Once the report tells it, it is not counted twice.
	target_hall.Report(*targets.Find(at), 9000, now);
	CHECK(targets.TotalLoadAt(engine, now).tokens == doctest::Approx(9000));
	target_hall.Report(*targets.Find(at), 0, now);
	CHECK(targets.TotalLoadAt(engine, now + seconds(2)).tokens == doctest::Approx(0));
	CHECK(targets.TotalLoadAt(engine, now).calls == 1);
}

TEST_CASE("Hall load - messages keep their content, and any bytes end with a message or an error")
{
	HallLoadMessage message{"hall-a", true, {{"a1", 12000, 4, 150}, {"a2", 0, 0, 0}}, {{"b1", 300, 1, 0}}};
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(message));
	REQUIRE(read);
	const auto &back = std::get<HallLoadMessage>(read.value());
	CHECK(back.hall == "hall-a");
	CHECK(back.forwarded);
	REQUIRE(back.local_targets.size() == 2);
	CHECK(back.local_targets[0].target == "a1");
	CHECK(back.local_targets[0].held_tokens == 12000);
	CHECK(back.local_targets[0].calls == 4);
	CHECK(back.local_targets[0].wait_ms == 150);
	CHECK(back.remote_targets.at(0).target == "b1");
}

TEST_CASE("Hall load - once all is quiet every hall knows what every engine holds, whatever messages were lost or came twice")
{
	bool good = rc::check("true sums", [](uint32_t seed) {
		pcg32 random(seed);
		TimePoint now{seconds(100)};
		std::vector<std::unique_ptr<HallInstance>> instances;
		for (const char *hall : HALLS) instances.push_back(std::make_unique<HallInstance>(hall, now));
		uint64_t next = 1;
		std::vector<std::pair<size_t, CallId>> running;
		auto tell = [&](double kept) {
			for (auto &from : instances) {
				HallLoadMessage message = from->load.BuildMessage(now);
				for (auto &to : instances) {
					for (int times = random() % 5 == 0 ? 2 : 1; times > 0; times--) {
						if (random() % 100 < kept * 100) to->Hear(message, now);
					}
				}
			}
		};
		for (int step = 0; step < 60; step++) {
			now += milliseconds(20 + random() % 60);
			size_t who = random() % instances.size();
			if (random() % 3 != 0) {
				uint64_t id = next++;
				if (!instances[who]->Place(id, 200 + random() % 3000, now).empty()) running.emplace_back(who, CallId{id});
			} else if (!running.empty()) {
				auto [holder, id] = running[random() % running.size()];
				instances[holder]->dispatcher.OnSendEnded(id, SendOutcome::Complete, now);
				std::erase_if(running, [&, gone = id, at = holder](const auto &each) { return each.first == at && each.second == gone; });
			}
			tell(0.6);
		}
		now += seconds(3);
		for (int round = 0; round < 3; round++) {
			tell(1);
			now += milliseconds(600);
		}
		tell(1);
		for (const char *name : ENGINES) {
			double held = 0;
			for (auto &instance : instances) {
				const TargetTable &targets = instance->dispatcher.Targets();
				held += targets.Get(*targets.Find(name)).known_tokens;
			}
			for (auto &instance : instances) {
				const TargetTable &targets = instance->dispatcher.Targets();
				RC_ASSERT(targets.TotalLoadAt(targets.Get(*targets.Find(name)), now).tokens == held);
			}
		}
	});
	CHECK(good);
}

TEST_CASE("Targets - a run that comes with its memory takes its room at once, and holds up no prompts")
{
	TimePoint now{seconds(100)};
	HallInstance instance("hall-a", now);
	TargetTable &targets = instance.dispatcher.Targets();
	TargetNumber engine = *targets.Find("a1");
	CallSpec copy;
	copy.id = CallId{77};
	copy.prompt_tokens = 3000;
	copy.max_tokens = 1000;
	targets.OnPeerCallSent(engine, copy, now, 400);
	CHECK(targets.TotalLoadAt(targets.Get(engine), now).tokens == doctest::Approx(3400));
	CHECK(targets.PrefillWait(targets.Get(engine), now) == Duration(0));
	targets.OnPeerCallEnded(engine, copy.id, now);
	CHECK(targets.TotalLoadAt(targets.Get(engine), now).tokens == doctest::Approx(0));
}
