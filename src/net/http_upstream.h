/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_upstream.h HTTP/1.1 calls to targets and to the store, over kept connections, with certainty about what was sent. */

#pragma once

#include "net/http_message.h"
#include "net/tcp_stream.h"
#include <list>
#include <map>

namespace cottonspool {

class UpstreamConnection;

/** How a call ended. */
enum class UpstreamEnd : uint8_t {
	Complete, ///< The whole answer came.
	NotSent,  ///< Certain: no byte of the request has left.
	Refused,  ///< The same, as nobody listens there.
	Broken,   ///< The connection ended before the answer was whole; the other side may have got the request.
};

/** @return Whether it is certain that no byte of a call has left that ended with \a end. */
inline bool IsCertainlyUnsent(UpstreamEnd end)
{
	return end == UpstreamEnd::NotSent || end == UpstreamEnd::Refused;
}

/** One call to make. Its functions are called from the loop, never from inside Start(). */
struct UpstreamCall {
	Endpoint to;                                               ///< Where to.
	std::string peer;                                          ///< Name of the other process: a connection is kept for the same one only.
	std::string method = "GET";                                ///< Method.
	std::string target = "/";                                  ///< Path with the query.
	HttpHeaders headers;                                       ///< Header fields; the length is added.
	std::string body;                                          ///< Body.
	Duration connect_timeout = std::chrono::milliseconds(500); ///< Longest time to connect.
	Duration max_reuse_idle = std::chrono::seconds(4);     ///< Longest rest of a connection that may be used; zero asks for a fresh one.
	std::function<bool(const HttpHead &)> on_head;         ///< Head of an answer; false if it belongs to an earlier request: it is dropped.
	std::function<void(std::string_view)> on_body;         ///< A part of the body.
	std::function<void(UpstreamEnd, const char *)> on_end; ///< It is over; the text is the cause.
};

/** Counters of upstream connections. */
struct UpstreamCounters {
	uint64_t calls = 0;         ///< Calls started.
	uint64_t connects = 0;      ///< Connections opened.
	uint64_t stray_answers = 0; ///< Answers dropped since they belonged to an earlier request.
};

/** Makes calls and keeps connections. */
class HttpUpstream {
public:
	explicit HttpUpstream(uv_loop_s *loop) : loop(loop) {}
	~HttpUpstream();
	HttpUpstream(const HttpUpstream &) = delete;
	HttpUpstream &operator=(const HttpUpstream &) = delete;

	/** Start \a call. @return Its number. */
	uint64_t Start(UpstreamCall call);

	/** End a call without any further function being called; the connection is closed. */
	void Cancel(uint64_t call);

	/** @return Whether the connection of \a call is open, so that the request is on its way. */
	[[nodiscard]] bool IsConnected(uint64_t call) const;

	/** Stop or go on reading the answer of a call. */
	void SetReading(uint64_t call, bool reading);

	/** Close the kept connections to \a peer. */
	void CloseIdle(const std::string &peer);

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

	/** Close everything. */
	void Shutdown();

	/** @return Counters since the start. */
	const UpstreamCounters &Counters() const { return this->counters; }

private:
	std::shared_ptr<UpstreamConnection> AcquireIdle(const UpstreamCall &call, TimePoint now);

	uv_loop_s *loop;                                                            ///< Loop.
	std::map<uint64_t, std::shared_ptr<UpstreamConnection>> active;             ///< Connections with a call.
	std::map<std::string, std::list<std::shared_ptr<UpstreamConnection>>> idle; ///< Kept connections by peer.
	uint64_t next = 1;                                                          ///< Number of the next call.
	UpstreamCounters counters;                                                  ///< Counters.

	friend class UpstreamConnection;
};

} // namespace cottonspool
