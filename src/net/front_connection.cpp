/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file front_connection.cpp A connection of a caller: its requests, its timeouts and its end. */

#include "net/front_connection.h"
#include <algorithm>
#include <strings.h>

namespace cottonspool {

static constexpr size_t MAX_PIPELINED_BYTES = 256U << 10; ///< Limit on bytes read behind the current request.

FrontConnection::FrontConnection(HttpFront &front, std::shared_ptr<TcpStream> stream)
    : front(front), id(front.next_id++), stream(std::move(stream))
{
	this->waiting_since = this->progress_at = MonotonicNow();
	this->stream->held.Bind(front.held, &HeldBytes::answers);
	this->held_pipelined.Bind(front.held, &HeldBytes::bodies);
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
	this->held_pipelined.Set(this->reader.BufferedBytes());
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
	if (head.http_1_0) this->exchange->EndBodyByClose();
	this->exchange->head = std::move(head);
	this->exchange->held_body.Bind(this->front.held, &HeldBytes::bodies);
	this->exchange->held_buffer.Bind(this->front.held, &HeldBytes::answers);
	this->waiting_since = this->exchange->begun_at = MonotonicNow();
	if (this->exchange->head.length.value_or(0) > this->front.limits.max_body_bytes) return this->Refuse(413);
	bool has_body = this->exchange->head.chunked || this->exchange->head.length.value_or(0) > 0;
	if (has_body && this->front.reject_body) {
		if (auto headers = this->front.reject_body(this->exchange->head)) return this->RejectReceiving(*headers);
	}
	std::string_view expect = FindHeader(this->exchange->head.headers, "expect");
	// Without the field the view has no data, and a null pointer is invalid for strncasecmp() even if the length is 0.
	if (!expect.empty() && strncasecmp(expect.data(), "100-continue", expect.size()) == 0) {
		this->stream->Write("HTTP/1.1 100 Continue\r\n\r\n");
	}
}

void FrontConnection::OnBody(std::string_view bytes)
{
	if (this->refused) return;
	this->waiting_since = MonotonicNow();
	if (!this->exchange) return;
	if (this->exchange->body.size() + bytes.size() > this->front.limits.max_body_bytes) return this->Refuse(413);
	this->exchange->body.append(bytes);
	// Counting may reject this request.
	std::shared_ptr<FrontExchange> counted = this->exchange;
	counted->held_body.Set(counted->body.capacity());
}

void FrontConnection::OnComplete()
{
	if (this->discarding) {
		this->discarding = false;
		if (this->keep_after_discarding) return;
		this->refused = true;
		this->front.EndStream(this->stream, this->awaited_until);
		return this->Unregister();
	}
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
	if (!this->discarding) this->stream->Write(std::move(text));
	this->front.EndStream(this->stream, this->awaited_until);
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

bool FrontConnection::IsUnread(TimePoint now, TimePoint until) const
{
	return now > until && this->stream->Backlog() > 0 && now - this->progress_at > this->front.limits.idle_timeout;
}

void FrontConnection::OnTick(TimePoint now)
{
	const FrontLimits &limits = this->front.limits;
	uint64_t sent = this->stream->SentBytes();
	if (sent != this->sent_bytes || this->stream->Backlog() == 0) this->progress_at = now;
	this->sent_bytes = sent;
	if (this->in_handler && limits.close_unread && this->IsUnread(now, this->exchange->awaited_until)) return this->Close(true);
	if (this->in_handler || this->refused) return;
	Duration waited = now - this->waiting_since;
	if (this->IsIdle()) {
		if (this->stream->Backlog() > 0 && !this->IsUnread(now, this->awaited_until)) return;
		// The kernel soon gives up what it holds for a caller that does not read at present, once the connection is closed.
		bool undelivered = now < this->awaited_until && waited > limits.idle_timeout && this->stream->UndeliveredBytes() > 0;
		if (waited > limits.idle_timeout && !undelivered) this->Close(false);
		return;
	}
	if (this->discarding && waited > limits.body_timeout) return this->Close(false);
	if (this->discarding) return;
	if (this->paused) {
		// The caller cannot send.
		this->waiting_since = now;
		return;
	}
	Duration timeout = this->exchange ? limits.body_timeout : limits.head_timeout;
	if (waited > timeout) this->Refuse(408);
}

void FrontConnection::OnAnswered(bool keep_alive)
{
	auto self_reference = this->shared_from_this();
	this->awaited_until = std::max(this->awaited_until, this->exchange->awaited_until);
	this->exchange->connection = nullptr;
	this->exchange.reset();
	this->in_handler = false;
	this->waiting_since = MonotonicNow();
	if (!keep_alive || this->refused) {
		this->refused = true;
		this->front.EndStream(this->stream, this->awaited_until);
		return this->Unregister();
	}
	this->paused = false;
	this->stream->SetReading(true);
	this->ReadPipelined();
	this->held_pipelined.Set(this->reader.BufferedBytes());
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
	// An orderly close would complete a body that ends with its connection.
	if (interrupted && interrupted->started && interrupted->ends_by_close) this->stream->Abort();
	this->stream->Close();
	this->Unregister();
	if (!interrupted) return;
	interrupted->connection = nullptr;
	if (notify && this->in_handler && interrupted->on_disconnect) interrupted->on_disconnect();
}

MemoryHolder FrontConnection::Holder() const
{
	MemoryHolder holder{this->id, this->stream->held.Bytes() + this->reader.BufferedBytes(), this->waiting_since};
	if (this->paused) holder.paused_since = this->paused_since;
	if (!this->exchange) return holder;
	holder.receiving = !this->in_handler;
	// A complete body does not grow, and the source of the answer has nothing to do with it.
	holder.bytes += this->exchange->held_buffer.Bytes() + (holder.receiving ? this->exchange->held_body.Bytes() : 0);
	holder.completes = holder.receiving || this->exchange->held_buffer.Bytes() > 0;
	holder.since = this->exchange->begun_at;
	return holder;
}

void FrontConnection::SetPaused(bool pause)
{
	if (this->refused || (!pause && !this->paused)) return;
	if (pause && !this->paused) this->paused_since = MonotonicNow();
	this->paused = pause;
	if (this->in_handler) {
		if (this->exchange && this->exchange->on_pause) this->exchange->on_pause(pause);
		// Without pipelined bytes it is read on, to notice a disconnect.
		if (this->reader.BufferedBytes() == 0) return this->stream->SetReading(true);
	}
	this->stream->SetReading(!pause && this->reader.BufferedBytes() <= MAX_PIPELINED_BYTES);
}

void FrontConnection::RejectReceiving(const HttpHeaders &headers)
{
	if (this->refused || this->in_handler || !this->exchange) return;
	// The rest of the body is read: closing the connection with unread bytes would reset it, and the caller might lose the answer.
	std::shared_ptr<FrontExchange> rejected = std::move(this->exchange);
	this->discarding = true;
	this->paused = false;
	// A caller that waits for "100 Continue" may not send the body, so that its next bytes would be ambiguous.
	bool expects = !FindHeader(rejected->head.headers, "expect").empty();
	this->keep_after_discarding = rejected->keep_alive && !expects && !this->front.IsClosing();
	this->waiting_since = MonotonicNow();
	std::string out = std::string("HTTP/1.1 503 ") + ReasonPhrase(503) + "\r\n";
	AppendHeaders(out, headers);
	out += this->keep_after_discarding ? "Content-Length: 0\r\n\r\n" : "Content-Length: 0\r\nConnection: close\r\n\r\n";
	rejected->connection = nullptr;
	rejected->held_body.Set(0);
	this->stream->Write(std::move(out));
	this->stream->SetReading(true);
}

void FrontConnection::Unregister()
{
	if (this->unregistered) return;
	this->unregistered = true;
	this->front.connections.erase(this->list_position);
}

} // namespace cottonspool
