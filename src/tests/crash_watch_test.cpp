/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_watch_test.cpp Detection of crashes of targets that interrupted a send. */

#include "gateway/crash_watch.h"
#include <doctest/doctest.h>
#include <optional>
#include <uv.h>

using namespace cottonspool;

namespace {

/** When a target resets the connections that it accepts. */
enum class ResetTiming : uint8_t {
	Terminating,  ///< After the first request, and it accepts no further connection.
	AfterRequest, ///< After each request.
	OnAccept,     ///< At once, like a target at its connection limit.
};

/** A target that resets connections. */
class ResettingTarget {
public:
	ResettingTarget(uv_loop_t *loop, ResetTiming timing) : timing(timing)
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

	/** Accept no further connection. */
	void Close()
	{
		if (uv_is_closing(reinterpret_cast<uv_handle_t *>(&this->listener)) == 0)
			uv_close(reinterpret_cast<uv_handle_t *>(&this->listener), nullptr);
	}

	uint16_t port = 0;
	int connections = 0; ///< Connections accepted.

private:
	static void OnConnection(uv_stream_t *listener, int)
	{
		auto *self = static_cast<ResettingTarget *>(listener->data);
		self->connections++;
		auto *connection = new uv_tcp_t;
		uv_tcp_init(listener->loop, connection);
		uv_accept(listener, reinterpret_cast<uv_stream_t *>(connection));
		if (self->timing == ResetTiming::OnAccept) return Reset(connection);
		// The request is read before the reset, so that the client has sent it completely.
		uv_read_start(
		        reinterpret_cast<uv_stream_t *>(connection),
		        [](uv_handle_t *, size_t size, uv_buf_t *buffer) { *buffer = uv_buf_init(new char[size], static_cast<unsigned>(size)); },
		        [](uv_stream_t *stream, ssize_t, const uv_buf_t *buffer) {
			        delete[] buffer->base;
			        Reset(reinterpret_cast<uv_tcp_t *>(stream));
		        });
		if (self->timing == ResetTiming::Terminating) self->Close();
	}

	static void Reset(uv_tcp_t *connection)
	{
		uv_tcp_close_reset(connection, [](uv_handle_t *handle) { delete reinterpret_cast<uv_tcp_t *>(handle); });
	}

	ResetTiming timing;
	uv_tcp_t listener{};
};

} // namespace

// Guards against missing a crash because the terminating process still accepted the probe's connection and then reset it.
TEST_CASE("Crash check - a target that resets the probe as it terminates has crashed; one that keeps accepting connections has not")
{
	for (ResetTiming timing : {ResetTiming::Terminating, ResetTiming::AfterRequest, ResetTiming::OnAccept}) {
		bool terminates = timing == ResetTiming::Terminating;
		uv_loop_t loop;
		uv_loop_init(&loop);
		{
			ResettingTarget target(&loop, timing);
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
			CHECK(found->HasCrashed() == terminates);
			CHECK(target.connections == (terminates ? 1 : 3));
			target.Close();
			upstream.OnTick(MonotonicNow());
		}
		while (uv_run(&loop, UV_RUN_NOWAIT) != 0) {}
		uv_loop_close(&loop);
	}
}
