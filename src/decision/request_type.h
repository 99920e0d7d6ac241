/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request_type.h What the decision core knows of one call, and what it decides about it. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include "decision/request_fingerprint.h"
#include "decision/restriction_type.h"
#include <array>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** Service class of a call; a smaller value goes first and is preempted last. */
enum class ServiceClass : uint8_t { Interactive, Stream, Background };
constexpr size_t SERVICE_CLASS_COUNT = 3;

/** @return The name of \a service_class as written in settings and metrics. */
const char *ServiceClassName(ServiceClass service_class);

/** @return The class named \a name, or nothing when there is none. */
std::optional<ServiceClass> ParseServiceClass(std::string_view name);

/** Whether a request was run, as told to its caller. */
enum class ExecutionState : uint8_t { No, Yes, Unknown };

/** @return "no", "yes" or "unknown". */
const char *ExecutionStateName(ExecutionState ran);

/** Preference for a data hall, from traffic shares or a policy. */
struct HallPreference {
	std::string hall;  ///< Name of the data hall.
	double weight = 1; ///< Share of traffic; a hall with weight 0 gets nothing new.
};

/** One call as the decision core sees it. */
struct CallSpec {
	CallId id;                                              ///< Number at this instance.
	AccountNumber account;                                  ///< Client account that pays for it.
	ModelNumber model;                                      ///< Model, or service, that is to answer.
	ServiceClass service_class = ServiceClass::Interactive; ///< Class, for order and headroom.
	int priority = 0;                                       ///< Order inside the class; larger goes first.
	uint32_t prompt_tokens = 1;                             ///< Length of the prompt, in tokens.
	uint32_t max_tokens = 0;                                ///< Most output tokens; 0 means not limited by the caller.
	uint64_t prefix = 0;                                    ///< Hash of the prompt's beginning; 0 means none.
	bool repeatable = true;                                 ///< May be run again after a doubtful try.
	double account_weight = 1;                              ///< Fair share of its account.
	TimePoint arrived;                                      ///< When the call arrived.
	TimePoint deadline;                                     ///< When it is given up if it has not been sent.
	std::vector<HallPreference> halls;                      ///< Halls in order of preference; empty means any.
	bool generated = true;                                  ///< A model generation; false for a plain service call.
	TimePoint response_deadline = TimePoint::max();         ///< When its final answer is due at the latest.
	Duration objective{0};                                  ///< Latency within which its (first) answer is in time; zero if there is none.
	double other_hall_penalty = 0.10;                       ///< Pressure that the next preferred hall has to be better by.
	uint32_t max_attempts = 0;                              ///< Most targets it may be sent to; 0 means the dispatcher's own bound.
	TimePoint overcommit_from = TimePoint::max();           ///< From then on it goes to a target without room, up to a bound.
	std::vector<TargetNumber> avoid;                        ///< Targets that get it only if there is no other.
	bool exclude_avoided = false;                           ///< They don't get it at all.
	bool exclude_cold = false;                              ///< Targets that are cold don't get it at all.
	RequestFingerprint fingerprint;                         ///< Its fingerprint; zero for none.
};

/** Why a call was given up before it was sent. */
enum class RejectReason : uint8_t { DeadlinePassed, WaitTooLong, QueueFull, NoTarget, RetryBudget, Quarantined, AllRestricted };
constexpr size_t REJECT_REASON_COUNT = 7;

/** @return The name of \a reason as written in answers and metrics. */
const char *RejectReasonName(RejectReason reason);

/** Tells the shell to send a call to a target. */
struct SendAction {
	CallId call;         ///< Call to send.
	TargetNumber target; ///< Target that gets it.
	int priority;        ///< Priority passed to the engine; larger goes first.
};

/** Tells the shell to answer a call that will not be sent any more: it was not run. */
struct RejectAction {
	CallId call;                      ///< Call to answer.
	RejectReason reason;              ///< Why.
	Duration retry_after;             ///< When coming back helps.
	RestrictionCounts restrictions{}; ///< For how many targets each bound held, if it is given up since all were bound.
};

/** Decisions that follow from one event, in the order to carry them out. */
struct Decisions {
	std::vector<SendAction> sends;        ///< Calls to send.
	std::vector<RejectAction> rejections; ///< Calls to refuse.
};

/** A target's own report of its load, as received. */
struct LoadReport {
	uint64_t sequence = 0;          ///< Number of the report, counted by the target.
	uint64_t capacity_tokens = 0;   ///< Memory for tokens in all (or slots of a service).
	uint64_t used_tokens = 0;       ///< Memory in use.
	uint32_t running = 0;           ///< Calls being decoded.
	uint32_t waiting = 0;           ///< Calls accepted but not yet decoded.
	uint64_t waiting_tokens = 0;    ///< Prompt tokens of the waiting calls.
	uint64_t preemptions = 0;       ///< Preemptions since the target's start.
	Duration age{0};                ///< Age of the report when it was received.
	bool draining = false;          ///< The target's own notice that it leaves.
	std::string incarnation;        ///< Changes whenever the target starts anew.
	std::vector<uint64_t> prefixes; ///< Prefixes said to be cached; late and with gaps.
};

} // namespace cottonspool
