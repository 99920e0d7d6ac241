/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file held_memory.cpp Bounds the bytes that an instance holds for callers and targets that read slowly. */

#include "gateway/held_memory.h"
#include "metrics/log.h"
#include "platform/wire_request.h"
#include <fstream>
#include <malloc.h>
#include <unistd.h>

namespace cottonspool {

/** Interval of measuring the own use; counting the heap takes up to some milliseconds after much of it was freed. */
static constexpr Duration OWN_USE_INTERVAL = std::chrono::seconds(1);
/** A decision is made each time the sum has grown by the bound divided by this, which limits the number of decisions. */
static constexpr size_t DECISION_STEPS = 32;
static constexpr int CALLER_WAIT_DIVISOR = 3; ///< Callers wait at most this part of their remaining time for a Retry-After.
static const char *const REJECT_REASON = "held-memory";

/** @return The resident memory of this process, in bytes; 0 if it is unknown. */
static size_t ResidentBytes()
{
	std::ifstream in("/proc/self/statm");
	size_t all_pages = 0;
	size_t resident_pages = 0;
	in >> all_pages >> resident_pages;
	return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

/** @return The bytes of the heap that are in use. */
static size_t HeapBytes()
{
	struct mallinfo2 info = mallinfo2();
	return info.uordblks + info.hblkhd;
}

HeldMemory::HeldMemory(HttpFront &front, HttpUpstream &upstream, Metrics &metrics, const MemoryLimits &limits, uint64_t seed)
    : front(front), upstream(upstream), metrics(metrics), counter(std::make_shared<HeldCounter>()), budget(limits), random(seed)
{
	size_t heap = HeapBytes();
	this->fixed_use = std::max(heap, ResidentBytes()) - heap;
	this->budget.SetOwnUse(this->OwnUse());
	this->front.held = this->counter;
	this->upstream.held = this->counter;
	if (this->budget.Bound() == SIZE_MAX) return;
	this->front.limits.close_unread = true;
	this->front.reject_body = [this](const HttpHead &head) { return this->RejectBody(head); };
	this->counter->notify_from = this->budget.SlowThreshold();
	this->counter->on_growth = [this] { this->Decide(MonotonicNow()); };
}

HeldMemory::~HeldMemory()
{
	this->front.reject_body = nullptr;
	this->counter->on_growth = nullptr;
}

size_t HeldMemory::OwnUse() const
{
	size_t all = this->fixed_use + HeapBytes();
	return all - std::min(all, this->counter->Held().Total());
}

void HeldMemory::OnTick(TimePoint now)
{
	if (this->budget.Bound() == SIZE_MAX) return;
	if (now >= this->next_own_use) {
		this->next_own_use = now + OWN_USE_INTERVAL;
		this->budget.SetOwnUse(this->OwnUse());
	}
	bool scarce = this->counter->Held().Committed() >= this->budget.SlowThreshold();
	if (scarce || this->is_pausing || this->budget.Level() != MemoryLevel::Normal) return this->Decide(now);
	this->counter->notify_from = this->budget.SlowThreshold();
}

void HeldMemory::Decide(TimePoint now)
{
	if (this->deciding) return;
	this->deciding = true;
	std::vector<MemoryHolder> holders = this->front.Holders();
	size_t number = holders.size();
	MemoryDecision decision = this->budget.Decide(this->counter->Held(), std::move(holders), now);
	this->is_pausing = !decision.paused.empty();
	this->front.SetPaused(decision.paused);
	if (decision.level_changed) this->LogLevelChange(decision, number);
	for (uint64_t id : decision.rejected) this->front.RejectReceiving(id);
	this->counter->max_read_bytes = this->budget.MaxReadBytes(this->counter->Held());
	this->counter->full = !this->budget.MayReceive(this->counter->Held());
	size_t step = this->budget.Bound() / DECISION_STEPS;
	this->counter->notify_from = std::max(this->budget.SlowThreshold(), this->counter->Held().Committed() + step);
	// Otherwise the allocator keeps what was freed, and the process stays as large as it was at the peak.
	if (decision.level_changed && this->budget.Level() == MemoryLevel::Normal) malloc_trim(0);
	this->deciding = false;
}

std::optional<HttpHeaders> HeldMemory::RejectBody(const HttpHead &head)
{
	if (this->budget.MayReceive(this->counter->Held())) return std::nullopt;
	RequestInfo info = ReadRequest(head);
	Duration retry_after = this->budget.OnRejected(this->random(), MonotonicNow());
	if (info.deadline) retry_after = std::min<Duration>(retry_after, *info.deadline / CALLER_WAIT_DIVISOR);
	Log(LogLevel::Info, "refused",
	    {{"request", info.attempt}, {"status", "503"}, {"reason", REJECT_REASON}, {"retry_after_ms", FormatMilliseconds(retry_after)}});
	this->metrics.Count(std::string("cottonspool_requests_total{outcome=\"") + REJECT_REASON + "\"}");
	return OwnAnswerHeaders(info.attempt, retry_after);
}

void HeldMemory::LogLevelChange(const MemoryDecision &decision, size_t holders) const
{
	const HeldBytes &held = this->counter->Held();
	Log(this->budget.Level() == MemoryLevel::Full ? LogLevel::Warning : LogLevel::Info, "memory-pressure",
	    {{"level", MemoryLevelName(this->budget.Level())},
	     {"before", MemoryLevelName(decision.before)},
	     {"held", std::to_string(held.Total())},
	     {"bound", std::to_string(this->budget.Bound())},
	     {"answers", std::to_string(held.answers)},
	     {"requests", std::to_string(held.requests)},
	     {"bodies", std::to_string(held.bodies)},
	     {"holders", std::to_string(holders)},
	     {"paused", std::to_string(decision.paused.size())},
	     {"own_use", std::to_string(this->OwnUse())}});
}

void HeldMemory::SetMetrics()
{
	this->metrics.Gauge("cottonspool_held_bytes", static_cast<double>(this->counter->Held().Total()));
	if (this->budget.Bound() == SIZE_MAX) return;
	this->metrics.Gauge("cottonspool_held_bytes_bound", static_cast<double>(this->budget.Bound()));
}

} // namespace cottonspool
