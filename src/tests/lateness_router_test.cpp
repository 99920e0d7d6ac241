/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness_router_test.cpp Guards against wrong choices between engines of known speeds. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <map>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A pool with engines of given speeds. */
class SpeedPool {
public:
	explicit SpeedPool(const std::vector<double> &factors, DispatchLimits limits = {})
	    : dispatcher(limits, MakeRouter("headroom", 1, HeadroomRules{.use_overcommit = false}))
	{
		for (double factor : factors) this->Add(factor);
	}

	/** Add an engine with the time factor \a factor; 0 for unknown. */
	TargetNumber Add(double factor, const char *hall = "hall")
	{
		std::string name = "engine" + std::to_string(this->dispatcher.Targets().Size());
		TargetNumber number = this->dispatcher.Targets().Configure(name, hall, {ModelNumber{0}});
		this->factors[number] = factor;
		this->Report(number, 0);
		return number;
	}

	/** Let all engines of known speed state it, as what they stated expires. */
	void StateSpeeds()
	{
		for (const auto &[number, factor] : this->factors) {
			if (factor > 0) this->dispatcher.Targets().OnTimeFactor(number, factor, this->now);
		}
	}

	/** Let \a engine report \a used tokens. */
	void Report(TargetNumber engine, uint64_t used)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.incarnation = "a";
		report.capacity_tokens = 26892;
		report.used_tokens = used;
		this->dispatcher.OnReport(engine, report, this->now);
		this->StateSpeeds();
	}

	/** @return A stream of at most \a max_tokens tokens. */
	CallSpec Stream(uint32_t max_tokens)
	{
		CallSpec call;
		call.id = CallId{this->next_id++};
		call.prompt_tokens = max_tokens > 100 ? 3000 : 2200;
		call.max_tokens = max_tokens;
		call.arrived = this->now;
		call.deadline = this->now + milliseconds(400);
		call.objective = milliseconds(1800);
		call.gap_objective = milliseconds(180);
		return call;
	}

	/** Send some prompts of peers to each engine and end them, so that one a second is expected. */
	void SendPrompts()
	{
		this->StateSpeeds();
		TargetTable &targets = this->dispatcher.Targets();
		for (uint32_t engine = 0; engine < targets.Size(); engine++) {
			for (int i = 0; i < 4; i++) {
				CallSpec call = this->Stream(8);
				targets.OnPeerCallSent(TargetNumber{engine}, call, this->now);
				targets.OnPeerCallEnded(TargetNumber{engine}, call.id, this->now);
			}
		}
	}

	/** @return How many of \a count streams of at most \a max_tokens tokens, each alone in the pool, go to \a engine. */
	int ChosenOf(int count, uint32_t max_tokens, TargetNumber engine)
	{
		int chosen = 0;
		for (int i = 0; i < count; i++) {
			this->now += std::chrono::seconds(20);
			this->SendPrompts();
			Decisions decisions = this->dispatcher.Submit(this->Stream(max_tokens), this->now);
			REQUIRE(decisions.sends.size() == 1);
			if (decisions.sends.front().target == engine) chosen++;
			this->dispatcher.OnSendEnded(decisions.sends.front().call, SendOutcome::CallerDisconnected, this->now);
		}
		return chosen;
	}

	Dispatcher dispatcher;
	TimePoint now{std::chrono::seconds(100)};
	std::map<TargetNumber, double> factors; ///< Time factors by engine; 0 for unknown.

private:
	uint64_t reports = 0;
	uint64_t next_id = 1;
};

/** Teach the pool's estimate that every fifth prompt takes 154 ms between two events at usual speed. */
void TeachGaps(SpeedPool &pool, TargetNumber at)
{
	for (int i = 0; i < 100; i++) {
		CallSpec run = pool.Stream(800);
		run.id = CallId{100000U + static_cast<uint64_t>(i)};
		TargetTable &targets = pool.dispatcher.Targets();
		targets.OnSent(at, run, pool.now);
		targets.OnToken(at, run.id, pool.now, 4);
		CallSpec other = pool.Stream(8);
		other.id = CallId{200000U + static_cast<uint64_t>(i)};
		targets.OnPeerCallSent(at, other, pool.now);
		for (int event = 0; event < 4; event++) {
			pool.now += FromSeconds((i % 5 == 0 ? 0.154 : 0.062) * pool.factors.at(at));
			targets.OnToken(at, run.id, pool.now, 4);
		}
		targets.OnPeerCallEnded(at, other.id, pool.now);
		for (int event = 0; event < 3; event++) targets.OnToken(at, run.id, pool.now += milliseconds(20), 4);
		targets.OnEnded(at, run.id, SendResult::Answered, pool.now);
	}
	pool.now += std::chrono::seconds(20);
}

} // namespace

