/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_pause_test.cpp Guards against requests to a target during a pause it asked for, and against its ejection for the pause. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** A dispatcher with two services. */
struct PauseHarness {
	PauseHarness() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *name : {"a", "b"}) {
			this->targets.push_back(this->dispatcher.Targets().Configure(name, "hall", {ModelNumber{0}}, false));
			this->dispatcher.Targets().SetServiceCapacity(this->targets.back(), 64);
		}
	}

	/** Let \a target ask for \a pause. */
	void Pause(TargetNumber target, Duration pause)
	{
		TargetSignals signals;
		signals.pause = pause;
		this->dispatcher.Targets().OnSignals(target, signals, this->now, this->now);
	}

	/** Submit a call. @return The decisions. */
	Decisions SubmitCall()
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.generated = false;
		call.arrived = this->now;
		call.deadline = this->now + milliseconds(300);
		call.overcommit_from = this->now;
		return this->dispatcher.Submit(call, this->now);
	}

	/** @return Whether any of several calls submitted now is sent to \a target. */
	bool IsUsed(TargetNumber target)
	{
		bool used = false;
		for (int i = 0; i < 20; i++) {
			Decisions decisions = this->SubmitCall();
			if (decisions.sends.empty()) continue;
			used = used || decisions.sends[0].target == target;
		}
		return used;
	}

	Dispatcher dispatcher;                ///< Dispatcher under test.
	std::vector<TargetNumber> targets;    ///< The services.
	uint64_t next = 1;                    ///< Id of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Simulated time.
};

} // namespace

TEST_CASE("Pause - a paused target gets no calls until the end of its longest pause, and is used again afterwards")
{
	PauseHarness harness;
	CHECK(harness.IsUsed(harness.targets[0]));
	harness.Pause(harness.targets[0], seconds(3));
	CHECK(!harness.IsUsed(harness.targets[0]));
	CHECK(harness.IsUsed(harness.targets[1]));
	harness.now += seconds(1);
	harness.Pause(harness.targets[0], milliseconds(500));
	harness.now += milliseconds(1900);
	CHECK(!harness.IsUsed(harness.targets[0]));
	harness.now += milliseconds(101);
	CHECK(harness.IsUsed(harness.targets[0]));
}

TEST_CASE("Pause - a target that rejects calls with a pause is not ejected, and the calls are retried on another target")
{
	PauseHarness harness;
	for (int round = 0; round < 6; round++) {
		Decisions decisions = harness.SubmitCall();
		REQUIRE(decisions.sends.size() == 1);
		TargetNumber first = decisions.sends[0].target;
		harness.Pause(first, milliseconds(100));
		Decisions again = harness.dispatcher.OnSendEnded(decisions.sends[0].call, SendOutcome::Rejected, harness.now);
		REQUIRE(again.sends.size() == 1);
		CHECK(again.sends[0].target != first);
		harness.dispatcher.OnSendEnded(again.sends[0].call, SendOutcome::Complete, harness.now);
		harness.now += milliseconds(200);
	}
	for (TargetNumber target : harness.targets) {
		CHECK(harness.dispatcher.Targets().Get(target).ejections == 0);
		CHECK(harness.dispatcher.Targets().Get(target).failures == 0);
	}
}
