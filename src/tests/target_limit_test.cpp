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
static TargetSignals Named(std::optional<double> per_second)
{
	TargetSignals signals;
	signals.limit = per_second ? SignalState::Present : SignalState::Absent;
	signals.limit_per_s = per_second.value_or(0);
	return signals;
}

/** @return Maximum number of \a arrivals, in any order, within one rate limit window. */
static size_t MostInASpan(std::vector<TimePoint> arrivals)
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
	CHECK(!limit.OnAnswer(Named({}), now - seconds(1), now));
	CHECK(limit.OnAnswer(Named(3), now - seconds(1), now));
	CHECK(limit.IsActive());
	// Answers to requests sent before the last advertisement.
	CHECK(!limit.OnAnswer(Named({}), now - milliseconds(10), now + milliseconds(10)));
	CHECK(!limit.OnAnswer(Named(5), now, now + milliseconds(20)));
	CHECK(limit.OnAnswer(Named(2), now - seconds(1), now + milliseconds(30)));
	TargetSignals garbled = Named({});
	garbled.limit = SignalState::Unreadable;
	CHECK(!limit.OnAnswer(garbled, now + milliseconds(40), now + milliseconds(50)));
	CHECK(limit.IsActive());
	CHECK(limit.OnAnswer(Named(4), now + milliseconds(40), now + milliseconds(60)));
	CHECK(limit.Bound().per_second == doctest::Approx(4));
	CHECK(limit.OnAnswer(Named({}), now + milliseconds(70), now + milliseconds(80)));
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
	limit.OnAnswer(Named(1), now, now + seconds(1));
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
			limit.OnAnswer(Named(per_second), begin, begin);
			for (TimePoint now = begin + milliseconds(random() % 600); now < begin + seconds(24);
			     now += milliseconds(20 + random() % 100)) {
				if (!limit.MaySend(now)) continue;
				limit.OnSent(now);
				arrivals.push_back(now + milliseconds(random() % 150));
			}
		}
		RC_ASSERT(static_cast<double>(MostInASpan(arrivals)) <= std::max(1.0, Seconds(RATE_LIMIT_WINDOW) * per_second));
		// The limit is also used up, as far as there are enough attempts.
		double tried = static_cast<double>(count) * 24 / 0.12;
		RC_ASSERT(static_cast<double>(arrivals.size()) >= 0.7 * std::min(24 * per_second, tried));
	});
	CHECK(good);
}

namespace {

/** A dispatcher with three services. */
struct LimitWorld {
	LimitWorld() : dispatcher({}, MakeRouter("headroom", 1))
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
		this->dispatcher.Targets().OnSignals(target, Named(per_second), this->now, this->now);
	}

	/** Submit a call. @return The decisions. */
	Decisions Ask()
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
	LimitWorld world;
	for (int i = 0; i < 2; i++) world.Limit(world.targets[i], 1, 2);
	std::map<uint32_t, int> sent;
	for (int i = 0; i < 30; i++) {
		Decisions decisions = world.Ask();
		REQUIRE(decisions.sends.size() == 1);
		sent[decisions.sends[0].target.value]++;
	}
	CHECK(sent[world.targets[0].value] <= 2);
	CHECK(sent[world.targets[1].value] <= 2);
	// Without a target that has no limit, calls are rejected at once with the time at which the limit allows the next one.
	world.dispatcher.Targets().MarkDraining(world.targets[2]);
	for (int i = 0; i < 4; i++) world.Ask();
	world.now += seconds(1);
	Decisions refused = world.Ask();
	REQUIRE(refused.rejections.size() == 1);
	CHECK(refused.rejections[0].reason == RejectReason::AllRestricted);
	CHECK(refused.rejections[0].restrictions[static_cast<size_t>(Restriction::Limit)] == 2);
	CHECK(refused.rejections[0].retry_after >= seconds(3));
	CHECK(refused.rejections[0].retry_after <= seconds(5));
	CHECK(world.dispatcher.Queue().Size() == 0);
	// A call that arrives shortly before that time waits and is then sent.
	world.now += seconds(3) - milliseconds(30);
	CHECK(world.Ask().rejections.empty());
	CHECK(world.dispatcher.Queue().Size() == 1);
	world.now += milliseconds(31);
	CHECK(world.dispatcher.OnTick(world.now).sends.size() == 1);
}

TEST_CASE("Limit - calls rejected together get different retry times, none before the limit allows one")
{
	LimitWorld world;
	world.dispatcher.Targets().MarkDraining(world.targets[2]);
	for (int i = 0; i < 2; i++) world.Limit(world.targets[i], 0.5, 1);
	for (int i = 0; i < 2; i++) CHECK(world.Ask().sends.size() == 1);
	std::set<Duration> told;
	for (int i = 0; i < 100; i++) {
		Decisions decisions = world.Ask();
		REQUIRE(decisions.rejections.size() == 1);
		CHECK(decisions.rejections[0].retry_after >= RATE_LIMIT_WINDOW);
		told.insert(decisions.rejections[0].retry_after);
	}
	CHECK(told.size() > 50);
}
