/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overload_test.cpp What callers get of a load of three times what the engines can take, played through the decisions. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <map>
#include <pcg_random.hpp>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** What became of the callers. */
struct BurstOutcome {
	int callers = 0;          ///< Callers.
	int returned = 0;         ///< Those that were refused, and came back when they were told to.
	int served_late = 0;      ///< Those of them that were served then.
	int refused_twice = 0;    ///< Those that were refused again: they give up.
	int most_at_once = 0;     ///< Most that came back within 100 ms.
	Duration longest_held{0}; ///< Longest time for which a caller waited for a refusal.
};

/**
 * Four engines that hold ten generations each, of 2.5 s: 16 a second. Three times as many callers come for a while, then half as many.
 * A caller who is refused comes back once, when it was told to, but not later than a third of its 39 s.
 */
class BurstWorld {
public:
	explicit BurstWorld(DispatchLimits limits, uint64_t seed) : random(seed), dispatcher(limits, MakeRouter("headroom", 0, Rules()))
	{
		for (int i = 0; i < ENGINES; i++) {
			TargetNumber engine = this->dispatcher.Targets().Configure("engine" + std::to_string(i), "hall", {ModelNumber{0}});
			this->Report(engine);
		}
	}

	/** Play \a burst of three times the room, then 40 s of half of it. */
	BurstOutcome Play(Duration burst)
	{
		for (TimePoint end = this->now + burst + seconds(40); this->now < end; this->now += STEP) {
			double rate = this->now < end - seconds(40) ? 3 * ROOM : ROOM / 2;
			this->due += rate * Seconds(STEP);
			for (; this->due >= 1; this->due--) this->Arrive(false);
			this->Return();
			this->EndRuns();
			this->Take(this->dispatcher.OnTick(this->now));
		}
		return this->outcome;
	}

	/** Limits as a gateway has them; \a retry_after_max bounds what callers are told. */
	static DispatchLimits Limits(Duration retry_after_max)
	{
		DispatchLimits limits;
		limits.retry_after_min = milliseconds(100);
		limits.retry_after_max = retry_after_max;
		limits.targets.use_growth_feedback = false;
		return limits;
	}

private:
	static constexpr int ENGINES = 4;                  ///< Engines.
	static constexpr double ROOM = 16;                 ///< Generations a second that they can take.
	static constexpr Duration STEP = milliseconds(25); ///< Time between looks.

	/** One caller's call. */
	struct Caller {
		CallSpec spec;      ///< Its call.
		bool again = false; ///< It was refused before.
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
		this->Take(this->dispatcher.OnReport(engine, report, this->now));
	}

	void Arrive(bool again)
	{
		CallSpec spec;
		spec.id = CallId{this->next_call++};
		spec.account = AccountNumber{static_cast<uint32_t>(this->random() % 4)};
		spec.service_class = ServiceClass::Stream;
		spec.prompt_tokens = 2500;
		spec.max_tokens = 500;
		spec.arrived = this->now;
		spec.deadline = this->now + milliseconds(400);
		this->outcome.callers += again ? 0 : 1;
		this->callers[spec.id.value] = {spec, again};
		this->Take(this->dispatcher.Submit(spec, this->now));
	}

	void Return()
	{
		int together = 0;
		while (!this->coming_back.empty() && *this->coming_back.begin() <= this->now) {
			this->coming_back.erase(this->coming_back.begin());
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
			this->outcome.served_late += this->callers.at(call.value).again ? 1 : 0;
			this->Take(this->dispatcher.OnSendEnded(call, SendOutcome::Complete, this->now));
		}
	}

	void Take(const Decisions &decisions)
	{
		for (const SendAction &send : decisions.sends) this->runs.emplace(this->now + milliseconds(2500), send.call);
		for (const RejectAction &action : decisions.rejections) {
			const Caller &caller = this->callers.at(action.call.value);
			this->outcome.longest_held = std::max<Duration>(this->outcome.longest_held, this->now - caller.spec.arrived);
			if (caller.again) {
				this->outcome.refused_twice++;
			} else {
				this->coming_back.insert(this->now + std::min<Duration>(action.retry_after, seconds(13)));
			}
		}
	}

	pcg64 random;                                ///< Randomness.
	Dispatcher dispatcher;                       ///< Under test.
	std::map<uint64_t, Caller> callers;          ///< Callers by call.
	std::multimap<TimePoint, CallId> runs;       ///< Runs by their end.
	std::multiset<TimePoint> coming_back;        ///< When those that were refused come back.
	BurstOutcome outcome;                        ///< What became of them.
	double due = 0;                              ///< Callers due.
	uint64_t next_call = 0;                      ///< Number of the next call.
	uint64_t reports = 0;                        ///< Reports made.
	TimePoint now = TimePoint{} + seconds(3600); ///< Clock.
};

} // namespace

TEST_CASE("Overload - most callers who are told to come back are served then, while those told the queue's drain were not")
{
	for (Duration burst : {Duration(seconds(4)), Duration(seconds(14)), Duration(seconds(20))}) {
		BurstOutcome now = BurstWorld(BurstWorld::Limits(seconds(15)), 1).Play(burst);
		// The queue is bounded by what can still be in time, so its drain is never longer than this.
		BurstOutcome before = BurstWorld(BurstWorld::Limits(milliseconds(400)), 1).Play(burst);
		MESSAGE("burst of " << Seconds(burst) << " s: " << now.callers << " callers; refused twice " << before.refused_twice << ", now "
		                    << now.refused_twice << "; served on return " << before.served_late << " of " << before.returned << ", now "
		                    << now.served_late << " of " << now.returned << "; most at once " << before.most_at_once << ", now "
		                    << now.most_at_once);
		CHECK(now.refused_twice < 0.75 * before.refused_twice);
		CHECK(now.served_late > 2 * before.served_late);
		CHECK(now.longest_held <= milliseconds(425));
	}
}

TEST_CASE("Refusals - a caller is told four times the age of the load, spread by a quarter, and the drain once the load is over")
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
