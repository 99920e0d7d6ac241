/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file held_memory.h Bounds the bytes that an instance holds for callers and targets that read slowly. */

#pragma once

#include "decision/memory_budget.h"
#include "metrics/metrics.h"
#include "net/http_front.h"
#include "net/http_upstream.h"
#include <pcg_random.hpp>

namespace cottonspool {

/** Measures what an instance holds, and executes the decisions of MemoryBudget on its connections. */
class HeldMemory {
public:
	HeldMemory(HttpFront &front, HttpUpstream &upstream, Metrics &metrics, const MemoryLimits &limits, uint64_t seed);
	~HeldMemory();
	HeldMemory(const HeldMemory &) = delete;
	HeldMemory &operator=(const HeldMemory &) = delete;

	/** Measure the process's own use, and repeat the decisions, as answers were sent meanwhile. */
	void OnTick(TimePoint now);

	/** Set the gauges of this subject. */
	void SetMetrics();

private:
	/** Decide, and pause, continue and reject accordingly. */
	void Decide(TimePoint now);
	/** @return The header fields of a 503 if a request with \a head must not be received. */
	std::optional<HttpHeaders> RejectBody(const HttpHead &head);
	/** Log that the level has changed. */
	void LogLevelChange(const MemoryDecision &decision, size_t holders) const;
	/** @return Bytes that the process uses without the held ones. */
	size_t OwnUse() const;

	HttpFront &front;
	HttpUpstream &upstream;
	Metrics &metrics;
	std::shared_ptr<HeldCounter> counter; ///< What is held.
	MemoryBudget budget;
	pcg64 random;
	size_t fixed_use = 0;    ///< Resident memory outside the heap at the start: code, static data and stacks.
	TimePoint next_own_use;  ///< When the own use is measured next.
	bool deciding = false;   ///< Decide() is running, and makes the sum grow by its own answers.
	bool is_pausing = false; ///< The last decision has paused connections.
};

} // namespace cottonspool
