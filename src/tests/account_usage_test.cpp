/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file account_usage_test.cpp Guards against a usage of accounts that is counted twice, outlives its calls, its peer or its hall, or is
 * taken from impossible figures, and against messages that older releases cannot read.
 */

#include "decision/dispatcher.h"
#include "decision/hall_load.h"
#include "peer/peer_message.h"
#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/** Table of one instance with two engines, which receives the calls of peers and the sums of other halls. */
struct UsageInstance {
	UsageInstance()
	{
		for (const char *name : {"e1", "e2"}) {
			TargetNumber target = this->targets.Configure(name, "hall-a", {this->pools.Intern("pool")});
			this->targets.SetServiceCapacity(target, 20000);
		}
	}

	/** @return Tokens held by \a account. */
	int64_t HeldBy(const char *account, TimePoint now)
	{
		std::map<AccountNumber, int64_t> held = this->targets.Usage().HeldIn(this->pools.Intern("pool"), 40000, now);
		auto found = held.find(this->accounts.Intern(account));
		return found == held.end() ? 0 : found->second;
	}

	LengthEstimate lengths{LengthEstimateLimits{}};
	TargetTable targets{AdmissionLimits{}, this->lengths};
	NameTable<ModelNumber> pools;
	NameTable<AccountNumber> accounts;
	PeerLoad load{this->targets, this->pools, seconds(2), &this->accounts};
	HallLoad halls{this->targets, "hall-a", HallLoad::Names{this->pools, this->accounts}};
};

} // namespace

/** @return A call of \a account with \a generated tokens at "e1". */
static CallUpdate UpdateOf(uint64_t id, uint32_t generated, std::optional<std::string> account)
{
	return {CallUpdate::Kind::Active, id, "e1", 1000, generated, 500, "pool", ServiceClass::Stream, std::move(account)};
}

/** @return The encoded \a message as an array. */
static nlohmann::json ArrayOf(const PeerMessage &message)
{
	return nlohmann::json::from_cbor(EncodePeerMessage(message));
}

TEST_CASE("Usage - a peer's calls count for their account until they end, migrate only once, and expire with the peer")
{
	TimePoint now{seconds(100)};
	UsageInstance own;
	own.load.OnMessage({"p", 1, true, {UpdateOf(1, 0, "a"), UpdateOf(2, 50, "a"), UpdateOf(3, 0, "b")}, {}}, now);
	CHECK(own.HeldBy("a", now) == 2050);
	CHECK(own.HeldBy("b", now) == 1000);
	CallUpdate migrated = UpdateOf(1, 100, "a");
	migrated.target = "e2";
	own.load.OnMessage({"p", 1, false, {migrated}, {}}, now);
	CHECK(own.HeldBy("a", now) == 2150);
	own.load.OnMessage({"p", 1, true, {migrated}, {}}, now);
	CHECK(own.HeldBy("a", now) == 1100);
	CHECK(own.HeldBy("b", now) == 0);
	own.load.OnTick(now + milliseconds(2001));
	CHECK(own.HeldBy("a", now) == 0);
}

TEST_CASE("Usage - calls of a peer of an older release count for no account, and their memory is not divided")
{
	TimePoint now{seconds(100)};
	UsageInstance own;
	own.load.OnMessage({"p", 1, true, {UpdateOf(1, 0, std::nullopt)}, {}}, now);
	CHECK(own.targets.Usage().UnattributedIn(own.pools.Intern("pool")) == 1000);
	own.load.OnMessage({"p", 1, true, {}, {}}, now);
	CHECK(own.targets.Usage().UnattributedIn(own.pools.Intern("pool")) == 0);
}

TEST_CASE("Usage - the sums of another hall replace the former ones and expire after 1,500 ms")
{
	TimePoint now{seconds(100)};
	UsageInstance own;
	own.load.OnMessage({"p", 1, true, {UpdateOf(1, 0, "a")}, {}}, now);
	HallLoadMessage message{"hall-b", false, {}, {}, {{"pool", "a", 3000}, {"pool", "b", 500}}};
	own.halls.OnMessage(message, now);
	own.halls.OnMessage(message, now);
	CHECK(own.HeldBy("a", now) == 4000);
	CHECK(own.HeldBy("b", now + milliseconds(1500)) == 500);
	CHECK(own.HeldBy("b", now + milliseconds(1501)) == 0);
	own.halls.OnMessage({"hall-b", false, {}, {}, {}}, now);
	CHECK(own.HeldBy("a", now) == 1000);
}

TEST_CASE("Usage - impossible figures and more than 64 accounts of another hall are ignored")
{
	TimePoint now{seconds(100)};
	UsageInstance own;
	HallLoadMessage message{"hall-b", false, {}, {}, {{"pool", "a", -1}, {"pool", "b", 40001}, {"pool", "c", 40000}}};
	own.halls.OnMessage(message, now);
	CHECK(own.HeldBy("a", now) == 0);
	CHECK(own.HeldBy("b", now) == 0);
	CHECK(own.HeldBy("c", now) == 40000);
	message.accounts.clear();
	for (int i = 0; i < 65; i++) message.accounts.push_back({"pool", "x" + std::to_string(i), 10});
	own.halls.OnMessage(message, now);
	CHECK(own.HeldBy("x63", now) == 10);
	CHECK(own.HeldBy("x64", now) == 0);
}

