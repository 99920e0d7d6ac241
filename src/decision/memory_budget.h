/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file memory_budget.h Bounds the bytes that a process holds for callers and targets that read slowly. */

#pragma once

#include "core/held_bytes_type.h"
#include "decision/overload_tracker.h"
#include <optional>
#include <vector>

namespace cottonspool {

/** Limits of the memory for callers and targets that read slowly. */
struct MemoryLimits {
	bool use = true;           ///< Whether the sum is bounded.
	uint64_t memory_bytes = 0; ///< Memory of the process; 0 if it is unknown, and nothing is bounded.
	/**
	 * Fraction of the memory beyond the process's own use that may be held. The other half is for what the count leaves out: copies while a
	 * buffer grows, freed memory that the allocator keeps, and the part of a bound that is exceeded between two decisions.
	 */
	double held_fraction = 0.5;
	double slow_fraction = 0.5; ///< Fraction of the bound from which the largest holders are paused.
	/** Fraction of a level's threshold below which it is left, so that the level does not change with each answer that is sent. */
	double leave_fraction = 0.8;
	/** Smallest bound, whatever the process's own use is: the largest answer that is buffered completely. */
	size_t min_bound = 8U << 20;
	/** Bytes that a connection reads at once while memory is scarce; small, as each of hundreds of paused callers takes a part in turn. */
	size_t scarce_read_bytes = 8U << 10;
	Duration min_level_time = std::chrono::seconds(1); ///< Time for which a level lasts at least before a lower one is entered.
	/** Shortest time after which callers may come back; slow readers take some seconds, and OverloadTracker makes it longer. */
	Duration min_retry_after = std::chrono::milliseconds(500);
};

/** How scarce the memory is. */
enum class MemoryLevel : uint8_t {
	Normal, ///< Nothing is restricted.
	Slowed, ///< The largest holders are paused.
	Full,   ///< The bound is reached: requests with a body are rejected.
};

/** @return The name of \a level in logs. */
const char *MemoryLevelName(MemoryLevel level);

/** What has to be done now. */
struct MemoryDecision {
	bool level_changed = false;               ///< The level differs from that of the last decision.
	MemoryLevel before = MemoryLevel::Normal; ///< Level of the last decision.
	std::vector<uint64_t> paused;             ///< Holders to be paused; all others continue.
	std::vector<uint64_t> rejected;           ///< Holders whose requests, not yet received completely, are rejected.
};

/**
 * Decides which connections are paused and which requests are rejected, so that the bytes held in sum stay within a bound. It handles
 * memory that is held because callers read their answers slowly, or targets their requests; it does not limit the rate of requests.
 */
class MemoryBudget {
public:
	explicit MemoryBudget(const MemoryLimits &limits) : limits(limits) {}

	/** The process uses \a bytes for itself, without the held ones. */
	void SetOwnUse(size_t bytes) { this->own_use = bytes; }

	/** @return The bound on the held bytes; SIZE_MAX for none. */
	size_t Bound() const;

	/** @return Committed bytes from which holders are paused; SIZE_MAX for never. */
	size_t SlowThreshold() const;

	/** @return Whether a request with a body may be received. */
	bool MayReceive(const HeldBytes &held) const { return held.Committed() < this->Bound(); }

	/** @return Most bytes that a connection may read at once. */
	size_t MaxReadBytes(const HeldBytes &held) const
	{
		return held.Committed() < this->SlowThreshold() ? SIZE_MAX : this->limits.scarce_read_bytes;
	}

	/** @return What to do with \a holders while \a held is held in sum. */
	MemoryDecision Decide(const HeldBytes &held, std::vector<MemoryHolder> holders, TimePoint now);

	/** @return Retry-After for a request rejected at \a now. @param random Random number for the jitter. */
	Duration OnRejected(uint64_t random, TimePoint now);

	/** @return The present level. */
	MemoryLevel Level() const { return this->level; }

private:
	/** @return The level for \a committed bytes. */
	MemoryLevel LevelFor(size_t committed, TimePoint now) const;

	MemoryLimits limits;
	size_t own_use = 0;                      ///< Bytes that the process uses for itself.
	MemoryLevel level = MemoryLevel::Normal; ///< Present level.
	TimePoint level_since;                   ///< When it was entered, or last confirmed.
	OverloadTracker rejections;              ///< Duration of the present run of rejections.
};

} // namespace cottonspool
