/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load_test.cpp Load summaries between data halls are correct after lost and duplicated messages, and routing uses them. */

#include "decision/dispatcher.h"
#include "decision/hall_load.h"
#include "peer/peer_message.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <pcg_random.hpp>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;
using std::chrono::seconds;

static constexpr uint64_t MEMORY = 20000; ///< KV cache of each engine, in tokens.
static const char *const HALLS[] = {"hall-a", "hall-b", "hall-c"};
static const char *const ENGINES[] = {"a1", "a2", "b1", "b2", "c1", "c2"};

/** Instance that dispatches calls and receives the load summaries of other halls. */
struct HallInstance {
	HallInstance(std::string own_hall, TimePoint now)
	    : hall(std::move(own_hall)), dispatcher(Limits(), MakeRouter("headroom", 1)), load(this->dispatcher.Targets(), this->hall)
	{
		for (const char *name : ENGINES) {
			const char *hall_name = HALLS[name[0] - 'a'];
			TargetNumber number = this->dispatcher.Targets().Configure(name, hall_name, {ModelNumber{0}});
			this->dispatcher.Targets().SetServiceCapacity(number, MEMORY);
			if (hall_name == this->hall) this->Report(number, 0, now);
		}
	}

	static DispatchLimits Limits()
	{
		DispatchLimits limits;
		limits.targets.use_growth_feedback = false;
		limits.targets.growth_start = 0.4;
		return limits;
	}

	void Report(TargetNumber number, uint64_t used, TimePoint now)
	{
		LoadReport report;
		report.sequence = ++this->reports;
		report.capacity_tokens = MEMORY;
		report.used_tokens = used;
		report.running = used > 0 ? 1 : 0;
		this->dispatcher.OnReport(number, report, now);
	}

	/** Handles the load summary of another hall as an instance does. */
	void Receive(const HallLoadMessage &message, TimePoint now)
	{
		for (const ReportUpdate &update : this->load.OnMessage(message, now)) {
			LoadReport report = update.report;
			report.sequence = ++this->reports;
			this->dispatcher.OnReport(*this->dispatcher.Targets().Find(update.target), report, now);
		}
	}

	/** Submits a call that may run in any hall. @return Name of the engine that receives it; empty if it waits. */
	std::string SubmitCall(uint64_t id, uint32_t prompt, TimePoint now)
	{
		CallSpec call;
		call.id = CallId{id};
		call.service_class = ServiceClass::Stream;
		call.prompt_tokens = prompt;
		call.max_tokens = 100;
		call.arrived = now;
		call.deadline = now + seconds(1);
		call.other_hall_penalty = 1.2;
		call.halls.push_back({this->hall, 1});
		for (const char *other : HALLS) {
			if (other != this->hall) call.halls.push_back({other, 1});
		}
		Decisions decisions = this->dispatcher.Submit(call, now);
		return decisions.sends.empty() ? std::string() : this->dispatcher.Targets().Get(decisions.sends[0].target).name;
	}

	std::string hall;      ///< Hall of the instance.
	Dispatcher dispatcher; ///< Dispatcher of the instance.
	HallLoad load;         ///< Load summaries of the halls.
	uint64_t reports = 0;  ///< Number of load reports received.
};

