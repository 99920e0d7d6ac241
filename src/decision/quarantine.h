/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.h Quarantine of requests that are suspected of crashing targets. */

#pragma once

#include "decision/crash_hypothesis.h"
#include "decision/recent_features.h"
#include <map>
#include <set>
#include <string>

namespace cottonspool {

/** Crash of a target incarnation while it started, or was about to start, to execute a request; identified by these two. */
struct CrashRecord {
	RequestFingerprint fingerprint; ///< Fingerprint of the request.
	std::string incarnation;        ///< Name of the target incarnation; see TargetIncarnation::Name().
	FeatureList shared{};           ///< Features of the request that other requests may have as well.

	bool operator==(const CrashRecord &other) const
	{
		return this->fingerprint == other.fingerprint && this->incarnation == other.incarnation;
	}
	auto operator<=>(const CrashRecord &other) const
	{
		return std::tie(this->fingerprint, this->incarnation) <=> std::tie(other.fingerprint, other.incarnation);
	}
};

/** Limits that decide which requests are quarantined. */
struct QuarantineLimits {
	/** Number of crashes from which requests are quarantined until the oldest one expires. */
	uint32_t crash_threshold = 3;
	/**
	 * Number of crashes from which requests are held back for a limited time. An innocent request rarely reaches this number, while a
	 * harmful one then crashes fewer targets before it is quarantined.
	 */
	uint32_t holdback_crashes = 2;
	Duration holdback = std::chrono::seconds(20); ///< Time for which they are held back; crashed targets restart in less.
	bool use_parts = true;                        ///< Whether parts of prompts count as causes of crashes, and not whole requests only.
	/**
	 * Parts of prompts are quarantined if so many crashes under requests with them would happen by chance with a lower probability, given
	 * how many of the recent successful requests had them.
	 */
	double chance = 0.005;
	double shared_chance = 0.02;    ///< The same for what another instance has found.
	double certain_chance = 0.0001; ///< Probability below which they are quarantined for long.
	/**
	 * Time between the first and the last crash from which parts of prompts are quarantined that recent successful requests had. It is
	 * long enough for requests that were sent after the first crash to show that they don't crash their targets. Without it, parts that
	 * all requests of a route have would be quarantined when many targets crash at the same time for another reason.
	 */
	Duration known_part_span = std::chrono::seconds(5);
	double known_part_share = 0.5; ///< Least share of the crashes in that time that such a part has to explain.
	/**
	 * Number of crash records, oldest first, that a successful answer removes. Removing all would let a request that crashes targets only
	 * sometimes go on for ever.
	 */
	size_t cleared_per_success = 1;
	Duration retention = std::chrono::minutes(30); ///< Time after which a crash record expires.
	size_t max_records = 4096;                     ///< Maximum number of crash records, which take up to 3 MB.
	RecentFeatureLimits recent;                    ///< Features of recent successful requests.
};

/** Suspicion against a request. */
enum class Suspicion : uint8_t {
	None,        ///< No crash is recorded for the request.
	Suspected,   ///< Targets have crashed during the request, but other requests may have caused this.
	Quarantined, ///< The request must not be sent.
};

/** Requests that are quarantined. */
struct QuarantineRule {
	FeatureList features;         ///< Requests that have all of these must not be sent.
	size_t crashes = 0;           ///< Targets that have crashed under such requests.
	TimePoint until;              ///< End of the quarantine if no further crash is recorded.
	bool is_to_be_shared = false; ///< Whether the other instances are to be told.
};

/**
 * Crash records of all requests, and what they have in common. A request that crashes each target on which it runs also fails all other
 * requests there, and its caller may send it again to any instance under a new id; the cause may also be a part of its prompt, with which
 * ever different requests come. One instance sees only one or two of the crashes, so instances share the records through the store.
 */
class Quarantine {
public:
	explicit Quarantine(QuarantineLimits limits) : limits(limits), recent(limits.recent) {}

