/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file callers.cpp Load generator for the users' platform, which verifies each answer. */

#include "net/http_upstream.h"
#include "standin_func.h"
#include <gflags/gflags.h>
#include <iostream>
#include <list>
#include <map>
#include <pcg_random.hpp>
#include <random>

DEFINE_uint64(seed, 1, "callers: seed of the random requests");
DEFINE_int32(per_second, 40, "callers: requests started per second");
DEFINE_int32(most_events, 150, "callers: longest stream, in events");
DEFINE_double(streams, 0.35, "callers: fraction of requests that are streams");
DEFINE_double(once, 0.3, "callers: fraction of requests that may run at most once; all others may be repeated");
DEFINE_double(again, 0, "callers: fraction of failed requests that their callers repeat at once under another id");

namespace cottonspool {

static constexpr uint64_t PACE_MS = 10;          ///< Interval of the timer that starts requests.
static constexpr int TOKENS_PER_EVENT = 4;       ///< Tokens per event of the simulated engines.
static constexpr int64_t LIMIT_MS = 15000;       ///< Deadline of a stream.
static constexpr int64_t PLAIN_LIMIT_MS = 2000;  ///< Deadline of a request without a stream.
static constexpr double DISCONNECT_RATIO = 0.04; ///< Fraction of callers that disconnect before the answer is complete.
static constexpr double HARMFUL_RATIO = 0.3;     ///< Fraction of streams with the harmful part, while there is one.
static constexpr uint64_t DOCUMENTS = 4;         ///< Parts of prompts that streams share.

/** An open request. */
struct CallerRequest {
	std::string id;             ///< Request id, which starts with the instance's name.
	std::string instance;       ///< Name of the instance.
	char kind = 'r';            ///< Route: 's' stream, 'o' at most once, 'r' repeatable.
	int64_t began = 0;          ///< Start time, in milliseconds.
	int64_t disconnects_at = 0; ///< When the caller disconnects; 0 for never.
	uint64_t call = 0;          ///< Upstream call.
	int status = 0;             ///< HTTP status; 0 before the answer's head.
	bool stamped = false;       ///< The answer has the stamp of a target.
	std::string body;           ///< Received body; for a stream only the incomplete last event.
	uint64_t events = 0;        ///< Number of received events.
	uint64_t length = 0;        ///< Expected number of events.
	std::string harmful;        ///< Part of its prompt that crashes targets; empty for none.
	std::string violation;      ///< Violation found in the answer; empty for none.
	bool retry_after = false;   ///< The answer has a Retry-After header.
	int64_t last_at = 0;        ///< When data was last received.
};

/** The load generator. */
class Callers {
public:
	explicit Callers(uv_loop_t *loop) : upstream(loop), random(FLAGS_seed)
	{
		Every(loop, PACE_MS, [this] { this->OnPace(); });
	}

	/** Handle a request of the scenario: {"instances": {NAME: IP:PORT}} sets the instances, {"harmful": ID} the part that some streams
	 * have in their prompts; "/take" returns requests that ended since the last one. */
	void Handle(const std::shared_ptr<HttpExchange> &exchange)
	{
		if (exchange->request.path == "/take") {
			Answer(exchange, 200, {{"ended", this->ended}, {"open", this->open_requests.size()}, {"now_ms", NowMs()}});
			this->ended = Json::array();
			return;
		}
		Json order = JsonBody(*exchange);
		if (order.contains("instances")) this->instances = order["instances"].get<std::map<std::string, std::string>>();
		this->active = order.value("active", this->active);
		this->harmful = order.value("harmful", this->harmful);
		Answer(exchange, 200, {{"ok", true}});
	}

private:
	double RandomFraction() { return std::uniform_real_distribution<double>(0, 1)(this->random); }

	void OnPace()
	{
		this->upstream.OnTick(MonotonicNow());
		int64_t now = NowMs();
		for (auto it = this->open_requests.begin(); it != this->open_requests.end();) {
			auto each = it++;
			if (each->disconnects_at != 0 && now >= each->disconnects_at) this->Disconnect(each);
		}
		this->requests_due += FLAGS_per_second * static_cast<double>(PACE_MS) / 1000;
		for (; this->requests_due >= 1; this->requests_due--) {
			if (this->active && !this->instances.empty()) this->StartRequest(now);
		}
	}

	void StartRequest(int64_t now)
	{
		auto chosen = std::next(this->instances.begin(), static_cast<long>(this->random() % this->instances.size()));
		auto each = this->open_requests.emplace(this->open_requests.end());
		each->instance = chosen->first;
		each->id = chosen->first + "-" + std::to_string(FLAGS_seed) + "-" + std::to_string(++this->last_request);
		double kind = this->RandomFraction();
		each->kind = kind < FLAGS_streams ? 's' : kind < FLAGS_streams + FLAGS_once ? 'o' : 'r';
		each->began = each->last_at = now;
		each->length = 1 + this->random() % static_cast<uint64_t>(FLAGS_most_events);
		if (each->kind == 's' && !this->harmful.empty() && this->RandomFraction() < HARMFUL_RATIO) each->harmful = this->harmful;
		if (this->RandomFraction() < DISCONNECT_RATIO) each->disconnects_at = now + static_cast<int64_t>(this->RandomFraction() * 1000);
		each->call = this->upstream.Start(this->MakeCall(each, chosen->second));
	}

