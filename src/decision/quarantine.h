/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.h Requests under which targets end: which ones are suspected, and which are not sent any more. */

#pragma once

#include "core/time_type.h"
#include "decision/request_fingerprint.h"
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** A target's life that ended under a request which it had just begun, or not begun yet. */
struct CrashRecord {
	RequestFingerprint fingerprint; ///< The request.
	std::string incarnation;        ///< The target and the start of its life; see TargetIncarnation::Name().

	auto operator<=>(const CrashRecord &) const = default;
};

/** When a request is not sent any more. */
struct QuarantineLimits {
	/** Ends from which a request is not sent any more until they are forgotten; the operators allow three and a few sends more. */
	uint32_t crash_threshold = 3;
	/**
	 * Ends from which it is held back for a while: an innocent request has two only by chance, and is cleared once it is answered. A
	 * request that ends targets then ends fewer of them in its first seconds, and takes fewer others with it.
	 */
	uint32_t holdback_crashes = 2;
	Duration holdback = std::chrono::seconds(20); ///< Time for which it is held back: targets that ended together are back long before.
	/**
	 * Ends that a good answer takes out, the oldest first: one that ends its target now and then and is answered otherwise would go on
	 * for ever if an answer took all out.
	 */
	size_t cleared_per_success = 1;
	Duration retention = std::chrono::minutes(30); ///< Time for which an end is held against a request.
	size_t max_records = 4096;                     ///< Most ends that are remembered: 0.98 MB, as the allocator counts them.
};

/** What is held against a request. */
enum class Suspicion : uint8_t {
	None,        ///< Nothing.
	Suspected,   ///< Targets have ended under it; others may have caused that.
	Quarantined, ///< It is not sent any more.
};

/**
 * Ends of targets by request. A request that ends each target which begins it takes all else that runs there with it, and its caller
 * sends it again at any instance, under a new id. What one instance sees of it is one end or two, so the ends are what instances tell
 * each other (through the store, which outlasts them), and each judges the same ends alike.
 */
class Quarantine {
public:
	explicit Quarantine(QuarantineLimits limits) : limits(limits) {}

	/** \a end was seen here or told by another instance. @return Whether that has changed what is held against any request. */
	bool Add(const CrashRecord &end, TimePoint now);

	/** \a end is not held against its request any more. */
	void Remove(const CrashRecord &end);

	/** @return All ends, oldest first for each request. */
	std::vector<CrashRecord> All() const;

	/** @return The ends held against \a fingerprint. */
	std::vector<CrashRecord> CrashesOf(RequestFingerprint fingerprint) const;

	/** @return The ends that a good answer to \a fingerprint takes out. */
	std::vector<CrashRecord> ClearedBySuccess(RequestFingerprint fingerprint) const;

	/** @return Ends that are older than they may be at \a now. */
	std::vector<CrashRecord> Expired(TimePoint now) const;

	/** @return What is held against \a fingerprint at \a now; zero stands for a request without a fingerprint. */
	Suspicion Judge(RequestFingerprint fingerprint, TimePoint now) const;

	/** @return Requests that are quarantined at \a now. */
	std::vector<RequestFingerprint> Quarantined(TimePoint now) const;

	/** @return Time until the quarantine of \a fingerprint ends if nothing more happens. */
	Duration RemainingTime(RequestFingerprint fingerprint, TimePoint now) const;

	/** @return Whether nothing is held against any request. */
	bool IsEmpty() const { return this->crashes.empty(); }

	/** @return Whether as many ends are remembered as may be. */
	bool IsFull() const { return this->count >= this->limits.max_records; }

private:
	QuarantineLimits limits; ///< When a request is not sent any more.
	std::map<RequestFingerprint, std::map<std::string, TimePoint>>
	        crashes;  ///< Lives that ended under each request, and when that was learned.
	size_t count = 0; ///< Ends in all.
};

} // namespace cottonspool
