/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_limit_test.cpp The limit that a target names holds for all instances together, for as long as it is named. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return What an answer says that names \a per_second; one that names no limit for nothing. */
static TargetSignals Named(std::optional<double> per_second)
{
	TargetSignals signals;
	signals.limit = per_second ? SignalState::Present : SignalState::Absent;
	signals.limit_per_s = per_second.value_or(0);
	return signals;
}

/** @return Most of \a arrivals, in any order, that lie within the span of a limit. */
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

TEST_CASE("Limit - one that is named lower counts at once, one that is higher or gone only if it was asked for after it was heard")
{
	TargetRateLimit limit;
	TimePoint now{seconds(100)};
	CHECK(!limit.OnAnswer(Named({}), now - seconds(1), now));
	CHECK(limit.OnAnswer(Named(3), now - seconds(1), now));
	CHECK(limit.IsActive());
	// An answer that was overtaken.
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

TEST_CASE("Limit - what was sent shortly before it was named counts too")
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

TEST_CASE("Limit - however many instances send all they may, a target gets no more in any four seconds than its limit allows")
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
		// And what it offers is used, as far as that much is tried.
		double tried = static_cast<double>(count) * 24 / 0.12;
		RC_ASSERT(static_cast<double>(arrivals.size()) >= 0.7 * std::min(24 * per_second, tried));
	});
	CHECK(good);
}

namespace {

/** A dispatcher with three services, and the time. */
struct LimitWorld {
	LimitWorld() : dispatcher({}, MakeRouter("headroom", 1))
	{
		for (const char *name : {"a", "b", "c"}) {
			this->targets.push_back(this->dispatcher.Targets().Configure(name, "hall", {ModelNumber{0}}, false));
			this->dispatcher.Targets().SetServiceCapacity(this->targets.back(), 64);
		}
	}

	/** \a target names \a per_second; this instance may send it \a share in a span. */
	void Limit(TargetNumber target, std::optional<double> per_second, uint32_t share)
	{
		this->dispatcher.Targets().SetLimitShare(target, {share, RATE_LIMIT_WINDOW});
		this->dispatcher.Targets().OnSignals(target, Named(per_second), this->now, this->now);
	}

	/** A call comes. @return What is decided. */
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

	Dispatcher dispatcher;                ///< Decisions.
	std::vector<TargetNumber> targets;    ///< Services.
	uint64_t next = 1;                    ///< Number of the next call.
	TimePoint now{std::chrono::hours(1)}; ///< Time.
};

} // namespace

TEST_CASE("Limit - what goes beyond goes to targets that name none, and second tries, moves and queued calls keep to it too")
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
	// The last one without a limit goes: what comes now is refused at once, with the time at which there is room.
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
	// One that comes back then is served, and what comes shortly before waits for the room.
	world.now += seconds(3) - milliseconds(30);
	CHECK(world.Ask().rejections.empty());
	CHECK(world.dispatcher.Queue().Size() == 1);
	world.now += milliseconds(31);
	CHECK(world.dispatcher.OnTick(world.now).sends.size() == 1);
}

TEST_CASE("Limit - those who are refused together are told different times, none before there is room")
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
