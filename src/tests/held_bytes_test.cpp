/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file held_bytes_test.cpp Guards against bytes held for slow readers that are not counted, and against answers lost when memory is
 * scarce. */

#include "net/http_front.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;

namespace {

constexpr size_t LARGE = 16U << 20; ///< More than the kernel takes for a connection that is not read.

/** An event loop with a server whose connections are counted, and a caller that reads only when told to. */
struct Callers {
	Callers() : counter(std::make_shared<HeldCounter>())
	{
		uv_loop_init(&this->loop);
		this->front = std::make_unique<HttpFront>(&this->loop, [this](const std::shared_ptr<FrontExchange> &exchange) {
			exchange->on_disconnect = [this] { this->disconnects++; };
			this->exchanges.push_back(exchange);
		});
		this->front->held = this->counter;
		this->port = this->front->Listen({"127.0.0.1", 0}).value();
	}

	~Callers()
	{
		for (const auto &stream : this->streams) stream->Close();
		this->front.reset();
		this->Run(5);
	}

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

	/** Connect and send \a bytes. @return The connection, whose answers are added to received. */
	std::shared_ptr<TcpStream> Send(const std::string &bytes)
	{
		auto stream = TcpStream::Connect(&this->loop, {"127.0.0.1", this->port});
		stream->on_data = [this](std::string_view part) { this->received.append(part); };
		stream->on_end = [this](TcpEnd, const char *) { this->ended++; };
		stream->Write(bytes);
		this->streams.push_back(stream);
		this->Run(20);
		return stream;
	}

	/** @return A request that the handler got, whose caller does not read. */
	std::shared_ptr<TcpStream> SendUnread(const std::string &bytes)
	{
		auto stream = this->Send(bytes);
		stream->SetReading(false);
		return stream;
	}

	uv_loop_t loop{};                                      ///< Event loop.
	std::shared_ptr<HeldCounter> counter;                  ///< What the server holds.
	std::vector<std::shared_ptr<FrontExchange>> exchanges; ///< Requests that the handler got.
	std::unique_ptr<HttpFront> front;                      ///< Server.
	uint16_t port = 0;                                     ///< Its port.
	std::vector<std::shared_ptr<TcpStream>> streams;       ///< Connections of callers.
	std::string received;                                  ///< Bytes that callers got.
	int ended = 0;                                         ///< Connections that the server closed.
	int disconnects = 0;                                   ///< Requests whose caller has disconnected.
};

const std::string GET = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";

/** @return A 503 for each request. */
std::optional<HttpHeaders> RejectAll(const HttpHead &)
{
	return HttpHeaders{{"Retry-After", "1"}};
}

} // namespace

TEST_CASE("Held bytes - many small parts of an answer cost their bytes, arrive in order, and are released")
{
	Callers callers;
	auto stream = callers.SendUnread(GET);
	REQUIRE(callers.exchanges.size() == 1);
	callers.exchanges[0]->Start(200, {}, LARGE, {});
	for (size_t i = 0; i < LARGE / 32; i++) {
		char part[40];
		snprintf(part, sizeof(part), "%-31zu\n", i);
		callers.exchanges[0]->Write(part);
	}
	callers.exchanges[0]->Finish();
	callers.Run(20);
	size_t held = callers.counter->Held().answers;
	CHECK(held > LARGE / 4);
	// Single writes would cost ten times the size of the parts; a growing buffer is at most twice as large as its content.
	CHECK(held < 2 * LARGE + LARGE / 8);
	stream->SetReading(true);
	for (int i = 0; i < 100 && callers.received.size() < LARGE; i++) callers.Run(20);
	size_t body = callers.received.find("\r\n\r\n") + 4;
	REQUIRE(callers.received.size() == body + LARGE);
	for (size_t i = 0; i < LARGE / 32; i++) REQUIRE(strtoull(callers.received.c_str() + body + 32 * i, nullptr, 10) == i);
	CHECK(callers.counter->Held().Total() == 0);
}