// Guards against long streams on idle slow engines while a fast one that is half full has headroom.
TEST_CASE("Lateness router - long streams go to the fast engine and short ones mostly to the slow engines")
{
	SpeedPool pool({0.55, 1.2, 1.2, 1.2});
	TeachGaps(pool, TargetNumber{1});
	pool.Report(TargetNumber{0}, 12000);
	pool.SendPrompts();
	TargetTable &targets = pool.dispatcher.Targets();
	CHECK(targets.GapLossAtFactor(pool.Stream(800), 1.2, pool.now) > 0.5);
	CHECK(targets.GapLossAtFactor(pool.Stream(800), 0.55, pool.now) < 0.2);
	CHECK(targets.GapLossAtFactor(pool.Stream(8), 1.2, pool.now) < 0.1);
	CHECK(pool.ChosenOf(40, 800, TargetNumber{0}) >= 30);
	CHECK(pool.ChosenOf(40, 8, TargetNumber{0}) <= 10);
}

// Guards against short calls that fill the fast engines, which long streams then cannot use.
TEST_CASE("Lateness router - a call that loses nothing on a slow engine goes there more often than to an equally full fast one")
{
	SpeedPool pool({0.55, 1.2});
	pool.Report(TargetNumber{0}, 16000);
	pool.Report(TargetNumber{1}, 16000);
	int fast = 0;
	for (int i = 0; i < 400; i++) {
		CallSpec call = pool.Stream(8);
		call.objective = call.gap_objective = Duration(0);
		Decisions decisions = pool.dispatcher.Submit(call, pool.now);
		REQUIRE(decisions.sends.size() == 1);
		REQUIRE(decisions.sends.front().lateness.has_value());
		CHECK(decisions.sends.front().lateness->loss == 0);
		if (decisions.sends.front().target == TargetNumber{0}) fast++;
		pool.dispatcher.OnSendEnded(call.id, SendOutcome::CallerDisconnected, pool.now);
		pool.now += std::chrono::seconds(1);
		pool.Report(TargetNumber{0}, 16000);
		pool.Report(TargetNumber{1}, 16000);
	}
	CHECK(fast > 40);
	CHECK(fast < 165);
}

// Guards against a preference for the caller's hall that makes the call late.
TEST_CASE("Lateness router - a certainly late call costs more than another hall")
{
	SpeedPool pool({});
	TargetNumber slow = pool.Add(4.0, "near");
	TargetNumber fast = pool.Add(0.55, "far");
	pool.Report(fast, 5000);
	TeachGaps(pool, fast);
	pool.SendPrompts();
	CallSpec call = pool.Stream(800);
	call.halls = {{"near", 1}, {"far", 1}};
	call.other_hall_penalty = 1.2;
	TargetTable &targets = pool.dispatcher.Targets();
	CHECK(targets.LatenessAt(targets.Get(slow), call, {{4.0, 1}}, pool.now).loss > 0.95);
	Decisions decisions = pool.dispatcher.Submit(call, pool.now);
	REQUIRE(decisions.sends.size() == 1);
	CHECK(decisions.sends.front().target == fast);
}

// Guards against migrations that ignore the speed, and against a remaining time that is the same on slow and fast engines.
TEST_CASE("Lateness router - a run migrates to a fast engine, and its remaining time follows the factor")
{
	SpeedPool pool({1.2});
	TeachGaps(pool, TargetNumber{0});
	CallSpec call = pool.Stream(800);
	REQUIRE(pool.dispatcher.Submit(call, pool.now).sends.size() == 1);
	pool.dispatcher.OnToken(call.id, pool.now, 4);
	TargetNumber slow = pool.Add(4.0);
	TargetNumber fast = pool.Add(0.55);
	pool.SendPrompts();
	CHECK(pool.dispatcher.ChooseMigrationTarget(call.id, {}, pool.now) == fast);
	TargetTable &targets = pool.dispatcher.Targets();
	const InFlightCall &run = targets.Get(TargetNumber{0}).in_flight.at(call.id);
	double at_slow = Seconds(pool.dispatcher.RemainingTime(run, targets.Get(slow), pool.now));
	double at_fast = Seconds(pool.dispatcher.RemainingTime(run, targets.Get(fast), pool.now));
	CHECK(at_slow == doctest::Approx(at_fast * 4.0 / 0.55).epsilon(0.001));
}

