/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_table.h What one instance knows of its targets: reports, its own calls in flight, health, departures. */

#pragma once

#include "core/name_table.h"
#include "decision/length_estimate.h"
#include "decision/target_restrictions.h"
#include <deque>
#include <map>
#include <set>
#include <unordered_map>

namespace cottonspool {

/** Limits of admission and of the judgement of targets. */
struct AdmissionLimits {
	std::array<double, SERVICE_CLASS_COUNT> fill{0.97, 0.93, 0.75}; ///< Part of a target's memory each class may plan to fill.
	Duration report_stale = std::chrono::seconds(6);                ///< Age at which a report says nothing any more.
	double growth_start = 0.7;                                      ///< Part of the expected growth that is reserved, at first.
	double share_max = 6;                                           ///< Most times its equal share that an instance may take of headroom.
	double growth_min = 0.1;                                        ///< Least part reserved.
	double growth_max = 2.0;                                        ///< Largest part reserved.
	uint32_t eject_connect_failures = 2;           ///< Calls in a row that could not be sent after which a target is ejected.
	uint32_t eject_failures = 3;                   ///< Failures in a row after which a target is ejected.
	Duration eject_base = std::chrono::seconds(1); ///< First ejection; doubles up to eject_max.
	Duration eject_max = std::chrono::seconds(30); ///< Longest ejection.
	double slow_factor = 3.0;                      ///< Token interval against the median from which a target is shown as slow.
	bool use_shares = true;                        ///< Keep to a share of reported headroom.
	bool use_growth_feedback = true;               ///< Adapt the reserved growth to preemptions.
};

/** How a target behaved towards one call. */
enum class SendResult : uint8_t {
	Answered,    ///< It answered.
	Rejected,    ///< It asked for a pause: neither good nor bad.
	Failed,      ///< It answered with a failure, or broke off.
	Unreachable, ///< No connection to it came up.
};

/** One call in flight at a target: of this instance, or of another that told it. */
struct InFlightCall {
	CallSpec call;               ///< The call.
	uint32_t generated = 0;      ///< Tokens seen so far.
	double residual = 0;         ///< Expected tokens still to come, when last computed.
	TimePoint sent;              ///< When it was sent.
	TimePoint last_token;        ///< When the last token came.
	bool prefills_alone = false; ///< No other known prompt was unread when it was sent: its first token tells the rate.
};

/** What calls hold at a target. */
struct HeldLoad {
	double tokens = 0;  ///< Memory, in tokens.
	uint32_t calls = 0; ///< Calls.
};

/** What another data hall told of its calls at a target. */
struct RemoteHallLoad {
	HeldLoad held;   ///< What they hold.
	TimePoint heard; ///< When it was told.
};

/** One target as seen by this instance. */
struct TargetState {
	std::string name;                                 ///< Name in the configuration.
	std::string hall;                                 ///< Data hall it stands in.
	bool engine = true;                               ///< Generates tokens; false for a plain service, whose capacity is counted in calls.
	std::set<ModelNumber> models;                     ///< Models (or the service) it answers for.
	TargetRestrictions restrictions;                  ///< What keeps requests from it.
	LoadReport report;                                ///< Last report.
	TimePoint report_at;                              ///< When the last report came.
	double known_at_report = 0;                       ///< Tokens of known calls that the last report already counts.
	uint32_t known_calls_at_report = 0;               ///< Known calls that the last report already counts.
	double sent_since_report = 0;                     ///< Need of known calls sent since the last report was made.
	double copied_since_report = 0;                   ///< Tokens of copies kept there that no report tells yet.
	double growth = 0.7;                              ///< Part of the expected growth that is reserved.
	double share_factor = 2;                          ///< Times its equal share that this instance may take of reported headroom.
	double known_tokens = 0;                          ///< Tokens held by known calls: own ones and those that peers told.
	double known_residual = 0;                        ///< Expected further tokens of known calls.
	uint32_t pending_prefills = 0;                    ///< Known calls whose prompt is not read yet.
	TimePoint prefill_done_at;                        ///< When all prompts sent so far are expected to be read.
	std::map<std::string, RemoteHallLoad> hall_loads; ///< Calls of other data halls here, as those tell them.
	TimePoint remote_prefill_done_at;                 ///< When all prompts here are expected to be read, as its hall tells.
	bool slow = false;                                ///< Much slower than the median of its like; see UpdateSlowTargets().
	double median_interval = 0;                       ///< Median time between tokens of its like, in seconds; 0 while unknown.
	double interval = 0;                              ///< Smoothed time between tokens, in seconds; 0 while unknown.
	uint32_t failures = 0;                            ///< Failures in a row.
	uint32_t connect_failures = 0;                    ///< Calls in a row that could not be sent to it.
	uint32_t ejections = 0;                           ///< Ejections in a row.
	std::set<uint64_t> reported_prefixes;             ///< Prefixes that the last report said to be cached.
	std::deque<std::pair<uint64_t, TimePoint>> sent_prefixes; ///< Prefixes of own calls sent lately: soon cached, though not yet reported.
	std::unordered_map<CallId, InFlightCall, StrongIdHash> in_flight; ///< Known calls.
};

/** All targets of one instance. */
class TargetTable {
public:
	TargetTable(AdmissionLimits limits, LengthEstimate &lengths) : limits(limits), lengths(lengths) {}

