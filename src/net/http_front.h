/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_front.h HTTP/1.1 server that goes on reading while a request is worked on, so that a caller who leaves is noticed at once. */

#pragma once

#include "net/http_message.h"
#include "net/tcp_stream.h"
#include <list>

namespace cottonspool {

class FrontConnection;

/** Limits on what callers may send and how long they may take. */
struct FrontLimits {
	size_t max_head_bytes = 16U << 10;                ///< Longest head; a longer one is answered 431.
	size_t max_body_bytes = 4U << 20;                 ///< Longest body; a longer one is answered 413.
	Duration head_timeout = std::chrono::seconds(3);  ///< Longest time for a head to come in; then 408.
	Duration idle_timeout = std::chrono::seconds(15); ///< Longest rest of a connection between requests.
	Duration body_timeout = std::chrono::seconds(10); ///< Longest pause while a body comes in; then 408.
	size_t max_backlog_bytes = 256U << 10;            ///< Unsent answer bytes from which a stream is to be paused.
};

/** One request with its answer. */
class FrontExchange {
public:
	HttpHead head;                       ///< Head of the request.
	std::string body;                    ///< Whole body.
	Endpoint from;                       ///< Where the caller is.
	TimePoint read_at;                   ///< When the request was whole.
	std::function<void()> on_disconnect; ///< The caller left before the answer was whole.
	std::function<void()> on_drained;    ///< Everything written so far has been sent.

	/** Answer whole. */
	void Respond(int status, const HttpHeaders &headers, std::string_view answer_body, std::string_view reason = {});

	/** Begin an answer whose parts follow; \a length is its size if it is known. */
	void Start(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason = {});

	/** Add to an answer that was begun. */
	void Write(std::string_view bytes);

	/** The answer is whole. */
	void Finish();

	/** Break the answer off, so that it cannot pass for whole; before its head, close the connection without an answer. */
	void Abort();

	/** Close the connection once this answer has been sent. */
	void CloseAfterwards() { this->keep_alive = false; }

	/** @return Whether the head of the answer was sent. */
	bool IsStarted() const { return this->started; }

	/** @return Whether nothing more can be said to the caller. */
	bool IsOver() const { return this->connection == nullptr; }

	/** @return Bytes of the answer not yet sent. */
	size_t Backlog() const;

private:
	void SendHead(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason, std::string_view first);

	FrontConnection *connection = nullptr; ///< Connection; null once the exchange is over.
	bool keep_alive = true;                ///< The connection goes on afterwards.
	bool started = false;                  ///< The head was sent.
	bool chunked = false;                  ///< Parts go out as chunks.

	friend class FrontConnection;
};

/** Accepts connections and hands requests to one handler. */
class HttpFront {
public:
	using Handler = std::function<void(const std::shared_ptr<FrontExchange> &)>;

	HttpFront(uv_loop_s *loop, Handler handler);
	~HttpFront();
	HttpFront(const HttpFront &) = delete;
	HttpFront &operator=(const HttpFront &) = delete;

	/** Listen on \a at. @return The port. */
	Result<uint16_t> Listen(const Endpoint &at) { return this->listener.Listen(at); }

	/** Ask every connection to end after its next answer. */
	void BeginClosing() { this->closing = true; }

	/** @return Whether BeginClosing() was called. */
	bool IsClosing() const { return this->closing; }

	/** Take no new connections and close those at rest. */
	void StopListening();

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

	/** @return Open connections. */
	size_t Connections() const { return this->connections.size(); }

	FrontLimits limits; ///< Limits in force.

private:
	void OnStream(std::shared_ptr<TcpStream> stream);

	uv_loop_s *loop;                                         ///< Loop.
	Handler handler;                                         ///< Gets each request.
	bool closing = false;                                    ///< Connections end after their next answer.
	std::list<std::shared_ptr<FrontConnection>> connections; ///< Open connections.
	TcpListener listener;                                    ///< Listener.

	friend class FrontConnection;
};

} // namespace cottonspool
