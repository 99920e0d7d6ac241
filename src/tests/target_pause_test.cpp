/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_pause_test.cpp A target that asks an instance for a pause gets nothing from it until its end, and is no failed one. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** A dispatcher with two services, and the time. */
struct PauseWorld {
	PauseWorld() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *name : {"a", "b"}) {
			this->targets.push_back(this->dispatcher.Targets().Configure(name, "hall", {ModelNumber{0}}, false));
			this->dispatcher.Targets().SetServiceCapacity(this->targets.back(), 64);
		}
	}

	/** \a target turns a request away and asks for \a pause. */
	void Pause(TargetNumber target, Duration pause)
	{
		TargetSignals signals;
		signals.pause = pause;
		this->dispatcher.Targets().OnSignals(target, signals, this->now, this->now);
	}

	/** A call comes. @return What is decided. */
	Decisions Ask()
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.generated = false;
		call.arrived = this->now;
		call.deadline = this->now + milliseconds(300);
		call.overcommit_from = this->now;
		return this->dispatcher.Submit(call, this->now);
	}

	/** @return Whether some of many calls that come now go to \a target. */
	bool IsUsed(TargetNumber target)
	{
		bool used = false;
		for (int i = 0; i < 20; i++) {
			Decisions decisions = this->Ask();
			if (decisions.sends.empty()) continue;
			used = used || decisions.sends[0].target == target;
		}
		return used;
	}

	Dispatcher dispatcher;                ///< Decisions.
	std::vector<TargetNumber> targets;    ///< Services.
	uint64_t next = 1;                    ///< Number of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Time.
};

} // namespace

TEST_CASE("Pause - until its end nothing goes there, a shorter one takes nothing from a longer one, and then it is used again")
{
	PauseWorld world;
	CHECK(world.IsUsed(world.targets[0]));
	world.Pause(world.targets[0], seconds(3));
	CHECK(!world.IsUsed(world.targets[0]));
	CHECK(world.IsUsed(world.targets[1]));
	world.now += seconds(1);
	world.Pause(world.targets[0], milliseconds(500));
	world.now += milliseconds(1900);
	CHECK(!world.IsUsed(world.targets[0]));
	world.now += milliseconds(101);
	CHECK(world.IsUsed(world.targets[0]));
}

TEST_CASE("Pause - a target that turns requests away with a pause is not ejected, and its own second try goes elsewhere")
{
	PauseWorld world;
	for (int round = 0; round < 6; round++) {
		Decisions decisions = world.Ask();
		REQUIRE(decisions.sends.size() == 1);
		TargetNumber first = decisions.sends[0].target;
		world.Pause(first, milliseconds(100));
		Decisions again = world.dispatcher.OnSendEnded(decisions.sends[0].call, SendOutcome::Rejected, world.now);
		REQUIRE(again.sends.size() == 1);
		CHECK(again.sends[0].target != first);
		world.dispatcher.OnSendEnded(again.sends[0].call, SendOutcome::Complete, world.now);
		world.now += milliseconds(200);
	}
	for (TargetNumber target : world.targets) {
		CHECK(world.dispatcher.Targets().Get(target).ejections == 0);
		CHECK(world.dispatcher.Targets().Get(target).failures == 0);
	}
}
