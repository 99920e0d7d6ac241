/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_limits_test.cpp The times that an instance derives from the operators' bounds. */

#include "gateway/gateway_type.h"
#include "platform/node_settings.h"
#include <doctest/doctest.h>
#include <map>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A store that swallows each call until it returns; from then on it answers at once. */
class AbsentStore : public TableStore {
public:
	uint64_t ReadRows(const std::string &, const std::string &, RowsDone done) override { return this->Take(std::move(done)); }
	uint64_t ReadChanges(const std::string &, uint64_t, Duration, RowsDone done) override { return this->Take(std::move(done)); }
	uint64_t WriteRow(const std::string &, const std::string &, const std::string &, WriteDone) override { return 0; }
	uint64_t RemoveRow(const std::string &, const std::string &, WriteDone) override { return 0; }
	void Cancel(uint64_t call) override { this->calls.erase(call); }

	/** Answer what was asked since the return. */
	void Answer()
	{
		std::map<uint64_t, RowsDone> due = std::move(this->calls);
		this->calls.clear();
		RowsPage page;
		page.version = ++this->version;
		for (auto &[number, done] : due) done({page, StoreFailure::NoAnswer, ""});
	}

	bool present = true; ///< Calls made now are answered.

private:
	uint64_t Take(RowsDone done)
	{
		if (this->present) this->calls[this->last + 1] = std::move(done);
		return ++this->last;
	}

	std::map<uint64_t, RowsDone> calls; ///< Calls that will be answered.
	uint64_t last = 0;                  ///< Number of the newest call.
	uint64_t version = 1;               ///< Version of the newest answer.
};

/** @return Longest time from the store's return until a watch has heard from it, whenever the outage ends. */
Duration LongestReturn(const WatchLimits &limits, bool known_before)
{
	Duration longest{0};
	for (int away_ms = 200; away_ms < 12000; away_ms += 130) {
		AbsentStore store;
		TimePoint now{std::chrono::seconds(100)};
		TableWatch watch(store, "table", limits, [&now] { return now; });
		store.present = known_before;
		watch.Start(now);
		if (known_before) store.Answer();
		store.present = false;
		auto pass = [&](Duration time) {
			for (Duration step{0}; step < time; step += milliseconds(10)) {
				now += milliseconds(10);
				watch.OnTick(now);
			}
		};
		pass(milliseconds(away_ms));
		store.present = true;
		TimePoint returned = now;
		while (watch.ConfirmedAt() < returned) {
			pass(milliseconds(10));
			store.Answer();
			REQUIRE(now - returned < std::chrono::seconds(30));
		}
		longest = std::max(longest, std::chrono::duration_cast<Duration>(now - returned));
	}
	return longest;
}

} // namespace

TEST_CASE("Limits - a store that returns is heard well inside the calm time after which the bounds hold again")
{
	for (int contact_s : {2, 3, 4, 6}) {
		NodeSettings settings;
		settings.platform_bounds.recovery = std::chrono::seconds(contact_s);
		settings.platform_bounds.drain = settings.platform_bounds.config_apply = std::chrono::seconds(contact_s) * 3 / 4;
		WatchLimits limits = GatewayLimitsFor(settings).watch;
		CHECK(LongestReturn(limits, true) <= settings.platform_bounds.recovery * 4 / 5);
		CHECK(LongestReturn(limits, false) <= settings.platform_bounds.recovery * 4 / 5);
	}
}
