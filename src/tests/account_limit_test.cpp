/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file account_limit_test.cpp Guards against limited calls that take the last memory of an engine, go before others, wait in vain, or are
 * limited without need.
 */

#include "decision/dispatcher.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <optional>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t MEMORY = 20000; ///< KV cache of the engine, in tokens.
const AccountNumber LARGE{1};      ///< Account above its share.
const AccountNumber SMALL{2};      ///< Account below its share.

/** Dispatcher with one engine that calls of LARGE nearly fill; SMALL has one call there. */
struct LimitHarness {
	/** @param at_peer Whether the calls of LARGE are those of a peer, so that this instance's queue has not charged them. */
	explicit LimitHarness(bool use_shares = true, bool has_view = true, bool at_peer = false)
	    : dispatcher(Limits(use_shares), MakeRouter("headroom", 1)),
	      engine(this->dispatcher.Targets().Configure("engine", "hall", {ModelNumber{0}}))
	{
		this->dispatcher.SetShareView(has_view);
		this->dispatcher.Targets().SetServiceCapacity(this->engine, MEMORY);
		CHECK(this->Submit(SMALL, 1000).sends.size() == 1);
		for (int i = 0; i < 8; i++) {
			if (!at_peer) CHECK(this->Submit(LARGE, 2000).sends.size() == 1);
			if (!at_peer) continue;
			CallSpec call;
			call.id = CallId{this->next++};
			call.prompt_tokens = 2000;
			call.max_tokens = 1;
			this->dispatcher.Targets().OnPeerCallSent(this->engine, call, this->now, 0, LARGE);
		}
		this->Tick();
	}

	static DispatchLimits Limits(bool use_shares)
	{
		DispatchLimits limits;
		limits.targets.growth_start = 0;
		limits.targets.use_growth_feedback = false;
		limits.shares.use = use_shares;
		limits.retry_after_min = milliseconds(1);
		limits.retry_after_max = seconds(1000);
		limits.refuse_early = false;
		return limits;
	}

	/** Submit a call of \a account that needs \a tokens. */
	Decisions Submit(AccountNumber account, uint32_t tokens, ServiceClass service_class = ServiceClass::Stream, Duration wait = seconds(1))
	{
		CallSpec call;
		call.id = CallId{this->next++};
		call.account = account;
		call.service_class = service_class;
		call.prompt_tokens = tokens;
		call.max_tokens = 1;
		call.arrived = this->now;
		call.deadline = this->now + wait;
		return this->dispatcher.Submit(call, this->now);
	}

	/** Let 100 ms pass. */
	Decisions Tick()
	{
		this->now += milliseconds(100);
		return this->dispatcher.OnTick(this->now);
	}

	/** End the own call \a id. */
	Decisions End(uint64_t id) { return this->dispatcher.OnSendEnded(CallId{id}, SendOutcome::Complete, this->now); }

	/** End the peer's call \a id. */
	void EndAtPeer(uint64_t id) { this->dispatcher.Targets().OnPeerCallEnded(this->engine, CallId{id}, this->now); }

	TimePoint now{seconds(100)};
	Dispatcher dispatcher;
	TargetNumber engine;
	uint64_t next = 1;
};

} // namespace

