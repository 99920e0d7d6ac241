/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine_test.cpp Requests under which targets end: what makes two of them the same one. */

#include "decision/dispatcher.h"
#include "decision/request_fingerprint.h"
#include "gateway/crash_records.h"
#include "tests/manual_store.h"
#include "tests/quarantine_world.h"
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace cottonspool;

TEST_CASE("Quarantine - a request that comes again has the same fingerprint, another one has not")
{
	RequestIdentity identity{"POST", "h.example", "/s/x?y=1", "acme", "body"};
	RequestFingerprint fingerprint = ComputeFingerprint(identity);
	CHECK(ComputeFingerprint(identity) == fingerprint);
	CHECK(ComputeFingerprint({"GET", "h.example", "/s/x?y=1", "acme", "body"}) != fingerprint);
	CHECK(ComputeFingerprint({"POST", "g.example", "/s/x?y=1", "acme", "body"}) != fingerprint);
	CHECK(ComputeFingerprint({"POST", "h.example", "/s/x?y=2", "acme", "body"}) != fingerprint);
	CHECK(ComputeFingerprint({"POST", "h.example", "/s/x?y=1", "other", "body"}) != fingerprint);
	CHECK(ComputeFingerprint({"POST", "h.example", "/s/x?y=1", "acme", "body."}) != fingerprint);
	// What moves from one part to the next makes another request.
	CHECK(ComputeFingerprint({"POST", "h.example", "/s/x?y=1", "acm", "ebody"}) != fingerprint);
}

TEST_CASE("Quarantine - fingerprints survive being written down, and nothing else is read as one")
{
	CHECK(rc::check([](uint64_t value) {
		RequestFingerprint fingerprint{value == 0 ? 1 : value};
		RC_ASSERT(ParseFingerprint(FormatFingerprint(fingerprint)) == fingerprint);
	}));
	for (const char *text : {"", "0000000000000000", "123", "00000000000000g1", "+000000000000001", "00000000000000001"}) {
		CAPTURE(text);
		CHECK_FALSE(ParseFingerprint(text).has_value());
	}
}

/** @return Sums over \a days days of \a layout. */
static QuarantineDay PlayDays(const QuarantineLayout &layout, uint64_t days)
{
	QuarantineDay sum;
	for (uint64_t seed = 1; seed <= days; seed++) {
		QuarantineDay day = PlayQuarantineDay(layout, seed);
		sum.ended += day.ended;
		sum.sent_late += day.sent_late;
		sum.innocents_ended += day.innocents_ended;
		sum.innocents_refused += day.innocents_refused;
	}
	return sum;
}

TEST_CASE("Quarantine - a request that ends targets reaches few, whoever sees them end, also while targets and instances end by themselves")
{
	CHECK(rc::check([] {
		QuarantineLayout layout;
		layout.instances = *rc::gen::element<size_t>(2, 6, 24, 66);
		layout.targets = *rc::gen::element<size_t>(9, 30, 60);
		layout.crashes_per_s = *rc::gen::element(0.0, 0.2, 1.0);
		layout.restarts_per_s = *rc::gen::element(0.0, 0.1, 0.5);
		QuarantineDay day = PlayQuarantineDay(layout, *rc::gen::inRange<uint64_t>(0, 1000000));
		RC_ASSERT(day.sent_late <= 3U);
		RC_ASSERT(day.innocents_refused == 0U);
	}));
}

TEST_CASE("Quarantine - without it the same request ends a target each time that it comes")
{
	QuarantineLayout layout;
	layout.limits.crash_threshold = UINT32_MAX;
	layout.limits.holdback_crashes = UINT32_MAX;
	CHECK(PlayDays(layout, 5).sent_late > 100);
}

/** Print what a way of judging comes to in \a days. */
static void TellDays(const char *way, const QuarantineLayout &layout, const QuarantineDay &days)
{
	MESSAGE(std::string(way) << ", crashes a second " << layout.crashes_per_s << ", tries of a caller " << layout.innocent_tries
	                         << ": targets ended under it " << days.ended << ", innocent requests ended " << days.innocents_ended
	                         << ", refused " << days.innocents_refused);
}

