/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file websocket_session.h One websocket to another instance; plain C++17 header in front of websocketpp. */

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct uv_loop_s;
struct uv_stream_s;

namespace cottonspool {

/** One connection to a peer. All functions are called on the loop's thread. */
class WebsocketSession {
public:
	/** Functions that get what happens on the connection. */
	struct Callbacks {
		std::function<void()> on_open;                       ///< Messages can be sent from now on.
		std::function<void(const std::string &)> on_message; ///< A binary message came.
		std::function<void()> on_close;                      ///< It is over; nothing follows.
	};

	virtual ~WebsocketSession() = default;

	/** Connect to \a ip and \a port. */
	static std::shared_ptr<WebsocketSession> Dial(uv_loop_s *loop, const std::string &ip, uint16_t port, Callbacks callbacks);

	/** Take the connection that waits at \a listener. */
	static std::shared_ptr<WebsocketSession> Accept(uv_stream_s *listener, Callbacks callbacks);

	/** Send \a payload. @return False when the connection is not open or too much is unsent; it was dropped then. */
	virtual bool Send(const std::string &payload) = 0;

	/** Close at once. on_close is not called. */
	virtual void Close() = 0;
};

} // namespace cottonspool
