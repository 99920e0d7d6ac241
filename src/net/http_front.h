/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_front.h HTTP/1.1 server that keeps reading while a request is processed, to detect disconnects at once. */

#pragma once

#include "net/http_message.h"
#include "net/tcp_stream.h"
#include <list>
#include <vector>

namespace cottonspool {

class FrontConnection;

/** Limits on the size of requests and on the time that callers may take. */
struct FrontLimits {
	size_t max_head_bytes = 16U << 10;                ///< Size limit of a request's head; beyond it the answer is 431.
	size_t max_body_bytes = 4U << 20;                 ///< Size limit of a request's body; beyond it the answer is 413.
	Duration head_timeout = std::chrono::seconds(3);  ///< Time limit for receiving a head; then the answer is 408.
	Duration idle_timeout = std::chrono::seconds(15); ///< Idle time after which a connection is closed.
	Duration body_timeout = std::chrono::seconds(10); ///< Time limit between two parts of a body; then the answer is 408.
	size_t max_backlog_bytes = 256U << 10;            ///< Unsent bytes of an answer from which its source should be paused.
	bool close_unread = false;                        ///< The idle timeout also applies to callers that do not read their answer in time.
};

/** A request and its answer. */
class FrontExchange {
public:
	HttpHead head;                       ///< Head of the request.
	std::string body;                    ///< Body of the request.
	Endpoint from;                       ///< Address of the caller.
	TimePoint begun_at;                  ///< When the head of the request was received.
	TimePoint read_at;                   ///< When the request was received completely.
	TimePoint awaited_until;             ///< Until when the caller waits for its answer, however slowly it reads; zero if unknown.
	std::function<void()> on_disconnect; ///< The caller disconnected before the answer was complete.
	std::function<void()> on_drained;    ///< All bytes written so far have been sent.
	std::function<void(bool)> on_pause;  ///< The source of the answer should pause (true) or may continue, as memory is scarce.

	/** Send a complete answer. */
	void Respond(int status, const HttpHeaders &headers, std::string_view answer_body, std::string_view reason = {});

	/** Send the head of an answer. @param length Size of its body; without it the body is sent in chunks, or as EndBodyByClose() says. */
	void Start(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason = {});

	/** Send a part of the body. */
	void Write(std::string_view bytes);

	/** Complete the answer. */
	void Finish();

	/** Close the connection such that the caller cannot take the answer for complete. */
	void Abort();

	/** Close the connection after this answer. */
	void CloseAfterwards() { this->keep_alive = false; }

	/** Send a body of unknown length without chunks; it ends when the connection is closed. To be called before Start(). */
	void EndBodyByClose() { this->ends_by_close = true; }

	/** @return Whether the head of the answer was sent. */
	bool IsStarted() const { return this->started; }

	/** @return Whether the answer is complete or the connection closed, so that nothing more can be sent. */
	bool IsOver() const { return this->connection == nullptr; }

	/** @return Number of unsent bytes of the answer. */
	size_t Backlog() const;

	/** Count \a bytes of the answer that are buffered outside until it is complete. */
	void SetBuffered(size_t bytes) { this->held_buffer.Set(bytes); }

private:
	void SendHead(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason, std::string_view first);

	FrontConnection *connection = nullptr; ///< Connection; null once the exchange is over.
	bool keep_alive = true;                ///< The connection stays open after the answer.
	bool started = false;                  ///< The head of the answer was sent.
	bool chunked = false;                  ///< The body of the answer is sent in chunks.
	bool ends_by_close = false;            ///< A body of unknown length ends when the connection is closed.
	HeldPart held_body;                    ///< Counts the memory of the body.
	HeldPart held_buffer;                  ///< Counts the bytes of SetBuffered().

	friend class FrontConnection;
};

/** Accepts connections and passes their requests to a handler. */
class HttpFront {
public:
	using Handler = std::function<void(const std::shared_ptr<FrontExchange> &)>;

	HttpFront(uv_loop_s *loop, Handler handler);
	~HttpFront();
	HttpFront(const HttpFront &) = delete;
	HttpFront &operator=(const HttpFront &) = delete;

	/** Listen on \a at. @return The port. */
	Result<uint16_t> Listen(const Endpoint &at) { return this->listener.Listen(at); }

	/** Close each connection after its next answer. */
	void BeginClosing() { this->closing = true; }

	/** @return Whether BeginClosing() was called. */
	bool IsClosing() const { return this->closing; }

	/** Stop accepting connections and close idle ones. */
	void StopListening();

	/** Check timeouts; to be called several times per second. */
	void OnTick(TimePoint now);

	/** @return Number of open connections. */
	size_t Connections() const { return this->connections.size(); }

	/** Lets the kernel take the unsent bytes of all answers, as the process ends soon; see TcpStream::PassBacklogToKernel(). */
	void PassBacklogsToKernel();

	/** @return Number of connections whose callers have not received all that was sent to them. */
	size_t UndeliveredConnections() const;

	/** @return All connections that hold bytes for their callers. */
	std::vector<MemoryHolder> Holders() const;

	/** Pause the connections \a ids, so that they hold no more bytes, and continue all others. */
	void SetPaused(const std::vector<uint64_t> &ids);

	/** Reject the request that the connection \a id is receiving with 503 and the fields that reject_body gives. */
	void RejectReceiving(uint64_t id);

	FrontLimits limits; ///< Current limits.
	/** Gives the header fields of a 503 if the body of a request with this head is not to be received; empty for never. */
	std::function<std::optional<HttpHeaders>(const HttpHead &head)> reject_body;
	std::shared_ptr<HeldCounter> held; ///< Counts the memory of bodies and unsent answers; null for none.

private:
	/** A connection after its last answer, which is open until its caller has received it. */
	struct EndingConnection {
		std::shared_ptr<TcpStream> stream; ///< TCP connection.
		TimePoint awaited_until;           ///< Until when its caller waits.
		size_t undelivered = 0;            ///< Undelivered bytes at the last tick.
		TimePoint progress_at;             ///< Last tick at which the caller had received something.
	};

	void OnStream(std::shared_ptr<TcpStream> stream);
	/** End the connections of callers that are gone, if it is time to check. */
	void CheckPeers(TimePoint now);
	/** Close \a stream once its caller, who waits until \a awaited_until, has received what was sent. */
	void EndStream(const std::shared_ptr<TcpStream> &stream, TimePoint awaited_until);
	/** Close the ending connections that are delivered, or whose callers neither read nor wait any more. */
	void CloseDelivered(TimePoint now);

	uv_loop_s *loop;                                         ///< Event loop.
	Handler handler;                                         ///< Called for each request.
	bool closing = false;                                    ///< Connections are closed after their next answer.
	TimePoint next_peer_check;                               ///< When the callers are checked next.
	uint64_t next_id = 1;                                    ///< Number of the next connection.
	std::list<std::shared_ptr<FrontConnection>> connections; ///< Open connections.
	std::list<EndingConnection> ending;                      ///< Connections on which nothing more is read or written.
	TcpListener listener;                                    ///< Listener.

	friend class FrontConnection;
};

} // namespace cottonspool
