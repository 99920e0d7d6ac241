/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.h Quarantine of requests that are suspected of crashing targets. */

#pragma once

#include "core/time_type.h"
#include "decision/request_fingerprint.h"
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** Crash of a target incarnation while it started, or was about to start, to execute a request. */
struct CrashRecord {
	RequestFingerprint fingerprint; ///< Fingerprint of the request.
	std::string incarnation;        ///< Name of the target incarnation; see TargetIncarnation::Name().

	auto operator<=>(const CrashRecord &) const = default;
};

/** Limits that decide when a request is quarantined. */
struct QuarantineLimits {
	/** Number of crashes from which a request is quarantined until the oldest one expires. */
	uint32_t crash_threshold = 3;
	/**
	 * Number of crashes from which a request is held back for a limited time. An innocent request rarely reaches this number, while a
	 * harmful one then crashes fewer targets before it is quarantined.
	 */
	uint32_t holdback_crashes = 2;
	Duration holdback = std::chrono::seconds(20); ///< Time for which it is held back; crashed targets restart in less.
	/**
	 * Number of crash records, oldest first, that a successful answer removes. Removing all would let a request that crashes targets only
	 * sometimes go on for ever.
	 */
	size_t cleared_per_success = 1;
	Duration retention = std::chrono::minutes(30); ///< Time after which a crash record expires.
	size_t max_records = 4096;                     ///< Maximum number of crash records, which take 0.98 MB.
};

/** Suspicion against a request. */
enum class Suspicion : uint8_t {
	None,        ///< No crash is recorded for the request.
	Suspected,   ///< Targets have crashed during the request, but other requests may have caused this.
	Quarantined, ///< The request must not be sent.
};

/**
 * Crash records of all requests. A request that crashes each target on which it runs also fails all other requests there, and its caller
 * may send it again to any instance under a new id. One instance sees only one or two of its crashes, so instances share the records
 * through the store, and all come to the same decision.
 */
class Quarantine {
public:
	explicit Quarantine(QuarantineLimits limits) : limits(limits) {}

	/** Adds a crash that was seen by this or another instance. @return Whether the record is new. */
	bool Add(const CrashRecord &crash, TimePoint now);

	/** Removes a crash record. */
	void Remove(const CrashRecord &crash);

	/** @return All crash records, grouped by request. */
	std::vector<CrashRecord> All() const;

	/** @return The crash records of the request \a fingerprint. */
	std::vector<CrashRecord> CrashesOf(RequestFingerprint fingerprint) const;

	/** @return The crash records that a successful answer to \a fingerprint removes. */
	std::vector<CrashRecord> ClearedBySuccess(RequestFingerprint fingerprint) const;

	/** @return The crash records that have expired at \a now. */
	std::vector<CrashRecord> Expired(TimePoint now) const;

	/** @return The suspicion against \a fingerprint at \a now; zero stands for a request without a fingerprint. */
	Suspicion Assess(RequestFingerprint fingerprint, TimePoint now) const;

	/** @return Requests that are quarantined at \a now. */
	std::vector<RequestFingerprint> Quarantined(TimePoint now) const;

	/** @return The remaining time of the quarantine of \a fingerprint if no further crash is recorded. */
	Duration RemainingTime(RequestFingerprint fingerprint, TimePoint now) const;

	/** @return Whether there are no crash records. */
	bool IsEmpty() const { return this->crashes.empty(); }

	/** @return Whether the maximum number of crash records is reached. */
	bool IsFull() const { return this->count >= this->limits.max_records; }

private:
	QuarantineLimits limits; ///< Limits of the quarantine.
	std::map<RequestFingerprint, std::map<std::string, TimePoint>>
	        crashes;  ///< Crashed incarnations of each request, and when each became known.
	size_t count = 0; ///< Total number of crash records.
};

} // namespace cottonspool
