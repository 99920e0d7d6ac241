/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_leases_test.cpp Instances lend parts of a rate limit where they are needed, and the total never exceeds the limit. */

#include "tests/limit_simulation.h"
#include <cstdio>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/**
 * @param[out] max_requests Maximum number of requests in four seconds.
 * @return Used fraction of the limit over 20 s, starting 1 s after the target sets it.
 */
static double UsedFraction(LimitLayout layout, uint32_t seed, size_t *max_requests)
{
	LimitSimulation simulation(layout, seed);
	simulation.Pass(seconds(5));
	simulation.SetRateLimit(layout.per_second);
	simulation.Pass(seconds(1));
	TimePoint from = simulation.now;
	simulation.Pass(seconds(20));
	*max_requests = simulation.MaxInWindow(from);
	return static_cast<double>(simulation.ArrivedSince(from)) / (20 * layout.per_second);
}

TEST_CASE("Leases - with all callers at one instance, lending uses most of the limit within the allowed excess")
{
	struct Variant {
		const char *name;
		size_t owners;
		bool lease;
	};
	static constexpr Variant VARIANTS[] = {{"shares of all", 0, false}, {"lent by all", 0, true}, {"lent by three", 3, true}};
	for (size_t instances : {6, 62, 370}) {
		for (double per_second : {2.4, 25.0}) {
			for (CallersAt callers : {CallersAt::Everywhere, CallersAt::OneHall, CallersAt::OneInstance}) {
				for (const Variant &variant : VARIANTS) {
					size_t halls = instances > 100 ? 5 : 3;
					LimitLayout layout{halls, instances, per_second, variant.owners, variant.lease, 3, callers};
					size_t max_requests = 0;
					double used = UsedFraction(layout, 1, &max_requests);
					printf("%3zu instances, limit %5.1f, callers %s, %-13s used %.2f, most %zu of %.0f\n", instances, per_second,
					       callers == CallersAt::Everywhere ? "everywhere "
					       : callers == CallersAt::OneHall  ? "in one hall"
					                                        : "at one     ",
					       variant.name, used, max_requests, 6 * per_second + 5);
					CHECK(static_cast<double>(max_requests) <= 6 * per_second + 5);
					if (variant.lease && callers == CallersAt::OneInstance) CHECK(used >= 0.7);
				}
			}
		}
	}
}

TEST_CASE("Leases - whatever is partitioned, paused, restarted or delayed, no four seconds exceed the limit")
{
	bool good = rc::check("leases", [] {
		LimitLayout layout;
		layout.instances = *rc::gen::element<size_t>(2, 6, 24, 62);
		layout.per_second = *rc::gen::element(0.5, 2.4, 10.0, 60.0);
		layout.callers = *rc::gen::element(CallersAt::Everywhere, CallersAt::OneHall, CallersAt::OneInstance);
		layout.owners = *rc::gen::element<size_t>(0, 1, 3);
		pcg32 random(*rc::gen::arbitrary<uint32_t>());
		LimitSimulation simulation(layout, random());
		simulation.Pass(seconds(3));
		simulation.SetRateLimit(layout.per_second);
		// Requests sent before all instances know the limit may exceed it; they have arrived by then.
		simulation.Pass(seconds(10));
		TimePoint from = simulation.now;
		for (int step = 0; step < 20; step++) {
			simulation.Pass(milliseconds(random() % 1500));
			size_t instance = random() % layout.instances;
			switch (random() % 5) {
			case 0:
				simulation.PartitionAt(random() % layout.instances);
				break;
			case 1:
				simulation.PartitionAt(SIZE_MAX);
				break;
			case 2:
				simulation.Restart(instance);
				break;
			default:
				simulation.SetPaused(instance, random() % 2 == 0);
			}
		}
		// Stricter than the excess that operators allow: lending itself never exceeds the limit.
		RC_ASSERT(static_cast<double>(simulation.MaxInWindow(from)) <= std::max(1.0, Seconds(RATE_LIMIT_WINDOW) * layout.per_second));
	});
	CHECK(good);
}
