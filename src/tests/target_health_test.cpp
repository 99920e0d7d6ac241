/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_health_test.cpp Guards against ejection of too many targets, of the wrong ones, or without a way back. */

#include "decision/target_table.h"
#include <doctest/doctest.h>

using namespace cottonspool;

namespace {

/** A target table with three services in one pool. */
struct HealthHarness {
	LengthEstimate lengths{{}};              ///< Not used for services.
	TargetTable targets{{}, lengths};        ///< Table under test.
	TimePoint now{std::chrono::seconds(10)}; ///< Simulated time.
	std::vector<TargetNumber> all;           ///< The services.
	uint64_t next = 1;                       ///< Id of the next call.

	HealthHarness()
	{
		for (const char *name : {"a", "b", "c"}) {
			this->all.push_back(this->targets.Configure(name, "hall", {ModelNumber{0}}, false));
			this->targets.SetServiceCapacity(this->all.back(), 6);
		}
	}

	/** Send \a times calls to the target \a index and end them with \a result. */
	void EndCalls(size_t index, SendResult result, int times)
	{
		for (int i = 0; i < times; i++) {
			CallSpec call;
			call.id = CallId{this->next++};
			call.generated = false;
			this->targets.OnSent(this->all[index], call, this->now);
			this->targets.OnEnded(this->all[index], call.id, result, this->now);
		}
	}

	/** @return Whether the target \a index may get calls. */
	bool IsUsable(size_t index) const { return this->targets.Get(this->all[index]).restrictions.CheckAdmission(this->now, false).IsFree(); }
};

/** @return A generation with the given id. */
CallSpec MakeCall(uint64_t id)
{
	CallSpec call;
	call.id = CallId{id};
	call.prompt_tokens = 100;
	return call;
}

} // namespace

TEST_CASE("Targets - an unreachable target is ejected and reinstates targets that only failed")
{
	HealthHarness harness;
	harness.EndCalls(0, SendResult::Failed, 3);
	CHECK_FALSE(harness.IsUsable(0));
	harness.EndCalls(1, SendResult::Unreachable, 2);
	CHECK_FALSE(harness.IsUsable(1));
	CHECK(harness.IsUsable(0));
	harness.EndCalls(2, SendResult::Unreachable, 2);
	CHECK_FALSE(harness.IsUsable(2));
	CHECK(harness.IsUsable(0));
}

TEST_CASE("Targets - the last usable target is not ejected, and one that answers again is reinstated")
{
	HealthHarness harness;
	for (size_t i = 0; i < 3; i++) harness.EndCalls(i, SendResult::Unreachable, 2);
	CHECK(harness.IsUsable(2));
	harness.now += std::chrono::seconds(2);
	CHECK(harness.IsUsable(0));
	harness.EndCalls(0, SendResult::Answered, 1);
	harness.EndCalls(2, SendResult::Unreachable, 1);
	CHECK_FALSE(harness.IsUsable(2));
	CHECK(harness.IsUsable(0));
}

TEST_CASE("Targets - an ejected target is probed again despite peers' calls and migrations")
{
	HealthHarness harness;
	harness.EndCalls(0, SendResult::Failed, 3);
	CHECK_FALSE(harness.IsUsable(0));
	CallSpec foreign;
	foreign.id = CallId{1ULL << 62};
	harness.targets.OnPeerCallSent(harness.all[0], foreign, harness.now);
	harness.now += std::chrono::seconds(2);
	CHECK(harness.IsUsable(0));
	harness.targets.OnPeerCallEnded(harness.all[0], foreign.id, harness.now);
	CHECK(harness.IsUsable(0));
	// A call of this instance is the probe; until it ends, no other call is sent.
	CallSpec own;
	own.id = CallId{77};
	harness.targets.OnSent(harness.all[0], own, harness.now);
	CHECK_FALSE(harness.IsUsable(0));
	harness.targets.OnMigrated(harness.all[0], harness.all[1], own.id, harness.now);
	CHECK(harness.IsUsable(0));
}

TEST_CASE("Targets - a failing target is ejected, probed by one call, and reinstated")
{
	LengthEstimate lengths({});
	TargetTable targets({}, lengths);
	TargetNumber number = targets.Configure("target", "hall", {ModelNumber{0}});
	TargetNumber other = targets.Configure("other", "hall", {ModelNumber{0}});
	TimePoint now(std::chrono::seconds(10));
	LoadReport report;
	report.sequence = 1;
	report.capacity_tokens = 10000;
	targets.OnReport(number, report, now);
	targets.OnReport(other, report, now);
	for (uint64_t i = 0; i < 3; i++) {
		targets.OnSent(number, MakeCall(i), now);
		targets.OnEnded(number, CallId{i}, SendResult::Failed, now);
	}
	CHECK_FALSE(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
	for (uint64_t i = 3; i < 9; i++) {
		targets.OnSent(other, MakeCall(i), now);
		targets.OnEnded(other, CallId{i}, SendResult::Failed, now);
	}
	CHECK(targets.Get(other).restrictions.CheckAdmission(now, false).IsFree()); // At most half of the targets are ejected.
	now += std::chrono::milliseconds(1100);
	CHECK(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
	targets.OnSent(number, MakeCall(10), now);
	CHECK_FALSE(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
	targets.OnEnded(number, CallId{10}, SendResult::Answered, now);
	CHECK(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
}
