/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_server.h HTTP server on libuv, by h2o. */

#pragma once

#include "core/error_type.h"
#include "http/http_type.h"
#include <functional>
#include <memory>

struct uv_loop_s;
struct st_h2o_req_t;

namespace cottonspool {

/** One request with its answer. Lives until the caller got everything or went away. */
class HttpExchange {
public:
	HttpRequest request;              ///< The request.
	std::function<void()> on_closed;  ///< Called once when the exchange is over: answered in full, or caller gone.
	std::function<void()> on_drained; ///< Called when a stream's backlog has been sent.

	/** Answer whole. Does nothing once the exchange is over. */
	void Respond(int status, const HttpHeaders &headers, std::string body);

	/** Begin a streamed answer. */
	void Start(int status, const HttpHeaders &headers);

	/** Add to a streamed answer. */
	void Write(std::string_view data);

	/** End a streamed answer. */
	void Finish();

	/** Break a streamed answer off, so that the caller sees that it is not whole. */
	void Abort();

	/** @return Bytes of the answer not yet taken by the connection. */
	size_t Backlog() const { return this->pending.size() + this->sending.size(); }

	/** @return Whether an answer has been started. */
	bool IsStarted() const { return this->started; }

	/** @return Whether the answer was sent in full. */
	bool IsFinished() const { return this->finished && this->Backlog() == 0; }

	/** @return Whether the exchange is over. */
	bool IsClosed() const { return this->req == nullptr; }

	/** @return Whether the caller has closed the connection, as far as its socket tells. */
	bool IsCallerDisconnected() const;

	/** Called by the server only: the connection wants more. */
	void OnProceed();

	/** Called by the server only: the request is being disposed of. */
	void OnDisposed();

	st_h2o_req_t *req = nullptr; ///< h2o's request; null once it is over.
	void *generator = nullptr;   ///< h2o's generator for this request.

private:
	void SendPending();

	std::string pending;           ///< Not yet handed to the connection.
	std::string sending;           ///< Handed to the connection, not yet sent.
	bool started = false;          ///< The head was sent.
	bool finished = false;         ///< Nothing more will be written.
	bool send_in_progress = false; ///< The connection still sends what it was handed.
	bool aborted = false;          ///< To be broken off instead of ended.
	bool end_sent = false;         ///< The end was handed to the connection.
};

/** Accepts connections and hands requests to one handler. */
class HttpServer {
public:
	using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

	HttpServer(uv_loop_s *loop, HttpLimits limits, Handler handler);
	~HttpServer();
	HttpServer(const HttpServer &) = delete;
	HttpServer &operator=(const HttpServer &) = delete;

	/** Listen on \a ip and \a port; port 0 takes a free one. @return The port. */
	Result<uint16_t> Listen(const std::string &ip, uint16_t port);

	/** Take no new connection, and close idle ones. */
	void StopListening();

	/** @return Open connections. */
	uint32_t Connections() const;

private:
	struct State;
	std::unique_ptr<State> state; ///< h2o's configuration and context.
};

} // namespace cottonspool
