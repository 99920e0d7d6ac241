/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_links.h Links to other instances, which carry all messages between them. */

#pragma once

#include "peer/peer_message.h"
#include "peer/websocket_session.h"
#include <map>
#include <set>

struct uv_loop_s;
struct uv_tcp_s;

namespace cottonspool {

/** Counters of the links. */
struct PeerCounters {
	uint64_t messages_out = 0; ///< Messages sent.
	uint64_t messages_in = 0;  ///< Messages received.
	uint64_t bytes_out = 0;    ///< Payload bytes sent.
	uint64_t bytes_in = 0;     ///< Payload bytes received.
	uint64_t bad_messages = 0; ///< Messages that could not be decoded.
};

/** Keeps one link to each wanted peer, and accepts links from others. */
class PeerLinks {
public:
	/** Answers a message on the link it arrived on. */
	class Reply {
	public:
		using Send = std::function<void(const std::string &)>;

		explicit Reply(Send send) : send(std::move(send)) {}

		/** Answer with \a message. */
		void operator()(const PeerMessage &message) const { this->send(EncodePeerMessage(message)); }

		/** Answer with an encoded message. */
		void Bytes(const std::string &bytes) const { this->send(bytes); }

	private:
		Send send;
	};
	using Handler = std::function<void(const PeerMessage &, const Reply &)>;

	PeerLinks(uv_loop_s *loop, Handler handler) : loop(loop), handler(std::move(handler)) {}
	~PeerLinks() { this->Shutdown(); }

	/** Listen on \a ip and \a port; port 0 takes a free one. @return The port. */
	Result<uint16_t> Listen(const std::string &ip, uint16_t port);

	/** Keep links to exactly these addresses (IP:PORT), and connect to those without one. */
	void SetWanted(const std::vector<std::string> &addresses);

	/** Send \a message on every link that this instance opened, except those to \a except. @return Its size in bytes. */
	size_t Broadcast(const PeerMessage &message, const std::set<std::string> &except = {});

	/** Send an encoded message on every link that this instance opened, except those to \a except. */
	void BroadcastBytes(const std::string &bytes, const std::set<std::string> &except = {});

	/** Close all links and the listener. */
	void Shutdown();

	/** @return Number of open links that this instance opened. */
	size_t OpenLinks() const;

	/** Send \a message on the link to \a address, if it is open. */
	void SendTo(const std::string &address, const PeerMessage &message);

	/** @return The state of the link to \a address. */
	LinkState LinkStateOf(const std::string &address) const;

	/** Called with the address when a link of this instance is ready for messages. */
	std::function<void(const std::string &)> on_link_open;
	std::function<void(const std::string &)> on_link_closed; ///< Called with the address when such a link has closed.

	/** @return Counters since the start. */
	const PeerCounters &Counters() const { return this->counters; }

private:
	/** A link that this instance opened. */
	struct Link {
		std::shared_ptr<WebsocketSession> session;
		bool open = false; ///< Whether the handshake has completed.
	};

	void Dial(const std::string &address);
	void OnMessage(const std::string &bytes, const std::weak_ptr<WebsocketSession> &from);
	bool SendOn(const std::shared_ptr<WebsocketSession> &session, const std::string &bytes);

	uv_loop_s *loop;
	Handler handler; ///< Receives decoded messages.
	uv_tcp_s *listener = nullptr;
	std::map<std::string, Link> links;                              ///< Links of this instance by address.
	std::map<uint64_t, std::shared_ptr<WebsocketSession>> accepted; ///< Links from other instances by number.
	uint64_t next_accepted = 1;                                     ///< Number of the next accepted link.
	PeerCounters counters;
};

} // namespace cottonspool
