/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_client.cpp Asynchronous HTTP client, using libcurl on the libuv loop. */

#include "http/http_client.h"
#include "http/curl_answer.h"
#include <unordered_map>
#include <unordered_set>
#include <uv.h>

namespace cottonspool {

static constexpr uint64_t LIMIT_CHECK_MS = 50;     ///< Interval at which the timeouts of all calls are checked.
static constexpr long MAX_IDLE_CONNECTIONS = 1024; ///< Most idle connections kept for reuse.

struct Transfer;

/** libcurl's handles and the open calls. */
struct HttpClient::State {
	uv_loop_t *loop = nullptr;                                               ///< Event loop.
	CURLM *multi = nullptr;                                                  ///< libcurl's multi handle.
	uv_timer_t timer{};                                                      ///< Timer requested by libcurl.
	uv_timer_t limit_timer{};                                                ///< Timer that checks the timeouts.
	std::unordered_map<uint64_t, std::unique_ptr<Transfer>> transfers;       ///< Open calls by id.
	std::unordered_set<uint64_t> ready;                                      ///< Ids of calls with data or a result to deliver.
	uint64_t next = 1;                                                       ///< Id of the next call.
	bool closed = false;                                                     ///< Shutdown() was called.
	std::function<void(const HttpCall &, const std::string &)> on_malformed; ///< See OnMalformed().

