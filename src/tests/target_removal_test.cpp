/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_removal_test.cpp Guards against requests to targets after the time in which they serve on once their removal is
 * acknowledged. */

#include "decision/target_registry.h"
#include "gateway/gateway_type.h"
#include "platform/node_settings.h"
#include "tests/manual_store.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

static constexpr int TARGETS = 9;                 ///< Number of targets.
static constexpr milliseconds SCAN_INTERVAL{100}; ///< Interval between scans for targets whose time is over.

/** @return The row of target number \a i. */
TargetRow Row(int i)
{
	ListedTarget target;
	target.incarnation = {"target-" + std::to_string(i), 0};
	target.pool = "pool";
	target.address = "127.0.0.1:" + std::to_string(8000 + i);
	return {target.incarnation.id, target};
}

/** @return The removal of the row of target number \a i. */
TargetRow RemovedRow(int i)
{
	return {"target-" + std::to_string(i), std::nullopt};
}

/** @return Limits with a drain time of \a drain. */
RegistryLimits LimitsFor(Duration drain)
{
	RegistryLimits limits;
	limits.drain_bound = drain;
	return limits;
}

/** A store of targets, an instance that reads it, and when the store has acknowledged removals. */
struct RemovalModel {
	explicit RemovalModel(Duration drain) : registry(LimitsFor(drain)), drain(drain)
	{
		for (int i = 0; i < TARGETS; i++) this->Write(i);
		this->Read();
	}

	/** The target \a i writes its row. */
	void Write(int i)
	{
		this->acknowledged.erase(i);
		this->pending[i] = Row(i);
	}

	/** The row of the target \a i is removed. */
	void Remove(int i)
	{
		this->acknowledged.try_emplace(i, this->now);
		this->pending[i] = RemovedRow(i);
	}

	/** The instance reads the changes. */
	void Read()
	{
		UpdateAge age{std::chrono::duration_cast<Duration>(this->now - this->read_at), this->failed};
		// What the store acknowledges in an outage binds from its end.
		if (age.after_failures && age.longest >= RegistryLimits{}.min_expiry_gap) {
			for (auto &[i, at] : this->acknowledged) at = std::max(at, this->pending.contains(i) ? this->now : at);
		}
		std::vector<TargetRow> rows;
		for (auto &[i, row] : this->pending) rows.push_back(row);
		this->pending.clear();
		this->read_at = this->now;
		this->failed = false;
		this->Apply(this->registry.OnChanges(rows, this->now, age));
	}

	/** Time passes, with regular scans. */
	void Advance(Duration time)
	{
		TimePoint end = this->now + time;
		while (this->now < end) {
			this->now = std::min<TimePoint>(end, this->now + SCAN_INTERVAL);
			this->Apply(this->registry.OnTick(this->now));
		}
	}

	/** @return Whether a usable target was removed longer ago than its drain time, less what a request takes to be sent. */
	[[nodiscard]] bool AnyLate() const
	{
		for (const auto &[i, at] : this->acknowledged) {
			// Until it has read the removal, an instance does not know it; reads are bounded elsewhere.
			if (this->pending.contains(i)) continue;
			if (this->usable.contains("target-" + std::to_string(i)) && this->now > at + this->drain - SCAN_INTERVAL) return true;
		}
		return false;
	}

	TargetRegistry registry;               ///< Under test.
	Duration drain;                        ///< Drain time.
	TimePoint now{seconds(100)};           ///< Clock.
	TimePoint read_at{seconds(100)};       ///< When the instance last read the store.
	bool failed = false;                   ///< Reads have failed since.
	std::map<int, TimePoint> acknowledged; ///< When the store acknowledged the removal of a row, by target.
	std::map<int, TargetRow> pending;      ///< Changes not read yet.
	std::set<std::string> usable;          ///< Targets that are usable.

private:
	void Apply(const std::vector<TargetEvent> &events)
	{
		for (const TargetEvent &event : events) {
			if (event.change == TargetChange::Usable) {
				this->usable.insert(event.target.incarnation.Name());
			} else {
				this->usable.erase(event.target.incarnation.Name());
			}
		}
	}
};

} // namespace

TEST_CASE("Removal - targets that are removed together get no request after the drain time")
{
	for (int drain_ms : {100, 500, 1000, 2000, 3000, 30000}) {
		RemovalModel model{milliseconds(drain_ms)};
		CHECK(model.usable.size() == TARGETS);
		for (int i = 0; i < 6; i++) model.Remove(i);
		model.Advance(milliseconds(160));
		model.Read();
		for (int i = 0; i < 400; i++) {
			model.Advance(milliseconds(10));
			CHECK(!model.AnyLate());
		}
		CHECK(model.usable.size() == 3);
	}
}

