/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_request.cpp Parsing of completion requests and formatting of answers. */

#include "instance/completion_request.h"
#include "configuration/json_text.h"
#include "core/hash_func.h"
#include <cmath>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr size_t PREFIX_CHARACTERS = 256;      ///< Length of the beginning of the prompt that is hashed to find cached prefixes.
static constexpr size_t CHARACTERS_PER_TOKEN = 4;     ///< Average, to estimate the prompt's length.
static constexpr uint32_t MAX_TOKENS_LIMIT = 1000000; ///< Largest allowed value of max_tokens.

/** @return The error answer for an invalid \a field. */
static CallFailure InvalidField(const std::string &field, const std::string &what)
{
	return CallFailure{400, "bad-" + field, field + ": " + what, ExecutionState::No, std::nullopt};
}

/** Parse "prompt", or "messages" of a chat request. */
static std::optional<CallFailure> ReadPrompt(const Json &body, CompletionRequest *request)
{
	std::string prompt;
	if (request->chat) {
		if (!body.contains("messages") || !body["messages"].is_array() || body["messages"].empty()) {
			return InvalidField("messages", "must be an array with at least one message");
		}
		for (const Json &message : body["messages"]) {
			if (!message.is_object() || !message.contains("role") || !message["role"].is_string()) {
				return InvalidField("messages", "each must be an object with a role");
			}
		}
		prompt = ToJsonText(body["messages"]);
	} else {
		if (!body.contains("prompt") || !body["prompt"].is_string()) return InvalidField("prompt", "must be a string");
		prompt = body["prompt"].get<std::string>();
	}
	request->prompt_tokens = static_cast<uint32_t>(std::max<size_t>(1, prompt.size() / CHARACTERS_PER_TOKEN));
	request->prefix = HashText(std::string_view(prompt).substr(0, PREFIX_CHARACTERS));
	return std::nullopt;
}

/** Parse "max_tokens" or "max_completion_tokens". */
static std::optional<CallFailure> ReadMaxTokens(const Json &body, CompletionRequest *request)
{
	for (const char *key : {"max_tokens", "max_completion_tokens"}) {
		if (!body.contains(key) || body[key].is_null()) continue;
		bool fits = body[key].is_number_unsigned() && body[key].get<uint64_t>() >= 1 && body[key].get<uint64_t>() <= MAX_TOKENS_LIMIT;
		if (!fits) return InvalidField(key, "must be an integer from 1 to " + std::to_string(MAX_TOKENS_LIMIT));
		request->max_tokens = body[key].get<uint32_t>();
	}
	return std::nullopt;
}

outcome::basic_result<CompletionRequest, CallFailure, outcome::policy::terminate> ParseCompletion(const HttpRequest &request)
{
	CompletionRequest parsed;
	parsed.chat = request.path == "/v1/chat/completions";
	Json body = Json::parse(request.body, nullptr, false);
	if (body.is_discarded()) return InvalidField("body", "is not JSON");
	if (!body.is_object()) return InvalidField("body", "must be a JSON object");
	if (!body.contains("model") || !body["model"].is_string()) return InvalidField("model", "must be a string");
	parsed.model = body["model"].get<std::string>();
	if (body.contains("stream") && !body["stream"].is_boolean()) return InvalidField("stream", "must be true or false");
	parsed.stream = body.value("stream", false);
	if (body.contains("n") && body["n"] != 1) return InvalidField("n", "must be 1; several generations per request are not supported");
	if (auto failure = ReadMaxTokens(body, &parsed)) return *failure;
	if (auto failure = ReadPrompt(body, &parsed)) return *failure;
	body["stream"] = true;
	body.erase("priority");
	parsed.engine_body = body.dump(-1, ' ', false, Json::error_handler_t::replace);
	parsed.engine_body.pop_back();
	return parsed;
}

std::string FormatEngineBody(const CompletionRequest &request, int priority)
{
	return request.engine_body + ",\"priority\":" + std::to_string(priority) + "}";
}

std::optional<CompletionChunk> ParseCompletionChunk(const std::string &data)
{
	Json chunk = Json::parse(data, nullptr, false);
	if (!chunk.is_object() || !chunk.contains("choices") || !chunk["choices"].is_array() || chunk["choices"].empty()) return std::nullopt;
	const Json &choice = chunk["choices"][0];
	if (!choice.is_object()) return std::nullopt;
	CompletionChunk result;
	if (choice.contains("text") && choice["text"].is_string()) result.text = choice["text"].get<std::string>();
	if (choice.contains("delta") && choice["delta"].is_object()) {
		const Json &delta = choice["delta"];
		if (delta.contains("content") && delta["content"].is_string()) result.text = delta["content"].get<std::string>();
	}
	if (choice.contains("finish_reason") && choice["finish_reason"].is_string())
		result.finish_reason = choice["finish_reason"].get<std::string>();
	return result;
}

std::string FormatCompletionAnswer(const CompletionRequest &request, const std::string &id, const std::string &text,
                                   const std::string &finish_reason, uint64_t tokens)
{
	Json choice{{"index", 0}, {"finish_reason", finish_reason}};
	if (request.chat) choice["message"] = {{"role", "assistant"}, {"content", text}};
	if (!request.chat) choice["text"] = text;
	Json answer{
	        {"id", id},
	        {"object", request.chat ? "chat.completion" : "text_completion"},
	        {"model", request.model},
	        {"choices", Json::array({choice})},
	        {"usage",
	         {{"prompt_tokens", request.prompt_tokens}, {"completion_tokens", tokens}, {"total_tokens", request.prompt_tokens + tokens}}},
	        {"cottonspool", {{"ran", "yes"}, {"complete", true}}}};
	return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/** @return \a failure as a JSON object. */
static Json FailureObject(const CallFailure &failure, const std::string &request_name)
{
	Json object{{"error", {{"type", failure.reason}, {"message", failure.message}}},
	            {"cottonspool", {{"ran", ExecutionStateName(failure.ran)}, {"complete", false}, {"request", request_name}}}};
	if (failure.retry_after) object["cottonspool"]["retry_after_seconds"] = std::ceil(Seconds(*failure.retry_after) * 1000) / 1000;
	return object;
}

std::string FormatFailureBody(const CallFailure &failure, const std::string &request_name)
{
	return FailureObject(failure, request_name).dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string FormatFailureEvent(const CallFailure &failure, const std::string &request_name)
{
	return "event: error\ndata: " + FormatFailureBody(failure, request_name) + "\n\n";
}

} // namespace cottonspool
