/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness_load_test.cpp Guards against placement that makes long streams late on engines of uneven speed. */

#include "tests/lateness_simulation.h"
#include <doctest/doctest.h>

using namespace cottonspool;

/*
 * Load: 21.8 long and 24.5 short streams a second for 34 s at 45 engines with 24 slots, whose factors are 0.55 (a quarter) and 1.2, with
 * slowdowns and replacements every 20 s; six instances with reports 150 ms and views of each other 150 to 250 ms old.
 */

static constexpr uint64_t SEEDS = 3; ///< Seeds over which each figure is averaged; single ones vary by a percent point.

/** @return The results of \a scenario for all seeds. */
static std::vector<LatenessResult> RunSeeds(LatenessScenario scenario)
{
	std::vector<LatenessResult> results;
	for (scenario.seed = 1; scenario.seed <= SEEDS; scenario.seed++) results.push_back(SimulateLateness(scenario));
	return results;
}

/** @return The mean fraction of late long streams in \a results. */
static double LateLong(const std::vector<LatenessResult> &results)
{
	double sum = 0;
	for (const LatenessResult &result : results) sum += result.long_streams.LateFraction();
	return sum / static_cast<double>(results.size());
}

/** @return The mean fraction of late short streams in \a results. */
static double LateShort(const std::vector<LatenessResult> &results)
{
	double sum = 0;
	for (const LatenessResult &result : results) sum += result.short_streams.LateFraction();
	return sum / static_cast<double>(results.size());
}

// Guards against a score that sends long streams to slow engines: 24% of them are late with the score without lateness.
TEST_CASE("Lateness load - at most 5% of the long streams are late, far fewer than with the other routers")
{
	std::vector<LatenessResult> own = RunSeeds({});
	double late = LateLong(own);
	double without = LateLong(RunSeeds({.use_lateness = false}));
	double round_robin = LateLong(RunSeeds({.router = "round-robin"}));
	double least_load = LateLong(RunSeeds({.router = "least-load"}));
	MESSAGE("late long streams: " << late << ", without lateness " << without << ", round robin " << round_robin << ", least load "
	                              << least_load << "; late short streams: " << LateShort(own));
	CHECK(late <= 0.05);
	CHECK(late * 3 < without);
	CHECK(late * 3 < round_robin);
	CHECK(late * 3 < least_load);
	CHECK(LateShort(own) <= 0.05);
}

// Guards against slow engines that are left idle while the fast ones are full.
TEST_CASE("Lateness load - slow engines carry most short streams")
{
	LatenessResult result = SimulateLateness({});
	uint32_t slow = result.shorts_by_factor[1.2];
	uint32_t fast = result.shorts_by_factor[0.55];
	CHECK(slow > 3 * fast);
	CHECK(result.longs_by_factor[0.55] > 2 * result.longs_by_factor[1.2]);
}

// Guards against a classification into fast and slow that fails with other speeds.
TEST_CASE("Lateness load - three speeds give fewer late long streams than the score without lateness")
{
	LatenessScenario scenario{.factors = {0.55, 0.9, 1.2, 1.2}};
	double late = LateLong(RunSeeds(scenario));
	scenario.use_lateness = false;
	double without = LateLong(RunSeeds(scenario));
	MESSAGE("late long streams: " << late << ", without lateness " << without);
	CHECK(late <= 0.05);
	CHECK(late * 2 < without);
}

// Guards against calls of all instances that gather at the same engines of a pool of even speed.
TEST_CASE("Lateness load - engines of equal speed are evenly used, and no more streams are late there than without lateness")
{
	LatenessScenario scenario{.factors = {1.0}, .engine_life = std::chrono::hours(1)};
	std::vector<LatenessResult> own = RunSeeds(scenario);
	for (const LatenessResult &result : own) {
		double mean = static_cast<double>(result.choices.size()) / static_cast<double>(result.sends.size());
		auto [least, most] = std::minmax_element(result.sends.begin(), result.sends.end());
		CHECK(*most < 1.5 * mean);
		CHECK(*least > 0.5 * mean);
	}
	scenario.use_lateness = false;
	std::vector<LatenessResult> without = RunSeeds(scenario);
	MESSAGE("late long streams: " << LateLong(own) << ", without lateness " << LateLong(without));
	CHECK(LateLong(own) <= LateLong(without));
	CHECK(LateShort(own) <= LateShort(without));
}

// Guards against placement that is only good with fresh views, or while all speeds are known.
TEST_CASE("Lateness load - stale views and late speeds give fewer late long streams than the score without lateness")
{
	LatenessScenario scenario{.instances = 24,
	                          .report_age = std::chrono::milliseconds(300),
	                          .peer_delay = std::chrono::milliseconds(350),
	                          .speed_delay = std::chrono::milliseconds(3000)};
	double late = SimulateLateness(scenario).long_streams.LateFraction();
	scenario.use_lateness = false;
	double without = SimulateLateness(scenario).long_streams.LateFraction();
	MESSAGE("late long streams: " << late << ", without lateness " << without);
	CHECK(late * 2 < without);
}

// Guards against a changed placement in deployments whose targets do not state their speed.
TEST_CASE("Lateness load - without known speeds each choice is the same as with the feature switched off")
{
	LatenessResult on = SimulateLateness({.states_speed = false});
	LatenessResult off = SimulateLateness({.use_lateness = false, .states_speed = false});
	CHECK(on.choices.size() > 1000);
	CHECK(on.choices == off.choices);
	// With the feature off, stated speeds still correct the expected wait for the first event, but don't place calls by their lateness.
	LatenessResult switched_off = SimulateLateness({.use_lateness = false});
	LatenessResult in_use = SimulateLateness({});
	CHECK(switched_off.long_streams.LateFraction() > 2 * in_use.long_streams.LateFraction());
}
