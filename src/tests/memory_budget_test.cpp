/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file memory_budget_test.cpp Guards against a process that outgrows its memory for slow readers, or that pauses so much that nothing
 * ends. */

#include "decision/memory_budget.h"
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace cottonspool;

namespace {

constexpr size_t MB = 1000000;
constexpr size_t READ_BYTES = 65536; ///< Bytes that a connection reads at once while nothing is scarce.

/** @return Limits of a process of 100 MB. */
MemoryLimits Limits()
{
	MemoryLimits limits;
	limits.memory_bytes = 100 * MB;
	return limits;
}

TimePoint At(double seconds)
{
	return TimePoint(std::chrono::hours(1)) + FromSeconds(seconds);
}

/** @return Answers of \a bytes in sum. */
HeldBytes Answers(size_t bytes)
{
	return HeldBytes{.answers = bytes};
}

/** A caller of the simulation: its answer arrives as long as it is not paused, and it reads at its own rate. */
struct SimulatedCaller {
	size_t to_come = 0;    ///< Bytes of the answer that did not arrive yet.
	size_t held = 0;       ///< Bytes held for it.
	size_t read_bytes = 0; ///< Bytes that it reads in each step.
	bool buffered = false; ///< The answer is delivered only once it is complete.
};

/** Run \a callers until all have their answers, or for \a steps steps. @return The largest sum of held bytes. */
size_t Simulate(std::vector<SimulatedCaller> &callers, MemoryBudget &budget, size_t steps)
{
	size_t peak = 0;
	std::map<uint64_t, TimePoint> paused;
	size_t last_decided = 0;
	for (size_t step = 0; step < steps; step++) {
		auto sum = [&] {
			size_t all = 0;
			for (const SimulatedCaller &each : callers) all += each.held;
			return all;
		};
		auto decide = [&] {
			std::vector<MemoryHolder> holders;
			for (size_t i = 0; i < callers.size(); i++) {
				auto since = paused.find(i + 1);
				MemoryHolder holder{i + 1, callers[i].held, At(0), false, callers[i].buffered && callers[i].to_come > 0};
				if (since != paused.end()) holder.paused_since = since->second;
				if (holder.bytes > 0 || since != paused.end()) holders.push_back(holder);
			}
			last_decided = sum();
			MemoryDecision decision = budget.Decide(Answers(last_decided), holders, At(0.025 * static_cast<double>(step)));
			std::map<uint64_t, TimePoint> before = std::move(paused);
			paused.clear();
			for (uint64_t id : decision.paused) paused[id] = before.contains(id) ? before[id] : At(0.025 * static_cast<double>(step));
		};
		decide();
		for (size_t i = 0; i < callers.size(); i++) {
			SimulatedCaller &each = callers[i];
			if (!paused.contains(i + 1)) {
				size_t part = std::min({each.to_come, READ_BYTES, budget.MaxReadBytes(Answers(sum()))});
				each.to_come -= part;
				each.held += part;
			}
			if (!each.buffered || each.to_come == 0) each.held -= std::min(each.held, each.read_bytes);
			// A connection pauses itself as soon as it cannot pass bytes on at the bound.
			if (each.held > 0 && !budget.MayReceive(Answers(sum()))) paused.emplace(i + 1, At(0.025 * static_cast<double>(step)));
			// The process decides again as soon as the sum has grown by a part of the bound.
			if (sum() > last_decided + budget.Bound() / 32) decide();
		}
		peak = std::max(peak, sum());
		bool done = std::all_of(callers.begin(), callers.end(), [](const SimulatedCaller &each) { return each.to_come + each.held == 0; });
		if (done) break;
	}
	return peak;
}

} // namespace

TEST_CASE("Memory budget - without a known memory, or switched off, nothing is bounded")
{
	MemoryLimits off = Limits();
	off.use = false;
	for (const MemoryLimits &limits : {MemoryLimits{}, off}) {
		MemoryBudget budget(limits);
		MemoryDecision decision = budget.Decide(Answers(5000 * MB), {{1, 5000 * MB, At(0)}}, At(1));
		CHECK(decision.paused.empty());
		CHECK_FALSE(decision.level_changed);
		CHECK(budget.MayReceive(HeldBytes{.bodies = 5000 * MB}));
	}
}

