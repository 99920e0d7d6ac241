/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_request.h Header fields of requests and answers on the platform, decoded and encoded. */

#pragma once

#include "core/error_type.h"
#include "decision/target_signals.h"
#include "net/http_message.h"

namespace cottonspool {

/** What a caller's header fields say. */
struct RequestInfo {
	std::string attempt;              ///< Id of this try, spelt as the caller spelt it.
	std::optional<Duration> deadline; ///< How long the caller waits, from when it sent the request.
	std::string key;                  ///< Client account's key; empty if there is none.
	std::string model;                ///< Model asked for; empty for plain requests.
	uint32_t prompt_tokens = 0;       ///< Length of the prompt.
	uint32_t max_output_tokens = 0;   ///< Most output tokens.
	uint32_t hinted_tokens = 0;       ///< Caller's estimate of the output; 0 if there is none.
	std::string shared_prefix;        ///< Id of the prompt's last shared part; empty if there is none.
};

/** Decode the fields of a request. Fields that cannot be read count as absent. */
RequestInfo ReadRequest(const HttpHead &head);

/** Where a run goes on from. */
struct ResumePoint {
	std::string source;      ///< IP:PORT that the copy's name belongs to.
	std::string handle;      ///< Name of the copy.
	uint64_t last_event = 0; ///< Last event that was passed on.
};

/** What an instance tells a target beyond the caller's own fields. */
struct SendInfo {
	Duration remaining{0};             ///< Time left.
	std::string target;                ///< Name of the only target that may run it.
	std::string account;               ///< Client account; empty for none.
	std::optional<int> urgency;        ///< 0 goes first, 9 last; engines only.
	std::optional<ResumePoint> resume; ///< Goes on with a run that was moved.
	std::string backup_address;        ///< Engine that keeps a copy of the run; empty for none.
};

/** @return Fields for a target: the caller's without those of one connection or of the instance's own, and the instance's. */
HttpHeaders HeadersForTarget(const HttpHeaders &received, const SendInfo &info);

/** Load that a target tells with an answer. */
struct TargetLoad {
	uint32_t running = 0; ///< Requests at work.
	uint32_t waiting = 0; ///< Requests waiting.
	uint32_t slots = 0;   ///< Requests it works on at once.
};

/** What an answer's header fields say. */
struct AnswerInfo {
	std::string attempt;            ///< Id of the try that it answers; empty if it names none.
	bool not_executed = false;      ///< The target says that the request has not run.
	bool stamped = false;           ///< It carries the target's stamp.
	std::optional<TargetLoad> load; ///< Load of the target.
	TargetSignals signals;          ///< What the target says of itself.
};

/** Decode the fields of an answer. */
AnswerInfo ReadAnswer(const HttpHead &head);

/** @return Fields of a target's answer for the caller. */
HttpHeaders HeadersForCaller(const HttpHeaders &received);

/** @return Fields of an answer of the instance's own; \a retry_after tells when to come back. */
HttpHeaders OwnAnswerHeaders(const std::string &attempt, std::optional<Duration> retry_after);

/** @return Whether \a path of a request is the one on which the platform asks for readiness. */
bool IsReadinessPath(std::string_view path);

} // namespace cottonspool
