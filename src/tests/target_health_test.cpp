/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_health_test.cpp Targets that fail and targets that cannot be reached are taken out, the better ones last. */

#include "decision/target_table.h"
#include <doctest/doctest.h>

using namespace cottonspool;

namespace {

/** Three plain services of one pool. */
struct HealthWorld {
	LengthEstimate lengths{{}};              ///< Not used by plain services.
	TargetTable targets{{}, lengths};        ///< Targets.
	TimePoint now{std::chrono::seconds(10)}; ///< Time.
	std::vector<TargetNumber> all;           ///< Numbers.
	uint64_t next = 1;                       ///< Next call.

	HealthWorld()
	{
		for (const char *name : {"a", "b", "c"}) {
			this->all.push_back(this->targets.Configure(name, "hall", {ModelNumber{0}}, false));
			this->targets.SetServiceCapacity(this->all.back(), 6);
		}
	}

	/** \a times calls are sent to the target \a index and end with \a result. */
	void Calls(size_t index, SendResult result, int times)
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

/** @return A generation with \a id. */
CallSpec MakeCall(uint64_t id)
{
	CallSpec call;
	call.id = CallId{id};
	call.prompt_tokens = 100;
	return call;
}

} // namespace

TEST_CASE("Targets - one that cannot be reached goes, and one that only failed comes back for it")
{
	HealthWorld world;
	world.Calls(0, SendResult::Failed, 3);
	CHECK_FALSE(world.IsUsable(0));
	world.Calls(1, SendResult::Unreachable, 2);
	CHECK_FALSE(world.IsUsable(1));
	CHECK(world.IsUsable(0));
	world.Calls(2, SendResult::Unreachable, 2);
	CHECK_FALSE(world.IsUsable(2));
	CHECK(world.IsUsable(0));
}

TEST_CASE("Targets - the last one that is left stays, and one that answers again is taken back")
{
	HealthWorld world;
	for (size_t i = 0; i < 3; i++) world.Calls(i, SendResult::Unreachable, 2);
	CHECK(world.IsUsable(2));
	world.now += std::chrono::seconds(2);
	CHECK(world.IsUsable(0));
	world.Calls(0, SendResult::Answered, 1);
	world.Calls(2, SendResult::Unreachable, 1);
	CHECK_FALSE(world.IsUsable(2));
	CHECK(world.IsUsable(0));
}

TEST_CASE("Targets - one that was ejected is tried again, whatever calls of peers, copies and moves pass there meanwhile")
{
	HealthWorld world;
	world.Calls(0, SendResult::Failed, 3);
	CHECK_FALSE(world.IsUsable(0));
	CallSpec foreign;
	foreign.id = CallId{1ULL << 62};
	world.targets.OnPeerCallSent(world.all[0], foreign, world.now);
	world.now += std::chrono::seconds(2);
	CHECK(world.IsUsable(0));
	world.targets.OnPeerCallEnded(world.all[0], foreign.id, world.now);
	CHECK(world.IsUsable(0));
	// An own call finds out; until then no other goes there.
	CallSpec own;
	own.id = CallId{77};
	world.targets.OnSent(world.all[0], own, world.now);
	CHECK_FALSE(world.IsUsable(0));
	world.targets.OnMigrated(world.all[0], world.all[1], own.id, world.now);
	CHECK(world.IsUsable(0));
}

TEST_CASE("Targets - a failing target is ejected, probed by one call, and taken back")
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
	CHECK(targets.Get(other).restrictions.CheckAdmission(now, false).IsFree()); // Never more than half are ejected.
	now += std::chrono::milliseconds(1100);
	CHECK(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
	targets.OnSent(number, MakeCall(10), now);
	CHECK_FALSE(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
	targets.OnEnded(number, CallId{10}, SendResult::Answered, now);
	CHECK(targets.Get(number).restrictions.CheckAdmission(now, false).IsFree());
}
