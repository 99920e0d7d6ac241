/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_property_test.cpp Whatever fails, a change of a table is known in time; and the store is not asked by hundreds. */

#include "tests/sharing_simulation.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after which those that started together have found their order. */
static constexpr Duration SETTLED = seconds(4);

TEST_CASE("Sharing - of 295 instances in five halls one reads a table, and all know a change within a tenth of a second")
{
	SharingSimulation world({5, 59});
	world.Advance(SETTLED);
	// Each reads the table whole at its start; nobody follows it until they have heard of each other.
	CHECK(world.Calls() <= world.Size() + 20);
	CHECK(world.OnlyReader() >= 0);
	uint64_t before = world.Calls();
	world.Advance(seconds(10));
	CHECK(world.OnlyReader() >= 0);
	// A call hangs for half a second when nothing changes. With a reader in each hall it was five times as many.
	CHECK(world.Calls() - before <= 21);
	TimePoint written = world.Now();
	uint64_t version = world.Write();
	world.Advance(milliseconds(100));
	CHECK(world.CountBehind(version, written) == 0);
}

TEST_CASE("Sharing - all 295 instances that end at once and start again ask the store no more than once each")
{
	SharingSimulation world({5, 59});
	world.Advance(SETTLED);
	for (size_t i = 0; i < world.Size(); i++) world.Kill(i);
	world.Advance(milliseconds(1500));
	uint64_t before = world.Calls();
	TimePoint written = world.Now();
	uint64_t version = world.Write();
	for (size_t i = 0; i < world.Size(); i++) world.Restart(i);
	world.Advance(milliseconds(100));
	CHECK(world.CountBehind(version, written) == 0);
	world.Advance(SETTLED);
	CHECK(world.Calls() - before <= world.Size() + 20);
	CHECK(world.OnlyReader() >= 0);
}

TEST_CASE("Sharing - a change is known in time at all who reach the store, whoever ends, is cut off or turned away")
{
	bool good = rc::check("whatever fails", [] {
		SharingSimulationLayout layout{*rc::gen::inRange<size_t>(2, 6), *rc::gen::inRange<size_t>(2, 10)};
		SharingSimulation world(layout);
		world.Advance(SETTLED);
		auto any = [&] { return *rc::gen::inRange<size_t>(0, world.Size()); };
		auto reader_or_any = [&] { return world.OnlyReader() >= 0 ? static_cast<size_t>(world.OnlyReader()) : any(); };
		for (int step = 0; step < 10; step++) {
			switch (*rc::gen::inRange(0, 8)) {
			case 0:
				world.Kill(reader_or_any());
				break;
			case 1:
				world.Kill(any());
				break;
			case 2:
				world.Restart(any());
				break;
			case 3:
				world.SetStoreReachable(reader_or_any(), false);
				break;
			case 4:
				world.SetStoreReachable(any(), *rc::gen::arbitrary<bool>());
				break;
			case 5:
				world.Partition(*rc::gen::inRange<size_t>(0, layout.halls), *rc::gen::arbitrary<bool>());
				break;
			default:
				world.HealPartition(*rc::gen::inRange<size_t>(0, layout.halls));
				break;
			}
			world.Advance(milliseconds(*rc::gen::inRange(0, 700)));
			TimePoint written = world.Now();
			uint64_t version = world.Write();
			world.Advance(world.MaxPropagationDelay());
			RC_ASSERT(world.CountBehind(version, written) == 0U);
		}
		// Once all is well again one instance reads for all, however the halls were cut before.
		for (size_t hall = 0; hall < layout.halls; hall++) world.HealPartition(hall);
		for (size_t i = 0; i < world.Size(); i++) {
			world.Restart(i);
			world.SetStoreReachable(i, true);
		}
		world.Advance(SETTLED);
		RC_ASSERT(world.OnlyReader() >= 0);
	});
	CHECK(good);
}

TEST_CASE("Sharing - a store that comes back from a copy is asked a bounded number of times, and what is written then is known in time")
{
	for (auto [halls, per_hall] : {std::pair<size_t, size_t>{2, 4}, {2, 31}, {5, 59}}) {
		SharingSimulation world({halls, per_hall});
		world.Advance(SETTLED);
		world.TakeBackup();
		world.WriteElsewhere(500);
		world.Write();
		world.Advance(seconds(2));
		world.StopStore();
		world.Advance(milliseconds(2500));
		uint64_t before = world.Calls();
		world.RestoreBackup(std::nullopt);
		world.Advance(milliseconds(300));
		TimePoint written = world.Now();
		uint64_t content = world.Write();
		world.Advance(world.MaxPropagationDelay());
		CHECK(world.CountBehind(content, written) == 0);
		world.Advance(seconds(10));
		MESSAGE("instances ", world.Size(), ": calls in the twelve seconds after the return ", world.Calls() - before);
		CHECK(world.Calls() - before <= 2 * world.Size() + 60);
		CHECK(world.OnlyReader() >= 0);
	}
}

TEST_CASE(
        "Sharing - a change made after the store came back from a copy is known in time, whatever else fails, however often it comes back")
{
	bool good = rc::check("copies", [] {
		SharingSimulationLayout layout{*rc::gen::inRange<size_t>(2, 5), *rc::gen::inRange<size_t>(1, 11)};
		SharingSimulation world(layout);
		world.Advance(SETTLED);
		auto any = [&] { return *rc::gen::inRange<size_t>(0, world.Size()); };
		for (int step = 0; step < 8; step++) {
			world.TakeBackup();
			// As many writes are lost as are made before the next change, or more, or fewer.
			for (int i = *rc::gen::inRange(0, 3); i > 0; i--) world.Write();
			world.WriteElsewhere(*rc::gen::inRange<uint64_t>(0, 4));
			world.Advance(milliseconds(*rc::gen::inRange(0, 900)));
			for (int i = *rc::gen::inRange(0, 3); i > 0; i--) {
				switch (*rc::gen::inRange(0, 6)) {
				case 0:
					world.Kill(any());
					break;
				case 1:
				case 2:
					world.Restart(any());
					break;
				case 3:
					world.SetStoreReachable(any(), *rc::gen::arbitrary<bool>());
					break;
				case 4:
					world.Partition(*rc::gen::inRange<size_t>(0, layout.halls), *rc::gen::arbitrary<bool>());
					break;
				default:
					world.HealPartition(*rc::gen::inRange<size_t>(0, layout.halls));
					break;
				}
				world.Advance(milliseconds(*rc::gen::inRange(0, 300)));
			}
			for (int i = *rc::gen::inRange(1, 3); i > 0; i--) {
				if (*rc::gen::arbitrary<bool>()) world.StopStore();
				world.Advance(milliseconds(*rc::gen::inRange(0, 1500)));
				bool late = *rc::gen::arbitrary<bool>();
				world.RestoreBackup(late ? std::optional<Duration>(milliseconds(*rc::gen::inRange(1, 1500))) : std::nullopt);
				if (*rc::gen::arbitrary<bool>()) world.RewriteLast();
				world.WriteElsewhere(*rc::gen::inRange<uint64_t>(0, 4));
			}
			world.Advance(milliseconds(*rc::gen::inRange(0, 700)));
			TimePoint written = world.Now();
			uint64_t content = world.Write();
			world.Advance(world.MaxPropagationDelay());
			RC_ASSERT(world.CountBehind(content, written) == 0U);
			RC_ASSERT(world.Reverts() == 0U);
		}
	});
	CHECK(good);
}
