/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_speed_test.cpp Guards against targets that are taken for slow because of a slowdown, and against outdated speeds. */

#include "decision/target_table.h"
#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint START{seconds(100)}; ///< Start of the simulated time.

namespace {

/** A pool of four targets. */
struct SpeedHarness {
	SpeedHarness()
	{
		for (int i = 0; i < 4; i++) this->targets.Configure("t" + std::to_string(i), "hall", {ModelNumber{1}});
	}

	/** @return The distribution for target \a number. */
	TimeFactors FactorsOf(uint32_t number, TimePoint now) const
	{
		return this->targets.TimeFactorsOf(this->targets.Get(TargetNumber{number}), now);
	}

	LengthEstimate lengths{LengthEstimateLimits{}};        ///< Length estimates.
	TargetTable targets{AdmissionLimits{}, this->lengths}; ///< Table of targets.
};

} // namespace

TEST_CASE("Speed - a slowdown of a target does not change its base factor")
{
	// Guards against fast targets that are avoided, because many answers arrived during one slowdown.
	TargetSpeed speed;
	speed.OnSample(0.55, START);
	speed.OnSample(0.55, START + seconds(1));
	for (int i = 0; i < 40; i++) speed.OnSample(1.375, START + seconds(2) + milliseconds(15) * i);
	CHECK(speed.Factor(START + seconds(3)) == 0.55);
	CHECK(speed.Samples(START + seconds(3)) == 3);
}

TEST_CASE("Speed - a lasting change of a target is learned")
{
	// Guards against an estimate that keeps the lowest sample ever seen.
	TargetSpeed speed;
	for (int i = 0; i < 20; i++) speed.OnSample(0.6, START + seconds(i));
	for (int i = 20; i < 33; i++) speed.OnSample(1.2, START + seconds(i));
	CHECK(speed.Factor(START + seconds(33)) == 1.2);
}

TEST_CASE("Speed - it is unknown without a sample in the last minute")
{
	// Guards against placement by figures of a target that has long changed.
	TargetSpeed speed;
	CHECK(!speed.Factor(START));
	speed.OnSample(1.2, START);
	CHECK(speed.Factor(START + seconds(59)) == 1.2);
	CHECK(!speed.Factor(START + seconds(60)));
	speed.OnPeerFactor(0.5, START + seconds(70));
	CHECK(speed.Factor(START + seconds(129)) == 0.5);
	CHECK(!speed.Factor(START + seconds(130)));
}

TEST_CASE("Speed - values out of range are ignored")
{
	// Guards against a garbled value that makes a target look infinitely fast.
	TargetSpeed speed;
	for (double factor : {0.0, 0.049, 20.1, -1.0, std::nan(""), HUGE_VAL}) {
		speed.OnSample(factor, START);
		speed.OnPeerFactor(factor, START);
	}
	CHECK(!speed.Factor(START));
	CHECK(speed.Samples(START) == 0);
}

TEST_CASE("Speed - a wrong estimate of another instance is corrected by two own samples")
{
	// Guards against a forged value that stays in force, and against a single sample in a slowdown that replaces a good estimate.
	TargetSpeed speed;
	speed.OnPeerFactor(0.05, START);
	speed.OnSample(1.2, START + seconds(1));
	CHECK(speed.Factor(START + seconds(1)) == 0.05);
	CHECK(!speed.NeedsPublishing(START + seconds(1)));
	speed.OnSample(1.2, START + seconds(2));
	CHECK(speed.Factor(START + seconds(2)) == 1.2);
	CHECK(speed.NeedsPublishing(START + seconds(2)));
	speed.OnPeerFactor(0.05, START + seconds(3));
	CHECK(speed.Factor(START + seconds(3)) == 1.2);
}

TEST_CASE("Speed - an outdated wrong estimate is not published again as a fresh one")
{
	// Guards against a wrong value that instances with one sample each pass on to each other for ever.
	TargetSpeed speed;
	speed.OnPeerFactor(0.05, START);
	speed.OnSample(1.2, START + seconds(31));
	CHECK(speed.NeedsPublishing(START + seconds(31)));
	CHECK(speed.Factor(START + seconds(31)) == 1.2);
}