TEST_CASE("Removal - no sequence of removals, returns, reads and outages leaves a target in use after the drain time")
{
	CHECK(rc::check("drain time", [](const std::vector<std::pair<uint8_t, uint8_t>> &steps) {
		RemovalModel model{milliseconds(*rc::gen::element(400, 700, 1500, 2000, 3000, 5000))};
		for (auto [action, number] : steps) {
			model.Advance(milliseconds(number));
			int i = number % TARGETS;
			if (action % 8 == 0) model.Remove(i);
			if (action % 8 == 1) model.Write(i);
			if (action % 8 == 2) {
				for (int each = i; each < TARGETS; each++) model.Remove(each);
			}
			if (action % 8 == 3) model.failed = true;
			if (action % 8 == 4) model.Advance(milliseconds(10 * number));
			if (action % 8 > 4) model.Read();
			RC_ASSERT(!model.AnyLate());
		}
	}));
}

TEST_CASE("Removal - rows that may have expired in an outage keep their targets in use for most of the drain time at most")
{
	RemovalModel model{seconds(2)};
	model.failed = true;
	model.Advance(seconds(6));
	for (int i = 0; i < TARGETS; i++) model.Remove(i);
	model.Read();
	CHECK(model.usable.size() == TARGETS);
	model.Advance(milliseconds(1600));
	CHECK(model.usable.size() == TARGETS);
	model.Advance(milliseconds(200));
	CHECK(model.usable.empty());
	// The targets that live write their rows again.
	for (int i = 0; i < 4; i++) model.Write(i);
	model.Read();
	CHECK(model.usable.size() == 4);
}

TEST_CASE("Removal - a failure too short for rows to expire keeps no target in use")
{
	RemovalModel model{seconds(2)};
	model.failed = true;
	model.Advance(milliseconds(300));
	model.Remove(4);
	model.Read();
	CHECK(model.usable.size() == TARGETS - 1);
}

TEST_CASE("Removal - a drain time that changes with the settings is in force at once")
{
	RemovalModel model{seconds(2)};
	model.registry.SetDrainBound(milliseconds(500));
	model.drain = milliseconds(500);
	for (int i = 0; i < 6; i++) model.Remove(i);
	model.Read();
	model.Advance(milliseconds(400));
	CHECK(!model.AnyLate());
	CHECK(model.usable.size() == 3);
}

TEST_CASE("Removal - the drain time and the heartbeat of the platform are those of the registry")
{
	NodeSettings settings;
	settings.platform_bounds.drain = milliseconds(700);
	settings.heartbeat = milliseconds(900);
	GatewayLimits limits = GatewayLimitsFor(settings);
	CHECK(limits.registry.drain_bound == milliseconds(700));
	CHECK(limits.registry.min_expiry_gap == milliseconds(1800));
	CHECK(limits.watch.batch_delay + limits.watch.max_takeover_delay < settings.platform_bounds.drain);
}

TEST_CASE("Removal - a watch tells how old the changes may be that it has taken in")
{
	ManualStore store;
	TimePoint now = MonotonicNow();
	TableWatch watch(store, "table", WatchLimits{}, [&now] { return now; });
	watch.Start(now);
	store.Answer(Page({"a"}, 10));
	now += milliseconds(700);
	store.Answer(Page({}, 11));
	CHECK(watch.LastUpdateAge().longest == milliseconds(700));
	CHECK(!watch.LastUpdateAge().after_failures);
	// Failed reads don't count as reads, and are told until the next success.
	now += milliseconds(200);
	watch.OnTick(now);
	store.Answer(Failed(StoreFailure::Refused));
	now += milliseconds(300);
	watch.OnTick(now);
	store.Answer(Page({"b"}, 12));
	CHECK(watch.LastUpdateAge().longest == milliseconds(500));
	CHECK(watch.LastUpdateAge().after_failures);
	// Updates of a peer count from their arrival, but a snapshot that it sends may be older.
	watch.SetTakeoverDelay(seconds(4));
	now += milliseconds(100);
	watch.OnUpdate({"table", {0, 12}, {0, 13}, false, true, {{"c", "", 13}}, {0, 13}}, now);
	CHECK(watch.LastUpdateAge().longest == milliseconds(100));
	now += milliseconds(100);
	watch.OnUpdate({"table", {}, {0, 14}, true, true, {{"c", "", 13}}, {0, 14}}, now);
	now += milliseconds(100);
	watch.OnUpdate({"table", {0, 14}, {0, 15}, false, true, {{"d", "", 15}}, {0, 15}}, now);
	CHECK(watch.LastUpdateAge().longest == milliseconds(200));
}
