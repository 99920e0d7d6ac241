/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_type.h Types for calls, decisions about them, and load reports of targets. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/lateness.h"
#include "decision/request_features.h"
#include "decision/restriction_type.h"
#include <array>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** Service class of a call; smaller values are dispatched first and preempted last. */
enum class ServiceClass : uint8_t { Interactive, Stream, Background };
constexpr size_t SERVICE_CLASS_COUNT = 3;

/** @return The name of \a service_class as written in settings and metrics. */
const char *ServiceClassName(ServiceClass service_class);

/** @return The class named \a name, or nothing if there is none. */
std::optional<ServiceClass> ParseServiceClass(std::string_view name);

/** Whether a request was executed, as reported to its caller. */
enum class ExecutionState : uint8_t { No, Yes, Unknown };

/** @return The name of \a ran as written in answers. */
const char *ExecutionStateName(ExecutionState ran);

/** A data hall in which a call may run, from traffic shares or a policy. */
struct HallPreference {
	std::string hall;  ///< Name of the data hall.
	double weight = 1; ///< Share of traffic; a hall with weight 0 gets no new calls.
};

/** One call as the decision core sees it. */
struct CallSpec {
	CallId id;                                              ///< Number on this instance.
	AccountNumber account;                                  ///< Client account to which it is charged.
	ModelNumber model;                                      ///< Requested model or service.
	ServiceClass service_class = ServiceClass::Interactive; ///< Service class.
	int priority = 0;                                       ///< Priority within the class; larger goes first.
	uint32_t prompt_tokens = 1;                             ///< Length of the prompt, in tokens.
	uint32_t max_tokens = 0;                                ///< Maximum number of output tokens; 0 if the caller sets no limit.
	uint64_t prefix = 0;                                    ///< Hash of the prompt's prefix; 0 for none.
	bool repeatable = true;                                 ///< Whether it may be executed again after an attempt with an unknown outcome.
	double account_weight = 1;                              ///< Weight of its account in fair queueing.
	TimePoint arrived;                                      ///< Time of arrival.
	TimePoint deadline;                                     ///< Time at which it is rejected if it still waits.
	std::vector<HallPreference> halls;                      ///< Data halls in order of preference; empty for any.
	int route_priority = 0;                                 ///< Priority of its route; 0 is the most urgent.
	double urgent_room = 0;                                 ///< Memory of its target, in tokens, that it leaves free for more urgent calls.
	bool generated = true;                                  ///< Whether it is a generation of a model; false for a service call.
	bool sent_elsewhere = false;                            ///< The instance that passed it on has sent it to a target before.
	TimePoint response_deadline = TimePoint::max();         ///< Latest time for its complete answer.
	Duration objective{0};                                  ///< Latency objective for its answer or first event; zero for none.
	Duration gap_objective{0};                              ///< Objective for the time between events of its stream; zero for none.
	double other_hall_penalty = 0.10;             ///< Pressure advantage that a hall needs to be chosen over the one preferred before it.
	uint32_t max_attempts = 0;                    ///< Maximum number of attempts; 0 for the dispatcher's default.
	TimePoint overcommit_from = TimePoint::max(); ///< From then on it may overcommit a target that has no headroom, up to a limit.
	std::vector<TargetNumber> avoid;              ///< Targets that get it only if no other may.
	bool exclude_avoided = false;                 ///< Targets in \c avoid never get it.
	bool exclude_cold = false;                    ///< Cold targets never get it.
	double memory_margin = 0;                ///< Fraction of an engine's memory that it has to leave free; if any, it never overcommits.
	std::optional<uint32_t> migrated_output; ///< Output tokens so far of a run that migrates; nothing for other calls.
	RequestFeatures features;                ///< What it may have in common with requests that crash targets.
};

/** Why a call was rejected. */
enum class RejectReason : uint8_t {
	DeadlinePassed,
	WaitTooLong,
	QueueFull,
	NoTarget,
	RetryBudget,
	Quarantined,
	AllRestricted,
	AccountShare
};
constexpr size_t REJECT_REASON_COUNT = 8;

/** @return The name of \a reason as written in answers and metrics. */
const char *RejectReasonName(RejectReason reason);

/** Decision to send a call to a target. */
struct SendAction {
	CallId call;
	TargetNumber target;
	int priority;                                            ///< Priority to pass to the engine; larger goes first.
	std::optional<ExpectedLateness> lateness = std::nullopt; ///< Expected lateness, if the placement uses it.
};

/** Decision to reject a call. */
struct RejectAction {
	CallId call;
	RejectReason reason;
	Duration retry_after;             ///< Retry-After for the caller.
	RestrictionCounts restrictions{}; ///< Number of targets under each restriction; set for RejectReason::AllRestricted.
};

/** Decisions that follow from one event, in order of execution. */
struct Decisions {
	std::vector<SendAction> sends;        ///< Calls to send.
	std::vector<RejectAction> rejections; ///< Calls to reject.
};

/** Load report of a target. */
struct LoadReport {
	uint64_t sequence = 0;          ///< Sequence number, counted by the target.
	uint64_t capacity_tokens = 0;   ///< KV cache capacity, in tokens, or slots of a service.
	uint64_t used_tokens = 0;       ///< KV cache in use, in tokens.
	uint32_t running = 0;           ///< Running calls.
	uint32_t waiting = 0;           ///< Accepted calls that do not run yet.
	uint64_t waiting_tokens = 0;    ///< Prompt tokens of the waiting calls.
	uint64_t preemptions = 0;       ///< Preemptions since the start of the target.
	Duration age{0};                ///< Age of the report at its receipt.
	bool draining = false;          ///< Whether the target is draining.
	std::string incarnation;        ///< Identifies the run of the target's process; changes with each restart.
	std::vector<uint64_t> prefixes; ///< Hashes of cached prompt prefixes; may be outdated or incomplete.

	std::optional<Duration> shutdown_in; ///< Time from the report until the target shuts down, if announced.
};

} // namespace cottonspool
