/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim_test.cpp A non-repeatable call runs at most once, whatever the table answers. */

#include "fake_platform.h"
#include "instance/claim_store.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;

/** Attempt of one caller at one instance. */
struct Attempt {
	std::unique_ptr<ClaimStore> store;  ///< Claims of the instance.
	ClaimStep result = ClaimStep::Read; ///< Result of the claim.
	bool has_result = false;            ///< The claim has a result.
	bool killed = false;                ///< The instance was killed.
};

/** Starts a claim of the same key on a new instance, which executes the call as soon as it may. */
static std::shared_ptr<Attempt> StartAttempt(FakePlatform &platform, int number, int *runs, bool record)
{
	auto attempt = std::make_shared<Attempt>();
	attempt->store = std::make_unique<ClaimStore>(platform);
	attempt->store->Acquire("claim/key", "nonce" + std::to_string(number), 7, [=](ClaimStep step, const ClaimRow &row) {
		attempt->result = step;
		attempt->has_result = true;
		if (step != ClaimStep::Proceed || attempt->killed) return;
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

TEST_CASE("Claim - on a healthy platform exactly one of many attempts runs")
{
	FakePlatform platform(1);
	int runs = 0;
	std::vector<std::shared_ptr<Attempt>> attempts;
	for (int i = 0; i < 8; i++) attempts.push_back(StartAttempt(platform, i, &runs, true));
	platform.RunAll();
	CHECK(runs == 1);
	for (const auto &attempt : attempts) CHECK(attempt->has_result);
	auto late = StartAttempt(platform, 9, &runs, true);
	platform.RunAll();
	CHECK(late->result == ClaimStep::Replay);
	CHECK(runs == 1);
}

TEST_CASE("Claim - at most one attempt runs, despite lost and late answers, crashes and outages")
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
			if (*rc::gen::inRange(0, 4) == 0) attempts.back()->killed = true;
			for (const auto &attempt : attempts) attempt->store->OnTick();
		}
		platform.RunAll();
		RC_ASSERT(runs <= 1);
		for (const auto &attempt : attempts) {
			if (attempt->result == ClaimStep::Replay) RC_ASSERT(runs == 1);
		}
	});
	CHECK(good);
}

TEST_CASE("Claim - a claim that was rejected although its write took effect is released for the next attempt")
{
	FakePlatform platform(3);
	int runs = 0;
	platform.lost_answers = 1;
	auto first = StartAttempt(platform, 1, &runs, true);
	platform.RunAll();
	platform.lost_answers = 0;
	// Whatever the result of the first attempt, the call must run once in total.
	for (int i = 0; i < 3; i++) {
		first->store->OnTick();
		platform.RunAll();
	}
	auto second = StartAttempt(platform, 2, &runs, true);
	platform.RunAll();
	CHECK(runs == 1);
	bool answered = first->result == ClaimStep::Proceed || second->result == ClaimStep::Proceed;
	CHECK(answered);
}

TEST_CASE("Claim - a key reused for another request is rejected, and invalid rows are tolerated")
{
	FakePlatform platform(5);
	int runs = 0;
	auto first = StartAttempt(platform, 1, &runs, true);
	platform.RunAll();
	ClaimStore store(platform);
	ClaimStep result = ClaimStep::Read;
	store.Acquire("claim/key", "nonce2", 8, [&](ClaimStep step, const ClaimRow &) { result = step; });
	platform.RunAll();
	CHECK(result == ClaimStep::Mismatch);
	CHECK(rc::check("rows", [](const std::string &text) { RC_ASSERT(ParseClaim(text, "v").version == "v"); }));
	CHECK(ParseClaim("{\"state\":\"x\",\"nonce\":3}", "v").state == ClaimState::Taken);
}
