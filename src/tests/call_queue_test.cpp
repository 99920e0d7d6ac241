/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_queue_test.cpp Guards against calls for one pool that block calls for another in the queue. */

#include "decision/dispatcher.h"
#include <doctest/doctest.h>

using namespace cottonspool;

TEST_CASE("Queue - a service call is not blocked by a generation that waits for headroom")
{
	Dispatcher dispatcher({}, MakeRouter("headroom", 1, {.use_overcommit = false}));
	TimePoint now{std::chrono::seconds(10)};
	TargetNumber engine = dispatcher.Targets().Configure("engine", "hall", {ModelNumber{0}}, true);
	TargetNumber service = dispatcher.Targets().Configure("service", "hall", {ModelNumber{1}}, false);
	dispatcher.OnReport(engine, {.sequence = 1, .capacity_tokens = 4000}, now);
	dispatcher.Targets().SetServiceCapacity(service, 6);
	auto call = [&](uint64_t id, bool generated) {
		CallSpec spec;
		spec.id = CallId{id};
		spec.account = AccountNumber{1};
		spec.model = ModelNumber{generated ? 0U : 1U};
		spec.generated = generated;
		spec.prompt_tokens = generated ? 3000 : 1;
		spec.arrived = now;
		spec.deadline = now + std::chrono::seconds(1);
		return spec;
	};
	REQUIRE(dispatcher.Submit(call(1, true), now).sends.size() == 1);
	REQUIRE(dispatcher.Submit(call(2, true), now).sends.empty());
	CHECK(dispatcher.Submit(call(3, false), now).sends.size() == 1);
}
