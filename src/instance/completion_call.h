/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_call.h A completion request, from sending it to an engine to the streamed or complete answer. */

#pragma once

#include "generation/ledger.h"
#include "generation/sse_parser.h"
#include "http/http_client.h"
#include "instance/completion_request.h"

namespace cottonspool {

/** A completion request. A lost stream is resumed at the engine; a lost generation is sent again where that is safe. */
class CompletionCall : public Call {
public:
	CompletionCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
	               std::string account_name, CompletionRequest request);

	void OnSend(const SendAction &action) override;
	void OnTick(TimePoint now) override;

protected:
	void OnCallerDisconnected() override;

private:
	/** Start \a call to the engine, either with the request or to resume the stream. */
	void OpenStream(HttpCall call);
	void OnHead(int status, const HttpHeaders &headers);
	void OnData(std::string_view data);
	void OnEnd(const HttpCallResult &end);
	void OnEvent(const SseEvent &event);
	/** Forward a token to the caller, or collect it for an answer without streaming. */
	void DeliverToken(const SseEvent &event);
	/** Update latency metrics for a received token. */
	void MeasureToken(TimePoint now);
	/** The last token was delivered: finish the answer. */
	void Complete();
	/** The connection to the engine failed: resume the stream, or fail the send if nothing was sent. */
	void OnStreamLost(const std::string &why, bool certainly_not_sent);
	/** Plan the next attempt to resume, or cancel the generation after the time limit. */
	void ScheduleResume(TimePoint now);
	void Resume();
	/** Cancel a generation that cannot be resumed; the answer may tell that it never began. */
	void CancelLostGeneration(const std::string &why);
	void OnCancelAnswer(const std::string &why, const HttpCallResult &end, const std::string &body);
	/** End a send without a complete answer: send again where that is safe, otherwise end with an error. */
	void OnGenerationLost(const std::string &why, bool certainly_not_run);
	/** Cancel the generation without waiting for the result. */
	void CancelAtEngine();
	/** Stop reading from the engine until the caller has read the backlog. */
	void PauseOnBacklog();
	std::string EngineUrl(const std::string &path) const;

	CompletionRequest request;       ///< The parsed request.
	GenerationLedger ledger;         ///< Detects duplicate, missing and foreign tokens.
	SseParser parser;                ///< Parser of the engine's event stream.
	std::string engine;              ///< Address of the engine.
	std::string engine_name;         ///< Name of the engine.
	std::string engine_incarnation;  ///< Incarnation of the engine when the request was sent.
	uint64_t http_call = 0;          ///< Current HTTP call to the engine; 0 for none.
	int answer_status = 0;           ///< HTTP status of that call; 0 before it is known.
	bool carries_request = true;     ///< That call carries the request itself; false when it resumes a stream.
	bool accepted_by_engine = false; ///< The engine answered 200.
	bool finished = false;           ///< The last token was received.
	bool paused = false;             ///< Reading from the engine is paused, as the caller reads too slowly.
	uint32_t attempts = 0;           ///< Sends so far.
	uint32_t resumes = 0;            ///< Attempts to resume since the last token.
	TimePoint resume_at;             ///< Time of the next attempt to resume; the epoch for none.
	TimePoint stream_lost_since;     ///< When the stream was lost; the epoch after a token.
	std::string text;                ///< Generated text so far, for callers without streaming.
	std::string finish_reason;       ///< The engine's finish reason.
	TimePoint last_token;            ///< Time of the last token.
	double stall_seconds = 0;        ///< Total time by which tokens were later than expected, in seconds.
};

} // namespace cottonspool
