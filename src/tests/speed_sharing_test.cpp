/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file speed_sharing_test.cpp Guards against speeds that reach the instances late, and against too many probes and messages. */

#include "peer/peer_message.h"
#include "tests/speed_simulation.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr TimePoint START{seconds(100)}; ///< Start of the simulated time.

TEST_CASE("Speed sharing - two seconds after a target's first stream, nine of ten instances know whether it is slow")
{
	// Guards against instances that each learn alone: an instance sees only some eleven long streams while a target lives.
	size_t judged = 0;
	size_t well_known = 0;
	for (uint32_t seed = 1; seed <= 4; seed++) {
		CAPTURE(seed);
		SpeedLayout layout;
		layout.restarts = seed % 2 == 0 ? seconds(3) : Duration(0);
		SpeedCounts counts = SpeedSimulation(layout, seed).Run();
		REQUIRE(counts.judged > 50);
		CHECK(counts.right * 10 >= counts.pairs * 9);
		judged += counts.judged;
		well_known += counts.well_known;
	}
	CHECK(well_known * 10 >= judged * 9);
}

TEST_CASE("Speed sharing - the same holds for few and many instances, targets and streams")
{
	// Guards against a rule that fits the size of one deployment only.
	for (size_t instances : {3U, 12U, 100U}) {
		for (size_t targets : {6U, 90U}) {
			CAPTURE(instances);
			CAPTURE(targets);
			SpeedLayout layout{.instances = instances, .targets = targets, .streams_per_s = static_cast<double>(targets), .steps = 1200};
			SpeedCounts counts = SpeedSimulation(layout, 5).Run();
			CHECK(counts.right * 10 >= counts.pairs * 9);
		}
	}
}

TEST_CASE("Speed sharing - a hall that is cut off, and the halls that it is cut off from, go on learning the targets that they reach")
{
	// Guards against speeds that reach the instances only by way of another hall.
	SpeedCounts counts = SpeedSimulation({.cut_off = true, .steps = 1600}, 4).Run();
	CHECK(counts.well_known * 10 >= counts.judged * 9);
	CHECK(counts.right * 10 >= counts.pairs * 9);
}

TEST_CASE("Speed sharing - a target gets at most four probes, an instance sends at most five a second, and updates are few")
{
	// Guards against probes and messages that grow with the number of instances.
	SpeedCounts few = SpeedSimulation({.instances = 12}, 3).Run();
	SpeedCounts many = SpeedSimulation({.instances = 118}, 3).Run();
	for (const SpeedCounts &counts : {few, many}) {
		CHECK(counts.most_probes <= 4);
		CHECK(counts.most_per_s <= 5);
		CHECK(counts.probes <= 3 * counts.started);
	}
	CHECK(many.updates <= few.updates * 3 / 2);
}

TEST_CASE("Speed sharing - a speed and a rate limit of a target that are published together don't replace each other")
{
	// Guards against a rate limit that never reaches the other instances, as an answer with a speed follows in the same tick.
	PendingSignals pending;
	TargetSignalUpdate limit{.target = "t", .limit = SignalState::Present, .limit_per_s = 2.4};
	TargetSignalUpdate speed{.target = "t", .time_factor = 1.2};
	for (bool limit_first : {true, false}) {
		pending.Add(limit_first ? limit : speed, limit_first ? START : START + milliseconds(10));
		pending.Add(limit_first ? speed : limit, limit_first ? START + milliseconds(10) : START);
		pending.Add({.target = "u", .time_factor = 0.5}, START);
		std::vector<TargetSignalUpdate> updates = pending.Take(START + milliseconds(25));
		REQUIRE(updates.size() == 2);
		CHECK(updates[0].limit == SignalState::Present);
		CHECK(updates[0].limit_per_s == 2.4);
		CHECK(updates[0].request_age == milliseconds(25));
		CHECK(updates[0].time_factor == 1.2);
		CHECK(updates[0].factor_age == milliseconds(15));
		CHECK(updates[1].limit == SignalState::Unreadable);
		CHECK(updates[1].time_factor == 0.5);
		CHECK(pending.Take(START).empty());
	}
}