TEST_CASE("Usage - a hall publishes the 64 accounts that hold most, without the sums of other halls, and none without named accounts")
{
	TimePoint now{seconds(100)};
	UsageInstance own;
	own.load.OnMessage({"p", 1, true, {UpdateOf(1, 0, "")}, {}}, now);
	CHECK(own.halls.BuildMessage(now).accounts.empty());
	LoadMessage load{"p", 1, true, {}, {}};
	for (uint32_t i = 0; i < 70; i++) load.calls.push_back(UpdateOf(i, i, "x" + std::to_string(i)));
	own.load.OnMessage(load, now);
	own.halls.OnMessage({"hall-b", false, {}, {}, {{"pool", "y", 9000}}}, now);
	std::vector<AccountLoadSum> sums = own.halls.BuildMessage(now).accounts;
	REQUIRE(sums.size() == 64);
	CHECK(sums.front().account == "x69");
	CHECK(sums.front().tokens == 1069);
	CHECK(sums.back().account == "x6");
}

TEST_CASE("Usage - messages with accounts survive encoding, and those of older releases without them are read")
{
	LoadMessage load{"p", 1, true, {UpdateOf(1, 7, "a"), UpdateOf(2, 7, std::nullopt)}, {}};
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(load));
	REQUIRE(read);
	CHECK(std::get<LoadMessage>(read.value()).calls.at(0).account == "a");
	CHECK(!std::get<LoadMessage>(read.value()).calls.at(1).account);
	HallLoadMessage halls{"hall-a", false, {{"a1", 1, 2, 3}}, {}, {{"pool", "a", 12000}}};
	read = DecodePeerMessage(EncodePeerMessage(halls));
	REQUIRE(read);
	REQUIRE(std::get<HallLoadMessage>(read.value()).accounts.size() == 1);
	CHECK(std::get<HallLoadMessage>(read.value()).accounts[0].tokens == 12000);
	CHECK(std::get<HallLoadMessage>(read.value()).local_targets.size() == 1);
	halls.accounts.clear();
	read = DecodePeerMessage(EncodePeerMessage(halls));
	REQUIRE(read);
	CHECK(std::get<HallLoadMessage>(read.value()).accounts.empty());
}

TEST_CASE("Usage - the elements that older releases read keep their places")
{
	LoadMessage load{"p", 1, true, {UpdateOf(1, 7, "a"), UpdateOf(2, 7, std::nullopt)}, {}};
	nlohmann::json calls = ArrayOf(load).at(4);
	CHECK(calls.at(0).size() == 9);
	CHECK(calls.at(1).size() == 8);
	for (size_t i = 2; i < 8; i++) CHECK(calls.at(0).at(i) == calls.at(1).at(i));
	HallLoadMessage halls{"hall-a", false, {{"a1", 1, 2, 3}}, {}, {{"pool", "a", 12000}}};
	nlohmann::json with = ArrayOf(halls);
	halls.accounts.clear();
	nlohmann::json without = ArrayOf(halls);
	CHECK(with.size() == 6);
	CHECK(without.size() == 5);
	for (size_t i = 0; i < without.size(); i++) CHECK(with.at(i) == without.at(i));
}

TEST_CASE("Usage - the rate at which calls end is right soon after the start and when it is steady")
{
	AccountUsage usage;
	TimePoint now{seconds(100)};
	for (int i = 0; i < 400; i++) {
		now += milliseconds(100);
		usage.OnStarted(ModelNumber{0}, AccountNumber{1}, 500);
		usage.OnEnded(ModelNumber{0}, AccountNumber{1}, 500, now);
		if (i >= 20) CHECK(usage.EndRate(ModelNumber{0}, AccountNumber{1}, now) == doctest::Approx(5000).epsilon(0.06));
	}
	CHECK(usage.EndRate(ModelNumber{0}, AccountNumber{2}, now) == 0);
}

TEST_CASE("Usage - after any calls, migrations and ends, each account holds exactly the tokens of its calls in flight")
{
	bool good = rc::check("exact sums", [] {
		UsageInstance own;
		TimePoint now{seconds(100)};
		std::map<uint64_t, std::pair<uint32_t, uint32_t>> calls; // Account and generated tokens by call.
		uint64_t next = 1;
		for (int step = 0; step < 60; step++) {
			now += milliseconds(*rc::gen::inRange(1, 50));
			uint32_t what = *rc::gen::inRange(0, 4);
			if (what == 0 || calls.empty()) {
				CallSpec call;
				call.id = CallId{next++};
				call.account = AccountNumber{*rc::gen::inRange<uint32_t>(0, 4)};
				call.model = own.pools.Intern("pool");
				call.prompt_tokens = 100;
				own.targets.OnSent(TargetNumber{0}, call, now);
				calls[call.id.value] = {call.account.value, 0};
				continue;
			}
			auto picked = std::next(calls.begin(), *rc::gen::inRange<int>(0, static_cast<int>(calls.size())));
			CallId id{picked->first};
			TargetNumber at{own.targets.Get(TargetNumber{0}).in_flight.contains(id) ? 0U : 1U};
			if (what == 1) {
				own.targets.OnToken(at, id, now, 5);
				picked->second.second += 5;
			} else if (what == 2) {
				own.targets.OnMigrated(at, TargetNumber{1 - at.value}, id, now);
			} else {
				own.targets.OnEnded(at, id, SendResult::Answered, now);
				calls.erase(picked);
			}
		}
		std::map<AccountNumber, int64_t> expected;
		for (const auto &[id, call] : calls) expected[AccountNumber{call.first}] += 100 + call.second;
		std::map<AccountNumber, int64_t> held = own.targets.Usage().HeldIn(own.pools.Intern("pool"), 40000, now);
		std::erase_if(held, [](const auto &each) { return each.second == 0; });
		RC_ASSERT(held == expected);
	});
	CHECK(good);
}
