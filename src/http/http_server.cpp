/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_server.cpp HTTP server, using h2o on the libuv loop. */

#include "http/http_server.h"
#include <cstring>
#include <sys/socket.h>
#include <uv.h>

extern "C" {
#include <h2o.h>
}

namespace cottonspool {

/** Keeps an exchange alive; allocated in the memory pool of h2o's request. */
struct ExchangeHolder {
	h2o_generator_t generator;              ///< Must be the first member, as h2o passes a pointer to it to callbacks.
	std::shared_ptr<HttpExchange> exchange; ///< The exchange.
	uint32_t *open_exchanges;               ///< The server's number of exchanges.
};

/** h2o's state of a server. */
struct HttpServer::State {
	h2o_globalconf_t config{};    ///< Global configuration.
	h2o_context_t context{};      ///< Context bound to the loop.
	h2o_accept_ctx_t accept{};    ///< Accept context.
	uv_loop_t *loop = nullptr;    ///< Event loop.
	uv_tcp_t *listener = nullptr; ///< Listening socket.
	HttpLimits limits;            ///< Limits on requests and connections.
	Handler handler;              ///< Handler of requests.
	uint32_t connections = 0;     ///< Open connections.
	uint32_t exchanges = 0;       ///< Requests whose answers have not been sent in full.
};

/** h2o's handler, extended by the server's request handler. */
struct ServerHandler {
	h2o_handler_t super;      ///< Must be the first member, as h2o passes a pointer to it to OnRequest().
	HttpServer::Handler *run; ///< Request handler.
	uint32_t *open_exchanges; ///< The server's number of exchanges.
};

/** h2o callback: the data handed to h2o was sent. */
static void OnGeneratorProceed(h2o_generator_t *self, h2o_req_t *)
{
	reinterpret_cast<ExchangeHolder *>(self)->exchange->OnProceed();
}

/** h2o callback: the connection was closed before the answer was sent. */
static void OnGeneratorStop(h2o_generator_t *, h2o_req_t *)
{
	// DisposeHolder() follows and closes the exchange.
}

/** h2o callback: the request's memory pool is being freed. */
static void DisposeHolder(void *memory)
{
	auto *holder = static_cast<ExchangeHolder *>(memory);
	(*holder->open_exchanges)--;
	holder->exchange->OnDisposed();
	holder->~ExchangeHolder();
}

/** Copy the request out of h2o's memory. */
static HttpRequest CopyRequest(h2o_req_t *req)
{
	HttpRequest request;
	request.method.assign(req->method.base, req->method.len);
	std::string path(req->path.base, req->path.len);
	size_t mark = path.find('?');
	request.path = path.substr(0, mark);
	if (mark != std::string::npos) request.query = path.substr(mark + 1);
	for (size_t i = 0; i < req->headers.size; i++) {
		const h2o_header_t &header = req->headers.entries[i];
		request.headers.push_back({std::string(header.name->base, header.name->len), std::string(header.value.base, header.value.len)});
	}
	if (req->entity.base != nullptr) request.body.assign(req->entity.base, req->entity.len);
	return request;
}

/** h2o callback: a request was received in full. */
static int OnRequest(h2o_handler_t *self, h2o_req_t *req)
{
	auto *memory = h2o_mem_alloc_shared(&req->pool, sizeof(ExchangeHolder), DisposeHolder);
	uint32_t *open_exchanges = reinterpret_cast<ServerHandler *>(self)->open_exchanges;
	(*open_exchanges)++;
	auto *holder = new (memory) ExchangeHolder{{OnGeneratorProceed, OnGeneratorStop}, std::make_shared<HttpExchange>(), open_exchanges};
	holder->exchange->request = CopyRequest(req);
	holder->exchange->req = req;
	holder->exchange->generator = &holder->generator;
	std::shared_ptr<HttpExchange> exchange = holder->exchange;
	(*reinterpret_cast<ServerHandler *>(self)->run)(exchange);
	return 0;
}

/** Set the answer's status and headers. */
static void SetHead(h2o_req_t *req, int status, const HttpHeaders &headers)
{
	req->res.status = status;
	req->res.reason = status < 300 ? "OK" : "Error";
	for (const HttpHeader &header : headers) {
		h2o_iovec_t name = h2o_strdup(&req->pool, header.name.data(), header.name.size());
		h2o_iovec_t value = h2o_strdup(&req->pool, header.value.data(), header.value.size());
		for (size_t i = 0; i < name.len; i++) name.base[i] = static_cast<char>(h2o_tolower(name.base[i]));
		h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1, nullptr, value.base, value.len);
	}
}

void HttpExchange::Respond(int status, const HttpHeaders &headers, std::string body)
{
	if (this->IsClosed() || this->started) return;
	this->req->res.content_length = body.size();
	this->Start(status, headers);
	this->Write(body);
	this->Finish();
}

void HttpExchange::Start(int status, const HttpHeaders &headers)
{
	if (this->IsClosed() || this->started) return;
	this->started = true;
	SetHead(this->req, status, headers);
	h2o_start_response(this->req, static_cast<h2o_generator_t *>(this->generator));
}

void HttpExchange::Write(std::string_view data)
{
	if (this->IsClosed() || this->finished) return;
	this->pending.append(data);
	this->SendPending();
}

void HttpExchange::Finish()
{
	if (this->IsClosed() || this->finished) return;
	this->finished = true;
	this->SendPending();
}