TEST_CASE("Speed sharing - a drain notice survives later updates of the same tick")
{
	// Guards against a target that gets calls after its notice.
	PendingSignals pending;
	pending.Add({.target = "t", .draining = true}, START);
	pending.Add({.target = "t", .limit = SignalState::Absent}, START + milliseconds(5));
	pending.Add({.target = "t", .time_factor = 1.2}, START + milliseconds(6));
	std::vector<TargetSignalUpdate> updates = pending.Take(START + milliseconds(25));
	REQUIRE(updates.size() == 1);
	CHECK(updates[0].draining);
	CHECK(updates[0].limit == SignalState::Absent);
	CHECK(updates[0].request_age == milliseconds(20));
}

/** @return The signals in \a message after encoding and decoding; nothing if it is invalid. */
static std::optional<SignalsMessage> PassOn(const SignalsMessage &message)
{
	Result<PeerMessage> decoded = DecodePeerMessage(EncodePeerMessage(message));
	if (!decoded) return std::nullopt;
	return std::get<SignalsMessage>(decoded.value());
}

TEST_CASE("Speed sharing - a time factor passes through a message, and one out of range makes the message invalid")
{
	// Guards against a forged value, and against a message without the element that is taken for invalid.
	SignalsMessage message{"g1", "hall", false, {{.target = "a", .time_factor = 1.2, .factor_age = milliseconds(30)}, {.target = "b"}}};
	std::optional<SignalsMessage> decoded = PassOn(message);
	REQUIRE(decoded);
	CHECK(decoded->signals[0].time_factor == 1.2);
	CHECK(decoded->signals[0].factor_age == milliseconds(30));
	CHECK(decoded->signals[0].limit == SignalState::Unreadable);
	CHECK(!decoded->signals[1].time_factor);
	for (double factor : {0.0, 0.049, 20.01, -1.0, std::nan(""), HUGE_VAL}) {
		message.signals[0].time_factor = factor;
		CHECK(!PassOn(message));
	}
	message.signals[0] = {.target = "a", .time_factor = 1.2, .factor_age = std::chrono::hours(2)};
	CHECK(!PassOn(message));
}

namespace {

/** Targets of one pool, probed by one instance. */
struct ProbeHarness {
	explicit ProbeHarness(uint32_t count)
	{
		for (uint32_t i = 0; i < count; i++)
			this->candidates.push_back(this->targets.Configure("t" + std::to_string(i), "hall", {ModelNumber{1}}));
	}

	/** @return Number of targets that are probed at \a now. */
	size_t Probe(TimePoint now)
	{
		auto reads = [this](const TargetState &) { return this->is_reader; };
		return this->probes.Choose(this->candidates, this->targets, reads, now).size();
	}

	LengthEstimate lengths{LengthEstimateLimits{}};
	TargetTable targets{AdmissionLimits{}, this->lengths};
	SpeedProbes probes{SpeedProbeLimits{}};
	std::vector<TargetNumber> candidates;
	bool is_reader = true; ///< Whether this instance probes the targets.
};

} // namespace

TEST_CASE("Speed probes - none without a stated speed in the pool, and two for a target that answers")
{
	// Guards against health requests at deployments whose targets state no speed, where each one is counted.
	ProbeHarness harness(2);
	CHECK(harness.Probe(START) == 0);
	harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START);
	harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START + seconds(1));
	CHECK(harness.Probe(START + seconds(1)) == 1);
	harness.targets.OnTimeFactor(TargetNumber{1}, 0.55, START + seconds(1));
	CHECK(harness.Probe(START + milliseconds(1600)) == 0);
	CHECK(harness.Probe(START + milliseconds(1700)) == 1);
	harness.targets.OnTimeFactor(TargetNumber{1}, 0.55, START + milliseconds(1700));
	for (int i = 2; i < 50; i++) CHECK(harness.Probe(START + seconds(i)) == 0);
}

