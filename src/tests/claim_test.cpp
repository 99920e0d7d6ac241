/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim_test.cpp A call that must not be repeated runs at most once, whatever the table's answers do. */

#include "fake_platform.h"
#include "instance/claim_store.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

/** One caller's try at one instance. */
struct Attempt {
	std::unique_ptr<ClaimStore> store; ///< Claims of the instance.
	ClaimStep end = ClaimStep::Read;   ///< How the claim ended.
	bool ended = false;                ///< It has ended.
	bool dead = false;                 ///< The instance was killed.
};

/** Start a claim of the key at a new instance, which runs the call at once if it may. */
static std::shared_ptr<Attempt> StartAttempt(FakePlatform &platform, int number, int *runs, bool record)
{
	auto attempt = std::make_shared<Attempt>();
	attempt->store = std::make_unique<ClaimStore>(platform);
	attempt->store->Acquire("claim/key", "nonce" + std::to_string(number), 7, [=](ClaimStep step, const ClaimRow &row) {
		attempt->end = step;
		attempt->ended = true;
		if (step != ClaimStep::Proceed || attempt->dead) return;
		(*runs)++;
		if (!record) return;
		ClaimRow done = row;
		done.state = ClaimState::Done;
		done.status = 200;
		done.body = "paid";
		attempt->store->Settle("claim/key", std::move(done));
	});
	return attempt;
}

TEST_CASE("Claim - with everything healthy exactly one of many tries runs, the others get its answer or unknown")
{
	FakePlatform platform(1);
	int runs = 0;
	std::vector<std::shared_ptr<Attempt>> attempts;
	for (int i = 0; i < 8; i++) attempts.push_back(StartAttempt(platform, i, &runs, true));
	platform.RunAll();
	CHECK(runs == 1);
	for (const auto &attempt : attempts) CHECK(attempt->ended);
	auto late = StartAttempt(platform, 9, &runs, true);
	platform.RunAll();
	CHECK(late->end == ClaimStep::Replay);
	CHECK(runs == 1);
}

TEST_CASE("Claim - under lost, late and failed answers, kills and outages at most one try runs")
{
	bool good = rc::check("at most once", [](uint32_t seed) {
		FakePlatform platform(seed);
		platform.lost_answers = 0.25;
		platform.not_sent = 0.15;
		platform.late_effects = 0.2;
		int runs = 0;
		std::vector<std::shared_ptr<Attempt>> attempts;
		auto count = *rc::gen::inRange(1, 8);
		for (int i = 0; i < count; i++) {
			attempts.push_back(StartAttempt(platform, i, &runs, *rc::gen::arbitrary<bool>()));
			platform.Run(*rc::gen::inRange<size_t>(0, 6));
			if (*rc::gen::inRange(0, 4) == 0) attempts.back()->dead = true;
			for (const auto &attempt : attempts) attempt->store->OnTick();
		}
		platform.RunAll();
		RC_ASSERT(runs <= 1);
		for (const auto &attempt : attempts) {
			if (attempt->end == ClaimStep::Replay) RC_ASSERT(runs == 1);
		}
	});
	CHECK(good);
}

TEST_CASE("Claim - a try that was refused although its write took effect is released for the next one")
{
	FakePlatform platform(3);
	int runs = 0;
	platform.lost_answers = 1;
	auto first = StartAttempt(platform, 1, &runs, true);
	platform.RunAll();
	platform.lost_answers = 0;
	// Whatever the first came to, it must end up run once, or released and run once by the next.
	for (int i = 0; i < 3; i++) {
		first->store->OnTick();
		platform.RunAll();
	}
	auto second = StartAttempt(platform, 2, &runs, true);
	platform.RunAll();
	CHECK(runs == 1);
	bool answered = first->end == ClaimStep::Proceed || second->end == ClaimStep::Proceed;
	CHECK(answered);
}

TEST_CASE("Claim - a key used for another request is refused, and any text in the row is taken without harm")
{
	FakePlatform platform(5);
	int runs = 0;
	auto first = StartAttempt(platform, 1, &runs, true);
	platform.RunAll();
	ClaimStore store(platform);
	ClaimStep end = ClaimStep::Read;
	store.Acquire("claim/key", "nonce2", 8, [&](ClaimStep step, const ClaimRow &) { end = step; });
	platform.RunAll();
	CHECK(end == ClaimStep::Mismatch);
	CHECK(rc::check("rows", [](const std::string &text) { RC_ASSERT(ParseClaim(text, "v").version == "v"); }));
	CHECK(ParseClaim("{\"state\":\"x\",\"nonce\":3}", "v").state == ClaimState::Taken);
}
