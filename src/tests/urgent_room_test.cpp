/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file urgent_room_test.cpp Guards against short generations of an urgent route that start too late behind long ones of another route. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <map>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int LONG_PRIORITY = 2;       ///< Priority of the route of the long generations.
constexpr int SHORT_PRIORITY = 0;      ///< Priority of the route of the short generations, which is more urgent.
constexpr uint32_t LONG_PROMPT = 3000; ///< Prompt of a long generation, in tokens.
constexpr uint32_t SHORT_PROMPT = 2200;

/** Results of a simulated burst. */
struct RoomOutcome {
	int long_sent = 0;      ///< Long generations that were sent.
	int short_sent = 0;     ///< Short generations that were sent.
	int short_rejected = 0; ///< Short generations that were rejected.
};

/**
 * Simulation of eight engines of 27,000 tokens. Long generations last 8 s and arrive at 2.3 times the rate that fills the memory; short
 * ones last 0.6 s and need a tenth of the memory. A call that waits for more than 330 ms is rejected.
 */
class RoomSimulation {
public:
	explicit RoomSimulation(bool leave_room) : dispatcher(Limits(leave_room), MakeRouter("headroom", 0, Rules()))
	{
		for (int i = 0; i < ENGINES; i++) {
			TargetNumber engine = this->dispatcher.Targets().Configure("engine" + std::to_string(i), "hall", {ModelNumber{0}});
			LoadReport report;
			report.sequence = 1;
			report.capacity_tokens = 27000;
			this->Apply(this->dispatcher.OnReport(engine, report, this->now));
		}
	}

	/** Simulate a burst of \a length. @param urgent_priority Priority of the short generations' route. */
	RoomOutcome Simulate(Duration length, int urgent_priority = SHORT_PRIORITY)
	{
		for (TimePoint end = this->now + length; this->now < end; this->now += STEP) {
			this->long_due += LONG_RATE * Seconds(STEP);
			this->short_due += SHORT_RATE * Seconds(STEP);
			for (; this->long_due >= 1; this->long_due--) this->Arrive(LONG_PROMPT, LONG_PRIORITY, seconds(8));
			for (; this->short_due >= 1; this->short_due--) this->Arrive(SHORT_PROMPT, urgent_priority, milliseconds(600));
			this->EndRuns();
			this->Apply(this->dispatcher.OnTick(this->now));
		}
		return this->outcome;
	}

private:
	static constexpr int ENGINES = 8;
	static constexpr double LONG_RATE = 2.3 * ENGINES * 27000 / 3100 / 8; ///< Long generations a second; 2.3 times the capacity.
	static constexpr double SHORT_RATE = 10;                              ///< Short generations a second; a twelfth of the memory.
	static constexpr Duration STEP = milliseconds(25);                    ///< Simulation step.

	static DispatchLimits Limits(bool leave_room)
	{
		DispatchLimits limits;
		limits.leave_urgent_room = leave_room;
		limits.refuse_early = false;
		limits.targets.use_growth_feedback = false;
		return limits;
	}

	static HeadroomRules Rules()
	{
		HeadroomRules rules;
		rules.use_overcommit = false;
		return rules;
	}

	void Arrive(uint32_t prompt, int priority, Duration run_time)
	{
		CallSpec spec;
		spec.id = CallId{this->next_call++};
		spec.service_class = ServiceClass::Stream;
		spec.route_priority = priority;
		spec.prompt_tokens = prompt;
		spec.max_tokens = prompt == LONG_PROMPT ? 1000 : 20;
		spec.arrived = this->now;
		spec.deadline = this->now + milliseconds(330);
		this->run_times[spec.id.value] = {prompt, run_time};
		this->Apply(this->dispatcher.Submit(spec, this->now));
	}

	void EndRuns()
	{
		while (!this->ends.empty() && this->ends.begin()->first <= this->now) {
			CallId call = this->ends.begin()->second;
			this->ends.erase(this->ends.begin());
			this->Apply(this->dispatcher.OnSendEnded(call, SendOutcome::Complete, this->now));
		}
	}