	/**
	 * Adds a crash that was seen by this or another instance.
	 * @param from_snapshot Whether it happened before this instance started to follow the crashes.
	 * @return Whether the record is new.
	 */
	bool Add(const CrashRecord &crash, TimePoint now, bool from_snapshot = false);

	/** Removes a crash record. */
	void Remove(const CrashRecord &crash);

	/**
	 * A request with \a features, sent at \a sent_at, was executed without a crash of its target. So none of its parts by itself caused
	 * the crashes that were known by then.
	 * @return Parts that were suspected because of several crashes until now, to be cleared at the other instances.
	 */
	FeatureList OnSurvived(const RequestFeatures &features, TimePoint sent_at, TimePoint now);

	/** Another instance has found that \a feature by itself did not cause \a crash. */
	void Clear(const RequestFeature &feature, const CrashRecord &crash);

	/** Another instance has found that requests with all of \a features crash their targets. */
	void AddShared(const FeatureList &features);

	/** That does no longer hold. */
	void RemoveShared(const FeatureList &features);

	/** @return All crash records, grouped by request. */
	std::vector<CrashRecord> All() const;

	/** @return The crash records of the request \a fingerprint. */
	std::vector<CrashRecord> CrashesOf(RequestFingerprint fingerprint) const;

	/** @return The crash records that a successful answer to \a fingerprint removes. */
	std::vector<CrashRecord> ClearedBySuccess(RequestFingerprint fingerprint) const;

	/** @return The crash records that have expired at \a now. */
	std::vector<CrashRecord> Expired(TimePoint now) const;

	/** @return The suspicion against a request with \a features at \a now. */
	Suspicion Assess(const RequestFeatures &features, TimePoint now) const;

	/** @return What is quarantined at \a now. */
	std::vector<QuarantineRule> Rules(TimePoint now) const;

	/** @return The rule that quarantines a request with \a features for the longest time; null if there is none. */
	const QuarantineRule *RuleFor(const RequestFeatures &features, TimePoint now) const;

	/** @return The remaining time of the quarantine of a request with \a features if no further crash is recorded. */
	Duration RemainingTime(const RequestFeatures &features, TimePoint now) const;

	/** @return Whether there are no crash records. */
	bool IsEmpty() const { return this->crashes.empty(); }

	/** @return Whether the maximum number of crash records is reached. */
	bool IsFull() const { return this->count >= this->limits.max_records; }

private:
	/** A recorded crash. */
	struct Crash {
		FeatureList shared;     ///< Shared features of the request that may be the cause.
		TimePoint learned_at;   ///< When the crash became known.
		TimePoint counted_from; ///< Time from which it counts for QuarantineLimits::known_part_span.
		uint64_t order = 0;     ///< Order in which the crashes became known.
	};

	/** Find out again what is quarantined, unless the records are as before. */
	void UpdateRules(TimePoint now) const;
	/** @return Whether the evidence for \a hypothesis is sufficient. */
	bool IsAccepted(const CrashHypothesis &hypothesis) const;
	/** @return Whether it is sufficient to quarantine such requests for long. */
	bool IsCertain(const CrashHypothesis &hypothesis) const;
	/** @return The end of the quarantine that \a hypothesis leads to. */
	TimePoint QuarantineEnd(const CrashHypothesis &hypothesis) const;

	QuarantineLimits limits;                                            ///< Limits of the quarantine.
	RecentFeatures recent;                                              ///< Features of recent successful requests.
	std::map<RequestFingerprint, std::map<std::string, Crash>> crashes; ///< Crashes by request and crashed incarnation.
	size_t count = 0;                                                   ///< Total number of crash records.
	uint64_t next_order = 1;                                            ///< Order of the next crash record.
	std::set<FeatureList> shared;                                       ///< Features that other instances have found to cause crashes.
	mutable std::vector<QuarantineRule> rules;                          ///< What the records lead to.
	mutable bool outdated = false;                                      ///< Whether the records have changed since.
	mutable TimePoint updated_at;                                       ///< When the rules were last updated.
};

} // namespace cottonspool
