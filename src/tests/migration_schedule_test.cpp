/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file migration_schedule_test.cpp Guards against requests of copies that cannot succeed, and against missed chances to migrate. */

#include "decision/migration_schedule.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint START{std::chrono::seconds(10)};

/** @return Number of times that \a schedule is due at 25 ms ticks within \a time, if every request is answered with "no such run". */
int CountUnansweredRequests(MigrationSchedule &schedule, Duration time)
{
	int requests = 0;
	for (TimePoint now = START; now < START + time; now += milliseconds(25)) {
		if (!schedule.IsDue(0, false, now)) continue;
		requests++;
		schedule.OnRequested();
		schedule.OnNoRun(now);
	}
	return requests;
}

} // namespace

TEST_CASE("Migration schedule - a run without an event is never copied, one that is preempted once until its next event")
{
	MigrationSchedule schedule({});
	CHECK(CountUnansweredRequests(schedule, milliseconds(700)) == 0);
	CHECK(schedule.AwaitsEvent());
	schedule.OnEvent();
	CHECK(CountUnansweredRequests(schedule, milliseconds(700)) == 1);
	CHECK(schedule.AwaitsEvent());
	TimePoint now = START + milliseconds(701);
	schedule.OnEvent();
	CHECK_MESSAGE(schedule.IsDue(0, false, now), "the copy has to be requested immediately when the next event arrives");
	// Without the feature the same run is asked for every 60 ms.
	MigrationSchedule timed({.event_driven = false});
	CHECK(CountUnansweredRequests(timed, milliseconds(700)) >= 10);
}

TEST_CASE("Migration schedule - an event that arrives during the request counts as the next one")
{
	MigrationSchedule schedule({});
	schedule.OnEvent();
	schedule.OnRequested();
	schedule.OnEvent();
	schedule.OnNoRun(START);
	CHECK(schedule.IsDue(0, false, START));
}

TEST_CASE("Migration schedule - an engine that never finds the run is not asked at every event")
{
	MigrationSchedule schedule({});
	int requests = 0;
	for (TimePoint now = START; now < START + std::chrono::seconds(1); now += milliseconds(5)) {
		schedule.OnEvent();
		if (!schedule.IsDue(0, false, now)) continue;
		requests++;
		schedule.OnRequested();
		schedule.OnNoRun(now);
	}
	CHECK(requests <= 18);
}

TEST_CASE("Migration schedule - a run whose answer is not being read is tried again after the delay, as its events go unnoticed")
{
	MigrationSchedule schedule({});
	schedule.OnEvent();
	schedule.OnRequested();
	schedule.OnNoRun(START);
	CHECK_FALSE(schedule.IsDue(0, false, START + milliseconds(60)));
	CHECK(schedule.IsDue(0, true, START + milliseconds(60)));
}

TEST_CASE("Migration schedule - while no engine has headroom, the choice is repeated when headroom may have changed, and logged once")
{
	MigrationSchedule schedule({});
	schedule.OnEvent();
	REQUIRE(schedule.IsDue(7, false, START));
	CHECK(schedule.OnNoHeadroom(7, START));
	CHECK_FALSE(schedule.IsDue(7, false, START + milliseconds(59)));
	CHECK(schedule.IsDue(8, false, START + milliseconds(1)));
	CHECK(schedule.IsDue(7, false, START + milliseconds(60)));
	CHECK_FALSE(schedule.OnNoHeadroom(8, START + milliseconds(1)));
	CHECK_FALSE(schedule.OnNoHeadroom(8, START + milliseconds(61)));
	schedule.OnRequested();
	schedule.OnFailed(Duration(0), START + milliseconds(70));
	CHECK(schedule.OnNoHeadroom(9, START + milliseconds(70)));
}

TEST_CASE("Migration schedule - a change of headroom does not shorten the delay after a failed copy")
{
	MigrationSchedule schedule({});
	schedule.OnEvent();
	schedule.OnNoHeadroom(1, START);
	schedule.OnRequested();
	schedule.OnFailed(milliseconds(60), START);
	CHECK_FALSE(schedule.IsDue(2, false, START + milliseconds(59)));
	CHECK(schedule.IsDue(2, false, START + milliseconds(60)));
}

TEST_CASE("Migration schedule - an engine that rejected the run is asked again only after the delay, and only if no other can take it")
{
	MigrationSchedule schedule({});
	schedule.OnRefused(TargetNumber{1}, START);
	schedule.OnRefused(TargetNumber{2}, START + milliseconds(50));
	CHECK(schedule.Refused() == std::vector<TargetNumber>{TargetNumber{1}, TargetNumber{2}});
	CHECK_FALSE(schedule.ForgetRefusals(START + milliseconds(59)));
	CHECK(schedule.ForgetRefusals(START + milliseconds(60)));
	CHECK(schedule.Refused() == std::vector<TargetNumber>{TargetNumber{2}});
}

TEST_CASE("Migration schedule - after a migration the new engine is asked once before its first event")
{
	MigrationSchedule schedule({});
	schedule.OnEvent();
	schedule.OnRefused(TargetNumber{1}, START);
	schedule.OnMigrated();
	CHECK(schedule.Refused().empty());
	CHECK(CountUnansweredRequests(schedule, milliseconds(700)) == 1);
	schedule.OnEvent();
	CHECK(schedule.IsDue(0, false, START + milliseconds(701)));
}

TEST_CASE("Migration schedule - requests never outnumber the events, whatever happens")
{
	rc::check([](const std::vector<uint8_t> &steps) {
		MigrationSchedule schedule({});
		TimePoint now = START;
		uint64_t revision = 0;
		int events = 0;
		int requests = 0;
		for (uint8_t step : steps) {
			now += milliseconds(step % 40);
			if (step % 3 == 0) revision++;
			if (step % 5 == 0) {
				schedule.OnEvent();
				events++;
			}
			if (!schedule.IsDue(revision, false, now)) continue;
			if (step % 7 == 0) {
				schedule.OnNoHeadroom(revision, now);
				continue;
			}
			requests++;
			schedule.OnRequested();
			schedule.OnNoRun(now);
		}
		RC_ASSERT(requests <= events);
	});
}
