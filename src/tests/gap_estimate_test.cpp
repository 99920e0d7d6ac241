/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gap_estimate_test.cpp Guards against wrong odds of long gaps, which send long streams to engines where they will be late. */

#include "decision/gap_estimate.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

/** Teach \a estimate \a count episodes with a prompt at usual speed, of which the fraction \a slowed was in a slowdown. */
static void Teach(GapEstimate &estimate, int count, double slowed)
{
	for (int i = 0; i < count; i++) {
		bool slow = (i + 1) * slowed - static_cast<int>(i * slowed) >= 1;
		estimate.Learn({EpisodeKind::Prompt, milliseconds(slow ? 154 : 62)}, 1);
	}
}

// Guards against a new instance that sends long streams to slow engines until it has learned.
TEST_CASE("Gaps - without samples a slower engine has higher odds of a long gap")
{
	GapEstimate estimate;
	GapOdds fast = estimate.Exceeds(milliseconds(180), 0.55);
	GapOdds slow = estimate.Exceeds(milliseconds(180), 1.2);
	CHECK(slow.prompt > 10 * fast.prompt);
	CHECK(slow.quiet > 10 * fast.quiet);
	CHECK(slow.prompt <= 0.5);
	CHECK(estimate.Exceeds(milliseconds(0), 1.2).prompt == 0);
}

// Guards against an estimate that cannot tell 183 ms on a slow engine from the 180 ms that are allowed.
TEST_CASE("Gaps - samples of usual engines tell the odds at slow and fast ones")
{
	GapEstimate estimate;
	Teach(estimate, 400, 0.2);
	CHECK(estimate.Exceeds(milliseconds(180), 1.2).prompt == doctest::Approx(0.2).epsilon(0.15));
	CHECK(estimate.Exceeds(milliseconds(180), 1.0).prompt < 0.01);
	CHECK(estimate.Exceeds(milliseconds(180), 0.55).prompt < 0.005);
	CHECK(estimate.Exceeds(milliseconds(180), 3.0).prompt > 0.9);
	CHECK(estimate.Samples(EpisodeKind::Prompt) > 100);
	CHECK(estimate.Samples(EpisodeKind::Quiet) == 0);
}

// Guards against samples that are not divided by the factor: gaps of slow engines would count against fast ones.
TEST_CASE("Gaps - samples of slow engines do not count against fast ones")
{
	GapEstimate estimate;
	for (int i = 0; i < 300; i++) estimate.Learn({EpisodeKind::Prompt, milliseconds(400)}, 3.0);
	CHECK(estimate.Exceeds(milliseconds(180), 3.0).prompt > 0.9);
	CHECK(estimate.Exceeds(milliseconds(180), 0.55).prompt < 0.01);
}

// Guards against an estimate that keeps the odds of a load that has passed.
TEST_CASE("Gaps - older samples lose their weight")
{
	GapEstimate estimate;
	Teach(estimate, 300, 1.0);
	Teach(estimate, 1500, 0.0);
	CHECK(estimate.Exceeds(milliseconds(180), 1.2).prompt < 0.03);
}

// Guards against episodes that mix gaps with and without a prompt, or that merge the prompts of several calls.
TEST_CASE("Gaps - each prompt beside a run and every sixteen events without one are an episode")
{
	EpisodeTracker tracker;
	for (int i = 0; i < 16; i++) CHECK(tracker.OnEvent(milliseconds(i == 3 ? 40 : 30), 4, 0).weight == 0);
	Episode full = tracker.OnEvent(milliseconds(31), 4, 0);
	CHECK(full.kind == EpisodeKind::Quiet);
	CHECK(full.weight == doctest::Approx(1));
	CHECK(full.longest == milliseconds(40));
	CHECK(full.total == milliseconds(490));
	CHECK(full.tokens == 64);
	Episode part = tracker.OnEvent(milliseconds(70), 4, 7);
	CHECK(part.kind == EpisodeKind::Quiet);
	CHECK(part.weight == doctest::Approx(1.0 / 16));
	CHECK(part.longest == milliseconds(31));
	CHECK(tracker.OnEvent(milliseconds(150), 4, 7).weight == 0);
	Episode first = tracker.OnEvent(milliseconds(80), 4, 8);
	CHECK(first.kind == EpisodeKind::Prompt);
	CHECK(first.weight == doctest::Approx(1));
	CHECK(first.longest == milliseconds(150));
	CHECK(tracker.OnEvent(milliseconds(90), 4, 0).weight == 0);
	Episode second = tracker.OnEvent(milliseconds(30), 4, 0);
	CHECK(second.kind == EpisodeKind::Prompt);
	CHECK(second.longest == milliseconds(90));
}

// Guards against the gap of a migration that counts against the new engine.
TEST_CASE("Gaps - the gap of a migration is not learned")
{
	EpisodeTracker tracker;
	tracker.OnEvent(milliseconds(900), 4, 0);
	tracker.Restart();
	CHECK(tracker.OnEvent(milliseconds(800), 4, 0).weight == 0);
	for (int i = 0; i < 16; i++) tracker.OnEvent(milliseconds(30), 4, 0);
	CHECK(tracker.OnEvent(milliseconds(30), 4, 0).longest == milliseconds(30));
}
