/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_server.h HTTP server, using h2o on the libuv loop. */

#pragma once

#include "core/error_type.h"
#include "http/http_type.h"
#include <functional>
#include <memory>

struct uv_loop_s;
struct st_h2o_req_t;

namespace cottonspool {

/** One request and its answer. It is closed when the answer was sent in full or the caller disconnected. */
class HttpExchange {
public:
	HttpRequest request;              ///< The received request.
	std::function<void()> on_closed;  ///< Called once when the exchange is closed.
	std::function<void()> on_drained; ///< Called when all data written so far was sent.

	/** Send a complete answer. Does nothing if the exchange is closed or an answer was started. */
	void Respond(int status, const HttpHeaders &headers, std::string body);

	/** Start a streamed answer. */
	void Start(int status, const HttpHeaders &headers);

	/** Append to a streamed answer. */
	void Write(std::string_view data);

	/** End a streamed answer. */
	void Finish();

	/** Abort a streamed answer, so that the caller sees that it is incomplete. */
	void Abort();

	/** @return Bytes of the answer not yet sent. */
	size_t Backlog() const { return this->pending.size() + this->sending.size(); }

	/** @return Whether an answer was started. */
	bool IsStarted() const { return this->started; }

	/** @return Whether the answer was sent in full. */
	bool IsFinished() const { return this->finished && this->Backlog() == 0; }

	/** @return Whether the exchange is closed. */
	bool IsClosed() const { return this->req == nullptr; }

	/** @return Whether the caller has closed the connection, by probing its socket. */
	bool IsCallerDisconnected() const;

	/** For the server only: the data handed to h2o was sent. */
	void OnProceed();

	/** For the server only: h2o is disposing of the request. */
	void OnDisposed();

	st_h2o_req_t *req = nullptr; ///< h2o's request; null once closed.
	void *generator = nullptr;   ///< h2o's generator for this request.

private:
	void SendPending();

	std::string pending;           ///< Data not yet handed to h2o.
	std::string sending;           ///< Data handed to h2o, not yet sent.
	bool started = false;          ///< The head was sent.
	bool finished = false;         ///< Finish() or Abort() was called.
	bool send_in_progress = false; ///< h2o is sending the data.
	bool aborted = false;          ///< Abort() was called.
	bool end_sent = false;         ///< The end of the answer was handed to h2o.
};

/** HTTP server that passes all requests to one handler. */
class HttpServer {
public:
	using Handler = std::function<void(const std::shared_ptr<HttpExchange> &)>;

	HttpServer(uv_loop_s *loop, HttpLimits limits, Handler handler);
	~HttpServer();
	HttpServer(const HttpServer &) = delete;
	HttpServer &operator=(const HttpServer &) = delete;

	/** Listen on \a ip and \a port; 0 selects a free port. @return The port. */
	Result<uint16_t> Listen(const std::string &ip, uint16_t port);

	/** Stop accepting connections, and close idle ones. */
	void StopListening();

	/** @return Number of open connections. */
	uint32_t Connections() const;

	/** @return Number of requests whose answers have not been sent in full. */
	uint32_t OpenExchanges() const;

private:
	struct State;
	std::unique_ptr<State> state; ///< h2o's configuration and context.
};

} // namespace cottonspool
