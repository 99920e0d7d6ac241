/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_request.h Parsing of completion requests in the OpenAI format, and formatting of answers and engine requests. */

#pragma once

#include "http/http_type.h"
#include "instance/call_base.h"

namespace cottonspool {

/** A validated completion request. */
struct CompletionRequest {
	bool chat = false;          ///< Request of the chat API.
	bool stream = false;        ///< The answer is to be streamed.
	std::string model;          ///< Model name.
	uint32_t max_tokens = 0;    ///< Limit on output tokens; 0 for none.
	uint32_t prompt_tokens = 1; ///< Estimated length of the prompt, in tokens.
	uint64_t prefix = 0;        ///< Hash of the beginning of the prompt, for routing by cached prefix.
	std::string engine_body;    ///< JSON body for the engine without its closing brace, as the priority is appended later.
};

/** Parse and validate \a request. */
outcome::basic_result<CompletionRequest, CallFailure, outcome::policy::terminate> ParseCompletion(const HttpRequest &request);

/** @return The JSON body sent to an engine, with \a priority. */
std::string FormatEngineBody(const CompletionRequest &request, int priority);

/** Parts of one stream event that the final answer needs. */
struct CompletionChunk {
	std::string text;          ///< Generated text.
	std::string finish_reason; ///< Finish reason; empty before the last event.
};

/** Parse the data of one event of an engine's stream. @return Nothing if it is no completion chunk. */
std::optional<CompletionChunk> ParseCompletionChunk(const std::string &data);

/** @return A complete answer in the OpenAI format. */
std::string FormatCompletionAnswer(const CompletionRequest &request, const std::string &id, const std::string &text,
                                   const std::string &finish_reason, uint64_t tokens);

/** @return The JSON body of an error answer. */
std::string FormatFailureBody(const CallFailure &failure, const std::string &request_name);

/** @return The event that ends an incomplete stream. */
std::string FormatFailureEvent(const CallFailure &failure, const std::string &request_name);

} // namespace cottonspool
