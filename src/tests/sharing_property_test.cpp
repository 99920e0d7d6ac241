/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_property_test.cpp Guards against late changes after failures, and against hundreds of instances calling the store. */

#include "tests/sharing_simulation.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time in which instances that start together agree on the reader order. */
static constexpr Duration SETTLE_TIME = seconds(4);

TEST_CASE("Sharing - one of 295 instances in five halls reads a table, and all receive a change within 100 ms")
{
	SharingSimulation simulation({5, 59});
	simulation.Advance(SETTLE_TIME);
	// Each instance reads one snapshot at its start; none polls before it has heard from its peers.
	CHECK(simulation.Calls() <= simulation.Size() + 20);
	CHECK(simulation.OnlyReader() >= 0);
	uint64_t before = simulation.Calls();
	simulation.Advance(seconds(10));
	CHECK(simulation.OnlyReader() >= 0);
	// A long poll without a change takes half a second, so that one reader makes about two calls per second.
	CHECK(simulation.Calls() - before <= 21);
	TimePoint written = simulation.Now();
	uint64_t version = simulation.Write();
	simulation.Advance(milliseconds(100));
	CHECK(simulation.CountBehind(version, written) == 0);
}

TEST_CASE("Sharing - 295 instances that restart at the same time call the store about once each")
{
	SharingSimulation simulation({5, 59});
	simulation.Advance(SETTLE_TIME);
	for (size_t i = 0; i < simulation.Size(); i++) simulation.Kill(i);
	simulation.Advance(milliseconds(1500));
	uint64_t before = simulation.Calls();
	TimePoint written = simulation.Now();
	uint64_t version = simulation.Write();
	for (size_t i = 0; i < simulation.Size(); i++) simulation.Restart(i);
	simulation.Advance(milliseconds(100));
	CHECK(simulation.CountBehind(version, written) == 0);
	simulation.Advance(SETTLE_TIME);
	CHECK(simulation.Calls() - before <= simulation.Size() + 20);
	CHECK(simulation.OnlyReader() >= 0);
}

TEST_CASE("Sharing - a change arrives in time at all instances that can reach the store, despite crashes and partitions")
{
	bool good = rc::check("whatever fails", [] {
		SharingSimulationLayout layout{*rc::gen::inRange<size_t>(2, 6), *rc::gen::inRange<size_t>(2, 10)};
		SharingSimulation simulation(layout);
		simulation.Advance(SETTLE_TIME);
		auto any = [&] { return *rc::gen::inRange<size_t>(0, simulation.Size()); };
		auto reader_or_any = [&] { return simulation.OnlyReader() >= 0 ? static_cast<size_t>(simulation.OnlyReader()) : any(); };
		for (int step = 0; step < 10; step++) {
			switch (*rc::gen::inRange(0, 8)) {
			case 0:
				simulation.Kill(reader_or_any());
				break;
			case 1:
				simulation.Kill(any());
				break;
			case 2:
				simulation.Restart(any());
				break;
			case 3:
				simulation.SetStoreReachable(reader_or_any(), false);
				break;
			case 4:
				simulation.SetStoreReachable(any(), *rc::gen::arbitrary<bool>());
				break;
			case 5:
				simulation.Partition(*rc::gen::inRange<size_t>(0, layout.halls), *rc::gen::arbitrary<bool>());
				break;
			default:
				simulation.HealPartition(*rc::gen::inRange<size_t>(0, layout.halls));
				break;
			}
			simulation.Advance(milliseconds(*rc::gen::inRange(0, 700)));
			TimePoint written = simulation.Now();
			uint64_t version = simulation.Write();
			simulation.Advance(simulation.MaxPropagationDelay());
			RC_ASSERT(simulation.CountBehind(version, written) == 0U);
		}
		// After all failures have ended there is one reader again.
		for (size_t hall = 0; hall < layout.halls; hall++) simulation.HealPartition(hall);
		for (size_t i = 0; i < simulation.Size(); i++) {
			simulation.Restart(i);
			simulation.SetStoreReachable(i, true);
		}
		simulation.Advance(SETTLE_TIME);
		RC_ASSERT(simulation.OnlyReader() >= 0);
	});
	CHECK(good);
}

