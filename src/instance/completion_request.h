/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_request.h A caller's completion request in the OpenAI form, checked, and its form for engines. */

#pragma once

#include "http/http_type.h"
#include "instance/call_base.h"

namespace cottonspool {

/** A checked completion request. */
struct CompletionRequest {
	bool chat = false;          ///< Chat form.
	bool stream = false;        ///< The caller wants a stream.
	std::string model;          ///< Model.
	uint32_t max_tokens = 0;    ///< Most output tokens; 0 means not limited.
	uint32_t prompt_tokens = 1; ///< Estimated length of the prompt, in tokens.
	uint64_t prefix = 0;        ///< Hash of the prompt's beginning.
	std::string engine_body;    ///< Body for the engine, without the priority: "{…" up to before the last brace.
};

/** Read and check \a request. */
outcome::basic_result<CompletionRequest, CallFailure, outcome::policy::terminate> ParseCompletion(const HttpRequest &request);

/** @return \a request's body for an engine, with \a priority. */
std::string FormatEngineBody(const CompletionRequest &request, int priority);

/** Pieces of a stream's event that matter for a whole answer. */
struct CompletionChunk {
	std::string text;          ///< Text of the token.
	std::string finish_reason; ///< Why it ended; empty while it goes on.
};

/** Read the data of one event of an engine's stream. @return Nothing when it is none. */
std::optional<CompletionChunk> ParseCompletionChunk(const std::string &data);

/** @return A whole answer in the OpenAI form. */
std::string FormatCompletionAnswer(const CompletionRequest &request, const std::string &id, const std::string &text,
                                   const std::string &finish_reason, uint64_t tokens);

/** @return The body of an answer for \a failure. */
std::string FormatFailureBody(const CallFailure &failure, const std::string &request_name);

/** @return The last event of a stream that ended early. */
std::string FormatFailureEvent(const CallFailure &failure, const std::string &request_name);

} // namespace cottonspool