	/** Add a target or change what the configuration says of it. @return Its number. */
	TargetNumber Configure(std::string_view name, std::string_view hall, const std::vector<ModelNumber> &models, bool engine = true);

	/** The configuration no longer names \a target: nothing new goes there, what is in flight finishes. */
	void Forget(TargetNumber target);

	/** Nothing new to \a target. Sticky: only a new incarnation or ClearDraining() ends it. */
	void MarkDraining(TargetNumber target);

	/** The configuration says that \a target may be used again. */
	void ClearDraining(TargetNumber target);

	/** The halls \a halls are emptied, and no others. */
	void SetEvacuatedHalls(const std::set<std::string> &halls);

	/** \a target is cold until \a end at least; meanwhile this instance sends it no more than \a share. */
	void SetCold(TargetNumber target, TimePoint end, RateShare share);

	/** \a target answered a request that was asked at \a asked, and says \a signals of itself. @return Whether its limit has changed. */
	bool OnSignals(TargetNumber target, const TargetSignals &signals, TimePoint asked, TimePoint now);

	/** While \a target names a limit, this instance sends it no more than \a share. */
	void SetLimitShare(TargetNumber target, RateShare share) { this->targets[target.value].restrictions.limit.SetShare(share); }

	/** @return What this instance asks \a owners for of the limit that \a target names; see TargetRateLimit::BuildRequests(). */
	std::vector<LeaseRequest> RequestLeases(TargetNumber target, const std::vector<std::string> &owners, uint32_t demand, TimePoint now)
	{
		return this->targets[target.value].restrictions.limit.BuildRequests(owners, demand, now);
	}

	/** @return What \a borrower gets of this instance's share of the limit that \a target names; see TargetRateLimit::Lend(). */
	uint32_t Lend(TargetNumber target, const std::string &borrower, uint32_t wanted, uint32_t own, TimePoint now)
	{
		return this->targets[target.value].restrictions.limit.Lend(borrower, wanted, own, now);
	}

	/** \a owner has answered ask \a number with \a granted. */
	void OnGranted(TargetNumber target, const std::string &owner, uint64_t number, uint32_t granted)
	{
		this->targets[target.value].restrictions.limit.OnGranted(owner, number, granted);
	}

	/** @return Whether \a target may get \a call at \a now: it is usable, in a hall where the call may run, and bears one more. */
	bool IsEligible(const TargetState &target, const CallSpec &call, TimePoint now) const
	{
		return CheckAdmission(target, call, now).IsFree();
	}

	/** @return What keeps \a call from \a target at \a now, and until when. */
	static AdmissionVerdict CheckAdmission(const TargetState &target, const CallSpec &call, TimePoint now);

	/**
	 * @param counts Set to the number of the model's targets for which each bound holds.
	 * @return When a target may get \a call at the earliest; max() where time alone brings none, \a now where one may get it already.
	 */
	TimePoint FreeAt(const CallSpec &call, TimePoint now, RestrictionCounts *counts) const;

	/** A request of this instance goes to \a target: a new one, a second try, or a run that goes on there. */
	void OnRequestSent(TargetNumber target, TimePoint now);

	/** Take in a load report that arrived at \a now. Older ones than the last are dropped. */
	void OnReport(TargetNumber target, const LoadReport &report, TimePoint now);

	/** A service that never reports is usable with \a slots calls at once. */
	void SetServiceCapacity(TargetNumber target, uint64_t slots);

	/** This instance sends \a call to \a target. */
	void OnSent(TargetNumber target, const CallSpec &call, TimePoint now);

	/**
	 * A call of a peer, or a copy of a run, is at \a target from now on.
	 * @param generated Tokens that it has made elsewhere: its prompt needn't be read then.
	 */
	void OnPeerCallSent(TargetNumber target, const CallSpec &call, TimePoint now, uint32_t generated = 0);

	/** \a tokens of \a call came at once. */
	void OnToken(TargetNumber target, CallId call, TimePoint now, uint32_t tokens = 1);

	/** The run of \a call goes on at \a to instead of \a from. */
	void OnMigrated(TargetNumber from, TargetNumber to, CallId call, TimePoint now);

	/** \a call has ended at \a target, which behaved as \a result tells. @return Tokens generated. */
	uint32_t OnEnded(TargetNumber target, CallId call, SendResult result, TimePoint now);

	/** \a tokens of a call that a peer told came at \a target; their times say nothing of its speed. */
	void OnPeerCallToken(TargetNumber target, CallId call, TimePoint now, uint32_t tokens);