TEST_CASE("Speed probes - a target that never answers gets four, in intervals of 700 ms")
{
	// Guards against an endless series of probes.
	ProbeHarness harness(2);
	harness.targets.OnPeerTimeFactor("t0", 1.2, START, START);
	harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START);
	std::vector<TimePoint> times;
	for (int i = 0; i < 300; i++) {
		TimePoint now = START + milliseconds(100) * i;
		if (harness.Probe(now) > 0) times.push_back(now);
	}
	REQUIRE(times.size() == 4);
	for (size_t i = 1; i < times.size(); i++) CHECK(times[i] - times[i - 1] == milliseconds(700));
}

TEST_CASE("Speed probes - an instance sends at most five in a second, targets without any sample first")
{
	// Guards against a burst of health requests when many targets start, which delays all targets without a sample.
	ProbeHarness harness(12);
	for (uint32_t i = 0; i < 6; i++) harness.targets.OnTimeFactor(TargetNumber{i}, 1.2, START);
	std::vector<TargetNumber> chosen = harness.probes.Choose(
	        harness.candidates, harness.targets, [](const TargetState &) { return true; }, START);
	REQUIRE(chosen.size() == 5);
	for (TargetNumber number : chosen) CHECK(number.value >= 6);
	CHECK(harness.Probe(START + milliseconds(500)) == 0);
	CHECK(harness.Probe(START + milliseconds(999)) == 0);
	CHECK(harness.Probe(START + seconds(1)) == 5);
}

TEST_CASE("Speed probes - a target that is paused, limited, ejected, draining or evacuated is not probed")
{
	// Guards against requests that a target has asked not to get, and against attempts that are used up meanwhile.
	auto probes_after = [](const std::function<void(ProbeHarness &)> &restrict) {
		ProbeHarness harness(2);
		harness.targets.OnPeerTimeFactor("t0", 1.2, START, START);
		harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START);
		restrict(harness);
		return harness.Probe(START + seconds(1));
	};
	TargetSignals limit;
	limit.limit = SignalState::Present;
	limit.limit_per_s = 2;
	TargetSignals pause;
	pause.pause = seconds(2);
	CHECK(probes_after([](ProbeHarness &) {}) == 1);
	CHECK(probes_after([&](ProbeHarness &h) { h.targets.OnSignals(TargetNumber{1}, limit, START, START); }) == 0);
	CHECK(probes_after([&](ProbeHarness &h) { h.targets.OnSignals(TargetNumber{1}, pause, START, START); }) == 0);
	CHECK(probes_after([](ProbeHarness &h) { h.targets.MarkDraining(TargetNumber{1}); }) == 0);
	CHECK(probes_after([](ProbeHarness &h) { h.targets.SetEvacuatedHalls({"hall"}); }) == 0);
	CHECK(probes_after([](ProbeHarness &h) { h.targets.Forget(TargetNumber{1}); }) == 0);
	CHECK(probes_after([](ProbeHarness &h) {
		      CallSpec call;
		      call.model = ModelNumber{1};
		      for (uint64_t i = 0; i < 2; i++) {
			      call.id = CallId{i};
			      h.targets.OnSent(TargetNumber{1}, call, START);
			      h.targets.OnEnded(TargetNumber{1}, call.id, SendResult::Unreachable, START + milliseconds(999));
		      }
	      }) == 0);
}

TEST_CASE("Speed probes - when the probing instance fails, the next one goes on")
{
	// Guards against targets that stay unknown, and against a second full series of probes after a change of the reader.
	ProbeHarness harness(2);
	harness.is_reader = false;
	harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START);
	CHECK(harness.Probe(START) == 0);
	harness.targets.OnPeerTimeFactor("t1", 0.55, START + milliseconds(100), START + milliseconds(100));
	harness.is_reader = true;
	CHECK(harness.Probe(START + milliseconds(500)) == 2);
	harness.targets.OnTimeFactor(TargetNumber{1}, 0.55, START + milliseconds(500));
	harness.targets.OnTimeFactor(TargetNumber{0}, 1.2, START + milliseconds(700));
	for (int i = 1; i < 50; i++) CHECK(harness.Probe(START + seconds(i)) == 0);
}
