/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file websocket_session.cpp One WebSocket to another instance, by websocketpp's iostream transport over libuv. */

#include "peer/websocket_session.h"
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <uv.h>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace cottonspool {

static constexpr size_t MAX_MESSAGE_BYTES = 64U << 20;       ///< Size limit of a received message.
static constexpr unsigned UNACKNOWLEDGED_TIMEOUT_MS = 10000; ///< TCP_USER_TIMEOUT of a link.
static constexpr size_t MAX_UNSENT_BYTES = 96U << 20;        ///< Unsent bytes above which messages are dropped.

using ServerEndpoint = websocketpp::server<websocketpp::config::core>;
using ClientEndpoint = websocketpp::client<websocketpp::config::core_client>;

/** A session over a client or server endpoint of websocketpp. */
template <typename Endpoint> class UvSession : public WebsocketSession, public std::enable_shared_from_this<UvSession<Endpoint>> {
public:
	using Connection = typename Endpoint::connection_ptr;

	explicit UvSession(Callbacks callbacks) : callbacks(std::move(callbacks))
	{
		this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
		this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
		this->endpoint.set_max_message_size(MAX_MESSAGE_BYTES);
		this->endpoint.set_write_handler(
		        [this](websocketpp::connection_hdl, const char *data, size_t size) { return this->WriteOut(data, size); });
		this->endpoint.set_open_handler([this](websocketpp::connection_hdl) {
			this->open = true;
			// Copied, as the handler may close this session, which clears its callbacks.
			if (auto on_open = this->callbacks.on_open) on_open();
		});
		this->endpoint.set_message_handler([this](websocketpp::connection_hdl, typename Endpoint::message_ptr message) {
			if (auto on_message = this->callbacks.on_message) on_message(message->get_payload());
		});
		this->endpoint.set_close_handler([this](websocketpp::connection_hdl) { this->ended = true; });
		this->endpoint.set_fail_handler([this](websocketpp::connection_hdl) { this->ended = true; });
	}

	/** Start to use \a connection over the socket. */
	void Begin(Connection new_connection)
	{
		this->connection = new_connection;
		uv_tcp_nodelay(this->Socket(), 1);
		uv_os_fd_t descriptor = -1;
		unsigned limit = UNACKNOWLEDGED_TIMEOUT_MS;
		if (uv_fileno(reinterpret_cast<uv_handle_t *>(this->Socket()), &descriptor) == 0) {
			setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
		}
		uv_read_start(
		        reinterpret_cast<uv_stream_t *>(this->Socket()),
		        [](uv_handle_t *, size_t, uv_buf_t *buffer) { *buffer = uv_buf_init(static_cast<char *>(malloc(65536)), 65536); },
		        [](uv_stream_t *stream, ssize_t got, const uv_buf_t *buffer) {
			        auto self = static_cast<UvSession *>(stream->data)->shared_from_this();
			        self->reading = true;
			        if (got > 0) self->connection->read_all(buffer->base, static_cast<size_t>(got));
			        self->reading = false;
			        free(buffer->base);
			        if (got < 0 || self->ended) self->End();
		        });
	}

	bool Send(const std::string &payload) override
	{
		if (!this->open || this->closing || this->unsent > MAX_UNSENT_BYTES) return false;
		return !this->connection->send(payload, websocketpp::frame::opcode::binary);
	}

	void Close() override
	{
		this->callbacks = {};
		this->open = false;
		// websocketpp holds its lock while it delivers messages; ending the connection from there would deadlock.
		this->ended = true;
		if (!this->reading) this->End();
	}

	/** @return The socket. */
	uv_tcp_t *Socket() { return &this->socket; }

	/** Keep this session alive until its socket is closed. */
	void Keep() { this->self = this->shared_from_this(); }

	/** Close the socket and notify websocketpp and the user. */
	void End()
	{
		if (this->closing) return;
		this->closing = true;
		if (this->connection) this->connection->eof();
		std::function<void()> on_close = std::move(this->callbacks.on_close);
		this->callbacks = {};
		uv_close(reinterpret_cast<uv_handle_t *>(&this->socket), [](uv_handle_t *handle) {
			auto *session = static_cast<UvSession *>(handle->data);
			std::shared_ptr<UvSession> last = std::move(session->self);
		});
		if (on_close) on_close();
	}

	Endpoint endpoint; ///< websocketpp's endpoint for one connection.

private:
	websocketpp::lib::error_code WriteOut(const char *data, size_t size)
	{
		if (this->closing) return websocketpp::lib::error_code();
		struct Write {
			uv_write_t request;
			std::string data;
			std::shared_ptr<UvSession> from;
		};
		auto *write = new Write{{}, std::string(data, size), this->shared_from_this()};
		write->request.data = write;
		this->unsent += size;
		uv_buf_t buffer = uv_buf_init(&write->data[0], static_cast<unsigned>(size));
		uv_write(&write->request, reinterpret_cast<uv_stream_t *>(&this->socket), &buffer, 1, [](uv_write_t *request, int) {
			auto *done = static_cast<Write *>(request->data);
			done->from->unsent -= done->data.size();
			delete done;
		});
		return websocketpp::lib::error_code();
	}

	Callbacks callbacks;
	uv_tcp_t socket{};
	Connection connection;
	std::shared_ptr<UvSession> self; ///< Keeps the session alive while its socket is open.
	size_t unsent = 0;               ///< Bytes not yet written.
	bool open = false;               ///< Whether the handshake has completed.
	bool ended = false;              ///< Whether the connection has ended.
	bool reading = false;            ///< Whether websocketpp is processing received bytes.
	bool closing = false;            ///< Whether the socket is being closed.
};

std::shared_ptr<WebsocketSession> WebsocketSession::Dial(uv_loop_s *loop, const std::string &ip, uint16_t port, Callbacks callbacks)
{
	auto session = std::make_shared<UvSession<ClientEndpoint>>(std::move(callbacks));
	session->Keep();
	uv_tcp_init(loop, session->Socket());
	session->Socket()->data = session.get();
	websocketpp::lib::error_code error;
	auto connection = session->endpoint.get_connection("ws://" + ip + ":" + std::to_string(port) + "/peer", error);
	sockaddr_in address{};
	if (error || uv_ip4_addr(ip.c_str(), port, &address) != 0) return nullptr;
	struct Connect {
		uv_connect_t request;
		std::shared_ptr<UvSession<ClientEndpoint>> session;
		ClientEndpoint::connection_ptr connection;
	};
	auto *connect = new Connect{{}, session, connection};
	connect->request.data = connect;
	uv_tcp_connect(&connect->request, session->Socket(), reinterpret_cast<sockaddr *>(&address), [](uv_connect_t *request, int status) {
		std::unique_ptr<Connect> done(static_cast<Connect *>(request->data));
		if (status != 0) return done->session->End();
		done->session->Begin(done->connection);
		done->session->endpoint.connect(done->connection);
	});
	return session;
}

std::shared_ptr<WebsocketSession> WebsocketSession::Accept(uv_stream_s *listener, Callbacks callbacks)
{
	auto session = std::make_shared<UvSession<ServerEndpoint>>(std::move(callbacks));
	session->Keep();
	uv_tcp_init(listener->loop, session->Socket());
	session->Socket()->data = session.get();
	if (uv_accept(listener, reinterpret_cast<uv_stream_t *>(session->Socket())) != 0) {
		session->End();
		return nullptr;
	}
	auto connection = session->endpoint.get_connection();
	session->Begin(connection);
	connection->start();
	return session;
}

} // namespace cottonspool
