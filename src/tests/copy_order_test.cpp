/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file copy_order_test.cpp Guards against runs of a draining engine that are lost while the link copies runs that cannot be saved. */

#include "decision/copy_order.h"
#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** @return A pool whose engines copy 10,000 tokens per second. */
EnginePool MakePool()
{
	EnginePool pool;
	pool.bytes_per_token = 20000;
	pool.link_mbps = 1600;
	return pool;
}

/** @return A run that holds \a tokens and takes \a remaining until it finishes. */
CopyCandidate MakeRun(uint64_t id, double tokens, Duration remaining = std::chrono::seconds(10))
{
	return {CallId{id}, tokens, true, remaining};
}

/** @return Number of \a runs that are copied or finish within \a time_left if each is copied after its delay, one at a time. */
size_t CountSaved(const std::vector<CopyCandidate> &runs, const CopyOrderRules &rules, Duration time_left)
{
	EnginePool pool = MakePool();
	std::vector<std::pair<Duration, const CopyCandidate *>> order;
	for (const CopyCandidate &run : runs) {
		if (run.has_event) order.emplace_back(CopyDelay(run.id, runs, pool, rules), &run);
	}
	std::sort(order.begin(), order.end());
	size_t saved = 0;
	Duration link_free_at{0};
	for (const auto &[delay, run] : order) {
		Duration start = std::max(delay, link_free_at);
		Duration end = start + CopyTime(pool, run->tokens);
		bool copied = end <= time_left;
		if (copied) link_free_at = end;
		if (copied || run->remaining <= time_left) saved++;
	}
	return saved;
}

} // namespace

TEST_CASE("Copy order - a run that waits at the engine does not delay the copies of others")
{
	std::vector<CopyCandidate> runs{MakeRun(1, 1000), MakeRun(2, 2000), MakeRun(3, 3000)};
	runs[0].has_event = false;
	CopyOrderRules rules{.rescue_order = true};
	CHECK(CopyDelay(CallId{2}, runs, MakePool(), rules) == Duration(0));
	CHECK(CopyDelay(CallId{3}, runs, MakePool(), rules) == milliseconds(200));
	// The waiting run has its turn as soon as it runs.
	CHECK(CopyDelay(CallId{1}, runs, MakePool(), rules) == Duration(0));
}

TEST_CASE("Copy order - runs that finish before the shutdown and runs that cannot be saved go last")
{
	std::vector<CopyCandidate> runs{MakeRun(1, 500, milliseconds(800)), MakeRun(2, 9000), MakeRun(3, 30000), MakeRun(4, 4000)};
	CopyOrderRules rules{.time_left = milliseconds(1800), .rescue_order = true};
	CHECK(CopyDelay(CallId{4}, runs, MakePool(), rules) == Duration(0));
	CHECK(CopyDelay(CallId{2}, runs, MakePool(), rules) == milliseconds(400));
	CHECK(CopyDelay(CallId{1}, runs, MakePool(), rules) == milliseconds(1300));
	CHECK(CopyDelay(CallId{3}, runs, MakePool(), rules) == milliseconds(1350));
	// Without a known time of the shutdown only the size counts.
	rules.time_left.reset();
	CHECK(CopyDelay(CallId{4}, runs, MakePool(), rules) == milliseconds(50));
}

TEST_CASE("Copy order - a run that is about to end is not copied, and an unknown link causes no delay")
{
	std::vector<CopyCandidate> runs{MakeRun(1, 1000, milliseconds(100)), MakeRun(2, 2000)};
	CopyOrderRules rules{.min_remaining = milliseconds(300), .rescue_order = true};
	CHECK(CopyDelay(CallId{2}, runs, MakePool(), rules) == Duration(0));
	CHECK(CopyDelay(CallId{2}, runs, EnginePool{}, CopyOrderRules{}) == Duration(0));
	CHECK(CopyDelay(CallId{9}, runs, MakePool(), rules) == Duration(0));
}

TEST_CASE("Copy order - no other order of copies saves fewer runs when none finishes by itself")
{
	rc::check([](const std::vector<uint16_t> &sizes, uint16_t left) {
		std::vector<CopyCandidate> runs;
		for (uint16_t size : sizes) runs.push_back(MakeRun(runs.size() + 1, 100 + size % 9000, std::chrono::hours(1)));
		Duration time_left = milliseconds(200 + left % 2000);
		size_t saved = CountSaved(runs, {.time_left = time_left, .rescue_order = true}, time_left);
		// The best order copies the smallest first, until the time is over.
		std::vector<double> tokens;
		for (const CopyCandidate &run : runs) tokens.push_back(run.tokens);
		std::sort(tokens.begin(), tokens.end());
		size_t best = 0;
		Duration end{0};
		for (double each : tokens) {
			end += CopyTime(MakePool(), each);
			if (end <= time_left) best++;
		}
		RC_ASSERT(saved == best);
	});
}

TEST_CASE("Copy order - more runs of a draining engine are saved than if only their size counts")
{
	// A quarter of the runs waits, a quarter finishes by itself; the link copies some 18,000 tokens until the shutdown.
	std::vector<CopyCandidate> runs;
	for (uint64_t i = 0; i < 12; i++) runs.push_back(MakeRun(i + 1, 2200 + 150.0 * static_cast<double>(i)));
	for (size_t i : {0, 4, 8}) runs[i].has_event = false;
	for (size_t i : {1, 5, 9}) runs[i].remaining = milliseconds(700);
	Duration time_left = milliseconds(1800);
	size_t by_size = CountSaved(runs, {.time_left = time_left}, time_left);
	size_t by_rescue = CountSaved(runs, {.time_left = time_left, .rescue_order = true}, time_left);
	// Four copies of 250 to 295 ms, after 220 ms in which the link is kept free for a run that waits, and one run that finishes.
	CHECK(by_size == 5);
	// Five copies and the three runs that finish.
	CHECK(by_rescue == 8);
}