TEST_CASE("Memory budget - the bound is half of what the process's own use leaves, but at least one large answer")
{
	MemoryBudget budget(Limits());
	budget.SetOwnUse(40 * MB);
	CHECK(budget.Bound() == 30 * MB);
	CHECK(budget.SlowThreshold() == 15 * MB);
	// A process that is larger than its settings allow still has to serve requests.
	budget.SetOwnUse(200 * MB);
	CHECK(budget.Bound() == Limits().min_bound);
	CHECK(budget.MayReceive(Answers(MB)));
}

TEST_CASE("Memory budget - below half of the bound nobody is paused, above it the largest are")
{
	MemoryBudget budget(Limits());
	budget.SetOwnUse(20 * MB);
	REQUIRE(budget.Bound() == 40 * MB);
	std::vector<MemoryHolder> holders{{1, 10 * MB, At(0)}, {2, 6 * MB, At(0)}, {3, 2 * MB, At(0)}, {4, 900000, At(0)}};
	CHECK(budget.Decide(Answers(19 * MB), holders, At(1)).paused.empty());
	holders[2].bytes = 8 * MB;
	// 25 MB: three quarters of the way from 20 to 40 MB are left, so that holders of at most 15 MB continue.
	CHECK(budget.Decide(Answers(25 * MB), holders, At(1)).paused == std::vector<uint64_t>{1});
	CHECK(budget.Decide(Answers(40 * MB), holders, At(1)).paused == std::vector<uint64_t>{1, 3, 2, 4});
}

TEST_CASE("Memory budget - at the bound all are paused but the oldest that must complete to release its memory")
{
	MemoryBudget budget(Limits());
	std::vector<MemoryHolder> holders{{1, 20 * MB, At(2), false, true}, {2, 30 * MB, At(1), false, true}, {3, 10 * MB, At(0)}};
	MemoryDecision decision = budget.Decide(Answers(60 * MB), holders, At(3));
	CHECK(decision.paused == std::vector<uint64_t>{1, 3});
}

TEST_CASE("Memory budget - answers do not complete one after another beyond the bound while others are still being read")
{
	MemoryBudget budget(Limits());
	std::vector<MemoryHolder> holders{{1, 1 * MB, At(1), false, true}, {2, 2 * MB, At(2), false, true}, {3, 47 * MB, At(0)}};
	CHECK(budget.Decide(Answers(50 * MB), holders, At(3)).paused == std::vector<uint64_t>{3, 2, 1});
	// Below the bound only the others are paused: an answer that must complete would fail at its deadline.
	CHECK(budget.Decide(Answers(49 * MB), holders, At(3)).paused == std::vector<uint64_t>{3});
}

TEST_CASE("Memory budget - of paused connections without bytes, those that were paused first continue first")
{
	MemoryBudget budget(Limits());
	std::vector<MemoryHolder> holders;
	for (uint64_t id = 1; id <= 1000; id++) holders.push_back({id, 0, At(0), false, false, At(static_cast<double>(id))});
	// 5 of 25 MB are left between the threshold and the bound, so that holders may read 5 MB.
	std::vector<uint64_t> paused = budget.Decide(Answers(45 * MB), holders, At(2000)).paused;
	REQUIRE(paused.size() == 1000 - 5 * MB / 8192);
	CHECK(paused.front() == 1000);
	CHECK(paused.back() == 5 * MB / 8192 + 1);
	CHECK(budget.Decide(Answers(50 * MB), holders, At(2000)).paused.size() == 1000);
}

TEST_CASE("Memory budget - above the bound the newest incomplete requests are rejected, as few as necessary")
{
	MemoryBudget budget(Limits());
	REQUIRE(budget.Bound() == 50 * MB);
	std::vector<MemoryHolder> holders{{1, 10 * MB, At(1), true, true},
	                                  {2, 3 * MB, At(3), true, true},
	                                  {3, 4 * MB, At(2), true, true},
	                                  {4, 12 * MB, At(4)},
	                                  {5, 0, At(5), true, true}};
	// The bodies count twice, as each is copied when it is sent: 25 + 2 * 17 = 59 MB.
	HeldBytes held{.answers = 25 * MB, .requests = 0, .bodies = 17 * MB};
	CHECK_FALSE(budget.MayReceive(held));
	CHECK(budget.Decide(held, holders, At(6)).rejected == std::vector<uint64_t>{2, 3});
	held.answers = 10 * MB;
	CHECK(budget.MayReceive(held));
	CHECK(budget.Decide(held, holders, At(6)).rejected.empty());
}

