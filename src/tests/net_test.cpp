/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file net_test.cpp Guards against lost disconnects, misread messages and repeated sends of the HTTP server and client, over loopback. */

#include "net/http_front.h"
#include "net/http_upstream.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace cottonspool;

namespace {

/** A plain socket for the other side of a connection. */
class PlainSocket {
public:
	explicit PlainSocket(int fd) : fd(fd) {}
	~PlainSocket() { this->Close(); }
	PlainSocket(const PlainSocket &) = delete;
	PlainSocket &operator=(const PlainSocket &) = delete;

	static int Connect(uint16_t port)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in to{};
		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		REQUIRE(connect(fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0);
		return fd;
	}

	void Send(const std::string &bytes) const
	{
		REQUIRE(send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
	}

	std::string Receive() const
	{
		char buffer[65536];
		ssize_t length = recv(this->fd, buffer, sizeof(buffer), MSG_DONTWAIT);
		return length > 0 ? std::string(buffer, static_cast<size_t>(length)) : std::string();
	}

	void Reset()
	{
		linger now{1, 0};
		setsockopt(this->fd, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		this->Close();
	}

	void Close()
	{
		if (this->fd >= 0) close(this->fd);
		this->fd = -1;
	}

	int fd; ///< File descriptor.
};

/** An event loop that a test runs for a while, and a plain listening socket. */
struct LoopFixture {
	LoopFixture() { uv_loop_init(&this->loop); }

	void Run(int ms)
	{
		uv_timer_t timer;
		uv_timer_init(&this->loop, &timer);
		uv_timer_start(
		        &timer, [](uv_timer_t *t) { uv_stop(t->loop); }, static_cast<uint64_t>(ms), 0);
		uv_run(&this->loop, UV_RUN_DEFAULT);
		uv_close(reinterpret_cast<uv_handle_t *>(&timer), nullptr);
		uv_run(&this->loop, UV_RUN_NOWAIT);
	}

	uint16_t Listen()
	{
		this->listener = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in at{};
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&at), sizeof(at)) == 0);
		REQUIRE(listen(this->listener, 16) == 0);
		socklen_t size = sizeof(at);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&at), &size);
		return ntohs(at.sin_port);
	}

	int Accept() const { return accept(this->listener, nullptr, nullptr); }

	~LoopFixture()
	{
		if (this->listener >= 0) close(this->listener);
		this->Run(5);
	}

	uv_loop_t loop{};  ///< Event loop.
	int listener = -1; ///< Listening socket.
};

/** An upstream call and its recorded result. */
struct RecordedCall {
	UpstreamCall Make(uint16_t port, const std::string &id)
	{
		UpstreamCall call;
		call.to = {"127.0.0.1", port};
		call.peer = "target";
		call.method = "POST";
		call.target = "/x/";
		call.body = "body";
		call.on_head = [this, id](const HttpHead &head) {
			bool matches = FindHeader(head.headers, "Id") == id;
			if (matches) this->status = head.status;
			return matches;
		};
		call.on_body = [this](std::string_view bytes) { this->body.append(bytes); };
		call.on_end = [this](UpstreamEnd how, const char *) {
			this->end = how;
			this->ended++;
		};
		return call;
	}

	int status = 0;                          ///< Status.
	std::string body;                        ///< Body.
	UpstreamEnd end = UpstreamEnd::Complete; ///< Outcome of the call.
	int ended = 0;                           ///< Number of calls of on_end.
};

} // namespace

TEST_CASE("Upstream - an answer without a length is complete after a close, not after a reset")
{
	for (bool reset : {false, true}) {
		CAPTURE(reset);
		LoopFixture fixture;
		uint16_t port = fixture.Listen();
		HttpUpstream upstream(&fixture.loop);
		RecordedCall probe;
		upstream.Start(probe.Make(port, "a"));
		fixture.Run(20);
		PlainSocket peer(fixture.Accept());
		// Both the bytes and the end arrive before the event loop runs again.
		peer.Receive();
		peer.Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf of an ans");
		if (reset) peer.Reset();
		if (!reset) peer.Close();
		fixture.Run(30);
		CHECK(probe.ended == 1);
		CHECK(probe.end == (reset ? UpstreamEnd::Broken : UpstreamEnd::Complete));
		upstream.Shutdown();
	}
}

