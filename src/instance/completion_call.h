/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file completion_call.h One model generation for one caller: sent, streamed, resumed, run again or ended truthfully. */

#pragma once

#include "generation/ledger.h"
#include "generation/sse_parser.h"
#include "http/http_client.h"
#include "instance/completion_request.h"

namespace cottonspool {

/** One completion call. */
class CompletionCall : public Call {
public:
	CompletionCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
	               std::string account_name, CompletionRequest request);

	void OnSend(const SendAction &action) override;
	void OnTick(TimePoint now) override;

protected:
	void OnCallerDisconnected() override;

private:
	void OpenStream(HttpCall call);
	void OnHead(int status, const HttpHeaders &headers);
	void OnData(std::string_view data);
	void OnEnd(const HttpCallResult &end);
	void OnEvent(const SseEvent &event);
	void DeliverToken(const SseEvent &event);
	void MeasureToken(TimePoint now);
	void Complete();
	void OnStreamLost(const std::string &why, bool certainly_not_sent);
	void ScheduleResume(TimePoint now);
	void Resume();
	void CancelLostGeneration(const std::string &why);
	void OnCancelAnswer(const std::string &why, const HttpCallResult &end, const std::string &body);
	void OnGenerationLost(const std::string &why, bool certainly_not_run);
	void CancelAtEngine();
	void PauseOnBacklog();
	std::string EngineUrl(const std::string &path) const;

	CompletionRequest request;       ///< The request.
	GenerationLedger ledger;         ///< Order of its tokens.
	SseParser parser;                ///< Events of the link.
	std::string engine;              ///< Address of the engine.
	std::string engine_name;         ///< Its name.
	std::string engine_incarnation;  ///< Its incarnation when the call was sent.
	uint64_t http_call = 0;          ///< HTTP call under way; 0 when none.
	int answer_status = 0;           ///< Status of the link's answer.
	bool carries_request = true;     ///< The link is the one that carried the request.
	bool accepted_by_engine = false; ///< The engine has accepted the generation.
	bool finished = false;           ///< The last token came.
	bool paused = false;             ///< Reading is paused for a slow caller.
	uint32_t attempts = 0;           ///< Sends so far.
	uint32_t resumes = 0;            ///< Resumes of this generation.
	TimePoint resume_at;             ///< When to resume; the epoch when not planned.
	TimePoint stream_lost_since;     ///< Since when the link has been lost without a token.
	std::string text;                ///< Text so far, for a whole answer.
	std::string finish_reason;       ///< Why it ended.
	TimePoint last_token;            ///< When the last token came.
	double stall_seconds = 0;        ///< Seconds in which the caller waited longer than expected.
};

} // namespace cottonspool
