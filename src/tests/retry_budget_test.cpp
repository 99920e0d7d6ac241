/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file retry_budget_test.cpp Guards against more retries than the budget of all instances allows, however they start and end. */

#include "decision/dispatcher.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double RATIO = 0.2;
constexpr double SLACK = 54;
constexpr Duration WINDOW = seconds(10);

/** Instances that share a retry budget, and a service whose answers are all failures. */
class RetrySimulation {
public:
	explicit RetrySimulation(size_t count) : instances(count)
	{
		for (size_t i = 0; i < count; i++) this->Start(i, true);
	}

	/** Start instance \a i, anew unless it is the \a first start of all. */
	void Start(size_t i, bool first)
	{
		DispatchLimits limits;
		limits.pool_retry = RetryLimits{.ratio = RATIO, .burst = 1, .starts_empty = !first};
		limits.pool_retry->burst = SLACK / static_cast<double>(this->instances.size());
		limits.targets.eject_failures = 1000000;
		this->instances[i] = std::make_unique<Dispatcher>(limits, MakeRouter("headroom", 1));
		Dispatcher &dispatcher = *this->instances[i];
		for (const char *name : {"first", "second", "third"}) {
			TargetNumber target = dispatcher.Targets().Configure(name, "hall", {ModelNumber{0}}, false);
			dispatcher.Targets().SetServiceCapacity(target, 100000);
		}
		dispatcher.SetRetryShare(SLACK, this->instances.size(), "instance-" + std::to_string(i));
	}

	/** @return A new call. */
	CallSpec MakeCall()
	{
		CallSpec call;
		call.id = CallId{++this->last_call};
		call.generated = false;
		call.arrived = this->now;
		call.deadline = this->now + seconds(1);
		call.max_attempts = 2;
		return call;
	}

	/**
	 * A caller's request comes to instance \a i. Its first \a unreachable targets can't be reached; all others fail.
	 * @param passed_to Instance that it is passed on to before a target has got it; nothing for none.
	 */
	void Request(size_t i, int unreachable, std::optional<size_t> passed_to)
	{
		this->requests.push_back(this->now);
		CallSpec call = this->MakeCall();
		Dispatcher &dispatcher = *this->instances[i];
		dispatcher.Submit(call, this->now);
		for (int n = 0; n < unreachable && dispatcher.Holder(call.id); n++)
			dispatcher.OnSendEnded(call.id, SendOutcome::NotSent, this->now);
		if (passed_to) {
			dispatcher.Withdraw(call.id, this->now);
			return this->Fail(*this->instances[*passed_to], this->MakeCall());
		}
		this->FailSends(dispatcher, call.id);
	}

	/** @return Whether any window had more retries than allowed. */
	bool IsOverBudget() const
	{
		for (TimePoint end : this->retries) {
			auto in_window = [&](const std::vector<TimePoint> &times) {
				return std::count_if(times.begin(), times.end(), [&](TimePoint at) { return at > end - WINDOW && at <= end; });
			};
			if (static_cast<double>(in_window(this->retries)) > SLACK + RATIO * static_cast<double>(in_window(this->requests)) + 1e-6)
				return true;
		}
		return false;
	}

	std::vector<std::unique_ptr<Dispatcher>> instances; ///< Their dispatchers.
	std::vector<TimePoint> requests;                    ///< Times of the callers' requests.
	std::vector<TimePoint> retries;                     ///< Times of sends beyond the first one of a request.
	TimePoint now{seconds(100)};                        ///< Present time.

private:
	/** The service fails all sends of \a call at \a dispatcher. */
	void FailSends(Dispatcher &dispatcher, CallId call)
	{
		for (bool first = true; dispatcher.Holder(call); first = false) {
			if (!first) this->retries.push_back(this->now);
			dispatcher.OnSendEnded(call, SendOutcome::Failed, this->now);
			// The backoff is over.
			this->now += milliseconds(50);
			dispatcher.OnTick(this->now);
		}
	}

	/** Submit \a call to \a dispatcher, where all its sends fail. */
	void Fail(Dispatcher &dispatcher, const CallSpec &call)
	{
		dispatcher.Submit(call, this->now);
		this->FailSends(dispatcher, call.id);
	}

	uint64_t last_call = 0; ///< Number of the last call.
};

} // namespace

TEST_CASE("Retry budget - the sum of all instances stays within it, while they are killed and started in series and pass requests on")
{
	rc::check([] {
		auto count = static_cast<size_t>(*rc::gen::element(2, 7, 30, 62));
		RetrySimulation simulation(count);
		int kill_percent = *rc::gen::element(0, 2, 20, 60);
		for (int step = 0; step < 400; step++) {
			auto i = static_cast<size_t>(*rc::gen::inRange<int>(0, static_cast<int>(count)));
			if (*rc::gen::inRange(0, 100) < kill_percent) simulation.Start(i, false);
			int unreachable = *rc::gen::inRange(0, 10) == 0 ? *rc::gen::inRange(1, 4) : 0;
			bool passed = *rc::gen::inRange(0, 10) == 0;
			simulation.Request(i, unreachable, passed ? std::optional((i + 1) % count) : std::nullopt);
			simulation.now += milliseconds(*rc::gen::inRange(0, 20));
		}
		RC_ASSERT(!simulation.IsOverBudget());
	});
}

TEST_CASE("Retry budget - an instance that starts anew has none of the slack, and one of the first start has its share")
{
	for (bool first : {true, false}) {
		RetrySimulation simulation(7);
		if (!first) simulation.Start(0, false);
		for (int i = 0; i < 5; i++) simulation.Request(0, 0, std::nullopt);
		// Five requests fill the budget of the new process for one retry.
		CHECK(simulation.retries.size() == (first ? 5 : 1));
	}
}

TEST_CASE("Retry budget - a request whose targets can't be reached counts as one request")
{
	RetrySimulation simulation(7);
	simulation.Start(0, false);
	for (int i = 0; i < 4; i++) simulation.Request(0, 2, std::nullopt);
	CHECK(simulation.retries.empty());
	simulation.Request(0, 2, std::nullopt);
	CHECK(simulation.retries.size() == 1);
}

TEST_CASE("Retry budget - a request that is passed on counts at the instance that sends it")
{
	RetrySimulation simulation(7);
	simulation.Start(0, false);
	simulation.Start(1, false);
	for (int i = 0; i < 5; i++) simulation.Request(0, 1, 1);
	CHECK(simulation.retries.size() == 1);
	for (int i = 0; i < 4; i++) simulation.Request(0, 0, std::nullopt);
	CHECK(simulation.retries.size() == 1);
}