	void Apply(const Decisions &decisions)
	{
		for (const SendAction &send : decisions.sends) {
			auto [prompt, run_time] = this->run_times.at(send.call.value);
			(prompt == LONG_PROMPT ? this->outcome.long_sent : this->outcome.short_sent)++;
			this->ends.emplace(this->now + run_time, send.call);
		}
		for (const RejectAction &reject : decisions.rejections) {
			if (this->run_times.at(reject.call.value).first == SHORT_PROMPT) this->outcome.short_rejected++;
		}
	}

	TimePoint now{seconds(1)};
	Dispatcher dispatcher;
	RoomOutcome outcome;
	double long_due = 0;                                         ///< Long generations that are due to arrive.
	double short_due = 0;                                        ///< Short generations that are due to arrive.
	uint64_t next_call = 1;                                      ///< Next call id.
	std::map<uint64_t, std::pair<uint32_t, Duration>> run_times; ///< Prompt and run time by call.
	std::multimap<TimePoint, CallId> ends;                       ///< Ends of the runs.
};

} // namespace

// Without room for them, short calls wait for long generations to end and are rejected.
TEST_CASE("Urgent room - in a burst of long generations, short ones of a more urgent route are sent in time")
{
	RoomOutcome without = RoomSimulation(false).Simulate(seconds(30));
	RoomOutcome with = RoomSimulation(true).Simulate(seconds(30));
	CHECK(without.short_rejected > without.short_sent / 10);
	CHECK(with.short_rejected <= with.short_sent / 50);
	// Long calls lose at most one of the eight that an engine holds, and the memory of the short ones that are sent: a twelfth.
	CHECK(with.long_sent >= without.long_sent * 79 / 100);
}

// Deployments whose routes have one priority, or whose larger calls are the more urgent ones, keep their decisions.
TEST_CASE("Urgent room - no room is left free for a route that is not more urgent or not briefer")
{
	RoomOutcome without = RoomSimulation(false).Simulate(seconds(10), LONG_PRIORITY);
	RoomOutcome with = RoomSimulation(true).Simulate(seconds(10), LONG_PRIORITY);
	CHECK(with.long_sent == without.long_sent);
	CHECK(with.short_sent == without.short_sent);

	UrgentRoom room;
	ModelNumber pool{3};
	room.OnCall(pool, 0, 3000, 1000);
	room.OnCall(pool, 1, 2000, 20);
	CHECK(room.RoomFor(pool, 1) == 0);
	CHECK(room.RoomFor(pool, 0) == 0);
}

// The room depends on what the pool's own routes need, not on other pools.
TEST_CASE("Urgent room - a less urgent call leaves the room of the largest briefer call that is more urgent")
{
	UrgentRoom room;
	ModelNumber pool{3};
	room.OnCall(pool, 0, 500, 5);
	room.OnCall(pool, 1, 2000, 20);
	room.OnCall(pool, 2, 3000, 1000);
	room.OnCall(ModelNumber{4}, 0, 2500, 5);
	CHECK(room.RoomFor(pool, 2) == doctest::Approx(2000));
	CHECK(room.RoomFor(pool, 1) == doctest::Approx(500));
	CHECK(room.RoomFor(pool, 0) == 0);
	// A pool without calls so far has nothing to leave room for.
	CHECK(room.RoomFor(ModelNumber{5}, 2) == 0);
}

// One of many instances sees only a few calls, whose prompts differ widely; a single long prompt of a brief call must not hide its route.
TEST_CASE("Urgent room - the first calls count alike, and single prompts don't decide which route is briefer")
{
	UrgentRoom room;
	ModelNumber pool{3};
	room.OnCall(pool, 0, 6000, 20);
	room.OnCall(pool, 2, 1500, 1000);
	CHECK(room.RoomFor(pool, 2) == doctest::Approx(6000));
	room.OnCall(pool, 0, 2000, 20);
	CHECK(room.RoomFor(pool, 2) == doctest::Approx(4000));
}