TEST_CASE("Sharing - a store that was restored from a backup gets a bounded number of calls, and later changes arrive in time")
{
	for (auto [halls, per_hall] : {std::pair<size_t, size_t>{2, 4}, {2, 31}, {5, 59}}) {
		SharingSimulation simulation({halls, per_hall});
		simulation.Advance(SETTLE_TIME);
		simulation.TakeBackup();
		simulation.WriteElsewhere(500);
		simulation.Write();
		simulation.Advance(seconds(2));
		simulation.StopStore();
		simulation.Advance(milliseconds(2500));
		uint64_t before = simulation.Calls();
		simulation.RestoreBackup(std::nullopt);
		simulation.Advance(milliseconds(300));
		TimePoint written = simulation.Now();
		uint64_t content = simulation.Write();
		simulation.Advance(simulation.MaxPropagationDelay());
		CHECK(simulation.CountBehind(content, written) == 0);
		simulation.Advance(seconds(10));
		MESSAGE("instances ", simulation.Size(), ": calls in the twelve seconds after the return ", simulation.Calls() - before);
		CHECK(simulation.Calls() - before <= 2 * simulation.Size() + 60);
		CHECK(simulation.OnlyReader() >= 0);
	}
}

TEST_CASE("Sharing - a change made after a restore of the store arrives in time, despite other failures and repeated restores")
{
	bool good = rc::check("copies", [] {
		SharingSimulationLayout layout{*rc::gen::inRange<size_t>(2, 5), *rc::gen::inRange<size_t>(1, 11)};
		SharingSimulation simulation(layout);
		simulation.Advance(SETTLE_TIME);
		auto any = [&] { return *rc::gen::inRange<size_t>(0, simulation.Size()); };
		for (int step = 0; step < 8; step++) {
			simulation.TakeBackup();
			// The restore loses some writes: as many as are made after it, or more, or fewer.
			for (int i = *rc::gen::inRange(0, 3); i > 0; i--) simulation.Write();
			simulation.WriteElsewhere(*rc::gen::inRange<uint64_t>(0, 4));
			simulation.Advance(milliseconds(*rc::gen::inRange(0, 900)));
			for (int i = *rc::gen::inRange(0, 3); i > 0; i--) {
				switch (*rc::gen::inRange(0, 6)) {
				case 0:
					simulation.Kill(any());
					break;
				case 1:
				case 2:
					simulation.Restart(any());
					break;
				case 3:
					simulation.SetStoreReachable(any(), *rc::gen::arbitrary<bool>());
					break;
				case 4:
					simulation.Partition(*rc::gen::inRange<size_t>(0, layout.halls), *rc::gen::arbitrary<bool>());
					break;
				default:
					simulation.HealPartition(*rc::gen::inRange<size_t>(0, layout.halls));
					break;
				}
				simulation.Advance(milliseconds(*rc::gen::inRange(0, 300)));
			}
			for (int i = *rc::gen::inRange(1, 3); i > 0; i--) {
				if (*rc::gen::arbitrary<bool>()) simulation.StopStore();
				simulation.Advance(milliseconds(*rc::gen::inRange(0, 1500)));
				bool late = *rc::gen::arbitrary<bool>();
				simulation.RestoreBackup(late ? std::optional<Duration>(milliseconds(*rc::gen::inRange(1, 1500))) : std::nullopt);
				if (*rc::gen::arbitrary<bool>()) simulation.RewriteLast();
				simulation.WriteElsewhere(*rc::gen::inRange<uint64_t>(0, 4));
			}
			simulation.Advance(milliseconds(*rc::gen::inRange(0, 700)));
			TimePoint written = simulation.Now();
			uint64_t content = simulation.Write();
			simulation.Advance(simulation.MaxPropagationDelay());
			RC_ASSERT(simulation.CountBehind(content, written) == 0U);
			RC_ASSERT(simulation.Reverts() == 0U);
		}
	});
	CHECK(good);
}
