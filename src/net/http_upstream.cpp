/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_upstream.cpp HTTP/1.1 client with a connection pool. */

#include "net/http_upstream.h"
#include <charconv>

namespace cottonspool {

static constexpr size_t MAX_IDLE_PER_PEER = 16;                   ///< Limit on idle connections per peer.
static constexpr Duration IDLE_DEFAULT = std::chrono::seconds(5); ///< Idle timeout if the peer does not announce one.
static constexpr Duration IDLE_MARGIN =
        std::chrono::milliseconds(800); ///< Time by which a connection is closed before the peer's announced timeout.

/** A connection to a peer, with at most one call at a time. */
class UpstreamLink : public std::enable_shared_from_this<UpstreamLink> {
public:
	UpstreamLink(HttpUpstream &owner, std::shared_ptr<TcpStream> stream, std::string peer, const Endpoint &to);

	/** Install the callbacks of the connection. */
	void Begin();

	/** Send a call over the idle connection. */
	void Send(uint64_t number, UpstreamCall call);

	/** Close the connection and remove it from the pool. */
	void Close();

	UpstreamCall call;                 ///< Current call.
	uint64_t number = 0;               ///< Number of the current call; 0 while the connection is idle.
	std::shared_ptr<TcpStream> stream; ///< TCP connection.
	std::string peer;                  ///< Name of the server process.
	Endpoint to;                       ///< Address of the server.
	TimePoint started;                 ///< When the call was sent.
	TimePoint rested;                  ///< When the connection became idle.
	Duration keep = IDLE_DEFAULT;      ///< Idle time after which it is closed.

private:
	void OnData(std::string_view bytes);
	void OnHead(HttpHead &&head);
	void OnComplete();
	void OnStreamEnd(TcpEnd end, const char *cause);
	void EndCall(UpstreamEnd end, const char *cause);
	void Rest();