TEST_CASE("Speed - it is published when new, when changed and before it expires at the others, not with each sample")
{
	// Guards against a message for each answer, and against instances without samples that forget a speed.
	TargetSpeed speed;
	CHECK(!speed.NeedsPublishing(START));
	speed.OnSample(1.2, START);
	CHECK(speed.NeedsPublishing(START));
	speed.OnPublished(START);
	for (int i = 1; i < 29; i++) {
		speed.OnSample(1.25, START + seconds(i));
		CHECK(!speed.NeedsPublishing(START + seconds(i)));
	}
	CHECK(speed.NeedsPublishing(START + seconds(30)));

	TargetSpeed other;
	other.OnPeerFactor(3.0, START);
	other.OnSample(1.2, START + seconds(1));
	CHECK(other.NeedsPublishing(START + seconds(1)));
}

TEST_CASE("Speed - increases are published at most every two seconds by one instance")
{
	// Guards against endless messages between instances that permanently get different samples of a target.
	TargetSpeed speed;
	int published = 0;
	for (int i = 0; i < 200; i++) {
		TimePoint now = START + milliseconds(100) * i;
		speed.OnSample(2.0, now);
		if (speed.NeedsPublishing(now)) {
			speed.OnPublished(now);
			published++;
		}
		speed.OnPeerFactor(1.0, now + milliseconds(50));
	}
	CHECK(published <= 11);
}

TEST_CASE("Speed - a target of unknown speed has the factors of its pool, and no factors if none is known")
{
	// Guards against new targets that are taken for fast or slow ones without any sample, and against effects on pools without speeds.
	SpeedHarness harness;
	CHECK(harness.FactorsOf(0, START).empty());
	CHECK(!harness.targets.StatesSpeeds(harness.targets.Get(TargetNumber{0})));
	harness.targets.OnTimeFactor(TargetNumber{0}, 0.55, START);
	harness.targets.OnTimeFactor(TargetNumber{1}, 1.2, START);
	harness.targets.OnTimeFactor(TargetNumber{2}, 1.2, START);
	TimeFactors known = harness.FactorsOf(1, START);
	REQUIRE(known.size() == 1);
	CHECK(known[0].factor == 1.2);
	CHECK(known[0].weight == 1);
	TimeFactors unknown = harness.FactorsOf(3, START);
	REQUIRE(unknown.size() == 2);
	CHECK(unknown[0].factor == doctest::Approx(0.55));
	CHECK(unknown[0].weight == doctest::Approx(1.0 / 3));
	CHECK(unknown[1].factor == doctest::Approx(1.2));
	CHECK(unknown[1].weight == doctest::Approx(2.0 / 3));
	CHECK(harness.targets.StatesSpeeds(harness.targets.Get(TargetNumber{3})));
	CHECK(harness.FactorsOf(3, START + seconds(61)).empty());
	harness.targets.Configure("other", "hall", {ModelNumber{2}});
	CHECK(harness.FactorsOf(4, START).empty());
}

TEST_CASE("Speed - a target that is gone no longer counts for the targets of unknown speed")
{
	// Guards against a distribution of targets that were replaced long ago.
	SpeedHarness harness;
	harness.targets.OnTimeFactor(TargetNumber{0}, 0.55, START);
	harness.targets.OnTimeFactor(TargetNumber{1}, 1.2, START);
	REQUIRE(harness.FactorsOf(3, START).size() == 2);
	harness.targets.Forget(TargetNumber{0});
	TimeFactors factors = harness.FactorsOf(3, START);
	REQUIRE(factors.size() == 1);
	CHECK(factors[0].factor == 1.2);
}

TEST_CASE("Speed - an estimate that arrives before its target is configured is kept")
{
	// Guards against an instance that starts and loses the speeds that its peers sent before it had read the targets.
	SpeedHarness harness;
	harness.targets.OnPeerTimeFactor("late@1", 0.55, START, START);
	TargetNumber late = harness.targets.Configure("late@1", "hall", {ModelNumber{1}});
	REQUIRE(harness.FactorsOf(late.value, START).size() == 1);
	CHECK(harness.FactorsOf(late.value, START)[0].factor == 0.55);
	CHECK(harness.FactorsOf(0, START)[0].factor == doctest::Approx(0.55));
	TargetNumber next = harness.targets.Configure("late@2", "hall", {ModelNumber{1}});
	CHECK(!harness.targets.Get(next).speed.Factor(START));
}

