/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry_test.cpp Guards against draining targets that become usable again, and live ones lost in a store outage. */

#include "decision/target_registry.h"
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** @return The row of target number \a i. */
TargetRow Row(int i, bool draining = false, uint64_t started_ms = 0)
{
	ListedTarget target;
	target.incarnation = {"target-" + std::to_string(i), started_ms};
	target.pool = "pool";
	target.address = "127.0.0.1:" + std::to_string(8000 + i);
	target.draining = draining;
	return {target.incarnation.id, target};
}

/** @return The removal of the row of target number \a i. */
TargetRow RemovedRow(int i)
{
	return {"target-" + std::to_string(i), std::nullopt};
}

/** @return The rows of the first \a count targets. */
std::vector<TargetRow> Rows(int count)
{
	std::vector<TargetRow> rows;
	for (int i = 0; i < count; i++) rows.push_back(Row(i));
	return rows;
}

} // namespace

TEST_CASE("Registry - a draining target never becomes usable again, whatever the list shows")
{
	bool good = rc::check("final", [](const std::vector<uint8_t> &steps) {
		TargetRegistry registry({});
		TimePoint now{std::chrono::seconds(100)};
		registry.OnFullList(Rows(4), now);
		bool departed = false;
		for (uint8_t step : steps) {
			now += milliseconds(step);
			std::vector<TargetEvent> events;
			switch (step % 6) {
			case 0:
				events = registry.OnChanges({Row(0)}, now);
				break;
			case 1:
				events = registry.OnChanges({Row(0, true)}, now);
				break;
			case 2:
				events = registry.OnChanges({RemovedRow(0)}, now);
				break;
			case 3:
				events = registry.OnFullList(Rows(4), now);
				break;
			case 4:
				registry.OnStoreReconnected(now);
				events = registry.OnDrainNotice("target-0", "own-notice", now);
				break;
			default:
				events = registry.OnTick(now);
			}
			departed = departed || step % 6 == 1 || step % 6 == 4;
			for (const TargetEvent &event : events) {
				if (departed && event.target.incarnation.id == "target-0") RC_ASSERT(event.change == TargetChange::Draining);
			}
		}
	});
	CHECK(good);
}

TEST_CASE("Registry - a target whose row is removed without a store outage is unusable at once")
{
	TargetRegistry registry({});
	TimePoint now{std::chrono::seconds(100)};
	registry.OnFullList(Rows(9), now);
	std::vector<TargetEvent> events = registry.OnChanges({RemovedRow(3)}, now + milliseconds(10));
	REQUIRE(events.size() == 1);
	CHECK(events[0].change == TargetChange::Draining);
	CHECK(events[0].target.incarnation.id == "target-3");
}

TEST_CASE("Registry - rows that expired in a store outage keep their targets usable for the grace period")
{
	RegistryLimits limits;
	TargetRegistry registry(limits);
	TimePoint now{std::chrono::seconds(100)};
	registry.OnFullList(Rows(6), now);
	now += std::chrono::seconds(5);
	registry.OnStoreReconnected(now);
	CHECK(registry.OnFullList({}, now).empty());
	// Three targets write their rows again in time.
	CHECK(registry.OnChanges({Row(0), Row(1), Row(2)}, now + milliseconds(900)).empty());
	CHECK(registry.OnTick(now + limits.expiry_grace - milliseconds(1)).empty());
	std::vector<TargetEvent> events = registry.OnTick(now + limits.expiry_grace);
	CHECK(events.size() == 3);
	for (const TargetEvent &event : events) CHECK(event.change == TargetChange::Draining);
}

TEST_CASE("Registry - rows that expired in a store outage keep even a single target usable")
{
	TargetRegistry registry({});
	TimePoint now{std::chrono::seconds(100)};
	registry.OnFullList(Rows(9), now);
	registry.OnStoreReconnected(now);
	CHECK(registry.OnChanges({RemovedRow(3)}, now + milliseconds(5)).empty());
	CHECK(registry.OnTick(now + milliseconds(1500)).empty());
	CHECK(registry.OnTick(now + milliseconds(2100)).size() == 1);
}

TEST_CASE("Registry - many rows that disappear at once are taken for expired ones")
{
	TargetRegistry registry({});
	TimePoint now{std::chrono::seconds(100)};
	registry.OnFullList(Rows(9), now);
	std::vector<TargetRow> gone;
	for (int i = 0; i < 9; i++) gone.push_back(RemovedRow(i));
	CHECK(registry.OnChanges(gone, now + milliseconds(10)).empty());
	std::vector<TargetEvent> events = registry.OnTick(now + std::chrono::seconds(3));
	CHECK(events.size() == 9);
}

