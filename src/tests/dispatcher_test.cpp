/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file dispatcher_test.cpp Guards against dispatch decisions that break an invariant: duplicate runs, lost calls, too many retries. */

#include "decision/dispatcher.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** State of one call as seen by the caller of the dispatcher. */
struct TrackedCall {
	CallSpec spec;
	std::optional<TargetNumber> holder; ///< Target to which it was sent.
	bool finished = false;              ///< Whether it has finished or was rejected.
	bool outcome_unknown = false;       ///< Whether an attempt ended with an unknown outcome.
	int sends = 0;                      ///< Number of attempts.
	std::set<uint32_t> failed_at;       ///< Targets at which an attempt failed.
};

/** Feeds random events to a dispatcher and checks every decision. */
class DispatcherHarness {
public:
	explicit DispatcherHarness(uint32_t seed, const char *router = "headroom")
	    : random(seed), dispatcher(Limits(), MakeRouter(router, seed))
	{
		this->dispatcher.Targets().SetInstances(0, 2);
		for (int i = 0; i < 3; i++) {
			std::vector<ModelNumber> models{ModelNumber{0}};
			this->targets.push_back(this->dispatcher.Targets().Configure("target" + std::to_string(i), "hall", models));
			this->Report(i);
		}
	}

	static DispatchLimits Limits()
	{
		DispatchLimits limits;
		limits.queue.max_calls_per_account = 20;
		return limits;
	}

	/** Generate one random event. */
	void Step()
	{
		this->now += milliseconds(this->random() % 40);
		switch (this->random() % 9) {
		case 0:
		case 1:
			return this->Submit();
		case 2:
			return this->Report(static_cast<int>(this->random() % 3));
		case 3:
		case 4:
			return this->Token();
		case 5:
			return this->End();
		case 6:
			return this->ToggleDraining();
		case 7:
			return this->SendSignals();
		default:
			return this->Apply(this->dispatcher.OnTick(this->now));
		}
	}

	/** Complete all calls in flight, let all deadlines pass, and check that nothing is left. */
	void Finish()
	{
		for (int i = 0; i < 200; i++) {
			this->now += milliseconds(200);
			this->End(SendOutcome::Complete);
			this->Apply(this->dispatcher.OnTick(this->now));
		}
		for (const TrackedCall &call : this->calls) RC_ASSERT(call.finished);
		RC_ASSERT(this->dispatcher.Queue().Size() == 0U);
		RC_ASSERT(this->dispatcher.InFlight() == 0U);
	}

	std::string trace; ///< All decisions, to compare runs.

private:
	void Submit()
	{
		TrackedCall call;
		call.spec.id = CallId{this->calls.size()};
		call.spec.account = AccountNumber{this->random() % 4};
		call.spec.service_class = static_cast<ServiceClass>(this->random() % 3);
		call.spec.prompt_tokens = 1 + this->random() % 400;
		call.spec.repeatable = this->random() % 2 == 0;
		call.spec.arrived = this->now;
		call.spec.deadline = this->now + milliseconds(this->random() % 3000);
		this->calls.push_back(call);
		this->Apply(this->dispatcher.Submit(call.spec, this->now));
	}