TEST_CASE("Upstream - a connection is reused, and a request is not sent twice if the connection was closed")
{
	LoopFixture fixture;
	uint16_t port = fixture.Listen();
	HttpUpstream upstream(&fixture.loop);
	RecordedCall first;
	upstream.Start(first.Make(port, "a"));
	fixture.Run(20);
	PlainSocket peer(fixture.Accept());
	peer.Receive();
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok");
	fixture.Run(20);
	CHECK(first.end == UpstreamEnd::Complete);
	RecordedCall second;
	upstream.Start(second.Make(port, "b"));
	fixture.Run(20);
	CHECK(upstream.Counters().connects == 1);
	CHECK(peer.Receive().find("POST /x/") == 0);
	peer.Reset();
	fixture.Run(30);
	CHECK(second.ended == 1);
	CHECK(second.end == UpstreamEnd::Broken);
	CHECK(upstream.Counters().connects == 1);
	upstream.Shutdown();
}

TEST_CASE("Upstream - an answer to an earlier request is dropped")
{
	LoopFixture fixture;
	uint16_t port = fixture.Listen();
	HttpUpstream upstream(&fixture.loop);
	RecordedCall probe;
	upstream.Start(probe.Make(port, "b"));
	fixture.Run(20);
	PlainSocket peer(fixture.Accept());
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nstale");
	fixture.Run(20);
	CHECK(probe.ended == 0);
	peer.Send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nours");
	fixture.Run(20);
	CHECK(probe.end == UpstreamEnd::Complete);
	CHECK(probe.body == "ours");
	CHECK(upstream.Counters().stray_answers == 1);
	RecordedCall next;
	upstream.Start(next.Make(port, "c"));
	fixture.Run(20);
	CHECK(upstream.Counters().connects == 2);
	upstream.Shutdown();
}

TEST_CASE("Upstream - a connection with extra bytes behind an answer is not reused")
{
	LoopFixture fixture;
	uint16_t port = fixture.Listen();
	HttpUpstream upstream(&fixture.loop);
	RecordedCall probe;
	upstream.Start(probe.Make(port, "a"));
	fixture.Run(20);
	PlainSocket peer(fixture.Accept());
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok");
	fixture.Run(20);
	CHECK(probe.end == UpstreamEnd::Complete);
	CHECK(probe.body == "ok");
	RecordedCall next;
	upstream.Start(next.Make(port, "b"));
	fixture.Run(20);
	CHECK(upstream.Counters().connects == 2);
	upstream.Shutdown();
}

TEST_CASE("Upstream - a refused connection counts as not sent")
{
	LoopFixture fixture;
	uint16_t port = fixture.Listen();
	close(fixture.listener);
	fixture.listener = -1;
	HttpUpstream upstream(&fixture.loop);
	RecordedCall probe;
	upstream.Start(probe.Make(port, "a"));
	fixture.Run(30);
	CHECK(probe.ended == 1);
	CHECK(probe.end == UpstreamEnd::Refused);
	CHECK(IsCertainlyUnsent(probe.end));
	upstream.Shutdown();
}

TEST_CASE("Front - a caller that disconnects before the answer is detected at once")
{
	for (bool reset : {false, true}) {
		CAPTURE(reset);
		LoopFixture fixture;
		std::shared_ptr<FrontExchange> received;
		bool disconnected = false;
		{
			HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &exchange) {
				received = exchange;
				exchange->on_disconnect = [&] { disconnected = true; };
			});
			uint16_t port = front.Listen({"127.0.0.1", 0}).value();
			PlainSocket caller(PlainSocket::Connect(port));
			caller.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
			fixture.Run(20);
			REQUIRE(received);
			CHECK(received->body == "hi");
			CHECK(!disconnected);
			if (reset) caller.Reset();
			if (!reset) caller.Close();
			fixture.Run(20);
			CHECK(disconnected);
			CHECK(received->IsOver());
		}
	}
}