	/** @return The parts of the prompt of \a each: one of all streams, one of some, the harmful one, and one of its own. */
	std::string PartsOf(const CallerRequest &each) const
	{
		std::string parts = "aa01:79,bb0" + std::to_string(this->last_request % DOCUMENTS) + ":30,";
		if (!each.harmful.empty()) parts += each.harmful + ":20,";
		return parts + std::to_string(this->last_request) + ":50";
	}

	UpstreamCall MakeCall(std::list<CallerRequest>::iterator each, const std::string &address)
	{
		size_t colon = address.find(':');
		int64_t limit = each->kind == 's' ? LIMIT_MS : PLAIN_LIMIT_MS;
		UpstreamCall call;
		call.to = {address.substr(0, colon), static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))};
		call.peer = each->instance;
		call.method = "POST";
		call.target = std::string("/") + each->kind + "/x";
		call.headers = {{"Host", "h.example"},
		                {"X-Attempt-Id", each->id},
		                {"X-Deadline-Ms", std::to_string(limit)},
		                {"X-Model", "m"},
		                {"X-Token-Count", "100," + std::to_string(TOKENS_PER_EVENT * each->length)},
		                {"Authorization", "Bearer k1"}};
		if (each->kind == 's') call.headers.push_back({"X-Prompt-Prefix", this->PartsOf(*each)});
		call.body = "body of " + each->id;
		call.on_head = [this, each](const HttpHead &head) {
			this->OnHead(*each, head);
			return true;
		};
		call.on_body = [this, each](std::string_view bytes) { this->OnBody(*each, bytes); };
		call.on_end = [this, each](UpstreamEnd end, const char *cause) { this->OnEnd(each, end, cause); };
		return call;
	}

	void OnHead(CallerRequest &each, const HttpHead &head)
	{
		each.status = head.status;
		each.stamped = !FindHeader(head.headers, "X-Server-Stamp").empty();
		each.retry_after = !FindHeader(head.headers, "Retry-After").empty();
		each.last_at = NowMs();
		if (head.status == 200 && !each.stamped) each.violation = "200 without a target's stamp";
		std::string_view answered_id = FindHeader(head.headers, "X-Attempt-Id");
		if (!answered_id.empty() && answered_id != each.id) each.violation = "answer to the request " + std::string(answered_id);
	}

	void OnBody(CallerRequest &each, std::string_view bytes)
	{
		each.last_at = NowMs();
		each.body.append(bytes);
		if (each.kind != 's' || each.status != 200) return;
		for (size_t end = each.body.find("\n\n"); end != std::string::npos; end = each.body.find("\n\n")) {
			std::string number = std::to_string(++each.events);
			std::string wanted = "id: " + number + "\ndata: " + each.id + "-" + number;
			std::string event = each.body.substr(0, end);
			if (event != wanted && each.violation.empty()) each.violation = "event " + number + " is " + event;
			each.body.erase(0, end + 2);
		}
	}

	void OnEnd(std::list<CallerRequest>::iterator each, UpstreamEnd end, const char *cause)
	{
		bool complete = end == UpstreamEnd::Complete;
		if (complete && each->status == 200 && each->kind == 's' && each->events != each->length && each->violation.empty())
			each->violation = "looks complete after " + std::to_string(each->events) + " of " + std::to_string(each->length) + " events";
		if (complete && each->status == 200 && each->kind != 's' && each->body != "answer to " + each->id)
			each->violation = "body " + each->body.substr(0, 80);
		this->RecordEnd(each, complete ? "whole" : end == UpstreamEnd::NotSent ? "not-sent" : "broken", cause);
	}

	void Disconnect(std::list<CallerRequest>::iterator each)
	{
		this->upstream.Cancel(each->call);
		this->RecordEnd(each, "left", "");
	}

	void RecordEnd(std::list<CallerRequest>::iterator each, const char *end, const char *cause)
	{
		if (!each->violation.empty()) std::cout << "BROKEN " << each->id << ": " << each->violation << std::endl;
		this->ended.push_back({{"id", each->id},
		                       {"instance", each->instance},
		                       {"kind", std::string(1, each->kind)},
		                       {"began", each->began},
		                       {"last", each->last_at},
		                       {"over", NowMs()},
		                       {"status", each->status},
		                       {"end", end},
		                       {"cause", cause},
		                       {"retry_after", each->retry_after},
		                       {"harmful", each->harmful},
		                       {"fault", each->violation}});
		if (each->status != 200 && this->active && this->RandomFraction() < FLAGS_again) this->requests_due++;
		this->open_requests.erase(each);
	}

	HttpUpstream upstream;                        ///< Client with persistent connections to the instances.
	pcg64 random;                                 ///< Random numbers of the requests.
	std::map<std::string, std::string> instances; ///< Addresses of the instances by name.
	std::list<CallerRequest> open_requests;       ///< Open requests.
	Json ended = Json::array();                   ///< Requests that ended since the last "/take".
	double requests_due = 0;                      ///< Number of requests to start, with its fraction.
	uint64_t last_request = 0;                    ///< Counter for request ids.
	bool active = true;                           ///< New requests are started.
	std::string harmful;                          ///< Part that crashes targets, which some streams have; empty for none.
};

int RunCallers(uv_loop_t *loop)
{
	Callers callers(loop);
	return Serve(loop, [&](const std::shared_ptr<HttpExchange> &exchange) { callers.Handle(exchange); });
}

} // namespace cottonspool
