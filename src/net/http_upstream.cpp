/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file http_upstream.cpp HTTP/1.1 client with a connection pool. */

#include "net/http_upstream.h"
#include "net/answer_reader.h"
#include <charconv>

namespace cottonspool {

static constexpr size_t MAX_IDLE_PER_PEER = 16;                           ///< Limit on idle connections per peer.
static constexpr Duration DEFAULT_IDLE_TIMEOUT = std::chrono::seconds(5); ///< Idle timeout if the peer does not announce one.
static constexpr Duration IDLE_MARGIN =
        std::chrono::milliseconds(800); ///< Time by which a connection is closed before the peer's announced timeout.

static const char *const UNNAMED_SUFFIX = "\nunnamed"; ///< End of the names of pools for calls whose answers don't name them.

/** @return The name of the pool of connections that \a call may use. */
static std::string PoolOf(const UpstreamCall &call)
{
	return call.names_call ? call.peer : call.peer + UNNAMED_SUFFIX;
}

/** A connection to a peer, with at most one call at a time. */
class UpstreamConnection : public std::enable_shared_from_this<UpstreamConnection> {
public:
	UpstreamConnection(HttpUpstream &owner, std::shared_ptr<TcpStream> stream, std::string pool, const Endpoint &to);

	/** Install the callbacks of the connection. */
	void Begin();

	/** Send a call over the idle connection. */
	void Send(uint64_t number, UpstreamCall call);

	/** Close the connection and remove it from the pool. */
	void Close();

	UpstreamCall call;                            ///< Current call.
	uint64_t number = 0;                          ///< Number of the current call; 0 while the connection is idle.
	std::shared_ptr<TcpStream> stream;            ///< TCP connection.
	std::string pool;                             ///< Name of its pool.
	Endpoint to;                                  ///< Address of the server.
	TimePoint started;                            ///< When the call was sent.
	TimePoint idle_since;                         ///< When the connection became idle.
	Duration idle_timeout = DEFAULT_IDLE_TIMEOUT; ///< Idle time after which it is closed.

private:
	void OnData(std::string_view bytes);
	void OnHead(HttpHead &&head);
	void OnBody(std::string_view bytes);
	void OnOtherAnswer();
	void OnComplete();
	/** Break the answer off, as it exceeds a limit. @param cause Which one, for logs. */
	void OnLimitExceeded(const char *cause);
	/** End the call, as the server broke the protocol, so that no byte of its answer can be trusted. */
	void OnMalformed();
	void OnStreamEnd(TcpEnd end, const char *cause);
	void EndCall(UpstreamEnd end, const char *cause);
	void ReturnToPool();