TEST_CASE("Front - pipelined requests are answered one by one, in order")
{
	LoopFixture fixture;
	std::vector<std::shared_ptr<FrontExchange>> received;
	HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &exchange) { received.push_back(exchange); });
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket caller(PlainSocket::Connect(port));
	caller.Send("GET /1/ HTTP/1.1\r\nHost: h\r\n\r\nGET /2/ HTTP/1.1\r\nHost: h\r\n\r\n");
	fixture.Run(20);
	REQUIRE(received.size() == 1);
	received[0]->Respond(200, {}, "one");
	fixture.Run(20);
	REQUIRE(received.size() == 2);
	CHECK(received[1]->head.target == "/2/");
	received[1]->Respond(200, {}, "two");
	fixture.Run(20);
	std::string answers = caller.Receive();
	CHECK(answers.find("one") < answers.find("two"));
}

TEST_CASE("Front - requests with ambiguous framing are rejected")
{
	const std::vector<std::string> bad{
	        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi!",
	        "POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length : 2\r\n\r\nhi",
	        "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
	        "GET /a/ HTTP/1.1\r\nHost: h\r\nX-A: b\x01\r\n\r\n",
	};
	for (const std::string &text : bad) {
		CAPTURE(text);
		LoopFixture fixture;
		int handled = 0;
		HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &) { handled++; });
		uint16_t port = front.Listen({"127.0.0.1", 0}).value();
		PlainSocket caller(PlainSocket::Connect(port));
		caller.Send(text);
		fixture.Run(20);
		CHECK(handled == 0);
		CHECK(caller.Receive().find("HTTP/1.1 400") == 0);
	}
}

TEST_CASE("Front - heads and bodies beyond their limits are rejected with 431 and 413")
{
	LoopFixture fixture;
	HttpFront front(&fixture.loop, [](const std::shared_ptr<FrontExchange> &exchange) { exchange->Respond(200, {}, {}); });
	front.limits.max_head_bytes = 200;
	front.limits.max_body_bytes = 10;
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket long_head(PlainSocket::Connect(port));
	long_head.Send("GET /a/ HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
	PlainSocket long_body(PlainSocket::Connect(port));
	long_body.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
	PlainSocket long_chunks(PlainSocket::Connect(port));
	long_chunks.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n");
	fixture.Run(30);
	CHECK(long_head.Receive().find("HTTP/1.1 431") == 0);
	CHECK(long_body.Receive().find("HTTP/1.1 413") == 0);
	CHECK(long_chunks.Receive().find("HTTP/1.1 413") == 0);
}

TEST_CASE("Front - an answer counts as undelivered until its caller has received it, also on a connection that ends with it")
{
	static constexpr size_t ANSWER_BYTES = 8U << 20;
	for (bool kept : {true, false}) {
		CAPTURE(kept);
		LoopFixture fixture;
		HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &exchange) {
			if (!kept) exchange->CloseAfterwards();
			exchange->Respond(200, {}, std::string(ANSWER_BYTES, 'x'));
		});
		uint16_t port = front.Listen({"127.0.0.1", 0}).value();
		PlainSocket caller(PlainSocket::Connect(port));
		caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
		fixture.Run(30);
		front.OnTick(MonotonicNow());
		CHECK(front.UndeliveredConnections() == 1);
		size_t received = 0;
		for (int i = 0; i < 400 && front.UndeliveredConnections() > 0; i++) {
			received += caller.Receive().size();
			fixture.Run(2);
			front.OnTick(MonotonicNow());
		}
		CHECK(front.UndeliveredConnections() == 0);
		CHECK(received + caller.Receive().size() > ANSWER_BYTES);
		CHECK(front.Connections() == (kept ? 1 : 0));
	}
}

TEST_CASE("Front - an aborted answer does not look complete")
{
	LoopFixture fixture;
	std::shared_ptr<FrontExchange> received;
	HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &exchange) { received = exchange; });
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket caller(PlainSocket::Connect(port));
	caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
	fixture.Run(20);
	received->Start(200, {}, std::nullopt);
	received->Write("part");
	fixture.Run(10);
	std::string got = caller.Receive();
	received->Abort();
	fixture.Run(20);
	got += caller.Receive();
	CHECK(got.find("part") != std::string::npos);
	CHECK(got.find("0\r\n\r\n") == std::string::npos);
	CHECK(received->IsOver());
}

