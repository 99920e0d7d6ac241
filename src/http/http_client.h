/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_client.h HTTP calls to other processes, by libcurl on the libuv loop. */

#pragma once

#include "http/http_type.h"
#include <functional>
#include <memory>

struct uv_loop_s;

namespace cottonspool {

/** One call to make, with the functions that get its answer. Each is called from the loop, never from inside Start(). */
struct HttpCall {
	std::string method = "GET";                             ///< Method.
	std::string url;                                        ///< "http://IP:PORT/path".
	HttpHeaders headers;                                    ///< Header fields.
	std::string body;                                       ///< Body.
	Duration connect_timeout = std::chrono::seconds(1);     ///< Longest time to connect.
	Duration first_byte_timeout = std::chrono::seconds(30); ///< Longest time from the start to the head of the answer.
	Duration idle_timeout = std::chrono::seconds(30);       ///< Longest silence after the head.
	Duration total_timeout = std::chrono::hours(24);        ///< Longest time in all.
	bool fresh_connection = false;                          ///< Never let the library send it twice: a fresh connection.
	std::function<void(int, const HttpHeaders &)> on_head;  ///< Status and headers came.
	std::function<void(std::string_view)> on_data;          ///< A part of the body came.
	std::function<void(const HttpCallResult &)> on_end;     ///< It is over; nothing follows.
};

/** Makes HTTP calls. */
class HttpClient {
public:
	explicit HttpClient(uv_loop_s *loop);
	~HttpClient();
	HttpClient(const HttpClient &) = delete;
	HttpClient &operator=(const HttpClient &) = delete;

	/** Start \a call. @return Its number, for Cancel() and Pause(). */
	uint64_t Start(HttpCall call);

	/** End a call without any further callback. @return Whether any byte of its request may have left. */
	bool Cancel(uint64_t call);

	/** Stop or go on reading the answer of a call. */
	void Pause(uint64_t call, bool paused);

	/** @return Calls under way. */
	size_t Calls() const;

	/** Close all handles, so that the loop can end. */
	void Shutdown();

	struct State;

private:
	std::shared_ptr<State> state; ///< libcurl's handles.
};

} // namespace cottonspool