TEST_CASE("Registry - a heartbeat without changes causes no event")
{
	TargetRegistry registry({});
	TimePoint now{std::chrono::seconds(100)};
	CHECK(registry.OnFullList(Rows(2), now).size() == 2);
	TargetRow again = Row(0);
	again.target->sequence = 77;
	CHECK(registry.OnChanges({again}, now).empty());
	again.target->address = "127.0.0.1:9999";
	CHECK(registry.OnChanges({again}, now).size() == 1);
}

TEST_CASE("Registry - a restarted target is a new incarnation, usable at once despite an earlier drain notice")
{
	static constexpr uint64_t FIRST = 1000;
	static constexpr uint64_t SECOND = 2000;
	TimePoint now{std::chrono::seconds(100)};
	TargetRegistry registry({});
	registry.OnFullList({Row(0, false, FIRST), Row(1, false, FIRST)}, now);
	// After a drain notice and the removal of the row, a new incarnation is usable.
	registry.OnChanges({Row(0, true, FIRST)}, now);
	registry.OnChanges({RemovedRow(0)}, now);
	std::vector<TargetEvent> events = registry.OnChanges({Row(0, false, SECOND)}, now);
	REQUIRE(events.size() == 2);
	CHECK(events[0].change == TargetChange::Terminated);
	CHECK(events[0].target.incarnation.started_ms == FIRST);
	CHECK(events[1].change == TargetChange::Usable);
	CHECK(events[1].target.incarnation.started_ms == SECOND);
	// A late row of the old incarnation is ignored.
	CHECK(registry.OnChanges({Row(0, false, FIRST)}, now).empty());
	// After a crash and restart before the row expires, the old incarnation is reported as terminated first.
	events = registry.OnChanges({Row(1, false, SECOND)}, now);
	REQUIRE(events.size() == 2);
	CHECK(events[0].change == TargetChange::Terminated);
	CHECK(events[0].target.incarnation.started_ms == FIRST);
	CHECK(events[1].change == TargetChange::Usable);
	CHECK(events[1].target.incarnation.started_ms == SECOND);
	// A late notice of the old incarnation does not affect the new one.
	CHECK(registry.OnDrainNotice(TargetIncarnation{"target-1", FIRST}.Name(), "own-notice", now).empty());
	CHECK(registry.OnTick(now + milliseconds(10)).empty());
	// A notice of the new incarnation does.
	CHECK(registry.OnDrainNotice(TargetIncarnation{"target-1", SECOND}.Name(), "own-notice", now).size() == 1);
	CHECK(registry.OnChanges({Row(1, false, SECOND)}, now).empty());
}

TEST_CASE("Registry - only the latest incarnation is usable, and terminated ones never become usable again")
{
	CHECK(rc::check("lives", [](const std::vector<uint8_t> &steps) {
		TargetRegistry registry({});
		TimePoint now{std::chrono::seconds(100)};
		std::map<std::string, bool> usable;
		std::set<std::string> over;
		uint64_t started_ms = 1;
		registry.OnFullList({Row(0, false, started_ms)}, now);
		usable[TargetIncarnation{"target-0", started_ms}.Name()] = true;
		for (uint8_t step : steps) {
			now += milliseconds(step);
			std::vector<TargetEvent> events;
			if (step % 5 == 0) events = registry.OnChanges({Row(0, false, ++started_ms)}, now);
			if (step % 5 == 1) events = registry.OnChanges({Row(0, step % 2 == 0, started_ms)}, now);
			if (step % 5 == 2) events = registry.OnChanges({RemovedRow(0)}, now);
			if (step % 5 == 3) events = registry.OnFullList({Row(0, false, started_ms)}, now);
			if (step % 5 == 4) events = registry.OnTick(now);
			for (const TargetEvent &event : events) {
				std::string name = event.target.incarnation.Name();
				RC_ASSERT(event.change != TargetChange::Usable || !over.contains(name));
				usable[name] = event.change == TargetChange::Usable;
				if (event.change == TargetChange::Terminated) over.insert(name);
			}
			for (const auto &[name, used] : usable) RC_ASSERT(!used || name == (TargetIncarnation{"target-0", started_ms}.Name()));
		}
	}));
}
