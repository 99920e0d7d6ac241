/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file ack_state_test.cpp Guards against connections that are ended because their other side reads slowly, and against peers that are
 * gone unnoticed. */

#include "net/http_front.h"
#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <rapidcheck.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

using namespace cottonspool;
using namespace std::chrono_literals;

TEST_CASE("Acknowledgements - a side that answers the probes of its closed window is never gone, whatever is undelivered")
{
	rc::check([] {
		AckWatch watch;
		TimePoint start{1h};
		TimePoint now = start;
		TimePoint acknowledged = start;
		for (int checks = 0; checks < 60; checks++) {
			now += std::chrono::milliseconds(*rc::gen::inRange(100, 2000));
			// An answer came within the last three seconds; checks in between may find a probe without one.
			TimePoint earliest = std::max(acknowledged, now - 3s);
			acknowledged = earliest + (now - earliest) * *rc::gen::inRange(0, 101) / 100;
			AckState state{*rc::gen::element(0U, 4U), *rc::gen::element(0U, 1U, 2U), *rc::gen::element(0U, 60000U), now - acknowledged};
			RC_ASSERT(!watch.IsPeerGone(state, now));
		}
	});
}

TEST_CASE("Acknowledgements - a side that answers nothing is gone 4 s after the first check that finds something unanswered")
{
	for (AckState state : {AckState{4, 0, 2000, 0s}, AckState{0, 2, 50000, 0s}}) {
		AckWatch watch;
		TimePoint start{1h};
		for (int seconds = 0; seconds < 4; seconds++) {
			state.since_ack = seconds * 1s + 1s;
			CHECK(!watch.IsPeerGone(state, start + seconds * 1s));
		}
		state.since_ack = 5s;
		CHECK(watch.IsPeerGone(state, start + 4s));
	}
	// A link may lose a single probe, and kernels without a limit on their interval send the next one late.
	AckWatch watch;
	AckState one_probe{0, 1, 50000, 0s};
	for (int seconds = 0; seconds < 20; seconds++) {
		one_probe.since_ack = seconds * 1s;
		CHECK(!watch.IsPeerGone(one_probe, TimePoint{1h} + seconds * 1s));
	}
}

namespace {

/** A caller with a small receive buffer that sends a request and reads only when told to. */
struct SmallCaller {
	explicit SmallCaller(uint16_t port) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
	{
		int buffer_bytes = 2048;
		int segment_bytes = 536;
		setsockopt(this->fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof(buffer_bytes));
		setsockopt(this->fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
		sockaddr_in to{};
		to.sin_family = AF_INET;
		to.sin_port = htons(port);
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		REQUIRE(connect(this->fd, reinterpret_cast<sockaddr *>(&to), sizeof(to)) == 0);
		REQUIRE(send(this->fd, REQUEST.data(), REQUEST.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(REQUEST.size()));
	}
	~SmallCaller() { close(this->fd); }
	SmallCaller(const SmallCaller &) = delete;
	SmallCaller &operator=(const SmallCaller &) = delete;

	/** Drops all segments that arrive, as if the machine were gone. */
	void Vanish() const
	{
		sock_filter drop_all[] = {BPF_STMT(BPF_RET | BPF_K, 0)};
		sock_fprog program{1, drop_all};
		REQUIRE(setsockopt(this->fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
	}

	static constexpr std::string_view REQUEST = "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n";
	int fd; ///< Its socket.
};

} // namespace

TEST_CASE("Acknowledgements - on real sockets, callers that do not read keep their connections, and those that are gone lose them in 8 s")
{
	uv_loop_t loop;
	uv_loop_init(&loop);
	std::vector<std::shared_ptr<FrontExchange>> exchanges;
	int disconnects = 0;
	auto front = std::make_unique<HttpFront>(&loop, [&](const std::shared_ptr<FrontExchange> &exchange) {
		exchange->on_disconnect = [&] { disconnects++; };
		exchange->Start(200, {}, std::nullopt);
		exchange->Write(std::string(30000, 'x'));
		exchanges.push_back(exchange);
	});
	uint16_t port = front->Listen({"127.0.0.1", 0}).value();
	auto run_for = [&](Duration time) {
		for (TimePoint until = MonotonicNow() + time; MonotonicNow() < until; front->OnTick(MonotonicNow())) {
			uv_run(&loop, UV_RUN_NOWAIT);
			usleep(10000);
		}
	};
	SmallCaller pauses(port);
	SmallCaller vanishes(port);
	run_for(1500ms);
	REQUIRE(exchanges.size() == 2);
	vanishes.Vanish();
	run_for(8s);
	CHECK(disconnects == 1);
	run_for(2s);
	CHECK(disconnects == 1);
	front.reset();
	uv_run(&loop, UV_RUN_NOWAIT);
	uv_loop_close(&loop);
}
