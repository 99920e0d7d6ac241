/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file migration_headroom_test.cpp Guards against an engine with room that is not chosen for a run that has to migrate. */

#include "decision/dispatcher.h"
#include "gateway/gateway_type.h"
#include "platform/node_settings.h"
#include <doctest/doctest.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** @return The limits of a gateway with the headroom under test, which is switched off by default. */
DispatchLimits LimitsInUse()
{
	DispatchLimits limits = GatewayLimitsFor(NodeSettings{}).dispatch;
	limits.targets.use_migration_headroom = true;
	return limits;
}

constexpr uint64_t CAPACITY = 27000; ///< Memory of an engine, in tokens.

/** A run on a draining engine, and one other engine to which it can migrate. */
class MigrationHarness {
public:
	explicit MigrationHarness(uint64_t capacity = CAPACITY, DispatchLimits limits = LimitsInUse())
	    : dispatcher(limits, MakeRouter("headroom", 1, GatewayLimitsFor(NodeSettings{}).router))
	{
		this->source = this->dispatcher.Targets().Configure("source", "hall", {ModelNumber{0}});
		this->dispatcher.Targets().SetServiceCapacity(this->source, CAPACITY);
		this->run = MakeRun(1, 3000, 752);
		Decisions decisions = this->dispatcher.Submit(this->run, this->now);
		REQUIRE(decisions.sends.size() == 1);
		this->engine = this->dispatcher.Targets().Configure("engine", "hall", {ModelNumber{0}});
		this->dispatcher.Targets().SetServiceCapacity(this->engine, capacity);
		this->dispatcher.Targets().MarkDraining(this->source);
	}

	/** @return A generation with \a prompt tokens and at most \a output tokens. */
	static CallSpec MakeRun(uint64_t id, uint32_t prompt, uint32_t output)
	{
		CallSpec call;
		call.id = CallId{id};
		call.prompt_tokens = prompt;
		call.max_tokens = output;
		call.repeatable = false;
		call.deadline = TimePoint(std::chrono::hours(1));
		return call;
	}

	/** A peer announces a call with \a prompt tokens at the other engine. @return Its number. */
	CallId SendPeerCall(uint32_t prompt)
	{
		CallSpec call = MakeRun((1ULL << 62) + this->next_peer_call++, prompt, 8);
		this->dispatcher.Targets().OnPeerCallSent(this->engine, call, this->now);
		return call.id;
	}

	/** A report of the other engine arrives. */
	void Report(uint64_t used, uint32_t running, uint32_t waiting = 0, uint64_t waiting_tokens = 0)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.capacity_tokens = this->dispatcher.Targets().Get(this->engine).report.capacity_tokens;
		report.used_tokens = used;
		report.running = running;
		report.waiting = waiting;
		report.waiting_tokens = waiting_tokens;
		report.age = milliseconds(400);
		this->dispatcher.OnReport(this->engine, report, this->now);
	}

	/** @return Whether the other engine is chosen for the run. */
	bool IsChosen() { return this->dispatcher.ChooseMigrationTarget(this->run.id, {}, this->now) == this->engine; }

	Dispatcher dispatcher;
	TimePoint now{std::chrono::seconds(10)};
	TargetNumber source; ///< Draining engine with the run.
	TargetNumber engine; ///< The other engine.
	CallSpec run;        ///< The run that migrates.

private:
	uint64_t next_peer_call = 1; ///< Number of the next call of a peer.
	uint64_t reports = 0;        ///< Reports so far.
};

} // namespace

TEST_CASE("Migration headroom - the output of a run so far is not reserved a second time as expected output")
{
	MigrationHarness harness;
	harness.dispatcher.OnToken(harness.run.id, harness.now, 700);
	harness.Report(0, 0);
	double fill = 0.97 * CAPACITY;
	// 3,700 tokens are held and at most 52 will follow, of which 21 are reserved. Before its start, 102 were reserved for its output.
	harness.SendPeerCall(static_cast<uint32_t>(fill) - 3760);
	harness.now += milliseconds(20);
	CHECK(harness.IsChosen());
	harness.SendPeerCall(200);
	CHECK_MESSAGE(!harness.IsChosen(), "room for 3,560 tokens is not enough for the 3,700 that the run holds");
}

