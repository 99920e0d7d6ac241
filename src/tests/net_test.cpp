/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file net_test.cpp Connections, the HTTP server and the HTTP client, over loopback. */

#include "net/http_front.h"
#include "net/http_upstream.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace cottonspool;

namespace {

/** A blocking socket of the test's own, either side. */
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

	int fd; ///< Descriptor.
};

/** A loop with a way to run it for a while, and a listening socket of the test's own. */
struct Bench {
	Bench() { uv_loop_init(&this->loop); }

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

	~Bench()
	{
		if (this->listener >= 0) close(this->listener);
		this->Run(5);
	}

	uv_loop_t loop{};  ///< Loop.
	int listener = -1; ///< Listening socket.
};

/** One upstream call and what came of it. */
struct CallProbe {
	UpstreamCall Make(uint16_t port, const std::string &id)
	{
		UpstreamCall call;
		call.to = {"127.0.0.1", port};
		call.peer = "target";
		call.method = "POST";
		call.target = "/x/";
		call.body = "body";
		call.on_head = [this, id](const HttpHead &head) {
			bool mine = FindHeader(head.headers, "Id") == id;
			if (mine) this->status = head.status;
			return mine;
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
	UpstreamEnd end = UpstreamEnd::Complete; ///< How it ended.
	int ended = 0;                           ///< How often on_end was called.
};

} // namespace

TEST_CASE("Upstream - an answer without a length is whole after a close, not after a reset")
{
	for (bool reset : {false, true}) {
		CAPTURE(reset);
		Bench bench;
		uint16_t port = bench.Listen();
		HttpUpstream upstream(&bench.loop);
		CallProbe probe;
		upstream.Start(probe.Make(port, "a"));
		bench.Run(20);
		PlainSocket peer(bench.Accept());
		// Both the bytes and the end are there before the loop looks again.
		peer.Receive();
		peer.Send("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf of an ans");
		if (reset) peer.Reset();
		if (!reset) peer.Close();
		bench.Run(30);
		CHECK(probe.ended == 1);
		CHECK(probe.end == (reset ? UpstreamEnd::Broken : UpstreamEnd::Complete));
		upstream.Shutdown();
	}
}

TEST_CASE("Upstream - a connection is reused, and never sends a request twice when it turns out to be closed")
{
	Bench bench;
	uint16_t port = bench.Listen();
	HttpUpstream upstream(&bench.loop);
	CallProbe first;
	upstream.Start(first.Make(port, "a"));
	bench.Run(20);
	PlainSocket peer(bench.Accept());
	peer.Receive();
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok");
	bench.Run(20);
	CHECK(first.end == UpstreamEnd::Complete);
	CallProbe second;
	upstream.Start(second.Make(port, "b"));
	bench.Run(20);
	CHECK(upstream.Counters().connects == 1);
	CHECK(peer.Receive().find("POST /x/") == 0);
	peer.Reset();
	bench.Run(30);
	CHECK(second.ended == 1);
	CHECK(second.end == UpstreamEnd::Broken);
	CHECK(upstream.Counters().connects == 1);
	upstream.Shutdown();
}

TEST_CASE("Upstream - an answer of an earlier request in the place of ours is dropped")
{
	Bench bench;
	uint16_t port = bench.Listen();
	HttpUpstream upstream(&bench.loop);
	CallProbe probe;
	upstream.Start(probe.Make(port, "b"));
	bench.Run(20);
	PlainSocket peer(bench.Accept());
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 5\r\n\r\nstale");
	bench.Run(20);
	CHECK(probe.ended == 0);
	peer.Send("HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 4\r\n\r\nours");
	bench.Run(20);
	CHECK(probe.end == UpstreamEnd::Complete);
	CHECK(probe.body == "ours");
	CHECK(upstream.Counters().stray_answers == 1);
	CallProbe next;
	upstream.Start(next.Make(port, "c"));
	bench.Run(20);
	CHECK(upstream.Counters().connects == 2);
	upstream.Shutdown();
}

TEST_CASE("Upstream - bytes behind a whole answer belong to nobody, and the connection is not kept")
{
	Bench bench;
	uint16_t port = bench.Listen();
	HttpUpstream upstream(&bench.loop);
	CallProbe probe;
	upstream.Start(probe.Make(port, "a"));
	bench.Run(20);
	PlainSocket peer(bench.Accept());
	peer.Send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok");
	bench.Run(20);
	CHECK(probe.end == UpstreamEnd::Complete);
	CHECK(probe.body == "ok");
	CallProbe next;
	upstream.Start(next.Make(port, "b"));
	bench.Run(20);
	CHECK(upstream.Counters().connects == 2);
	upstream.Shutdown();
}

TEST_CASE("Upstream - a connection that cannot be made means that nothing was sent")
{
	Bench bench;
	uint16_t port = bench.Listen();
	close(bench.listener);
	bench.listener = -1;
	HttpUpstream upstream(&bench.loop);
	CallProbe probe;
	upstream.Start(probe.Make(port, "a"));
	bench.Run(30);
	CHECK(probe.ended == 1);
	CHECK(probe.end == UpstreamEnd::Refused);
	CHECK(IsCertainlyUnsent(probe.end));
	upstream.Shutdown();
}

TEST_CASE("Front - a caller who leaves before the first byte of an answer is noticed at once")
{
	for (bool reset : {false, true}) {
		CAPTURE(reset);
		Bench bench;
		std::shared_ptr<FrontExchange> taken;
		bool gone = false;
		{
			HttpFront front(&bench.loop, [&](const std::shared_ptr<FrontExchange> &exchange) {
				taken = exchange;
				exchange->on_disconnect = [&] { gone = true; };
			});
			uint16_t port = front.Listen({"127.0.0.1", 0}).value();
			PlainSocket caller(PlainSocket::Connect(port));
			caller.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi");
			bench.Run(20);
			REQUIRE(taken);
			CHECK(taken->body == "hi");
			CHECK(!gone);
			if (reset) caller.Reset();
			if (!reset) caller.Close();
			bench.Run(20);
			CHECK(gone);
			CHECK(taken->IsOver());
		}
	}
}

TEST_CASE("Front - requests that are sent together are answered one by one, in order")
{
	Bench bench;
	std::vector<std::shared_ptr<FrontExchange>> taken;
	HttpFront front(&bench.loop, [&](const std::shared_ptr<FrontExchange> &exchange) { taken.push_back(exchange); });
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket caller(PlainSocket::Connect(port));
	caller.Send("GET /1/ HTTP/1.1\r\nHost: h\r\n\r\nGET /2/ HTTP/1.1\r\nHost: h\r\n\r\n");
	bench.Run(20);
	REQUIRE(taken.size() == 1);
	taken[0]->Respond(200, {}, "one");
	bench.Run(20);
	REQUIRE(taken.size() == 2);
	CHECK(taken[1]->head.target == "/2/");
	taken[1]->Respond(200, {}, "two");
	bench.Run(20);
	std::string answers = caller.Receive();
	CHECK(answers.find("one") < answers.find("two"));
}

TEST_CASE("Front - input that could be read in two ways is refused")
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
		Bench bench;
		int handled = 0;
		HttpFront front(&bench.loop, [&](const std::shared_ptr<FrontExchange> &) { handled++; });
		uint16_t port = front.Listen({"127.0.0.1", 0}).value();
		PlainSocket caller(PlainSocket::Connect(port));
		caller.Send(text);
		bench.Run(20);
		CHECK(handled == 0);
		CHECK(caller.Receive().find("HTTP/1.1 400") == 0);
	}
}

