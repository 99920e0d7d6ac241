/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file relay.cpp Link stand-in: a TCP relay that can be cut, stalled and made to drop answers. */

#include "standin_func.h"
#include <gflags/gflags.h>
#include <iostream>
#include <set>

DEFINE_string(to, "", "IP:PORT that the link leads to");
DEFINE_int32(link_port, 0, "port of the link; 0 takes a free one and prints it");
DECLARE_string(ip);

namespace cottonspool {

enum class LinkMode { Pass, Stall, Cut, DropAnswers };

/** One relayed connection. */
struct Link {
	uv_tcp_t sides[2];    ///< Caller's side and far side.
	int open = 2;         ///< Sides not yet closed.
	bool closing = false; ///< Being closed.
};

static LinkMode mode = LinkMode::Pass;
static std::set<Link *> links;
static sockaddr_in far_address;

static void CloseLink(Link *link)
{
	if (link->closing) return;
	link->closing = true;
	links.erase(link);
	for (uv_tcp_t &side : link->sides) {
		uv_close(reinterpret_cast<uv_handle_t *>(&side), [](uv_handle_t *handle) {
			auto *closed = static_cast<Link *>(handle->data);
			if (--closed->open == 0) delete closed;
		});
	}
}

static void OnAlloc(uv_handle_t *, size_t, uv_buf_t *buffer)
{
	*buffer = uv_buf_init(static_cast<char *>(malloc(65536)), 65536);
}

static void OnRead(uv_stream_t *from, ssize_t got, const uv_buf_t *buffer)
{
	auto *link = static_cast<Link *>(from->data);
	bool answer = from == reinterpret_cast<uv_stream_t *>(&link->sides[1]);
	bool drop = answer && mode == LinkMode::DropAnswers;
	if (got < 0) CloseLink(link);
	if (got <= 0 || drop) {
		free(buffer->base);
		return;
	}
	auto *to = reinterpret_cast<uv_stream_t *>(&link->sides[answer ? 0 : 1]);
	auto *write = new uv_write_t;
	write->data = buffer->base;
	uv_buf_t out = uv_buf_init(buffer->base, static_cast<unsigned>(got));
	uv_write(write, to, &out, 1, [](uv_write_t *done, int) {
		free(done->data);
		delete done;
	});
}

static void StartLink(Link *link)
{
	for (uv_tcp_t &side : link->sides) {
		if (mode != LinkMode::Stall) uv_read_start(reinterpret_cast<uv_stream_t *>(&side), OnAlloc, OnRead);
	}
}

static void OnAccept(uv_stream_t *listener, int)
{
	auto *link = new Link;
	for (uv_tcp_t &side : link->sides) {
		uv_tcp_init(listener->loop, &side);
		uv_tcp_nodelay(&side, 1);
		side.data = link;
	}
	links.insert(link);
	uv_accept(listener, reinterpret_cast<uv_stream_t *>(&link->sides[0]));
	if (mode == LinkMode::Cut) return CloseLink(link);
	auto *connect = new uv_connect_t;
	connect->data = link;
	uv_tcp_connect(connect, &link->sides[1], reinterpret_cast<sockaddr *>(&far_address), [](uv_connect_t *done, int status) {
		auto *connected = static_cast<Link *>(done->data);
		if (status != 0 && !connected->closing) CloseLink(connected);
		if (status == 0) StartLink(connected);
		delete done;
	});
}

/** Put the link and all that runs over it in \a name's state. */
static void SetMode(const std::string &name)
{
	mode = name == "stall"          ? LinkMode::Stall
	       : name == "cut"          ? LinkMode::Cut
	       : name == "drop-answers" ? LinkMode::DropAnswers
	                                : LinkMode::Pass;
	std::set<Link *> all = links;
	for (Link *link : all) {
		if (mode == LinkMode::Cut) CloseLink(link);
		if (mode == LinkMode::Pass) StartLink(link);
		if (mode != LinkMode::Stall) continue;
		for (uv_tcp_t &side : link->sides) uv_read_stop(reinterpret_cast<uv_stream_t *>(&side));
	}
}

int RunRelay(uv_loop_t *loop)
{
	size_t colon = FLAGS_to.find(':');
	if (colon == std::string::npos) return 2;
	uv_ip4_addr(FLAGS_to.substr(0, colon).c_str(), std::stoi(FLAGS_to.substr(colon + 1)), &far_address);
	uv_tcp_t listener;
	uv_tcp_init(loop, &listener);
	sockaddr_in address{};
	uv_ip4_addr(FLAGS_ip.c_str(), FLAGS_link_port, &address);
	if (uv_tcp_bind(&listener, reinterpret_cast<sockaddr *>(&address), 0) != 0) return 1;
	if (uv_listen(reinterpret_cast<uv_stream_t *>(&listener), 128, OnAccept) != 0) return 1;
	return Serve(loop, [](const std::shared_ptr<HttpExchange> &exchange) {
		SetMode(Body(*exchange).value("mode", "pass"));
		Answer(exchange, 200, {{"ok", true}});
	});
}

} // namespace cottonspool