TEST_CASE("Memory budget - requests that a slow target does not read keep further bodies out")
{
	MemoryBudget budget(Limits());
	CHECK(budget.MayReceive(HeldBytes{.requests = 24 * MB, .bodies = 24 * MB}));
	CHECK_FALSE(budget.MayReceive(HeldBytes{.requests = 26 * MB, .bodies = 26 * MB}));
}

TEST_CASE("Memory budget - a level is entered at once, and left only after a while below its threshold")
{
	MemoryBudget budget(Limits());
	auto level_at = [&](size_t held, double seconds) {
		budget.Decide(Answers(held), {}, At(seconds));
		return budget.Level();
	};
	CHECK(level_at(24 * MB, 0) == MemoryLevel::Normal);
	CHECK(level_at(25 * MB, 0) == MemoryLevel::Slowed);
	CHECK(level_at(50 * MB, 0.1) == MemoryLevel::Full);
	CHECK(level_at(30 * MB, 0.5) == MemoryLevel::Full);
	CHECK(level_at(45 * MB, 5) == MemoryLevel::Full);
	CHECK(level_at(30 * MB, 5) == MemoryLevel::Slowed);
	CHECK(level_at(24 * MB, 9) == MemoryLevel::Slowed);
	CHECK(level_at(19 * MB, 9) == MemoryLevel::Normal);
}

TEST_CASE("Memory budget - the Retry-After grows with the time for which requests are rejected")
{
	MemoryBudget budget(Limits());
	Duration first = budget.OnRejected(UINT64_MAX / 2, At(0));
	CHECK(Seconds(first) == doctest::Approx(0.5));
	Duration last = first;
	for (int i = 1; i <= 20; i++) last = budget.OnRejected(UINT64_MAX / 2, At(0.1 * i));
	CHECK(Seconds(last) > 4);
	CHECK(budget.OnRejected(0, At(2.1)) < budget.OnRejected(UINT64_MAX, At(2.1)));
}

TEST_CASE("Memory budget - 500 slow readers stay within the bound, and all get their answers")
{
	std::vector<SimulatedCaller> callers(500, SimulatedCaller{.to_come = 1500000, .read_bytes = 4000});
	// Every tenth answer is buffered until it is complete.
	for (size_t i = 0; i < callers.size(); i += 10) callers[i].buffered = true;
	MemoryBudget budget(Limits());
	size_t peak = Simulate(callers, budget, 4000);
	CHECK(peak < budget.Bound() + budget.Bound() / 32 + READ_BYTES);
	for (const SimulatedCaller &each : callers) REQUIRE(each.to_come + each.held == 0);
}

TEST_CASE("Memory budget - whatever callers read and receive, the bound holds and everything ends")
{
	rc::check("bounded and without deadlock", [] {
		MemoryLimits limits = Limits();
		MemoryBudget budget(limits);
		budget.SetOwnUse(*rc::gen::inRange<size_t>(0, 80) * MB);
		auto number = *rc::gen::inRange<size_t>(1, 150);
		std::vector<SimulatedCaller> callers;
		size_t largest = 0;
		for (size_t i = 0; i < number; i++) {
			SimulatedCaller each{.to_come = *rc::gen::inRange<size_t>(0, 4 * MB),
			                     .read_bytes = *rc::gen::inRange<size_t>(20000, 200000),
			                     .buffered = *rc::gen::element(true, false)};
			if (each.buffered) largest = std::max(largest, each.to_come);
			callers.push_back(each);
		}
		size_t peak = Simulate(callers, budget, 50000);
		// One answer that has to complete may pass the bound.
		RC_ASSERT(peak <= budget.Bound() + budget.Bound() / 32 + READ_BYTES + largest);
		for (const SimulatedCaller &each : callers) RC_ASSERT(each.to_come + each.held == 0U);
	});
}
