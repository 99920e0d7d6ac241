/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file endless_answer_test.cpp Guards against answers without end: a call ends once an answer exceeds its limits, whichever part it is.
 */

#include "net/http_upstream.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;

namespace {

constexpr uint64_t GIVE_UP_MS = 3000;       ///< Time after which a call that has not ended fails the test.
constexpr size_t BODY_LIMIT = 100000;       ///< Size limit of bodies.
constexpr size_t ENDLESS_BYTES = 16U << 20; ///< Bytes that the server sends at most, to limit the test's memory.

/** What became of a call. */
struct CallResult {
	int ended = 0;                           ///< How often its end was reported.
	UpstreamEnd end = UpstreamEnd::Complete; ///< Its end.
	std::string cause;                       ///< Cause of a failure.
	size_t body_bytes = 0;                   ///< Bytes of the body that were delivered.
	uint64_t oversized = 0;                  ///< Counter of answers that exceeded a limit.
	bool closed = false;                     ///< The connection was closed at the server.
};

/** @return What becomes of a call to a server that answers with \a begin and \a piece, again and again, and at last with \a end. */
CallResult Call(const std::string &begin, const std::string &piece, size_t times, const std::string &end)
{
	uv_loop_t loop;
	uv_loop_init(&loop);
	CallResult result;
	{
		std::shared_ptr<TcpStream> accepted;
		TcpListener listener(&loop, [&](std::shared_ptr<TcpStream> stream) {
			accepted = std::move(stream);
			accepted->on_data = [&](std::string_view) {
				std::string bytes = begin;
				for (size_t i = 0; i < times && bytes.size() < ENDLESS_BYTES; i++) bytes += piece;
				accepted->Write(bytes + end);
			};
			accepted->on_end = [&](TcpEnd, const char *) { result.closed = true; };
		});
		HttpUpstream upstream(&loop);
		UpstreamCall call;
		call.to = {"127.0.0.1", listener.Listen({"127.0.0.1", 0}).value()};
		call.peer = "server";
		call.limits.max_body_bytes = BODY_LIMIT;
		call.on_head = [](const HttpHead &head) { return FindHeader(head.headers, "Id") != "earlier"; };
		call.on_body = [&](std::string_view bytes) { result.body_bytes += bytes.size(); };
		call.on_end = [&](UpstreamEnd how, const char *cause) {
			result.ended++;
			result.end = how;
			result.cause = cause;
		};
		upstream.Start(std::move(call));
		bool over = false;
		uv_timer_t timer;
		uv_timer_init(&loop, &timer);
		timer.data = &over;
		uv_timer_start(
		        &timer, [](uv_timer_t *t) { *static_cast<bool *>(t->data) = true; }, GIVE_UP_MS, 0);
		while (!over && (result.ended == 0 || (result.end == UpstreamEnd::Broken && !result.closed))) uv_run(&loop, UV_RUN_ONCE);
		result.oversized = upstream.Counters().oversized_answers;
		uv_close(reinterpret_cast<uv_handle_t *>(&timer), nullptr);
		if (accepted) accepted->Close();
		listener.Stop();
		upstream.Shutdown();
	}
	uv_run(&loop, UV_RUN_DEFAULT);
	uv_loop_close(&loop);
	return result;
}

/** Check that a call with \a result ended once, as its answer exceeded a limit. */
void CheckBrokenOff(const CallResult &result)
{
	CHECK(result.ended == 1);
	CHECK(result.end == UpstreamEnd::Broken);
	CHECK(result.oversized == 1);
	CHECK(result.closed);
	CHECK(result.body_bytes <= BODY_LIMIT);
}

const std::string INTERIM = "HTTP/1.1 103 Early Hints\r\n\r\n";
const std::string EARLIER = "HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 5\r\n\r\nstale";
const std::string SOUND = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr size_t WITHOUT_END = SIZE_MAX;

} // namespace

TEST_CASE("Endless answer - interim answers and answers to earlier requests are limited in number")
{
	for (const std::string &piece : {INTERIM, EARLIER}) {
		CAPTURE(piece);
		CheckBrokenOff(Call("", piece, WITHOUT_END, ""));
		CheckBrokenOff(Call("", piece, AnswerLimits{}.max_other_answers + 1, SOUND));
		CallResult few = Call("", piece, AnswerLimits{}.max_other_answers, SOUND);
		CHECK(few.end == UpstreamEnd::Complete);
		CHECK(few.body_bytes == 2);
		CHECK(few.oversized == 0);
	}
}

TEST_CASE("Endless answer - a body is limited in size, however its end is marked")
{
	std::string piece(1000, 'x');
	CheckBrokenOff(Call("HTTP/1.1 200 OK\r\n\r\n", piece, WITHOUT_END, ""));
	CheckBrokenOff(Call("HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n", piece, WITHOUT_END, ""));
	CheckBrokenOff(Call("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "3e8\r\n" + piece + "\r\n", WITHOUT_END, ""));
	CheckBrokenOff(Call("HTTP/1.1 200 OK\r\nId: earlier\r\nContent-Length: 1000000000000\r\n\r\n", piece, WITHOUT_END, ""));
	CallResult large = Call("HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n", piece, 100, "");
	CHECK(large.end == UpstreamEnd::Complete);
	CHECK(large.body_bytes == BODY_LIMIT);
}

TEST_CASE("Endless answer - a head is limited in size, and so are chunk sizes")
{
	std::string piece(1000, '0');
	for (const char *begin : {"HTTP/1.1 200 OK\r\nField: ", "HTTP/1.1 200 ", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;x="}) {
		CallResult result = Call(begin, piece, WITHOUT_END, "");
		CHECK(result.ended == 1);
		CHECK(result.end == UpstreamEnd::Broken);
		CHECK(result.closed);
	}
}