TEST_CASE("Held bytes - a body counts until its request is over, and a closed connection counts nothing")
{
	Callers callers;
	auto stream = callers.SendUnread("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 40000\r\n\r\n" + std::string(40000, 'b'));
	REQUIRE(callers.exchanges.size() == 1);
	CHECK(callers.counter->Held().bodies >= 40000);
	callers.exchanges[0]->Start(200, {}, LARGE, {});
	callers.exchanges[0]->Write(std::string(LARGE, 'x'));
	callers.Run(20);
	CHECK(callers.counter->Held().answers >= LARGE / 4);
	stream->Abort();
	callers.Run(20);
	CHECK(callers.disconnects == 1);
	callers.exchanges.clear();
	CHECK(callers.counter->Held().Total() == 0);
}

TEST_CASE("Front - a complete answer is delivered to a caller that reads it for longer than the idle timeout")
{
	Callers callers;
	auto stream = callers.SendUnread(GET);
	callers.exchanges.at(0)->Respond(200, {}, std::string(LARGE, 'x'));
	TimePoint start = MonotonicNow();
	// The caller reads a little every 10 s, and the idle timeout is 15 s.
	for (int i = 1; i <= 4; i++) {
		size_t before = callers.received.size();
		for (int tries = 0; tries < 100 && callers.received.size() < before + LARGE / 6; tries++) {
			stream->SetReading(true);
			callers.Run(1);
			stream->SetReading(false);
		}
		callers.front->OnTick(start + std::chrono::seconds(10 * i));
	}
	stream->SetReading(true);
	for (int i = 0; i < 100 && callers.received.size() < LARGE; i++) callers.Run(20);
	CHECK(callers.received.size() > LARGE);
}

TEST_CASE("Front - a caller that reads nothing for the idle timeout is disconnected, one that reads or waits for its answer is not")
{
	enum class Caller : uint8_t { Silent, Reads, Waits };
	for (Caller caller : {Caller::Silent, Caller::Reads, Caller::Waits}) {
		CAPTURE(static_cast<int>(caller));
		Callers callers;
		callers.front->limits.close_unread = true;
		auto stream = callers.SendUnread(GET);
		TimePoint start = MonotonicNow();
		if (caller == Caller::Waits) callers.exchanges.at(0)->awaited_until = start + std::chrono::seconds(25);
		callers.exchanges.at(0)->Start(200, {}, std::nullopt);
		callers.exchanges[0]->Write(std::string(LARGE, 'x'));
		callers.Run(20);
		callers.front->OnTick(start);
		callers.front->OnTick(start + std::chrono::seconds(14));
		CHECK(callers.disconnects == 0);
		for (int tries = 0; caller == Caller::Reads && tries < 100 && callers.received.size() < LARGE / 2; tries++) {
			stream->SetReading(true);
			callers.Run(1);
			stream->SetReading(false);
		}
		callers.front->OnTick(start + std::chrono::seconds(16));
		CHECK(callers.disconnects == (caller == Caller::Silent ? 1 : 0));
		if (caller != Caller::Waits) continue;
		callers.front->OnTick(start + std::chrono::seconds(24));
		CHECK(callers.disconnects == 0);
		callers.front->OnTick(start + std::chrono::seconds(26));
		CHECK(callers.disconnects == 1);
	}
}

TEST_CASE("Front - a complete answer whose caller stops reading for longer than the idle timeout is kept for as long as its caller waits")
{
	for (bool keep_alive : {true, false}) {
		CAPTURE(keep_alive);
		Callers callers;
		auto stream = callers.SendUnread(GET);
		TimePoint start = MonotonicNow();
		callers.exchanges.at(0)->awaited_until = start + std::chrono::seconds(40);
		if (!keep_alive) callers.exchanges[0]->CloseAfterwards();
		callers.exchanges[0]->Respond(200, {}, std::string(LARGE, 'x'));
		callers.Run(20);
		for (int seconds = 1; seconds <= 39; seconds++) callers.front->OnTick(start + std::chrono::seconds(seconds));
		CHECK(callers.front->UndeliveredConnections() == 1);
		callers.front->OnTick(start + std::chrono::seconds(41));
		callers.front->OnTick(start + std::chrono::seconds(57));
		CHECK(callers.front->UndeliveredConnections() == 0);
	}
}