	HttpUpstream &owner;            ///< Client with the pool.
	AnswerReader reader;            ///< Parser of the answers.
	uint32_t other_answers = 0;     ///< Interim answers and answers to earlier requests since the call was sent.
	size_t body_bytes = 0;          ///< Size of the bodies received since then.
	bool answer_matches = false;    ///< The answer being received belongs to the current call.
	bool reusable = false;          ///< The server allows reuse after this answer.
	bool stray_answer_seen = false; ///< An answer to an earlier request was received: the connection must not be reused.
};

UpstreamConnection::UpstreamConnection(HttpUpstream &owner, std::shared_ptr<TcpStream> stream, std::string pool, const Endpoint &to)
    : stream(std::move(stream)), pool(std::move(pool)), to(to), owner(owner)
{
	this->reader.on_head = [this](HttpHead &&head) { this->OnHead(std::move(head)); };
	this->reader.on_body = [this](std::string_view bytes) { this->OnBody(bytes); };
	this->reader.on_complete = [this] { this->OnComplete(); };
}

void UpstreamConnection::Begin()
{
	std::weak_ptr<UpstreamConnection> weak = this->weak_from_this();
	this->stream->on_data = [weak](std::string_view bytes) {
		if (auto self = weak.lock()) self->OnData(bytes);
	};
	this->stream->on_end = [weak](TcpEnd end, const char *cause) {
		if (auto self = weak.lock()) self->OnStreamEnd(end, cause);
	};
}

void UpstreamConnection::Send(uint64_t call_number, UpstreamCall to_send)
{
	this->call = std::move(to_send);
	this->number = call_number;
	this->answer_matches = false;
	this->reusable = false;
	this->other_answers = 0;
	this->body_bytes = 0;
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

void UpstreamConnection::OnHead(HttpHead &&head)
{
	if (this->number == 0) return;
	this->answer_matches = false;
	if (head.status < FIRST_FINAL_STATUS) return this->OnOtherAnswer();
	if (this->call.on_head && !this->call.on_head(head)) {
		this->stray_answer_seen = true;
		this->owner.counters.stray_answers++;
		return this->OnOtherAnswer();
	}
	this->answer_matches = true;
	bool may_be_repeated = this->call.names_call && !this->call.names_call(head);
	this->reusable = head.keep_alive && !may_be_repeated && (head.length || head.chunked || head.status == 204 || head.status == 304);
	std::string_view hint = FindHeader(head.headers, "keep-alive");
	size_t at = hint.find("timeout=");
	int seconds = 0;
	if (at != std::string_view::npos) {
		std::from_chars(hint.data() + at + 8, hint.data() + hint.size(), seconds);
		this->idle_timeout = std::max<Duration>(Duration(0), std::chrono::seconds(seconds) - IDLE_MARGIN);
	}
}

void UpstreamConnection::OnOtherAnswer()
{
	if (++this->other_answers > this->call.limits.max_other_answers)
		this->OnLimitExceeded("too many answers before the one to this request");
}

void UpstreamConnection::OnBody(std::string_view bytes)
{
	if (this->number == 0) return;
	this->body_bytes += bytes.size();
	if (this->body_bytes > this->call.limits.max_body_bytes) return this->OnLimitExceeded("the body exceeds its size limit");
	if (this->answer_matches && this->call.on_body) this->call.on_body(bytes);
}

void UpstreamConnection::OnLimitExceeded(const char *cause)
{
	this->owner.counters.oversized_answers++;
	this->EndCall(UpstreamEnd::Broken, cause);
}

void UpstreamConnection::OnData(std::string_view bytes)
{
	auto keep_alive = this->shared_from_this();
	if (this->number == 0) {
		// Bytes on an idle connection belong to no request.
		this->owner.counters.stray_answers++;
		return this->Close();
	}
	if (!this->reader.Add(bytes) && this->number != 0) this->OnMalformed();
}

void UpstreamConnection::OnMalformed()
{
	this->owner.counters.malformed_answers++;
	if (this->owner.on_malformed) this->owner.on_malformed(this->call, this->reader.Fault());
	this->EndCall(UpstreamEnd::Broken, this->reader.Fault().c_str());
}

void UpstreamConnection::OnComplete()
{
	if (this->number == 0) return;
	if (this->answer_matches) return this->EndCall(UpstreamEnd::Complete, "");
	// It was an interim answer, or one to an earlier request; the answer to this call is still to come.
	if (!this->reader.Resume() && this->number != 0) this->OnMalformed();
}

/** @return Outcome of a call whose connection ended with \a end before the answer was complete. */
static UpstreamEnd ToUpstreamEnd(TcpEnd end)
{
	if (end == TcpEnd::Refused) return UpstreamEnd::Refused;
	return end == TcpEnd::Failed ? UpstreamEnd::NotSent : UpstreamEnd::Broken;
}

void UpstreamConnection::OnStreamEnd(TcpEnd end, const char *cause)
{
	auto keep_alive = this->shared_from_this();
	if (this->number == 0) return this->Close();
	if (end == TcpEnd::Closed) this->reader.AddEof();
	if (this->number != 0) this->EndCall(ToUpstreamEnd(end), cause);
}

void UpstreamConnection::EndCall(UpstreamEnd end, const char *cause)
{
	auto keep_alive = this->shared_from_this();
	this->owner.active.erase(this->number);
	this->number = 0;
	auto on_end_callback = std::move(this->call.on_end);
	bool reuse = end == UpstreamEnd::Complete && this->reusable && !this->stray_answer_seen && !this->stream->IsClosed();
	reuse = reuse && this->reader.BufferedBytes() == 0 && this->stream->Backlog() == 0;
	if (reuse) {
		this->ReturnToPool();
	} else {
		this->Close();
	}
	if (on_end_callback) on_end_callback(end, cause);
}

void UpstreamConnection::ReturnToPool()
{
	this->call = UpstreamCall{};
	this->idle_since = MonotonicNow();
	auto &list = this->owner.idle[this->pool];
	list.push_back(this->shared_from_this());
	if (list.size() <= MAX_IDLE_PER_PEER) return;
	auto oldest = list.front();
	list.pop_front();
	oldest->stream->Close();
}

void UpstreamConnection::Close()
{
	auto keep_alive = this->shared_from_this();
	this->stream->Close();
	auto found = this->owner.idle.find(this->pool);
	if (found == this->owner.idle.end()) return;
	found->second.remove(keep_alive);
	if (found->second.empty()) this->owner.idle.erase(found);
}

HttpUpstream::~HttpUpstream()
{
	this->Shutdown();
}

std::shared_ptr<UpstreamConnection> HttpUpstream::AcquireIdle(const UpstreamCall &call, TimePoint now)
{
	auto found = this->idle.find(PoolOf(call));
	if (found == this->idle.end() || call.max_reuse_idle == Duration(0)) return nullptr;
	// The most recently used connection is the least likely to be closed by the server just now.
	std::shared_ptr<UpstreamConnection> connection = found->second.back();
	Duration idle_time = now - connection->idle_since;
	if (connection->to != call.to || idle_time > call.max_reuse_idle || idle_time > connection->idle_timeout ||
	    connection->stream->IsClosed())
		return nullptr;
	found->second.pop_back();
	if (found->second.empty()) this->idle.erase(found);
	return connection;
}

uint64_t HttpUpstream::Start(UpstreamCall call)
{
	uint64_t number = this->next++;
	this->counters.calls++;
	std::shared_ptr<UpstreamConnection> connection = this->AcquireIdle(call, MonotonicNow());
	if (!connection) {
		this->counters.connects++;
		connection = std::make_shared<UpstreamConnection>(*this, TcpStream::Connect(this->loop, call.to), PoolOf(call), call.to);
		connection->stream->held.Bind(this->held, &HeldBytes::requests);
		connection->Begin();
	}
	this->active.emplace(number, connection);
	connection->Send(number, std::move(call));
	return number;
}

void HttpUpstream::Cancel(uint64_t call)
{
	auto found = this->active.find(call);
	if (found == this->active.end()) return;
	std::shared_ptr<UpstreamConnection> connection = found->second;
	this->active.erase(found);
	connection->number = 0;
	connection->stream->Abort();
	connection->Close();
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

void HttpUpstream::CloseIdle(const std::string &peer)
{
	for (const std::string &pool : {peer, peer + UNNAMED_SUFFIX}) {
		auto found = this->idle.find(pool);
		if (found == this->idle.end()) continue;
		std::list<std::shared_ptr<UpstreamConnection>> connections = std::move(found->second);
		this->idle.erase(found);
		for (const auto &connection : connections) connection->stream->Close();
	}
}

void HttpUpstream::CheckPeers(TimePoint now)
{
	if (now < this->next_peer_check) return;
	this->next_peer_check = now + PEER_CHECK_INTERVAL;
	std::vector<std::shared_ptr<TcpStream>> streams;
	streams.reserve(this->active.size());
	for (const auto &[number, connection] : this->active) streams.push_back(connection->stream);
	for (const auto &stream : streams) stream->CheckPeer(now);
}

void HttpUpstream::OnTick(TimePoint now)
{
	this->CheckPeers(now);
	std::vector<std::shared_ptr<UpstreamConnection>> timed_out;
	for (const auto &[number, connection] : this->active) {
		if (!connection->stream->WasOpen() && now - connection->started > connection->call.connect_timeout) timed_out.push_back(connection);
	}
	for (const auto &connection : timed_out) {
		auto on_end_callback = std::move(connection->call.on_end);
		this->Cancel(connection->number);
		if (on_end_callback) on_end_callback(UpstreamEnd::NotSent, "connect timed out");
	}
	for (auto peer = this->idle.begin(); peer != this->idle.end();) {
		auto &connections = peer->second;
		while (!connections.empty() && now - connections.front()->idle_since > connections.front()->idle_timeout) {
			connections.front()->stream->Close();
			connections.pop_front();
		}
		peer = connections.empty() ? this->idle.erase(peer) : std::next(peer);
	}
}

void HttpUpstream::Shutdown()
{
	for (const auto &[number, connection] : this->active) connection->stream->Close();
	this->active.clear();
	for (const auto &[peer, connections] : this->idle) {
		for (const auto &connection : connections) connection->stream->Close();
	}
	this->idle.clear();
}

} // namespace cottonspool