TEST_CASE("Hall load - a call without local capacity goes to a remote engine that has capacity according to its hall, or waits")
{
	TimePoint now{seconds(100)};
	HallInstance local("hall-a", now);
	HallInstance other("hall-b", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(local.SubmitCall(id, 18000, now).front() == 'a');
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(other.SubmitCall(id, id == 1 ? 18000 : 5000, now).front() == 'b');
	std::string free_engine = other.dispatcher.Targets().Get(*other.dispatcher.Holder(CallId{2})).name;
	HallInstance third("hall-c", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(third.SubmitCall(id, 18000, now).front() == 'c');
	local.Receive(other.load.BuildMessage(now), now);
	local.Receive(third.load.BuildMessage(now), now);
	CHECK(local.SubmitCall(3, 6000, now) == free_engine);
	CHECK(local.SubmitCall(4, 6000, now) == free_engine);
	CHECK(local.SubmitCall(5, 6000, now).empty());
}

TEST_CASE("Hall load - calls from another hall count before a load report includes them, and expire when that hall falls silent")
{
	TimePoint now{seconds(100)};
	HallInstance local("hall-a", now);
	HallInstance other("hall-b", now);
	for (uint64_t id = 1; id <= 2; id++) REQUIRE(other.SubmitCall(id, 18000, now).front() == 'b');
	std::string at = other.SubmitCall(3, 9000, now);
	REQUIRE(!at.empty());
	REQUIRE(at.front() != 'b');
	HallInstance target_hall(at.front() == 'a' ? "hall-a" : "hall-c", now);
	target_hall.Receive(other.load.BuildMessage(now), now);
	TargetTable &targets = target_hall.dispatcher.Targets();
	const TargetState &engine = targets.Get(*targets.Find(at));
	CHECK(targets.TotalLoadAt(engine, now).tokens == doctest::Approx(9000));
	// Load that the target's own report includes is not counted twice.
	target_hall.Report(*targets.Find(at), 9000, now);
	CHECK(targets.TotalLoadAt(engine, now).tokens == doctest::Approx(9000));
	target_hall.Report(*targets.Find(at), 0, now);
	CHECK(targets.TotalLoadAt(engine, now + seconds(2)).tokens == doctest::Approx(0));
	CHECK(targets.TotalLoadAt(engine, now).calls == 1);
}

TEST_CASE("Hall load - messages survive encoding")
{
	HallLoadMessage message{"hall-a", true, {{"a1", 12000, 4, 150}, {"a2", 0, 0, 0}}, {{"b1", 300, 1, 0}}};
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(message));
	REQUIRE(read);
	const auto &back = std::get<HallLoadMessage>(read.value());
	CHECK(back.hall == "hall-a");
	CHECK(back.forwarded);
	REQUIRE(back.local_targets.size() == 2);
	CHECK(back.local_targets[0].target == "a1");
	CHECK(back.local_targets[0].held_tokens == 12000);
	CHECK(back.local_targets[0].calls == 4);
	CHECK(back.local_targets[0].wait_ms == 150);
	CHECK(back.remote_targets.at(0).target == "b1");
}

/** @return Sums with arbitrary figures for \a figures targets. */
static std::vector<TargetLoadSum> MakeSums(const std::vector<uint32_t> &figures)
{
	std::vector<TargetLoadSum> sums;
	for (uint32_t figure : figures) sums.push_back({"t" + std::to_string(sums.size()), figure, figure / 3, figure / 7});
	return sums;
}

/** @return Whether \a left and \a right are equal. */
static bool AreEqual(const std::vector<TargetLoadSum> &left, const std::vector<TargetLoadSum> &right)
{
	return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const TargetLoadSum &a, const TargetLoadSum &b) {
		return a.target == b.target && a.held_tokens == b.held_tokens && a.calls == b.calls && a.wait_ms == b.wait_ms;
	});
}

TEST_CASE("Hall load - arbitrary sums survive encoding, also a message that is long enough to be compressed")
{
	bool good = rc::check("sums", [](const std::vector<uint32_t> &local, const std::vector<uint32_t> &remote, uint32_t number) {
		std::string hall = "hall-" + std::to_string(number);
		HallLoadMessage message{hall, local.size() % 2 == 0, MakeSums(local), MakeSums(remote)};
		Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(message));
		RC_ASSERT(read.has_value());
		const auto &back = std::get<HallLoadMessage>(read.value());
		RC_ASSERT(back.hall == hall);
		RC_ASSERT(back.forwarded == message.forwarded);
		RC_ASSERT(AreEqual(back.local_targets, message.local_targets));
		RC_ASSERT(AreEqual(back.remote_targets, message.remote_targets));
	});
	CHECK(good);
	HallLoadMessage large{"hall-a", false, MakeSums(std::vector<uint32_t>(2000, 4711)), {}};
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(large));
	REQUIRE(read);
	CHECK(AreEqual(std::get<HallLoadMessage>(read.value()).local_targets, large.local_targets));
}

