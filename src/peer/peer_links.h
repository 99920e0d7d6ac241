/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_links.h Links to other instances: heartbeats, pushes of configuration, fetches. */

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
	uint64_t messages_in = 0;  ///< Messages taken.
	uint64_t bytes_out = 0;    ///< Payload bytes sent.
	uint64_t bytes_in = 0;     ///< Payload bytes taken.
	uint64_t bad_messages = 0; ///< Messages that could not be read.
};

/** Keeps one link to each wanted peer, and takes links from others. */
class PeerLinks {
public:
	/** Answers a message on the link it came on. */
	class Reply {
	public:
		using Send = std::function<void(const std::string &)>;

		explicit Reply(Send send) : send(std::move(send)) {}

		/** Answer with \a message. */
		void operator()(const PeerMessage &message) const { this->send(EncodePeerMessage(message)); }

		/** The same with a message that was encoded already. */
		void Bytes(const std::string &bytes) const { this->send(bytes); }

	private:
		Send send; ///< Sends an encoded message.
	};
	using Handler = std::function<void(const PeerMessage &, const Reply &)>;

	PeerLinks(uv_loop_s *loop, Handler handler) : loop(loop), handler(std::move(handler)) {}
	~PeerLinks() { this->Shutdown(); }

	/** Listen on \a ip and \a port; port 0 takes a free one. @return The port. */
	Result<uint16_t> Listen(const std::string &ip, uint16_t port);

	/** Keep links to exactly these addresses (IP:PORT); missing ones are dialled anew. */
	void SetWanted(const std::vector<std::string> &addresses);

	/** Send \a message on every link that this instance dialled, but for those to \a except. @return Its size in bytes. */
	size_t Broadcast(const PeerMessage &message, const std::set<std::string> &except = {});

	/** The same with a message that was encoded already. */
	void BroadcastBytes(const std::string &bytes, const std::set<std::string> &except = {});

	/** Close everything. */
	void Shutdown();

	/** @return Open links that this instance dialled. */
	size_t OpenLinks() const;

	/** Send \a message on the link to \a address, if it is open. */
	void SendTo(const std::string &address, const PeerMessage &message);

	/** @return How far the link to \a address has come. */
	LinkState LinkStateOf(const std::string &address) const;

	std::function<void(const std::string &)> on_link_open; ///< Called with the address when a link that this instance dialled can be used.
	std::function<void(const std::string &)> on_link_closed; ///< Called with the address when such a link has ended.

	/** @return Counters since the start. */
	const PeerCounters &Counters() const { return this->counters; }

private:
	/** A link that this instance dialled. */
	struct Link {
		std::shared_ptr<WebsocketSession> session; ///< Connection.
		bool open = false;                         ///< Handshake over.
	};

	void Dial(const std::string &address);
	void OnMessage(const std::string &bytes, const std::weak_ptr<WebsocketSession> &from);
	bool SendOn(const std::shared_ptr<WebsocketSession> &session, const std::string &bytes);

	uv_loop_s *loop;                                                ///< Loop.
	Handler handler;                                                ///< Handler of messages.
	uv_tcp_s *listener = nullptr;                                   ///< Listening socket.
	std::map<std::string, Link> links;                              ///< Dialled links by address.
	std::map<uint64_t, std::shared_ptr<WebsocketSession>> accepted; ///< Links from others.
	uint64_t next_accepted = 1;                                     ///< Number of the next link from another.
	PeerCounters counters;                                          ///< Counters.
};

} // namespace cottonspool
