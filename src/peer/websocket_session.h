/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file websocket_session.h One WebSocket to another instance; a C++17 header without websocketpp's own ones. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct uv_loop_s;
struct uv_stream_s;

namespace cottonspool {

/** One connection to a peer. All functions are called on the event loop's thread. */
class WebsocketSession {
public:
	/** Handlers of events on the connection. */
	struct Callbacks {
		std::function<void()> on_open;                       ///< Messages can be sent from now on.
		std::function<void(const std::string &)> on_message; ///< A binary message has arrived.
		std::function<void()> on_close;                      ///< The connection has closed; no further events follow.
	};

	virtual ~WebsocketSession() = default;

	/** Connect to \a ip and \a port. */
	static std::shared_ptr<WebsocketSession> Dial(uv_loop_s *loop, const std::string &ip, uint16_t port, Callbacks callbacks);

	/** Accept the connection pending at \a listener. */
	static std::shared_ptr<WebsocketSession> Accept(uv_stream_s *listener, Callbacks callbacks);

	/** Send \a payload. @return False if the connection is not open or its buffer is full; the message is dropped then. */
	virtual bool Send(const std::string &payload) = 0;

	/** Close at once, without a call of on_close. */
	virtual void Close() = 0;
};

} // namespace cottonspool