void HttpExchange::Abort()
{
	this->aborted = true;
	this->Finish();
}

void HttpExchange::SendPending()
{
	if (this->send_in_progress || this->end_sent || this->IsClosed()) return;
	if (this->pending.empty() && !this->finished) return;
	this->sending.swap(this->pending);
	this->pending.clear();
	this->send_in_progress = true;
	this->end_sent = this->finished;
	h2o_iovec_t buffer = h2o_iovec_init(this->sending.data(), this->sending.size());
	h2o_send_state_t end = this->aborted ? H2O_SEND_STATE_ERROR : H2O_SEND_STATE_FINAL;
	h2o_send(this->req, &buffer, this->aborted ? 0 : 1, this->finished ? end : H2O_SEND_STATE_IN_PROGRESS);
}

void HttpExchange::OnProceed()
{
	this->send_in_progress = false;
	this->sending.clear();
	this->SendPending();
	if (!this->send_in_progress && this->on_drained) this->on_drained();
}

void HttpExchange::OnDisposed()
{
	this->req = nullptr;
	if (this->end_sent) this->sending.clear();
	std::function<void()> closed = std::move(this->on_closed);
	this->on_closed = nullptr;
	this->on_drained = nullptr;
	if (closed) closed();
}

bool HttpExchange::IsCallerDisconnected() const
{
	if (this->IsClosed()) return true;
	if (this->req->conn->callbacks->get_socket == nullptr) return false;
	h2o_socket_t *socket = this->req->conn->callbacks->get_socket(this->req->conn);
	if (socket == nullptr) return false;
	char byte = 0;
	ssize_t got = recv(h2o_socket_get_fd(socket), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

HttpServer::HttpServer(uv_loop_s *loop, HttpLimits limits, Handler handler) : state(std::make_unique<State>())
{
	this->state->loop = loop;
	this->state->limits = limits;
	this->state->handler = std::move(handler);
	h2o_globalconf_t *config = &this->state->config;
	h2o_config_init(config);
	config->max_request_entity_size = limits.max_body_bytes;
	config->http1.req_timeout =
	        static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(limits.request_timeout).count());
	config->http1.upgrade_to_http2 = 0;
	h2o_hostconf_t *host = h2o_config_register_host(config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
	auto *server_handler = reinterpret_cast<ServerHandler *>(h2o_create_handler(path, sizeof(ServerHandler)));
	server_handler->super.on_req = OnRequest;
	server_handler->run = &this->state->handler;
	server_handler->open_exchanges = &this->state->exchanges;
	h2o_context_init(&this->state->context, loop, config);
	this->state->accept.ctx = &this->state->context;
	this->state->accept.hosts = config->hosts;
}

HttpServer::~HttpServer()
{
	this->StopListening();
}

/** h2o callback: a connection was closed. @param data The server's number of connections. */
static void OnSocketClosed(void *data)
{
	(*static_cast<uint32_t *>(data))--;
}

Result<uint16_t> HttpServer::Listen(const std::string &ip, uint16_t port)
{
	auto *listener = new uv_tcp_t;
	uv_tcp_init(this->state->loop, listener);
	listener->data = this->state.get();
	sockaddr_in address{};
	std::string name = ip + ":" + std::to_string(port);
	if (uv_ip4_addr(ip.c_str(), port, &address) != 0) return Error{Step::Listen, name, "not an IPv4 address"};
	int bound = uv_tcp_bind(listener, reinterpret_cast<sockaddr *>(&address), 0);
	if (bound != 0) return Error{Step::Listen, name, uv_strerror(bound)};
	int listening = uv_listen(reinterpret_cast<uv_stream_t *>(listener), 511, [](uv_stream_t *stream, int status) {
		if (status != 0) return;
		auto *server = static_cast<State *>(stream->data);
		auto *connection = static_cast<uv_tcp_t *>(h2o_mem_alloc(sizeof(uv_tcp_t)));
		uv_tcp_init(stream->loop, connection);
		if (uv_accept(stream, reinterpret_cast<uv_stream_t *>(connection)) != 0 || server->connections >= server->limits.max_connections) {
			uv_close(reinterpret_cast<uv_handle_t *>(connection), [](uv_handle_t *handle) { free(handle); });
			return;
		}
		uv_tcp_nodelay(connection, 1);
		h2o_socket_t *socket = h2o_uv_socket_create(reinterpret_cast<uv_stream_t *>(connection), [](uv_handle_t *handle) { free(handle); });
		server->connections++;
		socket->on_close.cb = OnSocketClosed;
		socket->on_close.data = &server->connections;
		h2o_accept(&server->accept, socket);
	});
	if (listening != 0) return Error{Step::Listen, name, uv_strerror(listening)};
	this->state->listener = listener;
	int length = sizeof(address);
	uv_tcp_getsockname(listener, reinterpret_cast<sockaddr *>(&address), &length);
	return ntohs(address.sin_port);
}

void HttpServer::StopListening()
{
	if (this->state->listener == nullptr) return;
	uv_close(reinterpret_cast<uv_handle_t *>(this->state->listener),
	         [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
	this->state->listener = nullptr;
	h2o_context_request_shutdown(&this->state->context);
}

uint32_t HttpServer::OpenExchanges() const
{
	return this->state->exchanges;
}

uint32_t HttpServer::Connections() const
{
	return this->state->connections;
}

} // namespace cottonspool
