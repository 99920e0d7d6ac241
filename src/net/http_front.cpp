/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_front.cpp HTTP/1.1 server that keeps reading while a request is processed. */

#include "net/front_connection.h"
#include <algorithm>
#include <unordered_set>

namespace cottonspool {

void FrontExchange::SendHead(int status, const HttpHeaders &headers, std::optional<uint64_t> length, std::string_view reason,
                             std::string_view first)
{
	if (this->connection->front.IsClosing()) this->keep_alive = false;
	std::string out = "HTTP/1.1 " + std::to_string(status) + " ";
	out += reason.empty() ? std::string_view(ReasonPhrase(status)) : reason;
	out += "\r\n";
	AppendHeaders(out, headers);
	bool bodiless = status == 204 || status == 304;
	if (this->ends_by_close && !length && !bodiless) this->keep_alive = false;
	this->chunked = !length && !bodiless && !this->ends_by_close;
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
	std::string chunk;
	if (this->chunked) {
		char size[24];
		snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
		chunk = size;
	}
	chunk += bytes;
	if (this->chunked) chunk += "\r\n";
	this->connection->stream->Write(std::move(chunk));
	// Between two decisions, hundreds of connections could each take in what they read at once.
	if (this->connection->front.held && this->connection->front.held->full && this->Backlog() > 0) this->connection->SetPaused(true);
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
	for (const EndingConnection &each : this->ending) each.stream->Close();
	while (!this->connections.empty()) this->connections.front()->Close(false);
}

void HttpFront::OnStream(std::shared_ptr<TcpStream> stream)
{
	auto connection = std::make_shared<FrontConnection>(*this, std::move(stream));
	this->connections.push_back(connection);
	connection->list_position = std::prev(this->connections.end());
	connection->Begin();
}

void HttpFront::EndStream(const std::shared_ptr<TcpStream> &stream, TimePoint awaited_until)
{
	stream->CloseAfterWrites();
	if (!stream->IsClosed()) this->ending.push_back({stream, awaited_until, stream->UndeliveredBytes(), MonotonicNow()});
}

void HttpFront::CloseDelivered(TimePoint now)
{
	for (EndingConnection &each : this->ending) {
		size_t undelivered = each.stream->UndeliveredBytes();
		if (undelivered != each.undelivered) each.progress_at = now;
		each.undelivered = undelivered;
		bool unread = now > each.awaited_until && now - each.progress_at > this->limits.idle_timeout;
		if (undelivered == 0 || unread) each.stream->Close();
	}
	std::erase_if(this->ending, [](const EndingConnection &each) { return each.stream->IsClosed(); });
}

void HttpFront::PassBacklogsToKernel()
{
	for (const EndingConnection &each : this->ending) each.stream->PassBacklogToKernel();
	for (const auto &connection : this->connections) connection->stream->PassBacklogToKernel();
}

size_t HttpFront::UndeliveredConnections() const
{
	auto ending_undelivered = [](const EndingConnection &each) { return each.stream->UndeliveredBytes() > 0; };
	auto undelivered = [](const std::shared_ptr<FrontConnection> &each) { return each->stream->UndeliveredBytes() > 0; };
	return static_cast<size_t>(std::count_if(this->ending.begin(), this->ending.end(), ending_undelivered) +
	                           std::count_if(this->connections.begin(), this->connections.end(), undelivered));
}

std::vector<MemoryHolder> HttpFront::Holders() const
{
	std::vector<MemoryHolder> holders;
	for (const auto &connection : this->connections) {
		MemoryHolder holder = connection->Holder();
		if (holder.bytes > 0 || holder.paused_since != TimePoint{}) holders.push_back(holder);
	}
	return holders;
}

void HttpFront::SetPaused(const std::vector<uint64_t> &ids)
{
	std::unordered_set<uint64_t> paused(ids.begin(), ids.end());
	for (const auto &connection : this->connections) connection->SetPaused(paused.contains(connection->id));
}

void HttpFront::RejectReceiving(uint64_t id)
{
	for (const auto &connection : this->connections) {
		const FrontExchange *receiving = connection->Receiving();
		if (connection->id != id || receiving == nullptr) continue;
		std::optional<HttpHeaders> headers = this->reject_body ? this->reject_body(receiving->head) : std::nullopt;
		if (headers) connection->RejectReceiving(*headers);
		return;
	}
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

void HttpFront::CheckPeers(TimePoint now)
{
	if (now < this->next_peer_check) return;
	this->next_peer_check = now + PEER_CHECK_INTERVAL;
	for (const EndingConnection &each : this->ending) each.stream->CheckPeer(now);
	std::vector<std::shared_ptr<TcpStream>> streams;
	streams.reserve(this->connections.size());
	for (const auto &connection : this->connections) streams.push_back(connection->stream);
	for (const auto &stream : streams) stream->CheckPeer(now);
}

void HttpFront::OnTick(TimePoint now)
{
	this->CheckPeers(now);
	this->CloseDelivered(now);
	for (auto it = this->connections.begin(); it != this->connections.end();) {
		std::shared_ptr<FrontConnection> connection = *it++;
		connection->OnTick(now);
	}
}

} // namespace cottonspool
