/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file memory_budget.cpp Bounds the bytes that a process holds for callers and targets that read slowly. */

#include "decision/memory_budget.h"
#include <limits>

namespace cottonspool {

static constexpr size_t UNBOUNDED = std::numeric_limits<size_t>::max();

const char *MemoryLevelName(MemoryLevel level)
{
	switch (level) {
	case MemoryLevel::Normal:
		return "normal";
	case MemoryLevel::Slowed:
		return "slowed";
	case MemoryLevel::Full:
		return "full";
	}
	return "";
}

size_t MemoryBudget::Bound() const
{
	if (!this->limits.use || this->limits.memory_bytes == 0) return UNBOUNDED;
	size_t left = this->limits.memory_bytes - std::min<size_t>(this->limits.memory_bytes, this->own_use);
	return std::max(this->limits.min_bound, static_cast<size_t>(static_cast<double>(left) * this->limits.held_fraction));
}

size_t MemoryBudget::SlowThreshold() const
{
	size_t bound = this->Bound();
	return bound == UNBOUNDED ? UNBOUNDED : static_cast<size_t>(static_cast<double>(bound) * this->limits.slow_fraction);
}

MemoryLevel MemoryBudget::LevelFor(size_t committed, TimePoint now) const
{
	MemoryLevel reached = committed >= this->Bound()           ? MemoryLevel::Full
	                      : committed >= this->SlowThreshold() ? MemoryLevel::Slowed
	                                                           : MemoryLevel::Normal;
	if (reached >= this->level) return reached;
	size_t threshold = this->level == MemoryLevel::Full ? this->Bound() : this->SlowThreshold();
	bool is_clear = static_cast<double>(committed) < static_cast<double>(threshold) * this->limits.leave_fraction;
	return is_clear && now - this->level_since >= this->limits.min_level_time ? reached : this->level;
}

/** Put the holders that are paused first to the front: the largest, then those that were paused last. */
static void SortBySize(std::vector<MemoryHolder> &holders)
{
	std::sort(holders.begin(), holders.end(), [](const MemoryHolder &a, const MemoryHolder &b) {
		if (a.bytes != b.bytes) return a.bytes > b.bytes;
		return a.paused_since != b.paused_since ? a.paused_since > b.paused_since : a.id > b.id;
	});
}

/** @return The oldest holder whose memory becomes free only by completing; null if there is none. */
static const MemoryHolder *OldestToComplete(const std::vector<MemoryHolder> &holders)
{
	const MemoryHolder *oldest = nullptr;
	for (const MemoryHolder &each : holders) {
		bool older = oldest == nullptr || each.since < oldest->since || (each.since == oldest->since && each.id < oldest->id);
		if (each.completes && older) oldest = &each;
	}
	return oldest;
}

/**
 * @return The largest holders, such that the others hold at most \a allowed bytes after each has read \a read_bytes more.
 *
 * Those that must complete are not paused below the bound (\a full), as they fail at their deadline, while a paused stream is only late.
 * At the bound the oldest of them continues if they hold \a threshold bytes or more, as nothing else would bring the sum below the
 * threshold. If they hold less, it falls below the threshold by itself, as the callers of the others read.
 */
static std::vector<uint64_t> HoldersToPause(const std::vector<MemoryHolder> &by_size, double allowed, size_t read_bytes, size_t threshold,
                                            bool full)
{
	size_t running = 0;
	size_t to_complete = 0;
	for (const MemoryHolder &each : by_size) {
		if (each.completes) to_complete += each.bytes;
		if (!each.completes || full) running += each.bytes + read_bytes;
	}
	const MemoryHolder *exempt = to_complete >= threshold ? OldestToComplete(by_size) : nullptr;
	std::vector<uint64_t> paused;
	for (const MemoryHolder &each : by_size) {
		if (static_cast<double>(running) <= allowed) break;
		if (&each == exempt || (each.completes && !full)) continue;
		paused.push_back(each.id);
		running -= each.bytes + read_bytes;
	}
	return paused;
}

/** @return The newest holders whose requests are still being received, such that \a excess bytes become free, as far as possible. */
static std::vector<uint64_t> HoldersToReject(std::vector<MemoryHolder> holders, size_t excess)
{
	std::vector<uint64_t> rejected;
	std::sort(holders.begin(), holders.end(),
	          [](const MemoryHolder &a, const MemoryHolder &b) { return a.since != b.since ? a.since > b.since : a.id > b.id; });
	for (const MemoryHolder &each : holders) {
		if (excess == 0) break;
		if (!each.receiving || each.bytes == 0) continue;
		rejected.push_back(each.id);
		// The body, and its copy when it is sent.
		excess -= std::min(excess, 2 * each.bytes);
	}
	return rejected;
}

MemoryDecision MemoryBudget::Decide(const HeldBytes &held, std::vector<MemoryHolder> holders, TimePoint now)
{
	MemoryDecision decision;
	size_t committed = held.Committed();
	size_t bound = this->Bound();
	size_t threshold = this->SlowThreshold();
	decision.before = this->level;
	MemoryLevel next = this->LevelFor(committed, now);
	decision.level_changed = next != this->level;
	bool confirmed = committed >= (next == MemoryLevel::Full ? bound : threshold);
	if (decision.level_changed || confirmed) this->level_since = now;
	this->level = next;
	if (committed < threshold) return decision;
	// What may run on shrinks from the threshold to nothing between the threshold and the bound, so that the sum approaches the bound
	// instead of passing it.
	double left = committed < bound ? static_cast<double>(bound - committed) / static_cast<double>(bound - threshold) : 0;
	SortBySize(holders);
	decision.paused =
	        HoldersToPause(holders, static_cast<double>(threshold) * left, this->limits.scarce_read_bytes, threshold, committed >= bound);
	if (committed > bound) decision.rejected = HoldersToReject(std::move(holders), committed - bound);
	return decision;
}

Duration MemoryBudget::OnRejected(uint64_t random, TimePoint now)
{
	this->rejections.OnRejected(now);
	return this->rejections.RetryAfter(this->limits.min_retry_after, random, now);
}

} // namespace cottonspool