TEST_CASE("Quarantine - held back from two ends on: fewer targets and fewer other requests end than when three are waited for")
{
	static constexpr uint64_t DAYS = 40;
	for (double crashes : {0.0, 0.2, 1.0}) {
		for (uint32_t tries : {2U, 5U}) {
			QuarantineLayout layout;
			layout.length = std::chrono::seconds(20);
			layout.crashes_per_s = crashes;
			layout.innocent_tries = tries;
			QuarantineLayout three = layout;
			three.limits.holdback_crashes = UINT32_MAX;
			QuarantineLayout for_good = layout;
			for_good.limits.crash_threshold = 2;
			QuarantineDay days = PlayDays(layout, DAYS);
			QuarantineDay three_days = PlayDays(three, DAYS);
			TellDays("two hold back", layout, days);
			TellDays("three", three, three_days);
			TellDays("two for good", for_good, PlayDays(for_good, DAYS));
			CHECK(days.ended < three_days.ended);
			CHECK(days.innocents_refused * 1000 < static_cast<size_t>(layout.innocents_per_s * 20 * DAYS));
		}
	}
}

/** What came of a request that is sent once a second by one caller after another, and ends its target with some chance. */
struct FickleDay {
	size_t ended = 0;   ///< Targets that ended under it.
	size_t refused = 0; ///< Times that it was refused.
};

/** Play \a sends of a request that ends its target with the chance \a harm and is answered well otherwise. */
static FickleDay PlayFickle(const QuarantineLimits &limits, double harm, int sends, uint64_t seed)
{
	pcg64 random(seed);
	Quarantine quarantine(limits);
	TimePoint now{std::chrono::hours(1)};
	FickleDay day;
	for (int i = 0; i < sends; i++, now += std::chrono::seconds(1)) {
		if (quarantine.Judge(RequestFingerprint{7}, now) == Suspicion::Quarantined) {
			day.refused++;
			continue;
		}
		if (std::bernoulli_distribution(harm)(random)) {
			quarantine.Add({RequestFingerprint{7}, "life-" + std::to_string(i)}, now);
			day.ended++;
			continue;
		}
		for (const CrashRecord &end : quarantine.ClearedBySuccess(RequestFingerprint{7})) quarantine.Remove(end);
	}
	return day;
}

TEST_CASE("Quarantine - a request that ends some targets and is answered by others is held back too: an answer takes one end out, not all")
{
	static constexpr int SENDS = 120;
	static constexpr uint64_t DAYS = 200;
	QuarantineLimits all;
	all.cleared_per_success = SIZE_MAX;
	// The last one is innocent: targets end beside it by chance, one in a hundred of its sends.
	for (double harm : {0.7, 0.5, 0.3, 0.01}) {
		FickleDay one_out, all_out;
		for (uint64_t seed = 0; seed < DAYS; seed++) {
			FickleDay day = PlayFickle({}, harm, SENDS, seed);
			FickleDay other = PlayFickle(all, harm, SENDS, seed);
			one_out = {one_out.ended + day.ended, one_out.refused + day.refused};
			all_out = {all_out.ended + other.ended, all_out.refused + other.refused};
		}
		MESSAGE("ends its target in " << harm << " of " << SENDS << " sends, " << DAYS << " days: one out " << one_out.ended << " ended, "
		                              << one_out.refused << " refused; all out " << all_out.ended << " ended, " << all_out.refused
		                              << " refused");
		CHECK(one_out.ended <= all_out.ended);
		if (harm >= 0.3) CHECK(one_out.ended < all_out.ended);
		if (harm < 0.1) CHECK(one_out.refused * 50 < DAYS * SENDS);
	}
}

