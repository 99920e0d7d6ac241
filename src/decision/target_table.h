/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_table.h State of the targets as seen by one instance: load reports, calls in flight, health, restrictions. */

#pragma once

#include "core/name_table.h"
#include "decision/account_usage.h"
#include "decision/length_estimate.h"
#include "decision/stream_outlook.h"
#include "decision/target_restrictions.h"
#include "decision/target_speed.h"
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cottonspool {

/** Parameters of admission to targets and of outlier ejection. */
struct AdmissionLimits {
	std::array<double, SERVICE_CLASS_COUNT> fill{0.97, 0.93, 0.75}; ///< Fraction of a target's memory for each class.
	Duration report_stale = std::chrono::seconds(6);                ///< Age at which a load report is ignored.
	double growth_start = 0.7;                                      ///< Initial fraction of the expected output that is reserved.
	double share_max = 6;                          ///< Maximum share of the headroom for an instance, as a multiple of an equal share.
	double growth_min = 0.1;                       ///< Minimum fraction that is reserved.
	double growth_max = 2.0;                       ///< Maximum fraction that is reserved.
	uint32_t eject_connect_failures = 2;           ///< Consecutive failed connects after which a target is ejected.
	uint32_t eject_failures = 3;                   ///< Consecutive failed calls after which a target is ejected.
	Duration eject_base = std::chrono::seconds(1); ///< Duration of the first ejection; doubles with each further one.
	Duration eject_max = std::chrono::seconds(30); ///< Maximum duration of an ejection.
	double slow_factor = 3.0;                      ///< Ratio of a target's token interval to the median above which the target is slow.
	bool use_shares = true;                        ///< Whether each instance uses only a share of the reported headroom.
	bool use_growth_feedback = true;               ///< Whether the reserved fraction adapts to preemptions.
	bool use_lateness = true;                      ///< Whether placement uses the expected lateness at engines of known time factors.
	bool use_migration_headroom = true;            ///< Whether the headroom for a run that migrates counts all that is known.
};

/** Result of one call for the health of its target. */
enum class SendResult : uint8_t {
	Answered,    ///< The target answered.
	Rejected,    ///< The target asked for a pause; does not affect its health.
	Failed,      ///< The target answered with a failure or broke off.
	Unreachable, ///< No connection to the target could be established.
};

/** A call in flight at a target, of this instance or of a peer. */
struct InFlightCall {
	CallSpec call;
	uint32_t generated = 0;  ///< Output tokens so far.
	double residual = 0;     ///< Expected remaining output tokens.
	TimePoint sent;          ///< When it was sent.
	TimePoint last_token;    ///< When the last token arrived.
	double copy_reserve = 0; ///< Part of TargetState::sent_since_report that the copy of a run accounts for; 0 for other calls.
	std::optional<AccountNumber> account; ///< Account that holds its memory; nothing if a peer did not state it.
	bool prefills_alone = false; ///< Whether no other known prefill was pending when it was sent, so that its time gives the prefill rate.
	EpisodeTracker episodes;     ///< Gaps between its events; of own calls only.
};

/** Load of a set of calls at a target. */
struct HeldLoad {
	double tokens = 0;  ///< Memory in use, in tokens.
	uint32_t calls = 0; ///< Number of calls.
};

/** Load of the calls of another data hall at a target, as published by that hall. */
struct RemoteHallLoad {
	HeldLoad held;
	TimePoint received_at; ///< When it was received.
};

/** A known call that has ended at a target. */
struct EndedCall {
	TimePoint sent;     ///< When it was sent.
	TimePoint ended_at; ///< When it ended.
	double tokens = 0;  ///< Memory that it used, in tokens.
};

/** State of one target as seen by this instance. */
struct TargetState {
	std::string name;                   ///< Unique name.
	std::string hall;                   ///< Data hall of the target.
	bool engine = true;                 ///< Whether it is an engine; false for a service, whose capacity is counted in calls.
	std::set<ModelNumber> models;       ///< Models (or the service) that it serves.
	TargetRestrictions restrictions;    ///< Restrictions on requests to it.
	LoadReport report;                  ///< Latest load report.
	TimePoint report_at;                ///< When the latest report arrived.
	double known_at_report = 0;         ///< Tokens of known calls that are included in the latest report.
	uint32_t known_calls_at_report = 0; ///< Number of known calls that are included in the latest report.
	double sent_since_report = 0;       ///< Expected memory of known calls sent since the latest report, in tokens.
	double backed_up_since_report = 0;  ///< Tokens of backups made since the latest report.
	double growth = 0.7;                ///< Fraction of the expected remaining output that is reserved.
	double share_factor = 2;            ///< Share of the reported headroom for this instance, as a multiple of an equal share.
	double known_tokens = 0;            ///< Tokens in memory of known calls, which are those of this instance and its peers.
	double known_residual = 0;          ///< Expected remaining output tokens of known calls.
	uint32_t pending_prefills = 0;      ///< Known calls without a first token.
	PromptCounter prompts;              ///< Prompts of known calls that were sent to it.
	TimePoint prefill_done_at;          ///< Expected end of the prefills of all known calls.
	std::map<std::string, RemoteHallLoad> hall_loads; ///< Load of the calls of other data halls, by hall.
	TimePoint remote_prefill_done_at;                 ///< Expected end of all prefills, as published by the target's own hall.
	bool slow = false;                                ///< Whether it is much slower than the median; see UpdateSlowTargets().
	double median_interval = 0;           ///< Median time between tokens of the targets for the same model, in seconds; 0 while unknown.
	double interval = 0;                  ///< Smoothed time between tokens, in seconds; 0 while unknown.
	uint32_t failures = 0;                ///< Consecutive failed calls.
	uint32_t connect_failures = 0;        ///< Consecutive failed connects.
	uint32_t ejections = 0;               ///< Consecutive ejections.
	TargetSpeed speed;                    ///< Its speed, as far as it is known.
	std::set<uint64_t> reported_prefixes; ///< Cached prefixes according to the latest report.
	std::deque<std::pair<uint64_t, TimePoint>> sent_prefixes;         ///< Prefixes of calls sent lately.
	std::unordered_map<CallId, InFlightCall, StrongIdHash> in_flight; ///< Known calls.

	std::deque<EndedCall> ended_calls;    ///< Known calls that ended lately, the oldest first.
	HeldLoad ended_at_report;             ///< Known calls that the latest report includes, but that ended before it arrived.
	std::optional<TimePoint> shutdown_at; ///< When it shuts down, if announced.
};

/** All targets of one instance, by number. */
class TargetTable {
public:
	TargetTable(AdmissionLimits limits, LengthEstimate &lengths) : limits(limits), lengths(lengths) {}

	/** Add a target or update its configuration. @return Its number. */
	TargetNumber Configure(std::string_view name, std::string_view hall, const std::vector<ModelNumber> &models, bool engine = true);

	/** Remove \a target from the configuration: it gets no new calls, and those in flight finish. */
	void Forget(TargetNumber target);

	/** Mark \a target as draining until ClearDraining(). */
	void MarkDraining(TargetNumber target);

	/** Mark \a target as no longer draining. */
	void ClearDraining(TargetNumber target);

	/** Set the evacuated data halls. */
	void SetEvacuatedHalls(const std::set<std::string> &halls);

	/** Limit the requests of this instance to \a target to \a share until \a end, during its cold start. */
	void SetCold(TargetNumber target, TimePoint end, RateShare share);

	/** Change that share of \a target. */
	void SetColdShare(TargetNumber target, RateShare share);

	/** Handle the signals in an answer of \a target to a request sent at \a asked. @return Whether its rate limit has changed. */
	bool OnSignals(TargetNumber target, const TargetSignals &signals, TimePoint asked, TimePoint now);

	/** Set this instance's share of the rate limit of \a target. */
	void SetLimitShare(TargetNumber target, RateShare share) { this->targets[target.value].restrictions.limit.SetShare(share); }

	/** @return The lease requests to send to \a owners for the rate limit of \a target; see TargetRateLimit::BuildRequests(). */
	std::vector<LeaseRequest> RequestLeases(TargetNumber target, const std::vector<std::string> &owners, uint32_t demand, TimePoint now)
	{
		return this->targets[target.value].restrictions.limit.BuildRequests(owners, demand, now);
	}

	/** Lend \a borrower a part of this instance's share of the rate limit of \a target; see TargetRateLimit::Lend(). */
	uint32_t Lend(TargetNumber target, const std::string &borrower, uint32_t wanted, uint32_t own, TimePoint now)
	{
		return this->targets[target.value].restrictions.limit.Lend(borrower, wanted, own, now);
	}

	/** Handle the answer of \a owner to lease request \a number; see TargetRateLimit::OnGranted(). */
	void OnGranted(TargetNumber target, const std::string &owner, uint64_t number, uint32_t granted)
	{
		this->targets[target.value].restrictions.limit.OnGranted(owner, number, granted);
	}

	/** @return Whether no restriction keeps \a call from \a target at \a now. */
	bool IsEligible(const TargetState &target, const CallSpec &call, TimePoint now) const
	{
		return CheckAdmission(target, call, now).IsFree();
	}

	/** @return The restriction that keeps \a call from \a target at \a now, if any. */
	static AdmissionVerdict CheckAdmission(const TargetState &target, const CallSpec &call, TimePoint now);

	/**
	 * @param counts Receives the number of the model's targets under each restriction.
	 * @return Earliest time at which a target may get \a call; \a now if one may get it already, max() if no restriction expires by itself.
	 */
	TimePoint FreeAt(const CallSpec &call, TimePoint now, RestrictionCounts *counts) const;

	/**
	 * Handle the signals in an answer of \a target to this instance that concern its refusals; null if the answer is not the target's own.
	 * @return Whether the target has become brittle, is so no longer, or bears another number of refusals.
	 */
	bool OnAnswerSignals(TargetNumber target, const TargetSignals *signals, TimePoint asked, TimePoint now);

	/** Set this instance's \a share of the refusals that the brittle \a target bears, and the number of instances that share it. */
	void SetRefusalShare(TargetNumber target, size_t instance_count, RateShare share);

	/** Set the number of requests that \a target processes at once. */
	void SetPlaces(TargetNumber target, uint32_t places) { this->targets[target.value].restrictions.refusals.SetPlaces(places); }

	/** Count a request of this instance to \a target: a first attempt, a retry or a migrated run. */
	void OnRequestSent(TargetNumber target, TimePoint now);

	/** Handle a load report that arrived at \a now; reports older than the latest are dropped. */
	void OnReport(TargetNumber target, const LoadReport &report, TimePoint now);

	/** Make \a target, a service without load reports, usable with a capacity of \a slots concurrent calls. */
	void SetServiceCapacity(TargetNumber target, uint64_t slots);

	/** Handle the sending of \a call of this instance to \a target. */
	void OnSent(TargetNumber target, const CallSpec &call, TimePoint now);

	/**
	 * Handle the sending of a peer's call, or of the backup of a run, to \a target.
	 * @param generated Tokens generated on another target; if any, no prefill is needed.
	 * @param account Account that holds its memory; CallSpec::account of a peer's call is not set.
	 */
	void OnPeerCallSent(TargetNumber target, const CallSpec &call, TimePoint now, uint32_t generated = 0,
	                    std::optional<AccountNumber> account = std::nullopt);

	/** Handle the arrival of \a tokens output tokens of \a call from \a target. */
	void OnToken(TargetNumber target, CallId call, TimePoint now, uint32_t tokens = 1);

	/** Handle the migration of the run of \a call. */
	void OnMigrated(TargetNumber from, TargetNumber to, CallId call, TimePoint now);

	/** Reinstate \a target, which was ejected while this instance reached none of its pool. */
	void OnReachable(TargetNumber target);

	/** Handle the end of \a call at \a target and update the target's health. @return Output tokens of the call. */
	uint32_t OnEnded(TargetNumber target, CallId call, SendResult result, TimePoint now);

	/** Handle output tokens of a peer's call; they don't affect the target's measured token interval. */
	void OnPeerCallToken(TargetNumber target, CallId call, TimePoint now, uint32_t tokens);

	/** Handle the load of the calls of \a hall at all targets, as published by that hall. */
	void OnHallLoad(const std::string &hall, const std::map<TargetNumber, HeldLoad> &held, TimePoint now);

	/** Set the expected end of all prefills of \a target, as published by its hall. */
	void SetRemotePrefillDone(TargetNumber target, TimePoint read_at) { this->targets[target.value].remote_prefill_done_at = read_at; }

	/** @return Estimated load of all calls at \a target. */
	HeldLoad TotalLoadAt(const TargetState &target, TimePoint now) const;

	/** @return Load of the calls of this instance and its peers at \a target. */
	static HeldLoad KnownLoadAt(const TargetState &target);

	/** Handle the end of a peer's call; it does not affect the target's health. */
	void OnPeerCallEnded(TargetNumber target, CallId call, TimePoint now);

	/** @return Memory of \a target, in tokens, that this instance may still fill with calls of the class of \a call. */
	double Headroom(const TargetState &target, const CallSpec &call, TimePoint now) const;

	/** @return Memory, in tokens, to reserve at \a target for \a call, of a run that migrates for what remains of its output. */
	double MemoryNeed(const TargetState &target, const CallSpec &call) const;

	/** @return Whether \a prefix is probably cached at \a target. */
	static bool HasPrefix(const TargetState &target, uint64_t prefix);

	/** @return Expected time until the pending prefills of known calls at \a target are done. */
	static Duration PrefillWait(const TargetState &target, TimePoint now);

	/** @return FirstTokenWait() if the prompt of \a call itself takes \a factor times the usual time. */
	Duration FirstTokenWaitAt(const TargetState &target, const CallSpec &call, double factor, TimePoint now) const;

	/** @return Expected time to first token of \a call if it is sent to \a target now; prefills are assumed to run one after another. */
	Duration FirstTokenWait(const TargetState &target, const CallSpec &call, TimePoint now) const;

	/** @return Time in which \a target reads \a prompt_tokens, at its speed if that is known and at the usual one otherwise. */
	Duration PrefillTime(const TargetState &target, uint32_t prompt_tokens, TimePoint now) const;

	/** @return Expected output length of \a call, in tokens. */
	double ExpectedOutput(const CallSpec &call) const { return call.generated ? this->lengths.Residual(call, 0) : 0; }

	/** Handle the backup of a run, with an expected size of \a tokens, at \a target; counted until the next report includes it. */
	void OnBackup(TargetNumber target, double tokens) { this->targets[target.value].backed_up_since_report += tokens; }

	/**
	 * @return The possible time factors of \a target: one for a target of known speed, those of the pool's other targets for one of
	 *         unknown speed; empty if no target of the pool states its speed.
	 */
	TimeFactors TimeFactorsOf(const TargetState &target, TimePoint now) const;

	/** Handle the time factor that \a target stated in an answer to this instance. */
	void OnTimeFactor(TargetNumber target, double factor, TimePoint now);

	/** @return Whether the speed of \a target is to be published now; if so, it counts as published. To be called after a sample. */
	bool TakeFactorToPublish(TargetNumber target, TimePoint now);

	/**
	 * Handle the estimate of another instance for the target \a name. It is kept if the target is not configured yet, as an instance that
	 * starts receives the estimates before the targets.
	 */
	void OnPeerTimeFactor(const std::string &name, double factor, TimePoint sampled_at, TimePoint now);

	/** @return Whether a target of the pool of \a target has stated its speed since the start of this instance. */
	bool StatesSpeeds(const TargetState &target) const;

	/** @return TimeFactorsOf(\a target) if placement uses the expected lateness there; empty otherwise. */
	TimeFactors PlacementFactors(const TargetState &target, TimePoint now) const;

	/** @return Expected lateness that follows from sending \a call to \a target, with the possible time factors \a factors, now. */
	ExpectedLateness LatenessAt(const TargetState &target, const CallSpec &call, const TimeFactors &factors, TimePoint now) const;

	/** @return Probability that \a call misses its gap objective at a target with the time factor \a factor and the pool's mean load. */
	double GapLossAtFactor(const CallSpec &call, double factor, TimePoint now) const;

	/** @return Expected time for the rest of the output of \a flight at \a target; nothing if its time factor is unknown. */
	std::optional<Duration> RemainingOutputTime(const TargetState &target, const InFlightCall &flight, TimePoint now) const;

	/** @return The gap objective of this instance's calls for \a model; zero if they have none. */
	Duration GapObjectiveOf(ModelNumber model) const { return this->OutlookOf(model).Objective(); }

	/** Learn from the complete output of \a call with \a tokens tokens. */
	void OnOutputComplete(const CallSpec &call, uint32_t tokens);

	/** @return Whether the headroom for a run that migrates counts all that is known. */
	bool UsesMigrationHeadroom() const { return this->limits.use_migration_headroom; }

	/** @return Learned prefill rate of an engine of the usual speed, in tokens per second. */
	double PrefillRate() const { return this->prefill_rate; }

	/** @return KV cache held by client accounts, to query and to update with the sums of other halls. */
	AccountUsage &Usage() { return this->usage; }

	/** @return KV cache held by client accounts. */
	const AccountUsage &Usage() const { return this->usage; }

	/** @return Memory in use and reserved at \a target, relative to its capacity; above 1 if it is overcommitted. */
	double Pressure(const TargetState &target, TimePoint now) const;

	/** Update which targets are much slower than the median; to be called about once a second. */
	void UpdateSlowTargets();

	/** Set the index of this instance among the \a count instances that share the targets. */
	void SetInstances(uint32_t instance_index, uint32_t count);

	/** @return A number that changes whenever the headroom of an engine may have grown: a report, an ended call, a new target. */
	uint64_t HeadroomRevision() const { return this->headroom_revision; }

	/** @return The state of \a target. */
	const TargetState &Get(TargetNumber target) const { return this->targets[target.value]; }

	/** @return Number of targets, including removed ones. */
	uint32_t Size() const { return static_cast<uint32_t>(this->targets.size()); }

	/** @return The number of the target \a name, or nothing. */
	std::optional<TargetNumber> Find(std::string_view name) const;

	/** @return The configured targets for \a model. */
	const std::vector<TargetNumber> &ForModel(ModelNumber model) const;

private:
	/** @return Whether this instance gets the larger share of the headroom of \a target until the target's next report. */
	bool HasTurn(const TargetState &target) const;
	/** Rebuild the index of targets by model. */
	void RebuildIndex();
	/** Adapt the reserved growth and the share of \a target to the preemptions in \a report. */
	void UpdateGrowth(TargetState &target, const LoadReport &report);
	/** @return Whether \a target may be ejected: at most half of the targets of a model may be ejected or draining. */
	bool MayEject(const TargetState &target, TimePoint now) const;
	/** Eject \a target for a time that doubles with each consecutive ejection. */
	void Eject(TargetState &target, TimePoint now);
	/** Reinstate the reachable targets for the same models, and eject \a target if there are any. */
	void EjectUnreachable(TargetState &target, TimePoint now);
	/** @return Memory used by and reserved for unknown calls at \a target, in tokens. */
	double OthersCommitted(const TargetState &target, TimePoint now) const;
	/** @return Estimated load of unknown calls at \a target, from its report and from other data halls. */
	static HeldLoad OthersLoadAt(const TargetState &target, TimePoint now);
	/** @return The load of unknown calls according to the report of \a target, without the calls known to have ended since. */
	static HeldLoad UnknownLoadInReport(const TargetState &target);
	/** @return The larger one of \a reported and of what other data halls published for \a target. */
	static HeldLoad WithHallLoads(const TargetState &target, HeldLoad reported, TimePoint now);
	/** @return Memory to count at \a target for unknown calls with the load \a others. */
	double CommittedFor(const TargetState &target, HeldLoad others) const;
	/** @return Memory of \a target that a run which migrates may fill; it is not reduced by what is known to have ended. */
	double MigrationHeadroom(const TargetState &target, const CallSpec &call, TimePoint now) const;
	/** Add \a tokens output tokens to \a flight and to the sums of \a target. */
	void AddTokens(TargetState &target, InFlightCall &flight, TimePoint now, uint32_t tokens);
	/** @return What is learned from the streams of \a model. */
	const StreamOutlook &OutlookOf(ModelNumber model) const;
	/** @return Mean number of prompts per second that are sent to a target for \a model. */
	double MeanPromptRate(ModelNumber model, TimePoint now) const;
	/** @return Probability that \a call has to wait at \a target for memory that calls of other instances take. */
	double MemoryWaitOddsAt(const TargetState &target, const CallSpec &call, TimePoint now) const;
	/** @return Expected number of runs at \a target that miss their gap objective because one more prompt is read there. */
	double PromptHarmAt(const TargetState &target, ModelNumber model, const TimeFactors &factors) const;
	/** Learn from an event with \a tokens tokens of the own run \a flight, before it is counted. */
	void LearnGap(const TargetState &target, InFlightCall &flight, TimePoint now, uint32_t tokens);
	/** Record the end of \a flight, which a report that is under way may still include. */
	void RememberEnded(TargetState &target, const InFlightCall &flight, TimePoint now);
	/** Remove a call in flight. @return Its output tokens. */
	uint32_t RemoveCall(TargetState &target, CallId call, TimePoint now);
	/** Add the prefill of \a flight to the pending ones of \a target. */
	void OnPrefillQueued(TargetState &target, InFlightCall &flight, TimePoint now) const;
	/** Remove the prefill of \a flight from the pending ones of \a target, and learn the prefill rate from it if possible. */
	void OnPrefillDone(TargetState &target, const InFlightCall &flight, TimePoint now);

	/** Adopt the speed that was received for \a target before it was configured. */
	void AdoptUnlistedSpeed(TargetState &target);
	/** Update what depends on the speed of \a target. */
	void OnSpeedChanged(const TargetState &target);
	/** @return The distribution of the base factors of the targets for \a model whose speed is known. */
	const TimeFactors &PoolFactors(ModelNumber model, TimePoint now) const;

	/** Distribution of the base factors of a pool, with the time of its computation. */
	struct PoolFactorsCache {
		TimePoint computed_at;
		TimeFactors factors;
	};

	AdmissionLimits limits;
	LengthEstimate &lengths;                                          ///< Output length estimate.
	std::vector<TargetState> targets;                                 ///< Targets by number.
	std::unordered_map<std::string, TargetNumber> numbers;            ///< Numbers by name.
	std::set<std::string> evacuated_halls;                            ///< Evacuated data halls.
	std::unordered_map<uint32_t, std::vector<TargetNumber>> by_model; ///< Configured targets by model.
	std::map<std::string, TargetSpeed> unlisted_speeds;               ///< Speeds received for targets that are not configured yet.
	std::set<ModelNumber> pools_with_speeds;                          ///< Pools of which a target has stated its speed.
	mutable std::map<ModelNumber, PoolFactorsCache> pool_factors;     ///< Distributions computed lately, by pool.
	std::unordered_map<uint32_t, StreamOutlook> outlooks;             ///< What is learned from streams, by model.
	uint32_t instance_index = 0;                                      ///< Index of this instance among them.
	uint32_t instances = 1;                                           ///< Number of instances that share the targets.
	uint64_t headroom_revision = 0;                                   ///< Changes of headroom so far; see HeadroomRevision().
	AccountUsage usage;                                               ///< KV cache held by client accounts.
	double mean_residual = 128; ///< Smoothed expected remaining output of a call, used for unknown calls.
	double prefill_rate = 7000; ///< Smoothed prefill rate at factor 1, in tokens per second.
};

} // namespace cottonspool
