/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_front.cpp HTTP/1.1 server that keeps reading while a request is processed. */

#include "net/http_front.h"
#include <strings.h>

namespace cottonspool {

static constexpr size_t MAX_PIPELINED_BYTES = 256U << 10; ///< Limit on bytes read behind the current request.

/** A connection of a caller. */
class FrontConnection : public std::enable_shared_from_this<FrontConnection> {
public:
	FrontConnection(HttpFront &front, std::shared_ptr<TcpStream> stream);

	/** Install the callbacks of the connection. */
	void Begin();

	/** Check the timeouts. */
	void OnTick(TimePoint now);

	/** @return Whether there is no request at present. */
	bool IsIdle() const { return !this->exchange && !this->reader.IsInsideMessage(); }

	/** Close the connection. @param notify Call on_disconnect of the current request. */
	void Close(bool notify);

	/** Handle the end of the current answer. */
	void OnAnswered(bool keep_alive);

	/** Reset the connection, so that the caller does not take the answer for complete. */
	void Break();

	HttpFront &front;                                                    ///< Server.
	std::shared_ptr<TcpStream> stream;                                   ///< TCP connection.
	std::list<std::shared_ptr<FrontConnection>>::iterator list_position; ///< Position in the server's list.

private:
	void OnData(std::string_view bytes);
	void OnHead(HttpHead &&head);
	void OnBody(std::string_view bytes);
	void OnComplete();
	void ReadPipelined();
	void Refuse(int status);
	void RefuseMalformed();
	void Unregister();