TEST_CASE("Quarantine - two ends hold a request back for a while, three for good, and each end counts once")
{
	Quarantine quarantine{QuarantineLimits{}};
	RequestFingerprint fingerprint{7};
	TimePoint now{std::chrono::hours(1)};
	CHECK(quarantine.Judge(fingerprint, now) == Suspicion::None);
	CHECK(quarantine.Add({fingerprint, "a@1"}, now));
	CHECK_FALSE(quarantine.Add({fingerprint, "a@1"}, now));
	CHECK(quarantine.Judge(fingerprint, now) == Suspicion::Suspected);
	// The same target's next life is another end.
	CHECK(quarantine.Add({fingerprint, "a@2"}, now));
	CHECK(quarantine.Judge(fingerprint, now) == Suspicion::Quarantined);
	CHECK(quarantine.Judge(RequestFingerprint{8}, now) == Suspicion::None);
	CHECK(quarantine.Judge(fingerprint, now + std::chrono::seconds(21)) == Suspicion::Suspected);
	now += std::chrono::seconds(21);
	quarantine.Add({fingerprint, "b"}, now);
	CHECK(quarantine.Judge(fingerprint, now + std::chrono::minutes(10)) == Suspicion::Quarantined);
	// What is no longer held against it, and what has grown old.
	quarantine.Remove({fingerprint, "a@1"});
	CHECK(quarantine.CrashesOf(fingerprint).size() == 2);
	CHECK(quarantine.Expired(now + std::chrono::minutes(29)).empty());
	CHECK(quarantine.Expired(now + std::chrono::minutes(31)).size() == 2);
	for (const CrashRecord &end : quarantine.All()) quarantine.Remove(end);
	CHECK(quarantine.IsEmpty());
	CHECK(quarantine.Judge(fingerprint, now) == Suspicion::None);
}

TEST_CASE("Quarantine - a request without a fingerprint is never held against, and no more ends are remembered than may be")
{
	QuarantineLimits limits;
	limits.max_records = 3;
	Quarantine quarantine{limits};
	TimePoint now{std::chrono::hours(1)};
	CHECK_FALSE(quarantine.Add({RequestFingerprint{0}, "a"}, now));
	for (uint64_t i = 1; i <= 9; i++) quarantine.Add({RequestFingerprint{i}, "a"}, now);
	CHECK(quarantine.All().size() == 3);
	CHECK(quarantine.IsFull());
}

TEST_CASE("Quarantine - a request that is quarantined is refused at once: new, waiting, and before a second send")
{
	Dispatcher dispatcher(DispatchLimits{}, MakeRouter("headroom", 0));
	TimePoint now{std::chrono::hours(1)};
	std::vector<ModelNumber> models{ModelNumber{0}};
	TargetNumber first = dispatcher.Targets().Configure("first", "hall", models, false);
	TargetNumber second = dispatcher.Targets().Configure("second", "hall", models, false);
	dispatcher.Targets().SetServiceCapacity(first, 1);
	dispatcher.Targets().SetServiceCapacity(second, 1);
	auto submit = [&](uint64_t id, uint64_t fingerprint) {
		CallSpec call;
		call.id = CallId{id};
		call.fingerprint = RequestFingerprint{fingerprint};
		call.generated = false;
		call.arrived = now;
		call.deadline = now + std::chrono::seconds(5);
		return dispatcher.Submit(call, now);
	};
	CHECK(submit(1, 7).sends.size() == 1);
	CHECK(submit(2, 8).sends.size() == 1);
	CHECK(submit(3, 7).sends.empty());
	dispatcher.QuarantineState().Add({RequestFingerprint{7}, "a"}, now);
	CHECK(dispatcher.OnQuarantineChanged(now).rejections.empty());
	dispatcher.QuarantineState().Add({RequestFingerprint{7}, "b"}, now);
	// The one that waits is refused, with the time for which it is held back.
	Decisions waiting = dispatcher.OnQuarantineChanged(now);
	REQUIRE(waiting.rejections.size() == 1);
	CHECK(waiting.rejections[0].call == CallId{3});
	CHECK(waiting.rejections[0].reason == RejectReason::Quarantined);
	CHECK(waiting.rejections[0].retry_after == QuarantineLimits{}.holdback);
	// The one that was sent is not sent again, though it may be repeated.
	Decisions ended = dispatcher.OnSendEnded(CallId{1}, SendOutcome::Lost, now);
	REQUIRE(ended.rejections.size() == 1);
	CHECK(ended.rejections[0].reason == RejectReason::Quarantined);
	REQUIRE(submit(4, 7).rejections.size() == 1);
	CHECK(submit(5, 9).rejections.empty());
	CHECK_FALSE(dispatcher.ChooseMigrationTarget(CallId{1}, {}, now).has_value());
}