	void DeliverReady();
	void CollectFinished();
	void Remove(uint64_t number);
	void CheckLimits(TimePoint now);
};

/** An open call. Data from libcurl is queued here and delivered outside of libcurl's callbacks. */
struct Transfer {
	uint64_t number = 0;                 ///< Id of the call.
	HttpClient::State *client = nullptr; ///< State of its client.
	CURL *easy = nullptr;                ///< libcurl's easy handle.
	curl_slist *headers = nullptr;       ///< Request headers.
	HttpCall call;                       ///< Request and callbacks.
	AnswerReader reader;                 ///< Parser of the answer.
	char error[CURL_ERROR_SIZE] = "";    ///< libcurl's description of an error.
	HttpHead head;                       ///< Head of the answer.
	bool is_interim = false;             ///< The last head that was received is that of an interim answer.
	bool head_complete = false;          ///< The head of the answer was received.
	bool head_delivered = false;         ///< on_head was called.
	std::string undelivered_body;        ///< Received body that was not delivered yet.
	bool done = false;                   ///< libcurl has finished the transfer, or it timed out.
	HttpCallResult end;                  ///< Result, if finished.
	TimePoint started;                   ///< Start time.
	TimePoint last_activity;             ///< Time of the last received data.
	bool paused = false;                 ///< Reading is paused.
};

/** A socket that libcurl wants to be polled. */
struct WatchedSocket {
	uv_poll_t poll;           ///< libuv's poll handle.
	HttpClient::State *state; ///< State of the client.
	curl_socket_t socket;     ///< The socket.
};

/** Set the callbacks of the reader of \a transfer, which queue what is to be delivered. */
static void QueueAnswer(Transfer *transfer)
{
	transfer->reader.on_head = [transfer](HttpHead &&head) {
		transfer->is_interim = head.status < FIRST_FINAL_STATUS;
		if (transfer->is_interim) return;
		transfer->head = std::move(head);
		transfer->head_complete = true;
		transfer->client->ready.insert(transfer->number);
	};
	transfer->reader.on_body = [transfer](std::string_view bytes) {
		transfer->undelivered_body.append(bytes);
		transfer->client->ready.insert(transfer->number);
	};
	transfer->reader.on_complete = [transfer] {
		if (transfer->is_interim) transfer->reader.Resume();
	};
}

/** @return What breaks HTTP in the answer to \a transfer, as its reader or libcurl found, which ended it with \a code; empty for nothing.
 */
static std::string DescribeFault(const Transfer &transfer, CURLcode code)
{
	if (!transfer.reader.Fault().empty()) return transfer.reader.Fault();
	bool refused_by_curl = code == CURLE_WEIRD_SERVER_REPLY || code == CURLE_UNSUPPORTED_PROTOCOL || code == CURLE_BAD_FUNCTION_ARGUMENT;
	if (!refused_by_curl) return {};
	return std::string("malformed answer: ") + (transfer.error[0] != '\0' ? transfer.error : curl_easy_strerror(code));
}

/** @return The description of an error for a transfer that libcurl ended with \a code, without a complete answer. */
static std::string DescribeError(const Transfer &transfer, CURLcode code)
{
	if (code == CURLE_OK) return "the answer is incomplete";
	return transfer.error[0] != '\0' ? transfer.error : curl_easy_strerror(code);
}

/** @return The result of \a transfer, which libcurl ended with \a code; NotSent only if no byte of the request was sent. */
static HttpCallResult MakeResult(Transfer *transfer, CURLcode code, bool timed_out)
{
	HttpCallResult end;
	long request_bytes = 0;
	curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	if (code == CURLE_OK) transfer->reader.AddEof();
	bool complete = code == CURLE_OK && transfer->head_complete && transfer->reader.IsPaused();
	end.status = transfer->head.status;
	if (complete) {
		end.kind = HttpCallOutcome::Answered;
		return end;
	}
	if (request_bytes == 0) {
		end.kind = HttpCallOutcome::NotSent;
	} else {
		end.kind = timed_out || code == CURLE_OPERATION_TIMEDOUT ? HttpCallOutcome::TimedOut : HttpCallOutcome::Broken;
	}
	std::string fault = request_bytes == 0 ? std::string() : DescribeFault(*transfer, code);
	end.malformed = !fault.empty();
	end.message = end.malformed ? fault : timed_out ? "timed out" : DescribeError(*transfer, code);
	return end;
}

void HttpClient::State::CollectFinished()
{
	int left = 0;
	while (CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
		if (message->msg != CURLMSG_DONE) continue;
		Transfer *transfer = nullptr;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
		transfer->done = true;
		transfer->end = MakeResult(transfer, message->data.result, false);
		this->ready.insert(transfer->number);
	}
}

void HttpClient::State::DeliverReady()
{
	TimePoint now = MonotonicNow();
	while (!this->ready.empty()) {
		uint64_t number = *this->ready.begin();
		this->ready.erase(this->ready.begin());
		auto found = this->transfers.find(number);
		if (found == this->transfers.end()) continue;
		Transfer *transfer = found->second.get();
		transfer->last_activity = now;
		if (transfer->head_complete && !transfer->head_delivered) {
			transfer->head_delivered = true;
			if (transfer->call.on_head) transfer->call.on_head(transfer->head.status, transfer->head.headers);
			if (!this->transfers.contains(number)) continue;
		}
		if (!transfer->undelivered_body.empty()) {
			std::string data = std::move(transfer->undelivered_body);
			transfer->undelivered_body.clear();
			if (transfer->call.on_data) transfer->call.on_data(data);
			if (!this->transfers.contains(number)) continue;
		}
		if (!transfer->done) continue;
		HttpCallResult end = std::move(transfer->end);
		if (end.malformed && this->on_malformed) this->on_malformed(transfer->call, end.message);
		auto on_end = std::move(transfer->call.on_end);
		this->Remove(number);
		if (on_end) on_end(end);
	}
}

void HttpClient::State::Remove(uint64_t number)
{
	auto found = this->transfers.find(number);
	if (found == this->transfers.end()) return;
	std::unique_ptr<Transfer> transfer = std::move(found->second);
	this->transfers.erase(found);
	curl_multi_remove_handle(this->multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
}

void HttpClient::State::CheckLimits(TimePoint now)
{
	for (auto &[number, transfer] : this->transfers) {
		if (transfer->done) continue;
		Duration age = now - transfer->started;
		bool idle_expired = transfer->head_complete && !transfer->paused && now - transfer->last_activity > transfer->call.idle_timeout;
		bool first_byte_expired = !transfer->head_complete && age > transfer->call.first_byte_timeout;
		if (!idle_expired && !first_byte_expired && age <= transfer->call.total_timeout) continue;
		transfer->done = true;
		transfer->end = MakeResult(transfer.get(), CURLE_OPERATION_TIMEDOUT, true);
		this->ready.insert(number);
	}
	this->DeliverReady();
}

/** Let libcurl process \a events of \a socket, and deliver the results. */
static void DriveSocket(HttpClient::State *state, curl_socket_t socket, int events)
{
	int running = 0;
	curl_multi_socket_action(state->multi, socket, events, &running);
	state->CollectFinished();
	state->DeliverReady();
}

/** libuv callback: a polled socket is ready. */
static void OnSocketReady(uv_poll_t *poll, int status, int events)
{
	auto *watched = static_cast<WatchedSocket *>(poll->data);
	int flags = 0;
	if (status < 0) flags |= CURL_CSELECT_ERR;
	if (events & UV_READABLE) flags |= CURL_CSELECT_IN;
	if (events & UV_WRITABLE) flags |= CURL_CSELECT_OUT;
	DriveSocket(watched->state, watched->socket, flags);
}

/** libcurl callback: start, change or stop polling \a socket. */
static int OnSocketChange(CURL *, curl_socket_t socket, int what, void *user, void *socket_data)
{
	auto *state = static_cast<HttpClient::State *>(user);
	auto *watched = static_cast<WatchedSocket *>(socket_data);
	if (what == CURL_POLL_REMOVE) {
		if (watched == nullptr) return 0;
		uv_poll_stop(&watched->poll);
		uv_close(reinterpret_cast<uv_handle_t *>(&watched->poll),
		         [](uv_handle_t *handle) { delete static_cast<WatchedSocket *>(handle->data); });
		curl_multi_assign(state->multi, socket, nullptr);
		return 0;
	}
	if (watched == nullptr) {
		watched = new WatchedSocket{{}, state, socket};
		uv_poll_init_socket(state->loop, &watched->poll, socket);
		watched->poll.data = watched;
		curl_multi_assign(state->multi, socket, watched);
	}
	int events = (what & CURL_POLL_IN ? UV_READABLE : 0) | (what & CURL_POLL_OUT ? UV_WRITABLE : 0);
	uv_poll_start(&watched->poll, events, OnSocketReady);
	return 0;
}

/** libcurl callback: set or stop libcurl's timer. */
static int OnTimerChange(CURLM *, long timeout_ms, void *user)
{
	auto *state = static_cast<HttpClient::State *>(user);
	if (state->closed) return 0;
	if (timeout_ms < 0) {
		uv_timer_stop(&state->timer);
		return 0;
	}
	uv_timer_start(
	        &state->timer, [](uv_timer_t *timer) { DriveSocket(static_cast<HttpClient::State *>(timer->data), CURL_SOCKET_TIMEOUT, 0); },
	        static_cast<uint64_t>(timeout_ms), 0);
	return 0;
}

HttpClient::HttpClient(uv_loop_s *loop) : state(std::make_shared<State>())
{
	static const CURLcode initialised = curl_global_init(CURL_GLOBAL_ALL);
	(void)initialised;
	this->state->loop = loop;
	this->state->multi = curl_multi_init();
	curl_multi_setopt(this->state->multi, CURLMOPT_SOCKETFUNCTION, OnSocketChange);
	curl_multi_setopt(this->state->multi, CURLMOPT_SOCKETDATA, this->state.get());
	curl_multi_setopt(this->state->multi, CURLMOPT_TIMERFUNCTION, OnTimerChange);
	curl_multi_setopt(this->state->multi, CURLMOPT_TIMERDATA, this->state.get());
	curl_multi_setopt(this->state->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
	uv_timer_init(loop, &this->state->timer);
	uv_timer_init(loop, &this->state->limit_timer);
	this->state->timer.data = this->state.get();
	this->state->limit_timer.data = this->state.get();
	uv_timer_start(
	        &this->state->limit_timer, [](uv_timer_t *timer) { static_cast<State *>(timer->data)->CheckLimits(MonotonicNow()); },
	        LIMIT_CHECK_MS, LIMIT_CHECK_MS);
}

HttpClient::~HttpClient()
{
	this->Shutdown();
}

uint64_t HttpClient::Start(HttpCall call)
{
	auto transfer = std::make_unique<Transfer>();
	uint64_t number = this->state->next++;
	transfer->number = number;
	transfer->client = this->state.get();
	transfer->call = std::move(call);
	transfer->started = transfer->last_activity = MonotonicNow();
	transfer->easy = curl_easy_init();
	CURL *easy = transfer->easy;
	for (const HttpHeader &header : transfer->call.headers) {
		transfer->headers = curl_slist_append(transfer->headers, (header.name + ": " + header.value).c_str());
	}
	transfer->headers = curl_slist_append(transfer->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer.get());
	curl_easy_setopt(easy, CURLOPT_URL, transfer->call.url.c_str());
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, transfer->call.method.c_str());
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_ERRORBUFFER, transfer->error);
	QueueAnswer(transfer.get());
	ReadAnswerWith(easy, transfer->reader);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
	                 static_cast<long>(std::chrono::duration_cast<std::chrono::milliseconds>(transfer->call.connect_timeout).count()));
	if (!transfer->call.body.empty() || transfer->call.method == "POST" || transfer->call.method == "PUT") {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(transfer->call.body.size()));
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, transfer->call.body.c_str());
	}
	transfer->reader.answers_head_request = transfer->call.method == "HEAD";
	if (transfer->reader.answers_head_request) curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (transfer->call.fresh_connection) curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	this->state->transfers.emplace(number, std::move(transfer));
	curl_multi_add_handle(this->state->multi, easy);
	return number;
}