TEST_CASE("Account limit - a call above its share leaves 5% of an engine free, which a call below its share may use")
{
	// 17,000 of 20,000 tokens are held, and a stream may fill 18,600: 1,600 are left, of which 1,000 are the margin.
	LimitHarness limited;
	REQUIRE_FALSE(limited.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	// A waiting call makes the pool scarce.
	CHECK(limited.Submit(SMALL, 1800).sends.empty());
	limited.Tick();
	REQUIRE(limited.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	CHECK(limited.Submit(LARGE, 700).sends.empty());
	limited.dispatcher.CancelWaiting(CallId{limited.next - 1});
	CHECK(limited.Submit(LARGE, 500).sends.size() == 1);
	CHECK(limited.Submit(AccountNumber{3}, 700).sends.size() == 1);
}

TEST_CASE("Account limit - memory that becomes free goes to accounts below their share, even if a limited call has waited for longer")
{
	for (bool use_shares : {false, true}) {
		LimitHarness harness(use_shares, true, true);
		CHECK(harness.Submit(SMALL, 4000).sends.empty());
		harness.Tick();
		CHECK(harness.Submit(LARGE, 2500).sends.empty());
		CHECK(harness.Submit(AccountNumber{3}, 3000).sends.empty());
		// The end of a call frees 2,000 tokens: 3,600 are left.
		harness.EndAtPeer(2);
		std::vector<SendAction> sends = harness.Tick().sends;
		REQUIRE(sends.size() == 1);
		CHECK(sends[0].call.value == (use_shares ? 12 : 11));
	}
}

TEST_CASE("Account limit - classes go before shares: a limited call of a higher class is tried before others of a lower one")
{
	LimitHarness harness(true, true, true);
	CHECK(harness.Submit(SMALL, 7000).sends.empty());
	harness.Tick();
	REQUIRE(harness.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	CHECK(harness.Submit(AccountNumber{3}, 2400).sends.empty());
	CHECK(harness.Submit(LARGE, 4500, ServiceClass::Interactive).sends.empty());
	harness.EndAtPeer(2);
	harness.EndAtPeer(3);
	std::vector<SendAction> sends = harness.Tick().sends;
	REQUIRE(!sends.empty());
	CHECK(sends[0].call.value == 12);
}

TEST_CASE("Account limit - a limited call never overcommits an engine")
{
	for (bool use_shares : {false, true}) {
		LimitHarness harness(use_shares);
		CHECK(harness.Submit(SMALL, 4000).sends.empty());
		harness.Tick();
		CHECK(harness.Submit(LARGE, 4000, ServiceClass::Interactive).sends.empty() == use_shares);
	}
}

TEST_CASE("Account limit - a call whose account stays above its share beyond the wait limit is rejected at once, with the time until then")
{
	LimitHarness harness;
	CHECK(harness.Submit(SMALL, 4000, ServiceClass::Stream, seconds(60)).sends.empty());
	harness.Tick();
	REQUIRE(harness.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	// No end of a call of this account has been seen, so that nothing is known of the time.
	CHECK(harness.Submit(LARGE, 5000).rejections.empty());
	harness.End(2);
	for (int i = 0; i < 49; i++) harness.Tick();
	CHECK(harness.Submit(SMALL, 4000, ServiceClass::Stream, seconds(60)).sends.empty());
	harness.Tick();
	REQUIRE(harness.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	const AccountUsage &usage = harness.dispatcher.Targets().Usage();
	double rate = usage.EndRate(ModelNumber{0}, LARGE, harness.now);
	Duration expected = *harness.dispatcher.Shares().TimeUntilBelow(ModelNumber{0}, LARGE, usage.KnownOf(ModelNumber{0}, LARGE), rate);
	REQUIRE(expected > seconds(1));
	Duration shortest = seconds(1000);
	Duration longest{0};
	for (int i = 0; i < 40; i++) {
		Decisions decisions = harness.Submit(LARGE, 5000);
		REQUIRE(decisions.rejections.size() == 1);
		CHECK(decisions.rejections[0].reason == RejectReason::AccountShare);
		shortest = std::min(shortest, decisions.rejections[0].retry_after);
		longest = std::max(longest, decisions.rejections[0].retry_after);
	}
	CHECK(Seconds(shortest) >= 0.75 * Seconds(expected) - 1e-6);
	CHECK(Seconds(shortest) < 0.85 * Seconds(expected));
	CHECK(Seconds(longest) <= 1.25 * Seconds(expected) + 1e-6);
	CHECK(Seconds(longest) > 1.15 * Seconds(expected));
	// The same call waits if its wait limit is longer, and so does one of an account below its share.
	CHECK(harness.Submit(LARGE, 5000, ServiceClass::Stream, expected + seconds(1)).rejections.empty());
	CHECK(harness.Submit(SMALL, 5000).rejections.empty());
}

TEST_CASE("Account limit - nobody is limited before most peers are known, when they are lost, or when the shares are switched off")
{
	for (bool use_shares : {false, true}) {
		LimitHarness harness(use_shares, !use_shares);
		CHECK(harness.Submit(SMALL, 4000).sends.empty());
		harness.Tick();
		CHECK(harness.dispatcher.Shares().Limited() == 0);
		CHECK(harness.Submit(LARGE, 700).sends.size() == 1);
		CHECK(harness.dispatcher.TakeShareChanges().empty());
	}
	LimitHarness harness;
	CHECK(harness.Submit(SMALL, 4000).sends.empty());
	harness.Tick();
	std::vector<ShareChange> changes = harness.dispatcher.TakeShareChanges();
	REQUIRE(changes.size() == 1);
	CHECK(changes[0].above);
	harness.dispatcher.SetShareView(false);
	changes = harness.dispatcher.TakeShareChanges();
	REQUIRE(changes.size() == 1);
	CHECK(!changes[0].above);
	CHECK(harness.Submit(LARGE, 700).sends.size() == 1);
}

TEST_CASE("Account limit - calls that wait for a cold start or an ejection, rather than for memory, make no pool scarce")
{
	LimitHarness harness;
	harness.dispatcher.Targets().SetCold(harness.engine, harness.now + milliseconds(900), {0, seconds(1)});
	CHECK(harness.Submit(SMALL, 10).sends.empty());
	harness.Tick();
	CHECK(harness.dispatcher.Shares().Limited() == 0);
}

TEST_CASE("Account limit - plain services and migrations are not limited")
{
	LimitHarness harness;
	TargetNumber service = harness.dispatcher.Targets().Configure("service", "hall", {ModelNumber{1}}, false);
	harness.dispatcher.Targets().SetServiceCapacity(service, 2);
	TargetNumber other = harness.dispatcher.Targets().Configure("other", "hall", {ModelNumber{0}});
	CHECK(harness.Submit(SMALL, 4000).sends.empty());
	harness.Tick();
	REQUIRE(harness.dispatcher.Shares().IsLimited(ModelNumber{0}, LARGE));
	CallSpec call;
	call.id = CallId{500};
	call.account = LARGE;
	call.model = ModelNumber{1};
	call.generated = false;
	call.deadline = harness.now + seconds(1);
	CHECK(harness.dispatcher.Submit(call, harness.now).sends.size() == 1);
	// An engine with just enough memory for the run.
	harness.dispatcher.Targets().SetServiceCapacity(other, 2200);
	CHECK(harness.dispatcher.ChooseMigrationTarget(CallId{2}, {}, harness.now).has_value());
}