	void Report(int target)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.incarnation = "a";
		report.capacity_tokens = 4000;
		report.used_tokens = this->random() % 4000;
		report.running = this->random() % 10;
		report.preemptions = this->reports / 7;
		report.age = milliseconds(this->random() % 500);
		this->Apply(this->dispatcher.OnReport(this->targets[static_cast<size_t>(target)], report, this->now));
	}

	TrackedCall *InFlight()
	{
		std::vector<TrackedCall *> sent;
		for (TrackedCall &call : this->calls) {
			if (call.holder) sent.push_back(&call);
		}
		return sent.empty() ? nullptr : sent[this->random() % sent.size()];
	}

	void Token()
	{
		if (TrackedCall *call = this->InFlight()) this->dispatcher.OnToken(call->spec.id, this->now);
	}

	void End(std::optional<SendOutcome> wanted = std::nullopt)
	{
		TrackedCall *call = this->InFlight();
		if (call == nullptr) return;
		SendOutcome end = wanted.value_or(static_cast<SendOutcome>(this->random() % 8));
		if (end == SendOutcome::NotSent) call->sends--;
		if (end != SendOutcome::Complete) call->failed_at.insert(call->holder->value);
		call->holder.reset();
		bool failed = end == SendOutcome::Lost || end == SendOutcome::Failed;
		call->outcome_unknown = call->outcome_unknown || failed;
		bool not_executed = end == SendOutcome::NotExecuted || end == SendOutcome::Rejected;
		bool again = not_executed || end == SendOutcome::NotSent || (failed && call->spec.repeatable);
		call->finished = !again;
		this->Apply(this->dispatcher.OnSendEnded(call->spec.id, end, this->now));
	}

	void ToggleDraining()
	{
		if (this->random() % 4 != 0) return;
		TargetNumber target = this->targets[this->random() % 2];
		bool leaves = this->random() % 2 == 0;
		if (leaves) this->dispatcher.Targets().MarkDraining(target);
		if (!leaves) this->dispatcher.Targets().ClearDraining(target);
	}

	/** Generate random signals of a target: a rate limit, its removal, a pause. */
	void SendSignals()
	{
		if (this->random() % 4 != 0) return;
		uint32_t target = this->random() % 3;
		TargetSignals signals;
		if (this->random() % 3 == 0) signals.pause = milliseconds(this->random() % 400);
		if (this->random() % 2 == 0) signals.limit = SignalState::Present;
		signals.limit_per_s = this->random() % 5;
		this->dispatcher.Targets().SetLimitShare(this->targets[target], {this->random() % 4, milliseconds(500)});
		this->dispatcher.Targets().OnSignals(this->targets[target], signals, this->now, this->now);
		this->paused_until[target] = std::max(this->paused_until[target], this->now + signals.pause);
		this->Apply(this->dispatcher.OnPlacementChanged(this->now));
	}

	void Apply(const Decisions &decisions)
	{
		for (const SendAction &send : decisions.sends) {
			TrackedCall &call = this->calls[send.call.value];
			this->trace += "s" + std::to_string(send.call.value) + ">" + std::to_string(send.target.value) + " ";
			RC_ASSERT(!call.finished);
			RC_ASSERT(!call.holder.has_value());
			RC_ASSERT(call.spec.repeatable || !call.outcome_unknown);
			RC_ASSERT(!this->dispatcher.Targets().Get(send.target).restrictions.draining);
			RC_ASSERT(!call.failed_at.contains(send.target.value) || this->HasNoOtherTarget(call));
			RC_ASSERT(this->now >= this->paused_until[send.target.value]);
			RC_ASSERT(++call.sends <= 3);
			call.holder = send.target;
		}
		for (const RejectAction &rejection : decisions.rejections) {
			TrackedCall &call = this->calls[rejection.call.value];
			this->trace += "g" + std::to_string(rejection.call.value) + " ";
			RC_ASSERT(!call.finished);
			RC_ASSERT(!call.holder.has_value());
			RC_ASSERT(rejection.retry_after > Duration{0});
			call.finished = true;
		}
	}

	/** @return Whether no target may get \a call other than those at which it failed. */
	bool HasNoOtherTarget(const TrackedCall &call) const
	{
		return std::all_of(this->targets.begin(), this->targets.end(), [&](TargetNumber target) {
			const TargetState &state = this->dispatcher.Targets().Get(target);
			return call.failed_at.contains(target.value) || !this->dispatcher.Targets().IsEligible(state, call.spec, this->now);
		});
	}

	pcg32 random;
	Dispatcher dispatcher; ///< Dispatcher under test.
	std::vector<TargetNumber> targets;
	std::vector<TrackedCall> calls;             ///< All calls, by id.
	TimePoint now{std::chrono::seconds(1000)};  ///< Simulated time.
	uint64_t reports = 0;                       ///< Number of load reports.
	std::map<uint32_t, TimePoint> paused_until; ///< End of the pause of each target.
};

/** @return A generation that waits at most 10 s. */
CallSpec MakeCall(uint64_t id, uint32_t account, TimePoint now)
{
	CallSpec call;
	call.id = CallId{id};
	call.account = AccountNumber{account};
	call.prompt_tokens = 100;
	call.arrived = now;
	call.deadline = now + std::chrono::seconds(10);
	return call;
}

} // namespace

