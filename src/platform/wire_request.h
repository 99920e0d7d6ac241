/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_request.h Decodes and encodes the platform's header fields of requests and answers. */

#pragma once

#include "core/error_type.h"
#include "decision/target_signals.h"
#include "net/http_message.h"
#include <vector>

namespace cottonspool {

/** Contents of a request's header fields. */
struct RequestInfo {
	std::string attempt;              ///< Id of this attempt, as received.
	std::optional<Duration> deadline; ///< Time that the caller waits from sending the request.
	std::string key;                  ///< API key of the client account; empty if there is none.
	std::string model;                ///< Requested model; empty for requests to services.
	uint32_t prompt_tokens = 0;       ///< Length of the prompt, in tokens.
	uint32_t max_output_tokens = 0;   ///< Limit on output tokens.
	uint32_t hinted_tokens = 0;       ///< Caller's estimate of the output tokens; 0 if there is none.
	/** Ids of the parts of the prompt that other requests may share, in their order: all but the last one. */
	std::vector<std::string> prompt_parts;
	bool parts_malformed = false; ///< Whether the list of parts has an invalid or overlong entry, or too many; these are left out.
};

/** Most parts of a prompt that are read; further ones are ignored. */
constexpr size_t MAX_PROMPT_PARTS = 15;

/** Decode the header fields of a request; invalid ones count as absent. */
RequestInfo ReadRequest(const HttpHead &head);

/** Copy of a run's KV cache from which it is resumed. */
struct ResumePoint {
	std::string source;      ///< IP:PORT of the engine that issued the handle.
	std::string handle;      ///< Handle of the copy.
	uint64_t last_event = 0; ///< Number of the last event that was delivered.
};

/** Contents of the header fields that an instance adds to a request for a target. */
struct SendInfo {
	Duration remaining{0};             ///< Time until the deadline.
	std::string target;                ///< Name of the target; any other one has to reject the request.
	std::string account;               ///< Client account; empty if there is none.
	std::optional<int> urgency;        ///< Scheduling priority from 0 (first) to 9 (last); engines only.
	std::optional<ResumePoint> resume; ///< Set to resume a migrated run.
	std::string backup_address;        ///< Address of the engine that keeps a backup of the run; empty for none.
};

/** @return Header fields of the request to a target: those received, without hop-by-hop fields, and those in \a info. */
HttpHeaders HeadersForTarget(const HttpHeaders &received, const SendInfo &info);

/** @return Header fields of a request that is passed to another instance: those received, and the time that remains. */
HttpHeaders HeadersForInstance(const HttpHeaders &received, Duration remaining);

/** Load that a target reports with an answer. */
struct TargetLoad {
	uint32_t running = 0; ///< Requests being processed.
	uint32_t waiting = 0; ///< Requests in the queue.
	uint32_t slots = 0;   ///< Limit on requests processed concurrently.
};

/** Contents of an answer's header fields. */
struct AnswerInfo {
	std::string attempt;            ///< Id of the attempt that it answers; empty if there is none.
	bool not_executed = false;      ///< The request was certainly not executed.
	bool stamped = false;           ///< The target's stamp is present.
	std::optional<TargetLoad> load; ///< Load of the target, if reported.
	TargetSignals signals;          ///< Other signals of the target.
	bool own_signals = true;        ///< Whether the answer is the target's own, so that signals that are missing have ended.
	/** Time that work takes at the target at present, relative to the usual time; nothing if it is not stated. */
	std::optional<double> time_factor;
};

/** Decode the header fields of an answer. */
AnswerInfo ReadAnswer(const HttpHead &head);

/** @return The time factor in the load field of an answer, which may come from any target; nothing if there is no valid one. */
std::optional<double> ReadTimeFactor(const HttpHead &head);

/** @return Header fields of a target's answer to pass on to the caller. */
HttpHeaders HeadersForCaller(const HttpHeaders &received);

/** @return Header fields of an answer that the instance generates itself. */
HttpHeaders OwnAnswerHeaders(const std::string &attempt, std::optional<Duration> retry_after);

/** @return Whether \a path is the platform's readiness check. */
bool IsReadinessPath(std::string_view path);

} // namespace cottonspool
