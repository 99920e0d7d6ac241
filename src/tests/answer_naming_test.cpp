/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file answer_naming_test.cpp Guards against a copy of an answer that is taken for the answer to the next request on its connection. */

#include "net/http_front.h"
#include "net/http_upstream.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;

namespace {

/** A server that answers with the status and the id that the request's path gives, and counts its connections. */
struct NamingServer {
	NamingServer()
	    : upstream(&this->loop_holder.loop),
	      listener(&this->loop_holder.loop, [this](std::shared_ptr<TcpStream> s) { this->Accept(std::move(s)); })
	{
		this->port = this->listener.Listen({"127.0.0.1", 0}).value();
	}

	~NamingServer()
	{
		this->upstream.Shutdown();
		for (const auto &stream : this->streams) stream->Close();
		this->listener.Stop();
		this->Run();
	}

	/** Accepts a connection. Each request on it gets the answer that its header field Answer holds. */
	void Accept(std::shared_ptr<TcpStream> stream)
	{
		this->connections++;
		std::weak_ptr<TcpStream> weak = stream;
		stream->on_data = [weak](std::string_view bytes) {
			size_t id = bytes.find("Answer: ");
			std::string named = id == std::string_view::npos ? "" : std::string(bytes.substr(id + 8, bytes.find("\r\n", id) - id - 8));
			std::string head = named == "unnamed" ? "" : "Id: " + named + "\r\n";
			if (auto self = weak.lock()) self->Write("HTTP/1.1 503 Unavailable\r\n" + head + "Content-Length: 0\r\n\r\n");
		};
		this->streams.push_back(std::move(stream));
	}

	/** Lets all that is on its way arrive. */
	void Run()
	{
		uv_timer_t timer;
		uv_timer_init(&this->loop_holder.loop, &timer);
		uv_timer_start(
		        &timer, [](uv_timer_t *t) { uv_stop(t->loop); }, 20, 0);
		uv_run(&this->loop_holder.loop, UV_RUN_DEFAULT);
		uv_close(reinterpret_cast<uv_handle_t *>(&timer), nullptr);
		uv_run(&this->loop_holder.loop, UV_RUN_NOWAIT);
	}

	/** Sends a call whose answer is named \a answer. @param can_name Whether answers to it name their call. @return Its outcome. */
	UpstreamEnd Call(const std::string &answer, bool can_name = true)
	{
		UpstreamEnd outcome = UpstreamEnd::NotSent;
		UpstreamCall call;
		call.to = {"127.0.0.1", this->port};
		call.peer = "server";
		call.headers = {{"Answer", answer}};
		if (can_name) call.names_call = [](const HttpHead &head) { return !FindHeader(head.headers, "Id").empty(); };
		call.on_head = [](const HttpHead &) { return true; };
		call.on_end = [&](UpstreamEnd end, const char *) { outcome = end; };
		this->upstream.Start(std::move(call));
		this->Run();
		return outcome;
	}

	/** An event loop that outlives its users. */
	struct Loop {
		Loop() { uv_loop_init(&this->loop); }
		uv_loop_t loop{};
	};

	Loop loop_holder;
	HttpUpstream upstream;
	TcpListener listener;
	uint16_t port = 0;
	int connections = 0;                             ///< Connections accepted.
	std::vector<std::shared_ptr<TcpStream>> streams; ///< All of them.
};

} // namespace

TEST_CASE("Upstream - after an answer that does not name its call the connection is not used again, after others it is")
{
	NamingServer server;
	for (int i = 0; i < 3; i++) CHECK(server.Call("a" + std::to_string(i)) == UpstreamEnd::Complete);
	CHECK(server.connections == 1);
	CHECK(server.Call("unnamed") == UpstreamEnd::Complete);
	CHECK(server.connections == 1);
	for (int i = 0; i < 3; i++) CHECK(server.Call("b" + std::to_string(i)) == UpstreamEnd::Complete);
	CHECK(server.connections == 2);
}

TEST_CASE("Upstream - calls whose answers never name them have connections of their own")
{
	NamingServer server;
	CHECK(server.Call("unnamed", false) == UpstreamEnd::Complete);
	CHECK(server.Call("unnamed", false) == UpstreamEnd::Complete);
	CHECK(server.connections == 1);
	CHECK(server.Call("a") == UpstreamEnd::Complete);
	CHECK(server.connections == 2);
	server.upstream.CloseIdle("server");
	server.Run();
	CHECK(server.Call("b") == UpstreamEnd::Complete);
	CHECK(server.Call("unnamed", false) == UpstreamEnd::Complete);
	CHECK(server.connections == 4);
}
