/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_limit_test.cpp Guards against instances that together exceed the rate limit that a target advertises. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return The signals of an answer that advertises a limit of \a per_second; nothing for no limit. */
static TargetSignals Advertise(std::optional<double> per_second)
{
	TargetSignals signals;
	signals.limit = per_second ? SignalState::Present : SignalState::Absent;
	signals.limit_per_s = per_second.value_or(0);
	return signals;
}

/** @return Maximum number of \a arrivals, in any order, within one rate limit window. */
static size_t MaxPerWindow(std::vector<TimePoint> arrivals)
{
	std::sort(arrivals.begin(), arrivals.end());
	size_t max_requests = 0;
	for (size_t first = 0, last = 0; last < arrivals.size(); last++) {
		while (arrivals[last] - arrivals[first] >= RATE_LIMIT_WINDOW) first++;
		max_requests = std::max(max_requests, last - first + 1);
	}
	return max_requests;
}

TEST_CASE("Limit - a lower limit applies at once, a higher or removed one only if its request was sent after the last advertisement")
{
	TargetRateLimit limit;
	TimePoint now{seconds(100)};
	CHECK(!limit.OnAnswer(Advertise({}), now - seconds(1), now));
	CHECK(limit.OnAnswer(Advertise(3), now - seconds(1), now));
	CHECK(limit.IsActive());
	// Answers to requests sent before the last advertisement.
	CHECK(!limit.OnAnswer(Advertise({}), now - milliseconds(10), now + milliseconds(10)));
	CHECK(!limit.OnAnswer(Advertise(5), now, now + milliseconds(20)));
	CHECK(limit.OnAnswer(Advertise(2), now - seconds(1), now + milliseconds(30)));
	TargetSignals garbled = Advertise({});
	garbled.limit = SignalState::Unreadable;
	CHECK(!limit.OnAnswer(garbled, now + milliseconds(40), now + milliseconds(50)));
	CHECK(limit.IsActive());
	CHECK(limit.OnAnswer(Advertise(4), now + milliseconds(40), now + milliseconds(60)));
	CHECK(limit.Bound().per_second == doctest::Approx(4));
	CHECK(limit.OnAnswer(Advertise({}), now + milliseconds(70), now + milliseconds(80)));
	CHECK(!limit.IsActive());
	CHECK(limit.MaySend(now));
}

TEST_CASE("Limit - requests sent before the first advertisement count as well")
{
	TargetRateLimit limit;
	TimePoint now{seconds(100)};
	for (int i = 0; i < 6; i++) limit.OnSent(now + milliseconds(100 * i));
	limit.SetShare({4, RATE_LIMIT_WINDOW});
	CHECK(limit.MaySend(now + seconds(1)));
	limit.OnAnswer(Advertise(1), now, now + seconds(1));
	CHECK(!limit.MaySend(now + seconds(1)));
	CHECK(!limit.MaySend(now + seconds(4)));
	CHECK(limit.MaySend(now + seconds(4) + milliseconds(250)));
}

TEST_CASE("Limit - any number of instances together stays within the limit in every window")
{
	bool good = rc::check("limits", [] {
		size_t count = *rc::gen::element<size_t>(1, 6, 62, 295, 370);
		double per_second = *rc::gen::element(0.1, 0.5, 2.4, 4.6, 25.0, 200.0);
		pcg32 random(*rc::gen::arbitrary<uint32_t>());
		std::vector<std::string> names;
		for (size_t i = 0; i < count; i++) names.push_back("instance-" + std::to_string(i));
		TimePoint begin{seconds(1000)};
		std::vector<TimePoint> arrivals;
		for (const std::string &own : names) {
			TargetRateLimit limit;
			limit.SetShare(ShareRate("target", {per_second, RATE_LIMIT_WINDOW}, names, own));
			limit.OnAnswer(Advertise(per_second), begin, begin);
			for (TimePoint now = begin + milliseconds(random() % 600); now < begin + seconds(24);
			     now += milliseconds(20 + random() % 100)) {
				if (!limit.MaySend(now)) continue;
				limit.OnSent(now);
				arrivals.push_back(now + milliseconds(random() % 150));
			}
		}
		RC_ASSERT(static_cast<double>(MaxPerWindow(arrivals)) <= std::max(1.0, Seconds(RATE_LIMIT_WINDOW) * per_second));
		// The limit is also used up, as far as there are enough attempts.
		double tried = static_cast<double>(count) * 24 / 0.12;
		RC_ASSERT(static_cast<double>(arrivals.size()) >= 0.7 * std::min(24 * per_second, tried));
	});
	CHECK(good);
}