TEST_CASE("Front - a caller of HTTP/1.0 gets no chunks, and an answer that is broken off does not end with an orderly close")
{
	enum class End : uint8_t { Finish, Abort, Unread };
	for (End end : {End::Finish, End::Abort, End::Unread}) {
		CAPTURE(static_cast<int>(end));
		LoopFixture fixture;
		std::shared_ptr<FrontExchange> received;
		HttpFront front(&fixture.loop, [&](const std::shared_ptr<FrontExchange> &exchange) { received = exchange; });
		uint16_t port = front.Listen({"127.0.0.1", 0}).value();
		PlainSocket caller(PlainSocket::Connect(port));
		caller.Send("GET /a/ HTTP/1.0\r\nHost: h\r\n\r\n");
		fixture.Run(20);
		REQUIRE(received);
		received->Start(200, {}, std::nullopt);
		received->Write("part");
		fixture.Run(10);
		std::string got = caller.Receive();
		CHECK(got.ends_with("\r\n\r\npart"));
		CHECK(got.find("chunked") == std::string::npos);
		if (end == End::Finish) received->Finish();
		if (end == End::Abort) received->Abort();
		if (end == End::Unread) {
			front.limits.close_unread = true;
			front.limits.idle_timeout = std::chrono::milliseconds(1);
			received->Write(std::string(16U << 20, 'x'));
			fixture.Run(10);
			front.OnTick(MonotonicNow());
			front.OnTick(MonotonicNow() + std::chrono::seconds(1));
			CHECK(received->IsOver());
		}
		fixture.Run(20);
		char byte[4096];
		ssize_t length = 0;
		do {
			length = recv(caller.fd, byte, sizeof(byte), MSG_DONTWAIT);
		} while (length > 0);
		CHECK((length == 0) == (end == End::Finish));
	}
}

TEST_CASE("Connections - the timeouts that docs/design/timeouts.md states are set on both sides")
{
	LoopFixture fixture;
	std::shared_ptr<TcpStream> accepted;
	TcpListener listener(&fixture.loop, [&](std::shared_ptr<TcpStream> stream) { accepted = std::move(stream); });
	uint16_t port = listener.Listen({"127.0.0.1", 0}).value();
	std::shared_ptr<TcpStream> connected = TcpStream::Connect(&fixture.loop, {"127.0.0.1", port});
	fixture.Run(20);
	REQUIRE(accepted);
	// The two sockets of the connection are the only ones that are connected on this loop.
	size_t checked = 0;
	auto check = [](uv_handle_t *handle, void *count) {
		uv_os_fd_t fd = -1;
		sockaddr_in peer{};
		int peer_size = sizeof(peer);
		if (handle->type != UV_TCP || uv_fileno(handle, &fd) != 0) return;
		if (uv_tcp_getpeername(reinterpret_cast<uv_tcp_t *>(handle), reinterpret_cast<sockaddr *>(&peer), &peer_size) != 0) return;
		auto option = [fd](int level, int name) {
			int value = -1;
			socklen_t size = sizeof(value);
			getsockopt(fd, level, name, &value, &size);
			return value;
		};
		// It would also end the connection of a side that does not read; TcpStream::CheckPeer() tells that from one that is gone.
		CHECK(option(IPPROTO_TCP, TCP_USER_TIMEOUT) == 0);
		CHECK(option(SOL_SOCKET, SO_KEEPALIVE) == 1);
		CHECK(option(IPPROTO_TCP, TCP_KEEPIDLE) == 2);
		CHECK(option(IPPROTO_TCP, TCP_KEEPINTVL) == 1);
		CHECK(option(IPPROTO_TCP, TCP_KEEPCNT) == 2);
		(*static_cast<size_t *>(count))++;
	};
	uv_walk(&fixture.loop, check, &checked);
	CHECK(checked == 2);
	connected->Close();
	accepted->Close();
	listener.Stop();
	fixture.Run(5);
}