	HttpReader reader{HttpReader::Kind::Requests}; ///< Parser of the requests.
	std::shared_ptr<FrontExchange> exchange;       ///< Request being received or processed.
	bool in_handler = false;                       ///< The request was passed to the handler.
	bool in_reader = false;                        ///< The parser is running, so that it must not be resumed.
	TimePoint waiting_since;                       ///< Start of the time to which the current timeout applies.
	bool unregistered = false;                     ///< Removed from the server's list.
	bool refused = false;                          ///< Further input is ignored.
};

FrontConnection::FrontConnection(HttpFront &front, std::shared_ptr<TcpStream> stream) : front(front), stream(std::move(stream))
{
	this->waiting_since = MonotonicNow();
	this->reader.max_head_bytes = front.limits.max_head_bytes;
	this->reader.on_head = [this](HttpHead &&head) { this->OnHead(std::move(head)); };
	this->reader.on_body = [this](std::string_view bytes) { this->OnBody(bytes); };
	this->reader.on_complete = [this] { this->OnComplete(); };
}

void FrontConnection::Begin()
{
	std::weak_ptr<FrontConnection> weak = this->weak_from_this();
	this->stream->on_data = [weak](std::string_view bytes) {
		if (auto self = weak.lock()) self->OnData(bytes);
	};
	this->stream->on_end = [weak](TcpEnd, const char *) {
		if (auto self = weak.lock()) self->Close(true);
	};
	this->stream->on_drained = [weak] {
		auto self = weak.lock();
		if (self && self->exchange && self->exchange->on_drained) self->exchange->on_drained();
	};
}

void FrontConnection::OnData(std::string_view bytes)
{
	if (this->refused) return;
	auto self_reference = this->shared_from_this();
	if (this->IsIdle()) this->waiting_since = MonotonicNow();
	this->reader.max_head_bytes = this->front.limits.max_head_bytes;
	this->in_reader = true;
	bool readable = this->reader.Add(bytes);
	this->in_reader = false;
	if (!readable) this->RefuseMalformed();
	this->ReadPipelined();
	if (this->in_handler && this->reader.BufferedBytes() > MAX_PIPELINED_BYTES) this->stream->SetReading(false);
}

void FrontConnection::ReadPipelined()
{
	if (this->in_reader) return;
	// A loop instead of recursion, as many small pipelined requests would overflow the stack.
	while (!this->refused && !this->in_handler && this->reader.IsPaused()) {
		this->in_reader = true;
		bool readable = this->reader.Resume();
		this->in_reader = false;
		if (!readable) this->RefuseMalformed();
	}
}

void FrontConnection::OnHead(HttpHead &&head)
{
	this->exchange = std::make_shared<FrontExchange>();
	this->exchange->connection = this;
	this->exchange->keep_alive = head.keep_alive;
	this->exchange->head = std::move(head);
	this->waiting_since = MonotonicNow();
	if (this->exchange->head.length.value_or(0) > this->front.limits.max_body_bytes) return this->Refuse(413);
	std::string_view expect = FindHeader(this->exchange->head.headers, "expect");
	// Without the field the view has no data, and a null pointer is invalid for strncasecmp() even if the length is 0.
	if (!expect.empty() && strncasecmp(expect.data(), "100-continue", expect.size()) == 0) {
		this->stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
	}
}

void FrontConnection::OnBody(std::string_view bytes)
{
	if (this->refused || !this->exchange) return;
	this->waiting_since = MonotonicNow();
	if (this->exchange->body.size() + bytes.size() > this->front.limits.max_body_bytes) return this->Refuse(413);
	this->exchange->body.append(bytes);
}

void FrontConnection::OnComplete()
{
	if (this->refused || !this->exchange) return;
	this->exchange->read_at = MonotonicNow();
	this->in_handler = true;
	this->front.handler(this->exchange);
}

void FrontConnection::Refuse(int status)
{
	if (this->refused) return;
	this->refused = true;
	std::string text =
	        "HTTP/1.1 " + std::to_string(status) + " " + ReasonPhrase(status) + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
	if (this->exchange) this->exchange->connection = nullptr;
	this->exchange.reset();
	this->stream->Write(std::move(text));
	this->stream->CloseAfterWrites();
	this->Unregister();
}

void FrontConnection::RefuseMalformed()
{
	// The malformed bytes belong to a later request; the current one is still answered.
	if (this->in_handler) {
		this->refused = true;
		if (this->exchange) this->exchange->keep_alive = false;
		return;
	}
	this->Refuse(this->reader.Error() == HttpReadError::HeadersTooBig ? 431 : 400);
}

void FrontConnection::OnTick(TimePoint now)
{
	if (this->in_handler || this->refused) return;
	Duration waited = now - this->waiting_since;
	const FrontLimits &limits = this->front.limits;
	if (this->IsIdle()) {
		if (waited > limits.idle_timeout) this->Close(false);
		return;
	}
	Duration timeout = this->exchange ? limits.body_timeout : limits.head_timeout;
	if (waited > timeout) this->Refuse(408);
}

void FrontConnection::OnAnswered(bool keep_alive)
{
	auto self_reference = this->shared_from_this();
	this->exchange->connection = nullptr;
	this->exchange.reset();
	this->in_handler = false;
	this->waiting_since = MonotonicNow();
	if (!keep_alive || this->refused) {
		this->refused = true;
		this->stream->CloseAfterWrites();
		return this->Unregister();
	}
	this->stream->SetReading(true);
	this->ReadPipelined();
}

void FrontConnection::Break()
{
	auto self_reference = this->shared_from_this();
	this->exchange->connection = nullptr;
	this->exchange.reset();
	this->refused = true;
	this->stream->Abort();
	this->Unregister();
}

void FrontConnection::Close(bool notify)
{
	auto self_reference = this->shared_from_this();
	std::shared_ptr<FrontExchange> interrupted = std::move(this->exchange);
	this->refused = true;
	this->stream->Close();
	this->Unregister();
	if (!interrupted) return;
	interrupted->connection = nullptr;
	if (notify && this->in_handler && interrupted->on_disconnect) interrupted->on_disconnect();
}

void FrontConnection::Unregister()
{
	if (this->unregistered) return;
	this->unregistered = true;
	this->front.connections.erase(this->list_position);
}

void FrontExchange::SendHead(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason,
                             std::string_view first)
{
	if (this->connection->front.IsClosing()) this->keep_alive = false;
	std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
	out += reason.empty() ? std::string_view(ReasonPhrase(status)) : reason;
	out += "\r\n";
	AppendHeaders(out, headers);
	bool bodiless = status == 204 || status == 304;
	this->chunked = !length && !bodiless;
	if (this->chunked) out += "Transfer-Encoding: chunked\r\n";
	if (length && !bodiless) out += "Content-Length: " + std::to_string(*length) + "\r\n";
	if (!this->keep_alive) out += "Connection: close\r\n";
	out += "\r\n";
	out += first;
	this->started = true;
	this->connection->stream->Write(std::move(out));
}

void FrontExchange::Respond(int status, const HttpHeaders &headers, std::string_view answer_body, std::string_view reason)
{
	if (this->IsOver() || this->started) return;
	bool head_only = this->head.method == "HEAD";
	this->SendHead(status, headers, answer_body.size(), reason, head_only ? std::string_view() : answer_body);
	this->connection->OnAnswered(this->keep_alive);
}

void FrontExchange::Start(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason)
{
	if (this->IsOver() || this->started) return;
	this->SendHead(status, headers, length, reason, {});
}

void FrontExchange::Write(std::string_view bytes)
{
	if (this->IsOver() || bytes.empty()) return;
	if (!this->chunked) return this->connection->stream->Write(std::string(bytes));
	char size[24];
	snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
	std::string chunk = size;
	chunk += bytes;
	chunk += "\r\n";
	this->connection->stream->Write(std::move(chunk));
}

void FrontExchange::Finish()
{
	if (this->IsOver()) return;
	if (this->chunked) this->connection->stream->Write("0\r\n\r\n");
	this->connection->OnAnswered(this->keep_alive);
}

void FrontExchange::Abort()
{
	if (!this->IsOver()) this->connection->Break();
}

size_t FrontExchange::Backlog() const
{
	return this->IsOver() ? 0 : this->connection->stream->Backlog();
}

HttpFront::HttpFront(uv_loop_s *loop, Handler handler)
    : loop(loop), handler(std::move(handler)),
      listener(loop, [this](std::shared_ptr<TcpStream> stream) { this->OnStream(std::move(stream)); })
{
}

HttpFront::~HttpFront()
{
	while (!this->connections.empty()) this->connections.front()->Close(false);
}

void HttpFront::OnStream(std::shared_ptr<TcpStream> stream)
{
	auto connection = std::make_shared<FrontConnection>(*this, std::move(stream));
	this->connections.push_back(connection);
	connection->list_position = std::prev(this->connections.end());
	connection->Begin();
}

void HttpFront::StopListening()
{
	this->closing = true;
	this->listener.Stop();
	for (auto it = this->connections.begin(); it != this->connections.end();) {
		std::shared_ptr<FrontConnection> connection = *it++;
		if (connection->IsIdle()) connection->Close(false);
	}
}

void HttpFront::OnTick(TimePoint now)
{
	for (auto it = this->connections.begin(); it != this->connections.end();) {
		std::shared_ptr<FrontConnection> connection = *it++;
		connection->OnTick(now);
	}
}

} // namespace cottonspool
