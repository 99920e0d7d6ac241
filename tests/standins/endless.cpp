/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file endless.cpp A faulty server, which answers with bytes that never end, until the caller closes. */

#include "net/tcp_stream.h"
#include "standin_func.h"
#include <gflags/gflags.h>
#include <iostream>
#include <list>

DEFINE_string(how, "body",
              "endless: what never ends: body, chunks, length (of a body that is too large), failure (body of a 500), interim or head");
DEFINE_int32(bytes_per_ms, 16384, "endless: bytes sent in a millisecond on each connection");
DECLARE_string(ip);
DECLARE_int32(port);

namespace cottonspool {

static constexpr uint64_t SEND_INTERVAL_MS = 1;
static constexpr size_t MAX_UNREAD_BYTES = 1U << 20; ///< Bytes that the caller has not read from which the server waits.

/** One connection, from its request on. */
struct EndlessConnection {
	std::shared_ptr<TcpStream> stream; ///< Connection.
	std::string request;               ///< Bytes of the request so far, until its head is complete.
	bool answers = false;              ///< The endless answer has begun.
};

/** @return The value of the field \a name in \a head. */
static std::string FieldOf(const std::string &head, const std::string &name)
{
	size_t at = head.find("\r\n" + name + ": ");
	if (at == std::string::npos) return "";
	at += name.size() + 4;
	return head.substr(at, head.find("\r\n", at) - at);
}

/** @return The beginning of the answer to the request with the head \a request. */
static std::string AnswerBegin(const std::string &request)
{
	std::string marks = "X-Attempt-Id: " + FieldOf(request, "X-Attempt-Id") + "\r\nX-Server-Stamp: stamp\r\n";
	if (FLAGS_how == "interim") return "";
	if (FLAGS_how == "head") return "HTTP/1.1 200 OK\r\n" + marks + "X-Endless: ";
	if (FLAGS_how == "failure") return "HTTP/1.1 500 Failed\r\n" + marks + "\r\n";
	if (FLAGS_how == "chunks") return "HTTP/1.1 200 OK\r\n" + marks + "Transfer-Encoding: chunked\r\n\r\n";
	if (FLAGS_how == "length") return "HTTP/1.1 200 OK\r\n" + marks + "Content-Length: 1000000000000\r\n\r\n";
	return "HTTP/1.1 200 OK\r\n" + marks + "\r\n";
}

/** @return What is sent in a millisecond. */
static std::string Piece()
{
	auto bytes = static_cast<size_t>(FLAGS_bytes_per_ms);
	if (FLAGS_how == "chunks") {
		char size[32];
		snprintf(size, sizeof(size), "%zx\r\n", bytes);
		return size + std::string(bytes, 'x') + "\r\n";
	}
	if (FLAGS_how != "interim") return std::string(bytes, 'x');
	static const std::string INTERIM = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
	std::string piece;
	while (piece.size() < bytes) piece += INTERIM;
	return piece;
}

int RunEndless(uv_loop_t *loop)
{
	std::list<EndlessConnection> connections;
	TcpListener listener(loop, [&](const std::shared_ptr<TcpStream> &stream) {
		auto it = connections.insert(connections.end(), EndlessConnection{stream, {}, false});
		stream->on_data = [it](std::string_view bytes) {
			if (it->answers) return;
			it->request.append(bytes);
			if (it->request.find("\r\n\r\n") == std::string::npos) return;
			it->answers = true;
			it->stream->Write(AnswerBegin(it->request));
		};
		stream->on_end = [it](TcpEnd, const char *) { it->stream->Close(); };
	});
	Result<uint16_t> port = listener.Listen({FLAGS_ip, static_cast<uint16_t>(FLAGS_port)});
	if (!port) {
		std::cerr << FormatError(port.error()) << std::endl;
		return 1;
	}
	std::cout << "listening port=" << port.value() << std::endl;
	std::string piece = Piece();
	Every(loop, SEND_INTERVAL_MS, [&connections, piece] {
		for (auto it = connections.begin(); it != connections.end();) {
			bool ended = it->stream->IsClosed();
			if (!ended && it->answers && it->stream->Backlog() < MAX_UNREAD_BYTES) it->stream->Write(piece);
			it = ended ? connections.erase(it) : std::next(it);
		}
	});
	return uv_run(loop, UV_RUN_DEFAULT);
}

} // namespace cottonspool