	/** The instances of \a hall hold \a held at targets, and nothing at others. */
	void OnHallLoad(const std::string &hall, const std::map<TargetNumber, HeldLoad> &held, TimePoint now);

	/** Its hall tells that \a target has read all prompts there at \a read_at. */
	void SetRemotePrefillDone(TargetNumber target, TimePoint read_at) { this->targets[target.value].remote_prefill_done_at = read_at; }

	/** @return What all calls hold at \a target, as far as can be told here. */
	HeldLoad TotalLoadAt(const TargetState &target, TimePoint now) const;

	/** @return What calls of this instance and its peers hold at \a target. */
	static HeldLoad KnownLoadAt(const TargetState &target);

	/** A call that a peer told has ended at \a target; how it ended says nothing of its health. */
	void OnPeerCallEnded(TargetNumber target, CallId call, TimePoint now);

	/** @return Memory, in tokens, that this instance may still plan to fill at \a target with calls like \a call. */
	double Allowance(const TargetState &target, const CallSpec &call, TimePoint now) const;

	/** @return Memory, in tokens, that \a call is planned to need at \a target. */
	double Need(const TargetState &target, const CallSpec &call) const;

	/** @return Whether \a prefix is believed to be cached at \a target. */
	static bool HasPrefix(const TargetState &target, uint64_t prefix);

	/** @return Expected time until \a target has read the prompts of known calls that are there. */
	static Duration PrefillWait(const TargetState &target, TimePoint now);

	/** @return Expected time until \a call, sent to \a target now, has its first token: prompts are read one after another. */
	Duration FirstTokenWait(const TargetState &target, const CallSpec &call, TimePoint now) const;

	/** @return Expected output tokens of \a call from its start. */
	double ExpectedOutput(const CallSpec &call) const { return call.generated ? this->lengths.Residual(call, 0) : 0; }

	/** A copy of a run, expected to grow to \a tokens, is kept at \a target from now on; its reports tell it from then on. */
	void OnBackup(TargetNumber target, double tokens) { this->targets[target.value].copied_since_report += tokens; }

	/** @return Prompt tokens that an engine reads in a second, as learned. */
	double PrefillRate() const { return this->prefill_rate; }

	/** @return The part of the target's memory that is planned to be filled, 0 to above 1. */
	double Pressure(const TargetState &target, TimePoint now) const;

	/** Find anew which targets are much slower than the median of their like; to be called about once a second. */
	void UpdateSlowTargets();

	/** This instance is number \a instance_index of \a count instances that share the targets. */
	void SetInstances(uint32_t instance_index, uint32_t count);

	/** @return The state of \a target. */
	const TargetState &Get(TargetNumber target) const { return this->targets[target.value]; }

	/** @return Number of targets ever known. */
	uint32_t Size() const { return static_cast<uint32_t>(this->targets.size()); }

	/** @return The number of the target \a name, or nothing. */
	std::optional<TargetNumber> Find(std::string_view name) const;

	/** @return Targets that the configuration names for \a model. */
	const std::vector<TargetNumber> &ForModel(ModelNumber model) const;

private:
	/** @return Whether it is this instance's turn at \a target; turns go round with its reports. */
	bool HasTurn(const TargetState &target) const;
	void RebuildIndex();
	void UpdateGrowth(TargetState &target, const LoadReport &report);
	/** @return Whether \a target may be ejected: never more than half of the targets of a model are. */
	bool MayEject(const TargetState &target, TimePoint now) const;
	void Eject(TargetState &target, TimePoint now);
	void EjectUnreachable(TargetState &target, TimePoint now);
	double OthersCommitted(const TargetState &target, TimePoint now) const;
	/** @return What calls of others hold at \a target: as its report tells, or other halls. */
	static HeldLoad OthersLoadAt(const TargetState &target, TimePoint now);
	void AddTokens(TargetState &target, InFlightCall &flight, TimePoint now, uint32_t tokens);
	uint32_t RemoveCall(TargetState &target, CallId call, TimePoint now);
	void OnPrefillQueued(TargetState &target, InFlightCall &flight, TimePoint now) const;
	void OnPrefillDone(TargetState &target, const InFlightCall &flight, TimePoint now);

	AdmissionLimits limits;                                           ///< Limits.
	LengthEstimate &lengths;                                          ///< Expected lengths.
	std::vector<TargetState> targets;                                 ///< Targets by number.
	std::unordered_map<std::string, TargetNumber> numbers;            ///< Numbers by name.
	std::set<std::string> evacuated_halls;                            ///< Halls that are emptied.
	std::unordered_map<uint32_t, std::vector<TargetNumber>> by_model; ///< Targets of each model.
	uint32_t instance_index = 0;                                      ///< Rank of this instance.
	uint32_t instances = 1;                                           ///< Instances that share the targets.
	double mean_residual = 128;                                       ///< Smoothed residual of known calls, for the calls of others.
	double prefill_rate = 7000;                                       ///< Prompt tokens read in a second, between the tokens of others.
};

} // namespace cottonspool