TEST_CASE("Hall load - arbitrary and altered bytes are rejected or give a load that can be used")
{
	TimePoint now{seconds(100)};
	HallLoadMessage message{"hall-b", true, {{"b1", 12000, 4, 150}, {"b2", 0, 0, 0}}, {{"a1", 300, 1, 0}}};
	const std::string valid = EncodePeerMessage(message);
	int readable = 0;
	auto receive = [&](const std::string &bytes) {
		Result<PeerMessage> read = DecodePeerMessage(bytes);
		if (!read || !std::holds_alternative<HallLoadMessage>(read.value())) return;
		readable++;
		HallInstance instance("hall-a", now);
		instance.Receive(std::get<HallLoadMessage>(read.value()), now);
		const TargetTable &targets = instance.dispatcher.Targets();
		for (const char *name : ENGINES) {
			HeldLoad load = targets.TotalLoadAt(targets.Get(*targets.Find(name)), now);
			RC_ASSERT(load.tokens >= 0);
			RC_ASSERT(load.tokens <= 2.0 * UINT32_MAX);
		}
		static_cast<void>(instance.SubmitCall(1, 500, now));
	};
	bool good = rc::check("arbitrary", [&](const std::string &bytes) { receive(bytes); });
	good = rc::check("altered",
	                 [&](uint32_t at, uint8_t value, uint32_t length) {
		                 std::string bytes = valid;
		                 bytes[at % bytes.size()] = static_cast<char>(value);
		                 receive(bytes);
		                 receive(bytes.substr(0, length % bytes.size()));
	                 }) &&
	       good;
	CHECK(good);
	CHECK_MESSAGE(readable > 0, "no altered message was readable, so nothing was checked about it");
}

TEST_CASE("Hall load - once all is quiet, every hall knows the load of every engine, despite lost and duplicated messages")
{
	bool good = rc::check("true sums", [](uint32_t seed) {
		pcg32 random(seed);
		TimePoint now{seconds(100)};
		std::vector<std::unique_ptr<HallInstance>> instances;
		for (const char *hall : HALLS) instances.push_back(std::make_unique<HallInstance>(hall, now));
		uint64_t next = 1;
		std::vector<std::pair<size_t, CallId>> running;
		auto exchange = [&](double delivered_ratio) {
			for (auto &from : instances) {
				HallLoadMessage message = from->load.BuildMessage(now);
				for (auto &to : instances) {
					for (int times = random() % 5 == 0 ? 2 : 1; times > 0; times--) {
						if (random() % 100 < delivered_ratio * 100) to->Receive(message, now);
					}
				}
			}
		};
		for (int step = 0; step < 60; step++) {
			now += milliseconds(20 + random() % 60);
			size_t who = random() % instances.size();
			if (random() % 3 != 0) {
				uint64_t id = next++;
				if (!instances[who]->SubmitCall(id, 200 + random() % 3000, now).empty()) running.emplace_back(who, CallId{id});
			} else if (!running.empty()) {
				auto [holder, id] = running[random() % running.size()];
				instances[holder]->dispatcher.OnSendEnded(id, SendOutcome::Complete, now);
				std::erase_if(running, [&, ended = id, at = holder](const auto &each) { return each.first == at && each.second == ended; });
			}
			exchange(0.6);
		}
		now += seconds(3);
		for (int round = 0; round < 3; round++) {
			exchange(1);
			now += milliseconds(600);
		}
		exchange(1);
		for (const char *name : ENGINES) {
			double expected = 0;
			for (auto &instance : instances) {
				const TargetTable &targets = instance->dispatcher.Targets();
				expected += targets.Get(*targets.Find(name)).known_tokens;
			}
			for (auto &instance : instances) {
				const TargetTable &targets = instance->dispatcher.Targets();
				RC_ASSERT(targets.TotalLoadAt(targets.Get(*targets.Find(name)), now).tokens == expected);
			}
		}
	});
	CHECK(good);
}

TEST_CASE("Targets - a call that arrives with its KV cache uses memory at once and needs no prefill")
{
	TimePoint now{seconds(100)};
	HallInstance instance("hall-a", now);
	TargetTable &targets = instance.dispatcher.Targets();
	TargetNumber engine = *targets.Find("a1");
	CallSpec copy;
	copy.id = CallId{77};
	copy.prompt_tokens = 3000;
	copy.max_tokens = 1000;
	targets.OnPeerCallSent(engine, copy, now, 400);
	CHECK(targets.TotalLoadAt(targets.Get(engine), now).tokens == doctest::Approx(3400));
	CHECK(targets.PrefillWait(targets.Get(engine), now) == Duration(0));
	targets.OnPeerCallEnded(engine, copy.id, now);
	CHECK(targets.TotalLoadAt(targets.Get(engine), now).tokens == doctest::Approx(0));
}