bool HttpClient::Cancel(uint64_t number)
{
	auto found = this->state->transfers.find(number);
	if (found == this->state->transfers.end()) return true;
	long request_bytes = 0;
	curl_easy_getinfo(found->second->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	this->state->Remove(number);
	return request_bytes > 0;
}

void HttpClient::Pause(uint64_t number, bool paused)
{
	auto found = this->state->transfers.find(number);
	if (found == this->state->transfers.end() || found->second->paused == paused) return;
	found->second->paused = paused;
	found->second->last_activity = MonotonicNow();
	curl_easy_pause(found->second->easy, paused ? CURLPAUSE_RECV : CURLPAUSE_CONT);
}

size_t HttpClient::Calls() const
{
	return this->state->transfers.size();
}

void HttpClient::OnMalformed(std::function<void(const HttpCall &, const std::string &)> handler)
{
	this->state->on_malformed = std::move(handler);
}

void HttpClient::Shutdown()
{
	if (this->state->closed) return;
	this->state->closed = true;
	while (!this->state->transfers.empty()) this->state->Remove(this->state->transfers.begin()->first);
	curl_multi_cleanup(this->state->multi);
	auto *state_holder = new std::shared_ptr<State>(this->state);
	this->state->limit_timer.data = state_holder;
	uv_timer_stop(&this->state->timer);
	uv_timer_stop(&this->state->limit_timer);
	uv_close(reinterpret_cast<uv_handle_t *>(&this->state->timer), nullptr);
	uv_close(reinterpret_cast<uv_handle_t *>(&this->state->limit_timer),
	         [](uv_handle_t *handle) { delete static_cast<std::shared_ptr<State> *>(handle->data); });
}

} // namespace cottonspool