TEST_CASE("Dispatcher - one target per call, no retry with unknown outcome unless repeatable, none to draining targets, no lost calls")
{
	bool good = rc::check("events", [](uint32_t seed) {
		DispatcherHarness harness(seed);
		for (int i = 0; i < 400; i++) harness.Step();
		harness.Finish();
	});
	CHECK(good);
}

TEST_CASE("Dispatcher - the same events give the same decisions")
{
	bool good = rc::check("replay", [](uint32_t seed) {
		DispatcherHarness first(seed), second(seed);
		for (int i = 0; i < 200; i++) {
			first.Step();
			second.Step();
		}
		RC_ASSERT(first.trace == second.trace);
	});
	CHECK(good);
}

TEST_CASE("Dispatcher - retries stay within the retry budget when every attempt fails")
{
	DispatchLimits limits;
	limits.targets.eject_failures = 1000000;
	Dispatcher dispatcher(limits, MakeRouter("round-robin", 1));
	TargetNumber target = dispatcher.Targets().Configure("target", "hall", {ModelNumber{0}});
	LoadReport report;
	report.sequence = 1;
	report.capacity_tokens = 1000000;
	TimePoint now(std::chrono::seconds(10));
	dispatcher.OnReport(target, report, now);
	uint64_t sends = 0;
	for (uint64_t i = 0; i < 2000; i++) {
		now += milliseconds(10);
		std::vector<Decisions> todo{dispatcher.Submit(MakeCall(i, 0, now), now), dispatcher.OnTick(now)};
		while (!todo.empty()) {
			Decisions next = std::move(todo.back());
			todo.pop_back();
			for (const SendAction &send : next.sends) {
				sends++;
				todo.push_back(dispatcher.OnSendEnded(send.call, SendOutcome::Lost, now));
			}
		}
	}
	CHECK(dispatcher.Counters().retries <= 2000 * 0.11 + 20);
	CHECK(sends <= 2000 + dispatcher.Counters().retries);
}

TEST_CASE("Queue - a flood of one account does not delay the calls of another")
{
	CallQueue queue({});
	TimePoint now(std::chrono::seconds(10));
	for (uint64_t i = 0; i < 500; i++) REQUIRE(queue.Push(MakeCall(i, 1, now), 100));
	REQUIRE(queue.Push(MakeCall(900, 2, now), 100));
	int before = 0;
	bool seen = false;
	while (!seen) {
		queue.ForEachHead(1, [&](const CallSpec &call) {
			seen = call.id == CallId{900};
			before += seen ? 0 : 1;
			return true;
		});
	}
	CHECK(before <= 1);
}

TEST_CASE("Queue - size and deadlines stay consistent under any sequence of operations")
{
	bool good = rc::check("sizes", [](uint32_t seed) {
		pcg32 random(seed);
		QueueLimits limits;
		limits.max_calls = 40;
		CallQueue queue(limits);
		std::set<uint64_t> waiting;
		TimePoint now(std::chrono::seconds(10));
		for (uint64_t i = 0; i < 300; i++) {
			CallSpec call = MakeCall(i, random() % 5, now);
			call.service_class = static_cast<ServiceClass>(random() % 3);
			call.deadline = now + milliseconds(random() % 200);
			if (random() % 2 == 0 && queue.Push(call, 1 + random() % 50)) waiting.insert(i);
			if (random() % 4 == 0) RC_ASSERT(queue.Remove(CallId{i / 2}) == (waiting.erase(i / 2) > 0));
			if (random() % 4 == 0) {
				queue.ForEachHead(2, [&](const CallSpec &head) {
					bool take = random() % 2 == 0;
					if (take) RC_ASSERT(waiting.erase(head.id.value) == 1U);
					return take;
				});
			}
			now += milliseconds(random() % 10);
			for (const CallSpec &expired : queue.TakeExpired(now)) {
				RC_ASSERT(expired.deadline <= now);
				RC_ASSERT(waiting.erase(expired.id.value) == 1U);
			}
			RC_ASSERT(queue.Size() == waiting.size());
			RC_ASSERT(queue.Size() <= 40U);
		}
	});
	CHECK(good);
}