	HttpUpstream &owner;                          ///< Client with the pool.
	HttpReader reader{HttpReader::Kind::Answers}; ///< Parser of the answers.
	bool mine = false;                            ///< The answer being received belongs to the current call.
	bool reusable = false;                        ///< The server allows reuse after this answer.
	bool stray_seen = false;                      ///< An answer to an earlier request was received: the connection must not be reused.
};

UpstreamLink::UpstreamLink(HttpUpstream &owner, std::shared_ptr<TcpStream> stream, std::string peer, const Endpoint &to)
    : stream(std::move(stream)), peer(std::move(peer)), to(to), owner(owner)
{
	this->reader.on_head = [this](HttpHead &&head) { this->OnHead(std::move(head)); };
	this->reader.on_body = [this](std::string_view bytes) {
		if (this->mine && this->number != 0 && this->call.on_body) this->call.on_body(bytes);
	};
	this->reader.on_complete = [this] { this->OnComplete(); };
}

void UpstreamLink::Begin()
{
	std::weak_ptr<UpstreamLink> weak = this->weak_from_this();
	this->stream->on_data = [weak](std::string_view bytes) {
		if (auto self = weak.lock()) self->OnData(bytes);
	};
	this->stream->on_end = [weak](TcpEnd end, const char *cause) {
		if (auto self = weak.lock()) self->OnStreamEnd(end, cause);
	};
}

void UpstreamLink::Send(uint64_t call_number, UpstreamCall to_send)
{
	this->call = std::move(to_send);
	this->number = call_number;
	this->mine = false;
	this->reusable = false;
	this->started = MonotonicNow();
	this->reader.Resume();
	this->reader.answers_head_request = this->call.method == "HEAD";
	std::string out = this->call.method + " " + this->call.target + " HTTP/1.1\r\n";
	AppendHeaders(out, this->call.headers);
	bool has_body = !this->call.body.empty() || this->call.method == "POST" || this->call.method == "PUT";
	if (has_body) out += "Content-Length: " + std::to_string(this->call.body.size()) + "\r\n";
	out += "\r\n";
	out += this->call.body;
	this->call.body.clear();
	this->stream->SetReading(true);
	this->stream->Write(std::move(out));
}

void UpstreamLink::OnHead(HttpHead &&head)
{
	if (this->number == 0) return;
	this->mine = false;
	if (head.status / 100 == 1) return;
	if (this->call.on_head && !this->call.on_head(head)) {
		this->stray_seen = true;
		this->owner.counters.strays++;
		return;
	}
	this->mine = true;
	this->reusable = head.keep_alive && (head.length || head.chunked || head.status == 204 || head.status == 304);
	std::string_view hint = FindHeader(head.headers, "keep-alive");
	size_t at = hint.find("timeout=");
	int seconds = 0;
	if (at != std::string_view::npos) {
		std::from_chars(hint.data() + at + 8, hint.data() + hint.size(), seconds);
		this->keep = std::max<Duration>(Duration(0), std::chrono::seconds(seconds) - IDLE_MARGIN);
	}
}

void UpstreamLink::OnData(std::string_view bytes)
{
	auto keep_alive = this->shared_from_this();
	if (this->number == 0) {
		// Bytes on an idle connection belong to no request.
		this->owner.counters.strays++;
		return this->Close();
	}
	if (this->reader.Add(bytes)) return;
	this->EndCall(UpstreamEnd::Broken, "bytes that form no answer");
}

void UpstreamLink::OnComplete()
{
	if (this->number == 0) return;
	if (this->mine) return this->EndCall(UpstreamEnd::Complete, "");
	// It was an interim answer, or one to an earlier request; the answer to this call is still to come.
	if (!this->reader.Resume()) this->EndCall(UpstreamEnd::Broken, "bytes that form no answer");
}

/** @return Outcome of a call whose connection ended with \a end before the answer was complete. */
static UpstreamEnd EndOf(TcpEnd end)
{
	if (end == TcpEnd::Refused) return UpstreamEnd::Refused;
	return end == TcpEnd::Failed ? UpstreamEnd::NotSent : UpstreamEnd::Broken;
}

void UpstreamLink::OnStreamEnd(TcpEnd end, const char *cause)
{
	auto keep_alive = this->shared_from_this();
	if (this->number == 0) return this->Close();
	if (end == TcpEnd::Closed) this->reader.AddEnd();
	if (this->number != 0) this->EndCall(EndOf(end), cause);
}

void UpstreamLink::EndCall(UpstreamEnd end, const char *cause)
{
	auto keep_alive = this->shared_from_this();
	this->owner.active.erase(this->number);
	this->number = 0;
	auto told = std::move(this->call.on_end);
	bool keep_it = end == UpstreamEnd::Complete && this->reusable && !this->stray_seen && !this->stream->IsClosed();
	keep_it = keep_it && this->reader.Kept() == 0 && this->stream->Backlog() == 0;
	if (keep_it) {
		this->Rest();
	} else {
		this->Close();
	}
	if (told) told(end, cause);
}

void UpstreamLink::Rest()
{
	this->call = UpstreamCall{};
	this->rested = MonotonicNow();
	auto &list = this->owner.idle[this->peer];
	list.push_back(this->shared_from_this());
	if (list.size() <= MAX_IDLE_PER_PEER) return;
	auto oldest = list.front();
	list.pop_front();
	oldest->stream->Close();
}

void UpstreamLink::Close()
{
	auto keep_alive = this->shared_from_this();
	this->stream->Close();
	auto found = this->owner.idle.find(this->peer);
	if (found == this->owner.idle.end()) return;
	found->second.remove(keep_alive);
	if (found->second.empty()) this->owner.idle.erase(found);
}

HttpUpstream::~HttpUpstream()
{
	this->Shutdown();
}

std::shared_ptr<UpstreamLink> HttpUpstream::TakeIdle(const UpstreamCall &call, TimePoint now)
{
	auto found = this->idle.find(call.peer);
	if (found == this->idle.end() || call.reuse_rest == Duration(0)) return nullptr;
	// The most recently used connection is the least likely to be closed by the server just now.
	std::shared_ptr<UpstreamLink> link = found->second.back();
	Duration rest = now - link->rested;
	if (link->to != call.to || rest > call.reuse_rest || rest > link->keep || link->stream->IsClosed()) return nullptr;
	found->second.pop_back();
	if (found->second.empty()) this->idle.erase(found);
	return link;
}

uint64_t HttpUpstream::Start(UpstreamCall call)
{
	uint64_t number = this->next++;
	this->counters.calls++;
	std::shared_ptr<UpstreamLink> link = this->TakeIdle(call, MonotonicNow());
	if (!link) {
		this->counters.connects++;
		link = std::make_shared<UpstreamLink>(*this, TcpStream::Connect(this->loop, call.to), call.peer, call.to);
		link->Begin();
	}
	this->active.emplace(number, link);
	link->Send(number, std::move(call));
	return number;
}

void HttpUpstream::Cancel(uint64_t call)
{
	auto found = this->active.find(call);
	if (found == this->active.end()) return;
	std::shared_ptr<UpstreamLink> link = found->second;
	this->active.erase(found);
	link->number = 0;
	link->stream->Abort();
	link->Close();
}

bool HttpUpstream::IsConnected(uint64_t call) const
{
	auto found = this->active.find(call);
	return found != this->active.end() && found->second->stream->WasOpen();
}

void HttpUpstream::SetReading(uint64_t call, bool reading)
{
	auto found = this->active.find(call);
	if (found != this->active.end()) found->second->stream->SetReading(reading);
}

void HttpUpstream::Drop(const std::string &peer)
{
	auto found = this->idle.find(peer);
	if (found == this->idle.end()) return;
	std::list<std::shared_ptr<UpstreamLink>> links = std::move(found->second);
	this->idle.erase(found);
	for (const auto &link : links) link->stream->Close();
}

void HttpUpstream::OnTick(TimePoint now)
{
	std::vector<std::shared_ptr<UpstreamLink>> late;
	for (const auto &[number, link] : this->active) {
		if (!link->stream->WasOpen() && now - link->started > link->call.connect_limit) late.push_back(link);
	}
	for (const auto &link : late) {
		auto told = std::move(link->call.on_end);
		this->Cancel(link->number);
		if (told) told(UpstreamEnd::NotSent, "connect timed out");
	}
	for (auto peer = this->idle.begin(); peer != this->idle.end();) {
		auto &links = peer->second;
		while (!links.empty() && now - links.front()->rested > links.front()->keep) {
			links.front()->stream->Close();
			links.pop_front();
		}
		peer = links.empty() ? this->idle.erase(peer) : std::next(peer);
	}
}

void HttpUpstream::Shutdown()
{
	for (const auto &[number, link] : this->active) link->stream->Close();
	this->active.clear();
	for (const auto &[peer, links] : this->idle) {
		for (const auto &link : links) link->stream->Close();
	}
	this->idle.clear();
}

} // namespace cottonspool
