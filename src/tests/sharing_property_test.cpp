/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_property_test.cpp Whatever fails, a change of a table is known in time; and the store is not asked by hundreds. */

#include "tests/sharing_world.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Time after which those that started together have found their order. */
static constexpr Duration SETTLED = seconds(4);

TEST_CASE("Sharing - of 295 instances in five halls one reads a table, and all know a change within a tenth of a second")
{
	SharingWorld world({5, 59});
	world.Pass(SETTLED);
	// Each reads the table whole at its start; nobody follows it until they have heard of each other.
	CHECK(world.Calls() <= world.Size() + 20);
	CHECK(world.OnlyReader() >= 0);
	uint64_t before = world.Calls();
	world.Pass(seconds(10));
	CHECK(world.OnlyReader() >= 0);
	// A call hangs for half a second when nothing changes. With a reader in each hall it was five times as many.
	CHECK(world.Calls() - before <= 21);
	TimePoint written = world.Now();
	uint64_t version = world.Write();
	world.Pass(milliseconds(100));
	CHECK(world.Behind(version, written) == 0);
}

TEST_CASE("Sharing - all 295 instances that end at once and start again ask the store no more than once each")
{
	SharingWorld world({5, 59});
	world.Pass(SETTLED);
	for (size_t i = 0; i < world.Size(); i++) world.Kill(i);
	world.Pass(milliseconds(1500));
	uint64_t before = world.Calls();
	TimePoint written = world.Now();
	uint64_t version = world.Write();
	for (size_t i = 0; i < world.Size(); i++) world.Restart(i);
	world.Pass(milliseconds(100));
	CHECK(world.Behind(version, written) == 0);
	world.Pass(SETTLED);
	CHECK(world.Calls() - before <= world.Size() + 20);
	CHECK(world.OnlyReader() >= 0);
}

TEST_CASE("Sharing - a change is known in time at all who reach the store, whoever ends, is cut off or turned away")
{
	bool good = rc::check("whatever fails", [] {
		SharingLayout layout{*rc::gen::inRange<size_t>(2, 6), *rc::gen::inRange<size_t>(2, 10)};
		SharingWorld world(layout);
		world.Pass(SETTLED);
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
				world.Cut(*rc::gen::inRange<size_t>(0, layout.halls), *rc::gen::arbitrary<bool>());
				break;
			default:
				world.Heal(*rc::gen::inRange<size_t>(0, layout.halls));
				break;
			}
			world.Pass(milliseconds(*rc::gen::inRange(0, 700)));
			TimePoint written = world.Now();
			uint64_t version = world.Write();
			world.Pass(world.Bound());
			RC_ASSERT(world.Behind(version, written) == 0U);
		}
		// Once all is well again one instance reads for all, however the halls were cut before.
		for (size_t hall = 0; hall < layout.halls; hall++) world.Heal(hall);
		for (size_t i = 0; i < world.Size(); i++) {
			world.Restart(i);
			world.SetStoreReachable(i, true);
		}
		world.Pass(SETTLED);
		RC_ASSERT(world.OnlyReader() >= 0);
	});
	CHECK(good);
}