TEST_CASE("Speed - a target that reports another incarnation has unknown speed")
{
	// Guards against the speed of a process that has ended.
	SpeedHarness harness;
	LoadReport report;
	report.sequence = 1;
	report.incarnation = "a";
	harness.targets.OnReport(TargetNumber{0}, report, START);
	harness.targets.OnTimeFactor(TargetNumber{0}, 0.55, START);
	report.sequence = 2;
	harness.targets.OnReport(TargetNumber{0}, report, START);
	CHECK(harness.targets.Get(TargetNumber{0}).speed.Factor(START) == 0.55);
	report.incarnation = "b";
	harness.targets.OnReport(TargetNumber{0}, report, START);
	CHECK(!harness.targets.Get(TargetNumber{0}).speed.Factor(START));
	CHECK(harness.FactorsOf(0, START).empty());
}

TEST_CASE("Speed - the expected time for a prompt follows the speed of its target, and the learned rate does not")
{
	// Guards against a prefill rate that is learned at a slow target and applied to a fast one.
	for (bool known : {true, false}) {
		SpeedHarness harness;
		CallSpec call;
		call.model = ModelNumber{1};
		call.prompt_tokens = 3000;
		call.generated = true;
		double before = harness.targets.PrefillRate();
		Duration usual = harness.targets.FirstTokenWait(harness.targets.Get(TargetNumber{1}), call, START);
		harness.targets.OnTimeFactor(TargetNumber{0}, 2, START);
		if (known) harness.targets.OnTimeFactor(TargetNumber{1}, 0.5, START);
		Duration wait = harness.targets.FirstTokenWait(harness.targets.Get(TargetNumber{1}), call, START);
		CHECK(Seconds(wait) == doctest::Approx(Seconds(usual) * (known ? 0.5 : 1)).epsilon(0.001));
		harness.targets.OnSent(TargetNumber{1}, call, START);
		CHECK(Seconds(TargetTable::PrefillWait(harness.targets.Get(TargetNumber{1}), START)) ==
		      doctest::Approx(Seconds(wait)).epsilon(0.001));
		// It takes half the usual time, which at a target of unknown speed tells nothing about the usual rate.
		harness.targets.OnToken(TargetNumber{1}, call.id, START + usual / 2);
		CHECK(harness.targets.PrefillRate() == doctest::Approx(before).epsilon(0.001));
	}
}

TEST_CASE("Speed - without any stated speed the prefill rate is learned as before")
{
	// Guards against effects on deployments whose targets state no speed.
	SpeedHarness harness;
	CallSpec call;
	call.model = ModelNumber{1};
	call.prompt_tokens = 3000;
	call.generated = true;
	harness.targets.OnSent(TargetNumber{0}, call, START);
	harness.targets.OnToken(TargetNumber{0}, call.id, START + seconds(1));
	CHECK(harness.targets.PrefillRate() == doctest::Approx(7000 + 0.05 * (3000 - 7000)));
}

TEST_CASE("Speed - the weights of a distribution sum to 1, and it spans the factors")
{
	// Guards against weighted means over a distribution that are off.
	rc::check([](const std::vector<uint8_t> &percents) {
		std::vector<double> factors;
		for (uint8_t percent : percents) factors.push_back(0.05 + percent / 100.0);
		TimeFactors distribution = DistributionOf(factors);
		RC_ASSERT(distribution.empty() == factors.empty());
		if (factors.empty()) return;
		double weights = 0;
		double mean = 0;
		for (const WeightedFactor &each : distribution) {
			weights += each.weight;
			mean += each.weight * each.factor;
		}
		RC_ASSERT(std::abs(weights - 1) < 1e-9);
		double expected = std::accumulate(factors.begin(), factors.end(), 0.0) / static_cast<double>(factors.size());
		RC_ASSERT(std::abs(mean - expected) < 1e-9);
		RC_ASSERT(std::is_sorted(distribution.begin(), distribution.end(), [](auto &a, auto &b) { return a.factor < b.factor; }));
	});
}