namespace {

/** Ends in a store whose answers the test gives. */
struct RecordsWorld {
	void Pass(Duration time)
	{
		this->now += time;
		this->records.OnTick(this->now);
	}

	/** @return The rows \a crash_threshold, as the store tells them. */
	static std::vector<StoredRow> Rows(const std::vector<CrashRecord> &crash_threshold, bool deleted = false)
	{
		std::vector<StoredRow> rows;
		for (const CrashRecord &end : crash_threshold) rows.push_back({CrashKey(end), "", 5, deleted});
		return rows;
	}

	ManualStore store;                ///< Store.
	std::vector<CrashRecord> added;   ///< Told as added.
	std::vector<CrashRecord> removed; ///< Told as removed.
	TimePoint now = MonotonicNow();   ///< Clock.
	CrashRecordStore records{this->store, WatchLimits{}, CrashRecordLimits{}, "g1",
	                         [this](const std::vector<CrashRecord> &more, const std::vector<CrashRecord> &gone, TimePoint) {
		                         this->added.insert(this->added.end(), more.begin(), more.end());
		                         this->removed.insert(this->removed.end(), gone.begin(), gone.end());
	                         }}; ///< Under test.
};

} // namespace

TEST_CASE("Quarantine - ends are written until the store has taken them, however often it fails, and are bounded while it is away")
{
	RecordsWorld world;
	CrashRecord end{RequestFingerprint{7}, "engine@5"};
	CHECK(world.records.Add(end));
	world.Pass(std::chrono::milliseconds(25));
	REQUIRE(world.store.writes.size() == 1);
	CHECK(ParseCrashKey(world.store.writes[0].key) == end);
	// Nothing was done; then no answer at all; then it is done.
	world.store.writes[0].done(StoreWriteResult::NotDone);
	world.Pass(std::chrono::milliseconds(400));
	REQUIRE(world.store.writes.size() == 2);
	world.Pass(std::chrono::milliseconds(600));
	REQUIRE(world.store.writes.size() == 3);
	world.store.writes[1].done(StoreWriteResult::Done);
	CHECK(world.records.Waiting() == 1);
	world.store.writes[2].done(StoreWriteResult::Done);
	CHECK(world.records.Waiting() == 0);
	CHECK(world.records.Holds(end));
	world.records.Remove(end);
	world.Pass(std::chrono::milliseconds(25));
	REQUIRE(world.store.removals.size() == 1);
	world.store.removals[0].done(StoreWriteResult::Done);
	CHECK_FALSE(world.records.Holds(end));
	for (uint64_t i = 1; i < 1000; i++) static_cast<void>(world.records.Add({RequestFingerprint{i}, "x"}));
	CHECK(world.records.Waiting() == CrashRecordLimits{}.max_pending);
}

TEST_CASE("Quarantine - what others add and remove is told once, rows that can't be read name nothing and the others hold")
{
	RecordsWorld world;
	CrashRecord one{RequestFingerprint{7}, "a"};
	CrashRecord two{RequestFingerprint{7}, "b/c@1"};
	std::vector<StoredRow> rows = RecordsWorld::Rows({one, two});
	rows.insert(rows.begin() + 1, {"not a key", "", 5, false});
	rows.push_back({"0000000000000007/", "", 5, false});
	world.records.Watch().on_changes(rows, world.now);
	CHECK(world.added == std::vector<CrashRecord>{one, two});
	world.records.Watch().on_changes(rows, world.now);
	CHECK(world.added.size() == 2);
	world.records.Watch().on_changes(RecordsWorld::Rows({one}, true), world.now);
	CHECK(world.removed == std::vector<CrashRecord>{one});
	// A whole read that lacks an end has seen it go; one that this instance is still to write has not gone.
	CrashRecord own{RequestFingerprint{9}, "a"};
	CHECK(world.records.Add(own));
	world.records.Watch().on_snapshot({}, world.now);
	CHECK(world.removed == std::vector<CrashRecord>{one, two});
	CHECK(world.records.Holds(own));
}
