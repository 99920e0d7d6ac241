/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_leases_test.cpp Parts of a limit are lent to where the callers are, and the sum holds whatever is cut, late or restarted. */

#include "tests/limit_world.h"
#include <cstdio>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** @return The world after the target has named its limit and 21 s have passed, with what it used of it in the last 20 of them. */
static double UsedOf(LimitLayout layout, uint32_t seed, size_t *max_requests)
{
	LimitWorld world(layout, seed);
	world.Pass(seconds(5));
	world.Name(layout.per_second);
	world.Pass(seconds(1));
	TimePoint from = world.now;
	world.Pass(seconds(20));
	*max_requests = world.Most(from);
	return static_cast<double>(world.Arrived(from)) / (20 * layout.per_second);
}

TEST_CASE("Leases - ways compared: with callers at one instance most of a limit is used where shares are lent, and the sum holds")
{
	struct Way {
		const char *name;
		size_t owners;
		bool lease;
	};
	static constexpr Way WAYS[] = {{"shares of all", 0, false}, {"lent by all", 0, true}, {"lent by three", 3, true}};
	for (size_t instances : {6, 62, 370}) {
		for (double per_second : {2.4, 25.0}) {
			for (CallersAt callers : {CallersAt::Everywhere, CallersAt::OneHall, CallersAt::OneInstance}) {
				for (const Way &way : WAYS) {
					size_t halls = instances > 100 ? 5 : 3;
					LimitLayout layout{halls, instances, per_second, way.owners, way.lease, 3, callers};
					size_t max_requests = 0;
					double used = UsedOf(layout, 1, &max_requests);
					printf("%3zu instances, limit %5.1f, callers %s, %-13s used %.2f, most %zu of %.0f\n", instances, per_second,
					       callers == CallersAt::Everywhere ? "everywhere "
					       : callers == CallersAt::OneHall  ? "in one hall"
					                                        : "at one     ",
					       way.name, used, max_requests, 6 * per_second + 5);
					CHECK(static_cast<double>(max_requests) <= 6 * per_second + 5);
					if (way.lease && callers == CallersAt::OneInstance) CHECK(used >= 0.7);
				}
			}
		}
	}
}

TEST_CASE("Leases - whatever is cut, frozen, restarted or late, no four seconds hold more than the limit")
{
	bool good = rc::check("leases", [] {
		LimitLayout layout;
		layout.instances = *rc::gen::element<size_t>(2, 6, 24, 62);
		layout.per_second = *rc::gen::element(0.5, 2.4, 10.0, 60.0);
		layout.callers = *rc::gen::element(CallersAt::Everywhere, CallersAt::OneHall, CallersAt::OneInstance);
		layout.owners = *rc::gen::element<size_t>(0, 1, 3);
		pcg32 random(*rc::gen::arbitrary<uint32_t>());
		LimitWorld world(layout, random());
		world.Pass(seconds(3));
		world.Name(layout.per_second);
		// What came before all had been told may be more than it takes: it is over by then.
		world.Pass(seconds(10));
		TimePoint from = world.now;
		for (int step = 0; step < 20; step++) {
			world.Pass(milliseconds(random() % 1500));
			size_t instance = random() % layout.instances;
			switch (random() % 5) {
			case 0:
				world.CutAt(random() % layout.instances);
				break;
			case 1:
				world.CutAt(SIZE_MAX);
				break;
			case 2:
				world.Restart(instance);
				break;
			default:
				world.Freeze(instance, random() % 2 == 0);
			}
		}
		// Not only the bound that operators allow: what is lent is never more than the limit itself.
		RC_ASSERT(static_cast<double>(world.Most(from)) <= std::max(1.0, Seconds(RATE_LIMIT_WINDOW) * layout.per_second));
	});
	CHECK(good);
}
