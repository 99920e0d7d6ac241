/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness_test.cpp Guards against placements on targets where a call, or a run that is there already, will be late. */

#include "decision/lateness.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

// Guards against a loss that ignores the objective: every wait would look equally good.
TEST_CASE("Lateness - the loss of the first event rises with the wait and reaches one half at the objective")
{
	CHECK(FirstEventLoss(milliseconds(0), milliseconds(1800)) == 0);
	CHECK(FirstEventLoss(milliseconds(100), milliseconds(1800)) < 0.02);
	CHECK(FirstEventLoss(milliseconds(900), milliseconds(1800)) == doctest::Approx(0.2612).epsilon(0.01));
	CHECK(FirstEventLoss(milliseconds(1800), milliseconds(1800)) == doctest::Approx(0.5));
	CHECK(FirstEventLoss(milliseconds(18000), milliseconds(1800)) > 0.95);
	CHECK(FirstEventLoss(milliseconds(1), milliseconds(0)) == 1);
	CHECK(FirstEventLoss(milliseconds(1), milliseconds(-5)) == 1);
}

// Guards against full fast engines that every instance fills at the same time, where the calls then wait for memory.
TEST_CASE("Lateness - the odds to wait for memory fall with the calls that still fit and rise with the unseen ones")
{
	CHECK(MemoryWaitOdds(-0.1, 0) == 1);
	CHECK(MemoryWaitOdds(0, 0.6) == doctest::Approx(0.4512).epsilon(0.01));
	CHECK(MemoryWaitOdds(1, 0.6) == doctest::Approx(0.1219).epsilon(0.01));
	CHECK(MemoryWaitOdds(0.5, 0.6) == doctest::Approx(0.2865).epsilon(0.01));
	CHECK(MemoryWaitOdds(5, 0.6) < 0.001);
	CHECK(MemoryWaitOdds(30, 100) == 0);
	CHECK(MemoryWaitOdds(0, 0) == 0);
}

// Guards against a long stream that counts as safe on a slow target because a single prompt rarely makes it late.
TEST_CASE("Lateness - the loss by gaps adds up over the prompts that are read during the run")
{
	RunOutlook outlook{.events = 188, .usual_gap = milliseconds(30), .prompts_per_second = 1};
	EpisodeCounts slow = ExpectedEpisodes(outlook, 1.2);
	EpisodeCounts fast = ExpectedEpisodes(outlook, 0.55);
	CHECK(slow.prompt == doctest::Approx(6.77).epsilon(0.01));
	CHECK(fast.prompt == doctest::Approx(3.10).epsilon(0.01));
	CHECK(slow.quiet == doctest::Approx(11.75));
	CHECK(GapLoss({0.15, 0}, slow) == doctest::Approx(0.667).epsilon(0.01));
	CHECK(GapLoss({0, 0}, slow) == 0);
	CHECK(GapLoss({1, 0}, fast) == doctest::Approx(1));
	outlook.events = 2;
	CHECK(GapLoss({0.15, 0}, ExpectedEpisodes(outlook, 1.2)) < 0.02);
}

// Guards against harm that counts runs which end before the new prompt is read.
TEST_CASE("Lateness - a new prompt harms a long run by its full odds and one that ends soon by a part")
{
	CHECK(PromptHarm({0.2, 0}, 100) == doctest::Approx(0.2));
	CHECK(PromptHarm({0.2, 0}, 4) == doctest::Approx(0.05));
	CHECK(PromptHarm({0.2, 0}, 0) == 0);
}

// Guards against a target of unknown speed that counts as fast, or as slow, for certain.
TEST_CASE("Lateness - the mean over possible factors lies between those of the factors")
{
	TimeFactors mixed{{0.55, 0.25}, {1.2, 0.75}};
	CHECK(MeanOverFactors(mixed, [](double factor) { return factor; }) == doctest::Approx(1.0375));
	CHECK(MeanOverFactors({}, [](double) { return 1.0; }) == 0);
}

// Guards against losses outside of 0 to 1, which would outweigh all other terms of the score.
TEST_CASE("Lateness - losses are probabilities and rise with odds, episodes and factor")
{
	rc::check("losses are monotone probabilities", [] {
		auto fraction = [] { return *rc::gen::inRange(0, 1001) / 1000.0; };
		GapOdds odds{fraction(), fraction()};
		RunOutlook outlook{.events = static_cast<double>(*rc::gen::inRange(0, 2000)),
		                   .usual_gap = milliseconds(*rc::gen::inRange(1, 200)),
		                   .prompts_per_second = fraction() * 20};
		double factor = 0.05 + 5 * fraction();
		double loss = GapLoss(odds, ExpectedEpisodes(outlook, factor));
		RC_ASSERT(loss >= 0 && loss <= 1);
		RC_ASSERT(GapLoss(odds, ExpectedEpisodes(outlook, factor * 2)) >= loss - 1e-12);
		odds.prompt = std::min(1.0, odds.prompt + 0.1);
		RC_ASSERT(GapLoss(odds, ExpectedEpisodes(outlook, factor)) >= loss - 1e-12);
		double either = EitherLoss(loss, fraction());
		RC_ASSERT(either >= loss - 1e-12 && either <= 1);
	});
}