TEST_CASE("Front - a request whose body is not to be received gets 503 at its head, and the connection stays usable")
{
	Callers callers;
	callers.front->reject_body = RejectAll;
	auto stream = callers.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(100000, 'b'));
	CHECK(callers.received.starts_with("HTTP/1.1 503 "));
	CHECK(callers.received.find("Retry-After: 1\r\n") != std::string::npos);
	CHECK(callers.counter->Held().bodies == 0);
	callers.received.clear();
	stream->Write(std::string(200000, 'b') + GET);
	callers.Run(30);
	REQUIRE(callers.exchanges.size() == 1);
	CHECK(callers.exchanges[0]->head.method == "GET");
	callers.exchanges[0]->Respond(200, {}, "answer");
	callers.Run(20);
	CHECK(callers.received.starts_with("HTTP/1.1 200 "));
	CHECK(callers.ended == 0);
}

TEST_CASE("Front - a rejected request whose body does not arrive is closed, without a second answer")
{
	Callers callers;
	callers.front->reject_body = RejectAll;
	auto stream = callers.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n");
	callers.front->OnTick(MonotonicNow() + std::chrono::seconds(9));
	callers.Run(10);
	CHECK(callers.ended == 0);
	callers.front->OnTick(MonotonicNow() + std::chrono::seconds(11));
	callers.Run(10);
	CHECK(callers.ended == 1);
	CHECK(callers.received.find("408") == std::string::npos);
}

TEST_CASE("Front - a request that is being received can be rejected, one in the handler cannot")
{
	Callers callers;
	auto complete = callers.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
	auto stream = callers.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + std::string(100000, 'b'));
	callers.front->reject_body = RejectAll;
	for (uint64_t id = 1; id <= 2; id++) callers.front->RejectReceiving(id);
	callers.Run(20);
	CHECK(callers.received.starts_with("HTTP/1.1 503 "));
	REQUIRE(callers.exchanges.size() == 1);
	CHECK_FALSE(callers.exchanges[0]->IsOver());
	CHECK(callers.counter->Held().bodies < 1000);
}

TEST_CASE("Front - a caller whose body is not read meanwhile is not blamed for it, and its request is still served")
{
	Callers callers;
	auto stream = callers.Send("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n" + std::string(100000, 'b'));
	std::vector<MemoryHolder> holders = callers.front->Holders();
	REQUIRE(holders.size() == 1);
	CHECK(holders[0].receiving);
	CHECK(holders[0].bytes >= 100000);
	callers.front->SetPaused({holders[0].id});
	stream->Write(std::string(100000, 'b'));
	callers.Run(20);
	TimePoint start = MonotonicNow();
	for (int i = 1; i <= 4; i++) callers.front->OnTick(start + std::chrono::seconds(6 * i));
	CHECK(callers.exchanges.empty());
	callers.front->SetPaused({});
	callers.Run(30);
	REQUIRE(callers.exchanges.size() == 1);
	CHECK(callers.exchanges[0]->body.size() == 200000);
}

TEST_CASE("Front - the source of an answer is paused, and continues")
{
	Callers callers;
	auto stream = callers.SendUnread(GET);
	std::vector<bool> told;
	callers.exchanges.at(0)->on_pause = [&](bool pause) { told.push_back(pause); };
	callers.exchanges[0]->Start(200, {}, std::nullopt);
	callers.exchanges[0]->Write(std::string(LARGE, 'x'));
	callers.Run(10);
	uint64_t id = callers.front->Holders().at(0).id;
	callers.front->SetPaused({id});
	callers.front->SetPaused({});
	callers.front->SetPaused({});
	CHECK(told == std::vector<bool>{true, false});
	// At the bound, a connection pauses its source as soon as it cannot pass bytes on.
	callers.counter->full = true;
	callers.exchanges[0]->Write("more");
	CHECK(told == std::vector<bool>{true, false, true});
}
