/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_test.cpp Guards against a Retry-After so short that callers come back into the same overload and are rejected again. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <map>
#include <pcg_random.hpp>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Results of a simulation. */
struct BurstOutcome {
	int callers = 0;          ///< Number of callers.
	int returned = 0;         ///< Callers that were rejected and came back after the Retry-After.
	int served_late = 0;      ///< Callers that were served after they came back.
	int rejected_twice = 0;   ///< Callers that were rejected again after they came back.
	int most_at_once = 0;     ///< Maximum number of callers that came back in one step.
	Duration longest_held{0}; ///< Longest time until a rejection.
};

/**
 * Simulation of four engines that each hold ten generations of 2.5 s, which gives a capacity of 16 per second. The load is three times
 * the capacity for a while, then half of it. A rejected caller comes back once, after the Retry-After but at most 13 s.
 */
class BurstSimulation {
public:
	explicit BurstSimulation(DispatchLimits limits, uint64_t seed) : random(seed), dispatcher(limits, MakeRouter("headroom", 0, Rules()))
	{
		for (int i = 0; i < ENGINES; i++) {
			TargetNumber engine = this->dispatcher.Targets().Configure("engine" + std::to_string(i), "hall", {ModelNumber{0}});
			this->Report(engine);
		}
	}

	/** Simulate a \a burst at three times the capacity, then 40 s at half of it. */
	BurstOutcome Simulate(Duration burst)
	{
		for (TimePoint end = this->now + burst + seconds(40); this->now < end; this->now += STEP) {
			double rate = this->now < end - seconds(40) ? 3 * CAPACITY : CAPACITY / 2;
			this->due += rate * Seconds(STEP);
			for (; this->due >= 1; this->due--) this->Arrive(false);
			this->Return();
			this->EndRuns();
			this->Apply(this->dispatcher.OnTick(this->now));
		}
		return this->outcome;
	}

	/** @return Limits as a gateway has them, with a maximum Retry-After of \a retry_after_max. */
	static DispatchLimits Limits(Duration retry_after_max)
	{
		DispatchLimits limits;
		limits.retry_after_min = milliseconds(100);
		limits.retry_after_max = retry_after_max;
		limits.targets.use_growth_feedback = false;
		return limits;
	}

private:
	static constexpr int ENGINES = 4;                  ///< Number of engines.
	static constexpr double CAPACITY = 16;             ///< Capacity, in generations per second.
	static constexpr Duration STEP = milliseconds(25); ///< Simulation step.

	/** The call of one caller. */
	struct Caller {
		CallSpec spec;
		bool returned_before = false; ///< Whether it was rejected before.
	};

	static HeadroomRules Rules()
	{
		HeadroomRules rules;
		rules.use_overcommit = false;
		return rules;
	}

	void Report(TargetNumber engine)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.capacity_tokens = 33000;
		this->Apply(this->dispatcher.OnReport(engine, report, this->now));
	}

	void Arrive(bool returned_before)
	{
		CallSpec spec;
		spec.id = CallId{this->next_call++};
		spec.account = AccountNumber{static_cast<uint32_t>(this->random() % 4)};
		spec.service_class = ServiceClass::Stream;
		spec.prompt_tokens = 2500;
		spec.max_tokens = 500;
		spec.arrived = this->now;
		spec.deadline = this->now + milliseconds(400);
		this->outcome.callers += returned_before ? 0 : 1;
		this->callers[spec.id.value] = {spec, returned_before};
		this->Apply(this->dispatcher.Submit(spec, this->now));
	}

	void Return()
	{
		int together = 0;
		while (!this->return_times.empty() && *this->return_times.begin() <= this->now) {
			this->return_times.erase(this->return_times.begin());
			this->outcome.returned++;
			together++;
			this->Arrive(true);
		}
		this->outcome.most_at_once = std::max(this->outcome.most_at_once, together);
	}

	void EndRuns()
	{
		while (!this->runs.empty() && this->runs.begin()->first <= this->now) {
			CallId call = this->runs.begin()->second;
			this->runs.erase(this->runs.begin());
			this->outcome.served_late += this->callers.at(call.value).returned_before ? 1 : 0;
			this->Apply(this->dispatcher.OnSendEnded(call, SendOutcome::Complete, this->now));
		}
	}

	void Apply(const Decisions &decisions)
	{
		for (const SendAction &send : decisions.sends) this->runs.emplace(this->now + milliseconds(2500), send.call);
		for (const RejectAction &action : decisions.rejections) {
			const Caller &caller = this->callers.at(action.call.value);
			this->outcome.longest_held = std::max<Duration>(this->outcome.longest_held, this->now - caller.spec.arrived);
			if (caller.returned_before) {
				this->outcome.rejected_twice++;
			} else {
				this->return_times.insert(this->now + std::min<Duration>(action.retry_after, seconds(13)));
			}
		}
	}

	pcg64 random;
	Dispatcher dispatcher;                       ///< Dispatcher under test.
	std::map<uint64_t, Caller> callers;          ///< Callers by id of their call.
	std::multimap<TimePoint, CallId> runs;       ///< Running calls by the time at which they finish.
	std::multiset<TimePoint> return_times;       ///< Times at which rejected callers come back.
	BurstOutcome outcome;                        ///< Results.
	double due = 0;                              ///< Fraction of the next arrival.
	uint64_t next_call = 0;                      ///< Id of the next call.
	uint64_t reports = 0;                        ///< Number of load reports.
	TimePoint now = TimePoint{} + seconds(3600); ///< Simulated time.
};

} // namespace

TEST_CASE("Overload - a Retry-After derived from the age of the overload lets more callers succeed than the queue's drain time")
{
	for (Duration burst : {Duration(seconds(4)), Duration(seconds(14)), Duration(seconds(20))}) {
		BurstOutcome now = BurstSimulation(BurstSimulation::Limits(seconds(15)), 1).Simulate(burst);
		// The queue only holds calls that can meet their deadline, so its drain time never exceeds this Retry-After.
		BurstOutcome before = BurstSimulation(BurstSimulation::Limits(milliseconds(400)), 1).Simulate(burst);
		MESSAGE("burst of " << Seconds(burst) << " s: " << now.callers << " callers; refused twice " << before.rejected_twice << ", now "
		                    << now.rejected_twice << "; served on return " << before.served_late << " of " << before.returned << ", now "
		                    << now.served_late << " of " << now.returned << "; most at once " << before.most_at_once << ", now "
		                    << now.most_at_once);
		CHECK(now.rejected_twice < 0.75 * before.rejected_twice);
		CHECK(now.served_late > 2 * before.served_late);
		CHECK(now.longest_held <= milliseconds(425));
	}
}

TEST_CASE("Overload - the Retry-After is four times the age of the overload with jitter, and the drain time when the overload is over")
{
	OverloadTracker span;
	TimePoint start = TimePoint{} + seconds(3600);
	TimePoint now = start;
	for (; now < start + seconds(2); now += milliseconds(500)) span.OnRejected(now);
	Duration least = span.RetryAfter(milliseconds(300), 0, now);
	Duration most = span.RetryAfter(milliseconds(300), UINT64_MAX, now);
	CHECK(Seconds(least) == doctest::Approx(6));
	CHECK(Seconds(most) == doctest::Approx(10));
	now += seconds(2);
	CHECK(Seconds(span.RetryAfter(milliseconds(300), UINT64_MAX / 2, now)) == doctest::Approx(0.3));
	span.OnRejected(now);
	CHECK(span.Age(now) == Duration(0));
}
