/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_upstream.h HTTP/1.1 client with a connection pool, which reports whether a failed request may have reached the server. */

#pragma once

#include "net/http_message.h"
#include "net/tcp_stream.h"
#include <list>
#include <map>
#include <vector>

namespace cottonspool {

class UpstreamConnection;

/** Outcome of a call. */
enum class UpstreamEnd : uint8_t {
	Complete, ///< The answer was received completely.
	NotSent,  ///< Certainly no byte of the request was sent.
	Refused,  ///< The connection was refused; nothing was sent.
	Broken,   ///< The connection failed before the answer was complete; the server may have received the request.
};

/** @return Whether a call that ended with \a end was certainly not sent. */
inline bool IsCertainlyUnsent(UpstreamEnd end)
{
	return end == UpstreamEnd::NotSent || end == UpstreamEnd::Refused;
}

/**
 * Limits on what a server sends as the answer to a call. A faulty server may send without end, and closing the connection is all that
 * stops it: where a limit is exceeded, the call ends as Broken. The head has the size limit of AnswerReader.
 */
struct AnswerLimits {
	uint32_t max_other_answers = 16;   ///< Interim answers, and answers to earlier requests, before the answer to the call.
	size_t max_body_bytes = 64U << 20; ///< Size of the body, and of those of such other answers together.
};

/** A call. Its callbacks are called from the event loop, never during Start(). */
struct UpstreamCall {
	Endpoint to;                ///< Address of the server.
	std::string peer;           ///< Name of the server process; connections are reused for the same name only.
	std::string method = "GET"; ///< Method.
	std::string target = "/";   ///< Path with query.
	HttpHeaders headers;        ///< Header fields without the Content-Length, which is added.
	std::string body;           ///< Body.
	Duration connect_timeout = std::chrono::milliseconds(500); ///< Time limit for connecting.
	Duration max_reuse_idle = std::chrono::seconds(4); ///< Longest idle time of a pooled connection to be used; zero for a new connection.
	AnswerLimits limits;                               ///< Limits on the answer.
	std::function<bool(const HttpHead &)> on_head;     ///< Head of an answer; returns false to drop an answer to an earlier request.
	/**
	 * Whether the head of an answer names the call that it answers; empty if answers to this call never do. A server may send an answer
	 * twice, and only such a name tells the copy from the answer to the next call. After an answer without it the connection is closed, and
	 * calls without this function have connections of their own.
	 */
	std::function<bool(const HttpHead &)> names_call;
	std::function<void(std::string_view)> on_body;         ///< A part of the body.
	std::function<void(UpstreamEnd, const char *)> on_end; ///< End of the call; the text is the cause of a failure.
};

/** Counters of calls and connections. */
struct UpstreamCounters {
	uint64_t calls = 0;             ///< Calls started.
	uint64_t connects = 0;          ///< Connections opened.
	uint64_t stray_answers = 0;     ///< Answers dropped, as they did not belong to the current request.
	uint64_t oversized_answers = 0; ///< Answers broken off, as they exceeded a limit.
	uint64_t malformed_answers = 0; ///< Answers broken off, as they broke HTTP.
};

/** HTTP client with a connection pool. */
class HttpUpstream {
public:
	explicit HttpUpstream(uv_loop_s *loop) : loop(loop) {}
	~HttpUpstream();
	HttpUpstream(const HttpUpstream &) = delete;
	HttpUpstream &operator=(const HttpUpstream &) = delete;

	/** Start \a call. @return Call number. */
	uint64_t Start(UpstreamCall call);

	/** Cancel a call and reset its connection; no callback is called any more. */
	void Cancel(uint64_t call);

	/** @return Whether the connection of \a call has been established, so that the request may have been sent. */
	[[nodiscard]] bool IsConnected(uint64_t call) const;

	/** Pause or resume reading the answer of a call. */
	void SetReading(uint64_t call, bool reading);

	/** Close the idle connections to \a peer. */
	void CloseIdle(const std::string &peer);

	/** Check timeouts; to be called several times per second. */
	void OnTick(TimePoint now);

	/** Close all connections; no callback is called any more. */
	void Shutdown();

	/** @return Counters since the start. */
	const UpstreamCounters &Counters() const { return this->counters; }

	std::shared_ptr<HeldCounter> held; ///< Counts the memory of unsent requests; null for none.
	/** The answer to a call breaks HTTP; called before the call's on_end. */
	std::function<void(const UpstreamCall &call, const std::string &fault)> on_malformed;

private:
	std::shared_ptr<UpstreamConnection> AcquireIdle(const UpstreamCall &call, TimePoint now);
	/** End the calls to servers that are gone, if it is time to check. */
	void CheckPeers(TimePoint now);

	uv_loop_s *loop;                                                            ///< Event loop.
	std::map<uint64_t, std::shared_ptr<UpstreamConnection>> active;             ///< Connections in use, by call number.
	std::map<std::string, std::list<std::shared_ptr<UpstreamConnection>>> idle; ///< Idle connections by pool; see PoolOf().
	uint64_t next = 1;                                                          ///< Number of the next call.
	TimePoint next_peer_check;                                                  ///< When the servers are checked next.
	UpstreamCounters counters;                                                  ///< Counters.

	friend class UpstreamConnection;
};

} // namespace cottonspool
