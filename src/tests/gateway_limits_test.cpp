/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_limits_test.cpp The timeouts that an instance derives from the platform's bounds. */

#include "gateway/gateway_type.h"
#include "platform/node_settings.h"
#include <doctest/doctest.h>
#include <map>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A store that never answers calls made during its outage, and answers later ones at once. */
class OutageStore : public TableStore {
public:
	uint64_t ReadRows(const std::string &, const std::string &, RowsDone done) override { return this->Take(std::move(done)); }
	uint64_t ReadChanges(const std::string &, uint64_t, Duration, RowsDone done) override { return this->Take(std::move(done)); }
	uint64_t WriteRow(const std::string &, const std::string &, const std::string &, WriteDone) override { return 0; }
	uint64_t RemoveRow(const std::string &, const std::string &, WriteDone) override { return 0; }
	void Cancel(uint64_t call) override { this->calls.erase(call); }

	/** Answer the calls made after the outage. */
	void Answer()
	{
		std::map<uint64_t, RowsDone> due = std::move(this->calls);
		this->calls.clear();
		RowsPage page;
		page.version = ++this->version;
		for (auto &[number, done] : due) done({page, StoreFailure::NoAnswer, ""});
	}

	bool available = true; ///< Whether the store is available.

private:
	uint64_t Take(RowsDone done)
	{
		if (this->available) this->calls[this->last + 1] = std::move(done);
		return ++this->last;
	}

	std::map<uint64_t, RowsDone> calls; ///< Calls to be answered.
	uint64_t last = 0;                  ///< Number of the latest call.
	uint64_t version = 1;               ///< Version in the latest answer.
};

/** @return The longest time from the store's recovery to an answer to the watch, over outages of different lengths. */
Duration LongestRecovery(const WatchLimits &limits, bool known_before)
{
	Duration longest{0};
	for (int outage_ms = 200; outage_ms < 12000; outage_ms += 130) {
		OutageStore store;
		TimePoint now{std::chrono::seconds(100)};
		TableWatch watch(store, "table", limits, [&now] { return now; });
		store.available = known_before;
		watch.Start(now);
		if (known_before) store.Answer();
		store.available = false;
		auto advance = [&](Duration time) {
			for (Duration step{0}; step < time; step += milliseconds(10)) {
				now += milliseconds(10);
				watch.OnTick(now);
			}
		};
		advance(milliseconds(outage_ms));
		store.available = true;
		TimePoint recovered_at = now;
		while (watch.ConfirmedAt() < recovered_at) {
			advance(milliseconds(10));
			store.Answer();
			REQUIRE(now - recovered_at < std::chrono::seconds(30));
		}
		longest = std::max(longest, std::chrono::duration_cast<Duration>(now - recovered_at));
	}
	return longest;
}

} // namespace

TEST_CASE("Limits - a store that recovers is noticed well within the platform's recovery time")
{
	for (int contact_s : {2, 3, 4, 6}) {
		NodeSettings settings;
		settings.platform_bounds.recovery = std::chrono::seconds(contact_s);
		settings.platform_bounds.drain = settings.platform_bounds.config_apply = std::chrono::seconds(contact_s) * 3 / 4;
		WatchLimits limits = GatewayLimitsFor(settings).watch;
		CHECK(LongestRecovery(limits, true) <= settings.platform_bounds.recovery * 4 / 5);
		CHECK(LongestRecovery(limits, false) <= settings.platform_bounds.recovery * 4 / 5);
	}
}