// Guards against a nearly full engine that all instances fill at the same moment.
TEST_CASE("Lateness router - a nearly full engine with recent prompts has a higher loss than one with memory left")
{
	SpeedPool pool({0.55});
	pool.SendPrompts();
	CallSpec call = pool.Stream(800);
	TargetTable &targets = pool.dispatcher.Targets();
	auto loss = [&] { return targets.LatenessAt(targets.Get(TargetNumber{0}), call, {{0.55, 1}}, pool.now).loss; };
	pool.Report(TargetNumber{0}, 5000);
	double with_room = loss();
	pool.Report(TargetNumber{0}, 23000);
	// A third of a prompt is not known yet, and no further one fits: 0.26 by itself.
	CHECK(loss() > with_room + 0.15);
}

// Guards against a call that waits for a fast engine until its deadline.
TEST_CASE("Lateness router - a call does not wait for a fast engine without headroom")
{
	SpeedPool pool({0.55, 1.2});
	pool.Report(TargetNumber{0}, 26000);
	CHECK(pool.ChosenOf(10, 800, TargetNumber{1}) == 10);
}

// Guards against targets of unknown speed that are taken for fast: the pool's speeds decide.
TEST_CASE("Lateness router - a target of unknown speed counts as the mean of the known ones")
{
	SpeedPool pool({0.55, 1.2, 0});
	TargetTable &targets = pool.dispatcher.Targets();
	TimeFactors unknown = targets.PlacementFactors(targets.Get(TargetNumber{2}), pool.now);
	REQUIRE(unknown.size() == 2);
	CallSpec call = pool.Stream(800);
	auto loss = [&](const TimeFactors &factors) { return targets.LatenessAt(targets.Get(TargetNumber{2}), call, factors, pool.now).loss; };
	CHECK(loss(unknown) == doctest::Approx((loss({{0.55, 1}}) + loss({{1.2, 1}})) / 2));
}

// Guards against prompts beside long streams on slow engines.
TEST_CASE("Lateness router - a new prompt counts as harm to the long streams of this instance and of peers that run there")
{
	SpeedPool pool({1.2, 1.2});
	TeachGaps(pool, TargetNumber{0});
	TargetTable &targets = pool.dispatcher.Targets();
	targets.OnPeerCallSent(TargetNumber{0}, pool.Stream(800), pool.now);
	targets.OnSent(TargetNumber{0}, pool.Stream(800), pool.now);
	CallSpec call = pool.Stream(8);
	auto harm = [&](uint32_t engine) { return targets.LatenessAt(targets.Get(TargetNumber{engine}), call, {{1.2, 1}}, pool.now).harm; };
	CHECK(harm(0) > 0.3);
	CHECK(harm(1) == 0);
	CHECK(targets.GapObjectiveOf(ModelNumber{0}) == milliseconds(180));
	// No prompt is read for a run that migrates.
	call.migrated_output = 4;
	CHECK(harm(0) == 0);
}

// Guards against lengths that mix the long and the short streams of an account.
TEST_CASE("Lateness router - the maximum number of output tokens tells long from short streams of an account")
{
	SpeedPool pool({1.2});
	StreamLengths lengths;
	for (int i = 0; i < 100; i++) {
		lengths.Learn(8, 8);
		lengths.Learn(1000, 700);
	}
	CHECK(lengths.Residual(8, 0) <= 8);
	CHECK(lengths.Residual(1000, 0) == doctest::Approx(700).epsilon(0.2));
	CHECK(lengths.Residual(4000, 0) == 4000);
	CHECK(lengths.Residual(1000, 999) <= 1);
}

// Guards against a changed score for services, and against a switch without effect.
TEST_CASE("Lateness router - services and a switched-off feature have no placement factors")
{
	SpeedPool pool({0.55});
	TargetTable &targets = pool.dispatcher.Targets();
	TargetNumber service = targets.Configure("service", "hall", {ModelNumber{1}}, false);
	targets.OnTimeFactor(service, 2, pool.now);
	CHECK(targets.PlacementFactors(targets.Get(service), pool.now).empty());
	CHECK(targets.PlacementFactors(targets.Get(TargetNumber{0}), pool.now).size() == 1);
	DispatchLimits off;
	off.targets.use_lateness = false;
	SpeedPool without({0.55}, off);
	CHECK(without.dispatcher.Targets().PlacementFactors(without.dispatcher.Targets().Get(TargetNumber{0}), pool.now).empty());
}
