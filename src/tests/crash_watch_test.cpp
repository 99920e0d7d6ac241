/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_watch_test.cpp Whether a target that broke a send off has ended. */

#include "gateway/crash_watch.h"
#include <doctest/doctest.h>
#include <optional>
#include <uv.h>

using namespace cottonspool;

namespace {

/** What a target does with the connections that it takes. */
enum class Breaking : uint8_t {
	AsItEnds, ///< It breaks the first one off once it was asked something, and takes no more.
	Asked,    ///< It breaks each off once it was asked something.
	AtOnce,   ///< It breaks each off as it comes, like one that has as many as it bears.
};

/** A target that breaks connections off. */
class BreakingTarget {
public:
	BreakingTarget(uv_loop_t *loop, Breaking how) : how(how)
	{
		uv_tcp_init(loop, &this->listener);
		this->listener.data = this;
		sockaddr_in at{};
		uv_ip4_addr("127.0.0.1", 0, &at);
		REQUIRE(uv_tcp_bind(&this->listener, reinterpret_cast<sockaddr *>(&at), 0) == 0);
		REQUIRE(uv_listen(reinterpret_cast<uv_stream_t *>(&this->listener), 8, OnConnection) == 0);
		int length = sizeof(at);
		uv_tcp_getsockname(&this->listener, reinterpret_cast<sockaddr *>(&at), &length);
		this->port = ntohs(at.sin_port);
	}

	/** Take no further connection. */
	void Close()
	{
		if (uv_is_closing(reinterpret_cast<uv_handle_t *>(&this->listener)) == 0)
			uv_close(reinterpret_cast<uv_handle_t *>(&this->listener), nullptr);
	}

	uint16_t port = 0;   ///< Its port.
	int connections = 0; ///< Connections taken.

private:
	static void OnConnection(uv_stream_t *listener, int)
	{
		auto *self = static_cast<BreakingTarget *>(listener->data);
		self->connections++;
		auto *connection = new uv_tcp_t;
		uv_tcp_init(listener->loop, connection);
		uv_accept(listener, reinterpret_cast<uv_stream_t *>(connection));
		if (self->how == Breaking::AtOnce) return Reset(connection);
		// What it is asked is read before it breaks the connection: whoever asked has sent it all.
		uv_read_start(
		        reinterpret_cast<uv_stream_t *>(connection),
		        [](uv_handle_t *, size_t size, uv_buf_t *buffer) { *buffer = uv_buf_init(new char[size], static_cast<unsigned>(size)); },
		        [](uv_stream_t *stream, ssize_t, const uv_buf_t *buffer) {
			        delete[] buffer->base;
			        Reset(reinterpret_cast<uv_tcp_t *>(stream));
		        });
		if (self->how == Breaking::AsItEnds) self->Close();
	}

	static void Reset(uv_tcp_t *connection)
	{
		uv_tcp_close_reset(connection, [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
	}

	Breaking how;        ///< What it does.
	uv_tcp_t listener{}; ///< Listening socket.
};

} // namespace

// A request that ends the engines it runs on reached four of them instead of three: the first engine's process still took the connection
// on which it was asked for a sign of life, and broke it 0.3 ms later, so its end was held against nobody. Seen in one of six plays.
TEST_CASE("Ends - a target that breaks the sign of life off as it ends has ended; one that goes on taking connections has not")
{
	for (Breaking how : {Breaking::AsItEnds, Breaking::Asked, Breaking::AtOnce}) {
		bool ends = how == Breaking::AsItEnds;
		uv_loop_t loop;
		uv_loop_init(&loop);
		{
			BreakingTarget target(&loop, how);
			HttpUpstream upstream(&loop);
			std::optional<CrashCheck> found;
			CrashWatch watch(upstream, std::chrono::milliseconds(300), std::chrono::seconds(2),
			                 [&](const CrashCheck &check) { found = check; });
			TimePoint now = MonotonicNow();
			watch.OnSendInterrupted({{"engine", 1}, {"127.0.0.1", target.port}, "/report"}, {RequestFingerprint{}, "r", RunStage::Started},
			                        now);
			for (int turn = 0; turn < 400 && !found; turn++) {
				uv_run(&loop, UV_RUN_NOWAIT);
				uv_sleep(1);
				if (turn % 25 == 24) watch.OnTick(MonotonicNow());
			}
			REQUIRE(found);
			CHECK(found->HasCrashed() == ends);
			CHECK(target.connections == (ends ? 1 : 3));
			target.Close();
			upstream.OnTick(MonotonicNow());
		}
		while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {}
		uv_loop_close(&loop);
	}
}
