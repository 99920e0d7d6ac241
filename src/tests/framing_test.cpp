/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file framing_test.cpp Guards against an answer that was broken off at any byte but is taken for complete. */

#include "generation/event_splitter.h"
#include "net/http_upstream.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace cottonspool;

namespace {

/** How the end of an answer's body is marked. */
enum class Framing : uint8_t { Length, Chunks, Close };

/** An answer as a target sends it. */
struct SentAnswer {
	std::string bytes;     ///< All its bytes.
	size_t head_bytes = 0; ///< Those up to the body.
	bool by_close = false; ///< It ends with its connection.
};

const std::string BODY = "id: 1\ndata: ab\n\nid: 2\ndata: cd\n\n";

SentAnswer MakeAnswer(Framing framing, bool http_1_0, bool interim)
{
	SentAnswer answer;
	if (interim) answer.bytes = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
	answer.bytes += http_1_0 ? "HTTP/1.0 200 OK\r\n" : "HTTP/1.1 200 OK\r\n";
	if (framing == Framing::Length) answer.bytes += "Content-Length: " + std::to_string(BODY.size()) + "\r\n\r\n";
	if (framing == Framing::Chunks) answer.bytes += "Transfer-Encoding: chunked\r\n\r\n";
	if (framing == Framing::Close) answer.bytes += "\r\n";
	answer.head_bytes = answer.bytes.size();
	answer.by_close = framing == Framing::Close;
	if (framing != Framing::Chunks) answer.bytes += BODY;
	if (framing == Framing::Chunks) answer.bytes += "10\r\n" + BODY.substr(0, 16) + "\r\n10\r\n" + BODY.substr(16) + "\r\n0\r\n\r\n";
	return answer;
}

/** Sockets and an event loop for one answer after another. */
struct Wire {
	Wire()
	{
		uv_loop_init(&this->loop);
		this->listener = socket(AF_INET, SOCK_STREAM, 0);
		sockaddr_in at{};
		at.sin_family = AF_INET;
		at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		socklen_t size = sizeof(at);
		REQUIRE(bind(this->listener, reinterpret_cast<sockaddr *>(&at), size) == 0);
		REQUIRE(listen(this->listener, 16) == 0);
		getsockname(this->listener, reinterpret_cast<sockaddr *>(&at), &size);
		this->port = ntohs(at.sin_port);
	}

	~Wire()
	{
		close(this->listener);
		for (int i = 0; i < 10; i++) uv_run(&this->loop, UV_RUN_NOWAIT);
	}

	/** Answer a request with \a bytes, and end the connection. @return How the call ended. @param body Receives what it passed on. */
	UpstreamEnd Receive(const std::string &bytes, bool reset, std::string *body)
	{
		HttpUpstream upstream(&this->loop);
		bool ended = false;
		UpstreamEnd how = UpstreamEnd::Broken;
		UpstreamCall call;
		call.to = {"127.0.0.1", this->port};
		call.peer = "target";
		call.on_body = [body](std::string_view part) { body->append(part); };
		call.on_end = [&](UpstreamEnd end, const char *) {
			how = end;
			ended = true;
		};
		upstream.Start(std::move(call));
		int peer = accept(this->listener, nullptr, nullptr);
		char request[4096];
		for (int i = 0; i < 5; i++) uv_run(&this->loop, UV_RUN_NOWAIT);
		REQUIRE(recv(peer, request, sizeof(request), 0) > 0);
		REQUIRE(send(peer, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
		if (reset) {
			// A reset discards what was not received yet.
			for (int i = 0; i < 3; i++) uv_run(&this->loop, UV_RUN_NOWAIT);
			linger now{1, 0};
			setsockopt(peer, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
		}
		close(peer);
		for (int i = 0; i < 1000 && !ended; i++) uv_run(&this->loop, UV_RUN_NOWAIT);
		REQUIRE(ended);
		upstream.Shutdown();
		return how;
	}

	uv_loop_t loop{};
	int listener = -1;
	uint16_t port = 0;
};

} // namespace

TEST_CASE("Framing - an answer that is cut at any byte is complete only if a close is its end")
{
	Wire wire;
	for (Framing framing : {Framing::Length, Framing::Chunks, Framing::Close}) {
		for (bool http_1_0 : {false, true}) {
			if (http_1_0 && framing == Framing::Chunks) continue;
			for (bool interim : {false, true}) {
				SentAnswer answer = MakeAnswer(framing, http_1_0, interim);
				for (size_t cut = 0; cut <= answer.bytes.size(); cut++) {
					for (bool reset : {false, true}) {
						CAPTURE(static_cast<int>(framing));
						CAPTURE(http_1_0);
						CAPTURE(interim);
						CAPTURE(cut);
						CAPTURE(reset);
						std::string body;
						UpstreamEnd end = wire.Receive(answer.bytes.substr(0, cut), reset, &body);
						bool framed_whole = !answer.by_close && cut == answer.bytes.size();
						bool closed = answer.by_close && cut >= answer.head_bytes && !reset;
						CHECK((end == UpstreamEnd::Complete) == (framed_whole || closed));
						CHECK(BODY.starts_with(body));
						// What a stream of such an answer is taken for: complete only without a part of an event.
						EventSplitter splitter;
						CHECK(splitter.Add(body));
						size_t whole = 0;
						while (std::optional<RawEvent> event = splitter.Next()) whole += event->bytes.size();
						bool between_events = body.empty() || body.size() == BODY.size() / 2 || body.size() == BODY.size();
						CHECK(splitter.IsInsideEvent() == !between_events);
						CHECK(whole + splitter.RemainderBytes() == body.size());
					}
				}
			}
		}
	}
}