TEST_CASE("Migration headroom - a call that a peer announced as ended does not count because an older report includes it")
{
	MigrationHarness harness;
	CallId ended = harness.SendPeerCall(12000);
	CallId stays = harness.SendPeerCall(12000);
	harness.now += milliseconds(600);
	harness.dispatcher.Targets().OnPeerCallEnded(harness.engine, ended, harness.now);
	harness.now += milliseconds(100);
	// Made 300 ms before the call ended.
	harness.Report(24000, 2);
	CHECK(harness.IsChosen());
	// A report made after the end counts what it shows: another call has taken the memory.
	harness.now += milliseconds(900);
	harness.Report(24000, 2);
	CHECK_FALSE(harness.IsChosen());
	harness.dispatcher.Targets().OnPeerCallEnded(harness.engine, stays, harness.now);
	CHECK(harness.IsChosen());
}

TEST_CASE("Migration headroom - a known call that waits at the engine does not count as an unknown one as well")
{
	MigrationHarness harness;
	harness.SendPeerCall(11000);
	harness.SendPeerCall(11000);
	harness.now += milliseconds(600);
	// One of the two runs, the other one waits, so that its memory is not in use yet.
	harness.Report(11000, 1, 1, 11000);
	CHECK(harness.IsChosen());
	// A waiting call that nobody announced counts.
	harness.Report(22000, 2, 1, 11000);
	CHECK_FALSE(harness.IsChosen());
}

TEST_CASE("Migration headroom - the run's own copy that failed does not keep it from an idle engine")
{
	// The run needs nearly all of the engine's memory, which is admissible while the engine is idle.
	MigrationHarness harness(3050);
	harness.Report(0, 0);
	REQUIRE(harness.IsChosen());
	CallSpec copy = harness.run;
	copy.id = CallId{1ULL << 61};
	harness.dispatcher.Targets().OnPeerCallSent(harness.engine, copy, harness.now, 1);
	CHECK_FALSE(harness.IsChosen());
	harness.dispatcher.Targets().OnPeerCallEnded(harness.engine, copy.id, harness.now);
	CHECK(harness.IsChosen());
}

TEST_CASE("Migration headroom - the memory of a copy that the run has taken over counts once, whenever the report was made")
{
	MigrationHarness harness;
	harness.dispatcher.OnToken(harness.run.id, harness.now, 4);
	CallSpec copy = harness.run;
	copy.id = CallId{1ULL << 61};
	TargetTable &targets = harness.dispatcher.Targets();
	targets.OnPeerCallSent(harness.engine, copy, harness.now, 4);
	harness.now += milliseconds(500);
	harness.dispatcher.OnMigrated(harness.run.id, harness.engine, harness.now);
	targets.OnPeerCallEnded(harness.engine, copy.id, harness.now);
	// Made 100 ms before the run took the copy over, when the engine had reserved the memory of the copy.
	harness.now += milliseconds(300);
	harness.Report(3004, 1);
	CallSpec next = MigrationHarness::MakeRun(2, 3000, 752);
	next.migrated_output = 4;
	const TargetState &state = targets.Get(harness.engine);
	double free = targets.Headroom(state, next, harness.now);
	CHECK(free == doctest::Approx(0.97 * CAPACITY - state.known_tokens - state.growth * state.known_residual));
}

TEST_CASE("Migration headroom - calls that don't migrate have the same headroom as before")
{
	DispatchLimits limits = LimitsInUse();
	limits.targets.use_migration_headroom = false;
	MigrationHarness now_counted;
	MigrationHarness as_before(CAPACITY, limits);
	for (MigrationHarness *harness : {&now_counted, &as_before}) {
		CallId ended = harness->SendPeerCall(5000);
		harness->SendPeerCall(2000);
		harness->now += milliseconds(600);
		harness->dispatcher.Targets().OnPeerCallEnded(harness->engine, ended, harness->now);
		harness->Report(6000, 1, 1, 2000);
	}
	CallSpec call = MigrationHarness::MakeRun(9, 1000, 100);
	auto headroom = [&](MigrationHarness &harness) {
		const TargetTable &targets = harness.dispatcher.Targets();
		return targets.Headroom(targets.Get(harness.engine), call, harness.now);
	};
	CHECK(headroom(now_counted) == headroom(as_before));
}