TEST_CASE("Targets - instances with the same report together reserve at most the free memory times the share factor, and at most the "
          "free memory after preemptions")
{
	bool good = rc::check("shares", [] {
		auto instances = *rc::gen::inRange<uint32_t>(2, 42);
		auto used = *rc::gen::inRange<uint64_t>(0, 10000);
		auto preempted = *rc::gen::arbitrary<bool>();
		double planned = 0;
		double free = 0;
		double factor = 1;
		for (uint32_t rank = 0; rank < instances; rank++) {
			LengthEstimate lengths({});
			TargetTable targets({}, lengths);
			targets.SetInstances(rank, instances);
			TargetNumber number = targets.Configure("target", "hall", {ModelNumber{0}});
			LoadReport report;
			report.sequence = 5;
			report.capacity_tokens = 10000;
			report.used_tokens = used;
			TimePoint now(std::chrono::seconds(10));
			targets.OnReport(number, report, now);
			for (int i = 0; preempted && i < 8; i++) {
				report.sequence++;
				report.preemptions++;
				targets.OnReport(number, report, now);
			}
			factor = targets.Get(number).share_factor;
			CallSpec call = MakeCall(1, 0, now);
			free = std::max(0.0, 10000 * 0.97 - static_cast<double>(used));
			planned += std::max(0.0, targets.Headroom(targets.Get(number), call, now));
		}
		RC_ASSERT(planned <= free * factor + 1);
		if (preempted) RC_ASSERT(planned <= free + 1);
	});
	CHECK(good);
}

TEST_CASE("Lengths - the expected remaining length is learned from the account and from all accounts")
{
	LengthEstimate lengths({});
	CallSpec call = MakeCall(1, 1, TimePoint{});
	CHECK(lengths.Residual(call, 0) == doctest::Approx(256));
	for (int i = 0; i < 200; i++) lengths.Learn(call, 1000);
	CHECK(lengths.Residual(call, 0) == doctest::Approx(1000).epsilon(0.25));
	CHECK(lengths.Residual(call, 900) < 300);
	CallSpec other = MakeCall(2, 2, TimePoint{});
	CHECK(lengths.Residual(other, 0) == doctest::Approx(1000).epsilon(0.25));
	for (int i = 0; i < 400; i++) lengths.Learn(other, 10);
	CHECK(lengths.Residual(other, 0) < 60);
	CHECK(lengths.Residual(call, 0) > 500);
	call.max_tokens = 50;
	CHECK(lengths.Residual(call, 20) <= 30);
}

TEST_CASE("Dispatcher - a run migrates within its data hall while an engine there has headroom")
{
	Dispatcher dispatcher({}, MakeRouter("headroom", 1));
	TimePoint now{std::chrono::seconds(10)};
	std::vector<TargetNumber> targets;
	for (const char *hall : {"hall-a", "hall-a", "hall-b"}) {
		targets.push_back(dispatcher.Targets().Configure("t" + std::to_string(targets.size()), hall, {ModelNumber{0}}));
		dispatcher.Targets().SetServiceCapacity(targets.back(), 40000);
	}
	CallSpec run = MakeCall(1, 1, now);
	run.halls = {{"hall-a", 1}, {"hall-b", 1}};
	Decisions decisions = dispatcher.Submit(run, now);
	REQUIRE(decisions.sends.size() == 1);
	TargetNumber holder = decisions.sends[0].target;
	TargetNumber neighbour = holder == targets[0] ? targets[1] : targets[0];
	// The neighbour has more load than the engine in the other hall, but the copy to it is faster.
	CallSpec other = MakeCall(2, 1, now);
	other.prompt_tokens = 8000;
	dispatcher.Targets().OnSent(neighbour, other, now);
	dispatcher.Targets().MarkDraining(holder);
	CHECK(dispatcher.ChooseMigrationTarget(run.id, {}, now) == neighbour);
	CHECK(dispatcher.ChooseMigrationTarget(run.id, {neighbour}, now) == targets[2]);
	CHECK(!dispatcher.ChooseMigrationTarget(run.id, {neighbour, targets[2]}, now));
}

