/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_client.h Asynchronous HTTP client, using libcurl on the libuv loop; its answers are read by AnswerReader. */

#pragma once

#include "http/http_type.h"
#include <functional>
#include <memory>

struct uv_loop_s;

namespace cottonspool {

/** A request with the callbacks for its answer. Callbacks run on the loop, never inside Start(). */
struct HttpCall {
	std::string method = "GET";                             ///< Request method.
	std::string url;                                        ///< URL of the form "http://IP:PORT/path".
	HttpHeaders headers;                                    ///< Request header fields.
	std::string body;                                       ///< Request body.
	Duration connect_timeout = std::chrono::seconds(1);     ///< Timeout for establishing the connection.
	Duration first_byte_timeout = std::chrono::seconds(30); ///< Timeout from the start to the head of the answer.
	Duration idle_timeout = std::chrono::seconds(30);       ///< Longest time without data after the head.
	Duration total_timeout = std::chrono::hours(24);        ///< Timeout of the whole call.
	bool fresh_connection = false;                          ///< Use a new connection, as libcurl sends again when a reused one fails.
	std::function<void(int, const HttpHeaders &)> on_head;  ///< Called with status and headers.
	std::function<void(std::string_view)> on_data;          ///< Called with each part of the body.
	std::function<void(const HttpCallResult &)> on_end;     ///< Called last, with the result.
};

/** HTTP client. */
class HttpClient {
public:
	explicit HttpClient(uv_loop_s *loop);
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	/** Start \a call. @return Its id, for Cancel() and Pause(). */
	uint64_t Start(HttpCall call);

	/** Cancel a call; none of its callbacks is called any more. @return Whether any byte of the request may have been sent. */
	bool Cancel(uint64_t call);

	/** Stop or continue reading the answer of a call. */
	void Pause(uint64_t call, bool paused);

	/** @return Number of open calls. */
	size_t Calls() const;

	/** Cancel all calls and close all handles, so that the loop can stop. */
	void Shutdown();

	/** \a handler is called with a call whose answer breaks HTTP, and with what is wrong, before the call's on_end. */
	void OnMalformed(std::function<void(const HttpCall &call, const std::string &fault)> handler);

	struct State;

private:
	std::shared_ptr<State> state; ///< libcurl's handles and the open calls.
};

} // namespace cottonspool
