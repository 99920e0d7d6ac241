/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file pool_reachability_test.cpp Guards against taking a slow or dead target for a lost pool, and against not noticing a lost one. */

#include "decision/pool_reachability.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

const std::vector<TargetNumber> TARGETS{TargetNumber{1}, TargetNumber{2}, TargetNumber{3}};

/** A pool whose rounds end with the same result at each target. */
struct PoolFixture {
	/** Probe all targets. @return Whether the pool was lost or reached by it. */
	bool Round(ReachResult result)
	{
		this->pool.BeginRound(TARGETS, this->now);
		this->now += milliseconds(300);
		bool changed = false;
		for (TargetNumber target : TARGETS) changed = this->pool.OnProbed(target, result, this->now) || changed;
		return changed;
	}

	/** @return Whether a round is due after as many failed connects as begin one. */
	bool IsDueAfterFailures(TimePoint at)
	{
		CHECK(!this->pool.OnDoubt(ReachDoubt::NoConnection, at));
		return this->pool.OnDoubt(ReachDoubt::NoConnection, at);
	}

	ReachLimits limits;
	PoolReachability pool{limits};
	TimePoint now{std::chrono::hours(1)};
};

} // namespace

TEST_CASE("Pool reach - one target that accepts a connection shows that the pool is not lost")
{
	PoolFixture fixture;
	REQUIRE(fixture.IsDueAfterFailures(fixture.now));
	fixture.pool.BeginRound(TARGETS, fixture.now);
	CHECK(!fixture.pool.OnProbed(TARGETS[0], ReachResult::Refused, fixture.now));
	CHECK(!fixture.pool.OnProbed(TARGETS[1], ReachResult::Connected, fixture.now));
	CHECK(!fixture.pool.OnProbed(TARGETS[2], ReachResult::Silent, fixture.now));
	CHECK(!fixture.pool.IsDoubted());
	// A target that stays down does not cause a round with each request.
	CHECK(!fixture.IsDueAfterFailures(fixture.now + milliseconds(900)));
	CHECK(fixture.pool.OnDoubt(ReachDoubt::NoConnection, fixture.now + milliseconds(1000)));
}

TEST_CASE("Pool reach - a pool is lost if all connections are refused, although open connections still answer")
{
	PoolFixture fixture;
	fixture.pool.OnAnswer(fixture.now + milliseconds(200));
	CHECK(fixture.Round(ReachResult::Refused));
	CHECK(fixture.pool.IsLost());
}

TEST_CASE("Pool reach - while targets answer, only a second silent round shows that the pool is lost")
{
	PoolFixture silent;
	CHECK(silent.Round(ReachResult::Silent));
	CHECK(silent.pool.IsLost());
	PoolFixture full;
	full.pool.OnAnswer(full.now + milliseconds(200));
	CHECK(!full.Round(ReachResult::Silent));
	CHECK(!full.pool.IsLost());
	full.now += milliseconds(300);
	REQUIRE(full.IsDueAfterFailures(full.now));
	full.pool.OnAnswer(full.now + milliseconds(200));
	CHECK(full.Round(ReachResult::Silent));
	CHECK(full.pool.IsLost());
}

TEST_CASE("Pool reach - a silent target is not doubted while another one answers")
{
	PoolFixture fixture;
	fixture.pool.OnAnswer(fixture.now);
	CHECK(!fixture.pool.OnDoubt(ReachDoubt::NoAnswer, fixture.now + milliseconds(250)));
	CHECK(fixture.pool.OnDoubt(ReachDoubt::NoAnswer, fixture.now + milliseconds(251)));
	CHECK(fixture.IsDueAfterFailures(fixture.now + milliseconds(1)));
	// One target that is down, beside others that answer.
	fixture.pool.OnAnswer(fixture.now + milliseconds(2));
	CHECK(!fixture.pool.OnDoubt(ReachDoubt::NoConnection, fixture.now + milliseconds(3)));
}

TEST_CASE("Pool reach - a lost pool is probed until a target accepts, and a loss is noticed half a second after the first doubt")
{
	PoolFixture fixture;
	TimePoint doubted_at = fixture.now;
	fixture.Round(ReachResult::Silent);
	CHECK(fixture.now - doubted_at <= milliseconds(500));
	CHECK(!fixture.pool.IsRetryDue(fixture.now + milliseconds(249)));
	fixture.now += milliseconds(250);
	REQUIRE(fixture.pool.IsRetryDue(fixture.now));
	CHECK(!fixture.Round(ReachResult::Silent));
	CHECK(fixture.pool.IsLost());
	fixture.now += milliseconds(250);
	REQUIRE(fixture.pool.IsRetryDue(fixture.now));
	CHECK(fixture.Round(ReachResult::Connected));
	CHECK(!fixture.pool.IsDoubted());
}

TEST_CASE("Pool reach - whatever happens, a pool is lost only after a round without a connection, and rounds are bounded")
{
	rc::check("whatever happens", [] {
		PoolFixture fixture;
		bool connected = true;
		size_t rounds = 0;
		TimePoint started = fixture.now;
		auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 6));
		for (int step : steps) {
			fixture.now += milliseconds(25);
			auto doubt = step == 0 ? ReachDoubt::NoAnswer : ReachDoubt::NoConnection;
			if (step == 1) fixture.pool.OnAnswer(fixture.now);
			bool due = step != 1 && fixture.pool.OnDoubt(doubt, fixture.now);
			if (step <= 2 || (!due && !fixture.pool.IsRetryDue(fixture.now))) continue;
			rounds++;
			auto result = static_cast<ReachResult>(step - 3);
			connected = result == ReachResult::Connected;
			fixture.Round(result);
			RC_ASSERT(!connected || !fixture.pool.IsLost());
		}
		auto seconds = Seconds(fixture.now - started);
		RC_ASSERT(static_cast<double>(rounds) <= 1 + seconds / 0.25);
	});
}