TEST_CASE("Front - heads and bodies past their limits are refused with the status that says so")
{
	Bench bench;
	HttpFront front(&bench.loop, [](const std::shared_ptr<FrontExchange> &exchange) { exchange->Respond(200, {}, {}); });
	front.limits.max_head_bytes = 200;
	front.limits.max_body_bytes = 10;
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket long_head(PlainSocket::Connect(port));
	long_head.Send("GET /a/ HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
	PlainSocket long_body(PlainSocket::Connect(port));
	long_body.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n");
	PlainSocket long_chunks(PlainSocket::Connect(port));
	long_chunks.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nb\r\n12345678901\r\n0\r\n\r\n");
	bench.Run(30);
	CHECK(long_head.Receive().find("HTTP/1.1 431") == 0);
	CHECK(long_body.Receive().find("HTTP/1.1 413") == 0);
	CHECK(long_chunks.Receive().find("HTTP/1.1 413") == 0);
}

TEST_CASE("Front - an answer that is broken off does not look whole")
{
	Bench bench;
	std::shared_ptr<FrontExchange> taken;
	HttpFront front(&bench.loop, [&](const std::shared_ptr<FrontExchange> &exchange) { taken = exchange; });
	uint16_t port = front.Listen({"127.0.0.1", 0}).value();
	PlainSocket caller(PlainSocket::Connect(port));
	caller.Send("GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
	bench.Run(20);
	taken->Start(200, {}, std::nullopt);
	taken->Write("part");
	bench.Run(10);
	std::string got = caller.Receive();
	taken->Abort();
	bench.Run(20);
	got += caller.Receive();
	CHECK(got.find("part") != std::string::npos);
	CHECK(got.find("0\r\n\r\n") == std::string::npos);
	CHECK(taken->IsOver());
}