namespace {

/** A dispatcher with three services. */
struct LimitHarness {
	LimitHarness() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *name : {"a", "b", "c"}) {
			this->targets.push_back(this->dispatcher.Targets().Configure(name, "hall", {ModelNumber{0}}, false));
			this->dispatcher.Targets().SetServiceCapacity(this->targets.back(), 64);
		}
	}

	/** Let \a target advertise a limit of \a per_second, of which this instance may send \a share requests per window. */
	void Limit(TargetNumber target, std::optional<double> per_second, uint32_t share)
	{
		this->dispatcher.Targets().SetLimitShare(target, {share, RATE_LIMIT_WINDOW});
		this->dispatcher.Targets().OnSignals(target, Advertise(per_second), this->now, this->now);
	}

	/** Submit a call. @return The decisions. */
	Decisions SubmitCall()
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.generated = false;
		call.arrived = this->now;
		call.deadline = this->now + milliseconds(60);
		call.overcommit_from = this->now;
		return this->dispatcher.Submit(call, this->now);
	}

	Dispatcher dispatcher;                ///< Dispatcher under test.
	std::vector<TargetNumber> targets;    ///< The services.
	uint64_t next = 1;                    ///< Id of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Simulated time.
};

} // namespace

TEST_CASE("Limit - excess calls go to targets without a limit, else are rejected with the time at which the limit allows one")
{
	LimitHarness harness;
	for (int i = 0; i < 2; i++) harness.Limit(harness.targets[i], 1, 2);
	std::map<uint32_t, int> sent;
	for (int i = 0; i < 30; i++) {
		Decisions decisions = harness.SubmitCall();
		REQUIRE(decisions.sends.size() == 1);
		sent[decisions.sends[0].target.value]++;
	}
	CHECK(sent[harness.targets[0].value] <= 2);
	CHECK(sent[harness.targets[1].value] <= 2);
	// Without a target that has no limit, calls are rejected at once with the time at which the limit allows the next one.
	harness.dispatcher.Targets().MarkDraining(harness.targets[2]);
	for (int i = 0; i < 4; i++) harness.SubmitCall();
	harness.now += seconds(1);
	Decisions rejected = harness.SubmitCall();
	REQUIRE(rejected.rejections.size() == 1);
	CHECK(rejected.rejections[0].reason == RejectReason::AllRestricted);
	CHECK(rejected.rejections[0].restrictions[static_cast<size_t>(Restriction::Limit)] == 2);
	CHECK(rejected.rejections[0].retry_after >= seconds(3));
	CHECK(rejected.rejections[0].retry_after <= seconds(5));
	CHECK(harness.dispatcher.Queue().Size() == 0);
	// A call that arrives shortly before that time waits and is then sent.
	harness.now += seconds(3) - milliseconds(30);
	CHECK(harness.SubmitCall().rejections.empty());
	CHECK(harness.dispatcher.Queue().Size() == 1);
	harness.now += milliseconds(31);
	CHECK(harness.dispatcher.OnTick(harness.now).sends.size() == 1);
}

TEST_CASE("Limit - calls rejected together get different retry times, none before the limit allows one")
{
	LimitHarness harness;
	harness.dispatcher.Targets().MarkDraining(harness.targets[2]);
	for (int i = 0; i < 2; i++) harness.Limit(harness.targets[i], 0.5, 1);
	for (int i = 0; i < 2; i++) CHECK(harness.SubmitCall().sends.size() == 1);
	std::set<Duration> retry_times;
	for (int i = 0; i < 100; i++) {
		Decisions decisions = harness.SubmitCall();
		REQUIRE(decisions.rejections.size() == 1);
		CHECK(decisions.rejections[0].retry_after >= RATE_LIMIT_WINDOW);
		retry_times.insert(decisions.rejections[0].retry_after);
	}
	CHECK(retry_times.size() > 50);
}