TEST_CASE("Dispatcher - runs that migrate from an engine are copied one after another, the smallest first")
{
	Dispatcher dispatcher({}, MakeRouter("headroom", 1));
	TimePoint now{std::chrono::seconds(10)};
	TargetNumber engine = dispatcher.Targets().Configure("engine", "hall", {ModelNumber{0}});
	dispatcher.Targets().SetServiceCapacity(engine, 40000);
	EnginePool pool;
	pool.bytes_per_token = 20000;
	pool.link_mbps = 1600; // 10,000 tokens per second.
	auto run = [&](uint64_t id, uint32_t prompt, uint32_t most) {
		CallSpec call = MakeCall(id, 1, now);
		call.prompt_tokens = prompt;
		call.max_tokens = most;
		return call;
	};
	REQUIRE(dispatcher.Submit(run(1, 1000, 200), now).sends.size() == 1);
	REQUIRE(dispatcher.Submit(run(2, 3000, 200), now).sends.size() == 1);
	CallSpec short_run = run(3, 500, 8);
	REQUIRE(dispatcher.Submit(short_run, now).sends.size() == 1);
	// A run of another instance is taken into account as well.
	dispatcher.Targets().OnSent(engine, run(1ULL << 62, 2000, 200), now);
	Duration least = milliseconds(300);
	CHECK(dispatcher.MigrationCopyDelay(CallId{1}, pool, least, now) == Duration(0));
	CHECK(dispatcher.MigrationCopyDelay(CallId{2}, pool, least, now) == milliseconds(300));
	// A run that is about to end is not copied; with an unknown bandwidth there is no delay.
	CHECK(dispatcher.MigrationCopyDelay(CallId{2}, pool, Duration(0), now) == milliseconds(350));
	CHECK(dispatcher.MigrationCopyDelay(CallId{2}, EnginePool{}, least, now) == Duration(0));
	CHECK(dispatcher.MigrationCopyDelay(CallId{9}, pool, least, now) == Duration(0));
}

TEST_CASE("Dispatcher - instances that share the retry burst together make no more retries than a single one may")
{
	for (size_t instances : {1, 8, 78, 200, 400, 2000}) {
		constexpr double SLACK = 200;
		size_t retries = 0;
		for (size_t i = 0; i < instances; i++) {
			DispatchLimits limits;
			limits.pool_retry = RetryLimits{.ratio = 0, .burst = SLACK / 20};
			limits.max_attempts = 1000;
			limits.targets.eject_failures = 1000;
			Dispatcher dispatcher(limits, MakeRouter("headroom", 1));
			TimePoint now{std::chrono::seconds(10)};
			TargetNumber target = dispatcher.Targets().Configure("service", "hall", {ModelNumber{0}}, false);
			dispatcher.Targets().SetServiceCapacity(target, 1000);
			dispatcher.SetRetryShare(SLACK, instances, "instance-" + std::to_string(i));
			CallSpec call = MakeCall(1, 1, now);
			call.generated = false;
			call.deadline = now + std::chrono::hours(10);
			REQUIRE(dispatcher.Submit(call, now).sends.size() == 1);
			while (dispatcher.Holder(call.id)) {
				dispatcher.OnSendEnded(call.id, SendOutcome::Failed, now);
				now += std::chrono::seconds(3);
				dispatcher.OnTick(now);
			}
			retries += dispatcher.Counters().retries;
		}
		CHECK(retries <= static_cast<size_t>(SLACK));
		CHECK(retries >= static_cast<size_t>(SLACK) / 2);
	}
}

TEST_CASE("Dispatcher - without overcommit a generation waits for headroom, while a service call is sent to a full service")
{
	for (bool generated : {true, false}) {
		Dispatcher dispatcher({}, MakeRouter("headroom", 1, {.use_overcommit = false}));
		TimePoint now{std::chrono::seconds(10)};
		TargetNumber target = dispatcher.Targets().Configure("t", "hall", {ModelNumber{0}}, generated);
		LoadReport report{.sequence = 1, .capacity_tokens = generated ? 4000U : 1U};
		dispatcher.OnReport(target, report, now);
		CallSpec first = MakeCall(1, 1, now);
		first.generated = generated;
		first.prompt_tokens = generated ? 3000 : 1;
		REQUIRE(dispatcher.Submit(first, now).sends.size() == 1);
		CallSpec second = first;
		second.id = CallId{2};
		second.overcommit_from = now;
		CHECK(dispatcher.Submit(second, now).sends.size() == (generated ? 0 : 1));
		if (generated) CHECK(dispatcher.OnSendEnded(first.id, SendOutcome::Complete, now).sends.size() == 1);
	}
}
