/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_links_test.cpp Links to other instances on a real loop, and the messages on them. */

#include "peer/compressed_message.h"
#include "peer/peer_links.h"
#include <doctest/doctest.h>
#include <uv.h>

using namespace cottonspool;

namespace {

/** Two instances with links on one loop. */
struct LinkedPair {
	LinkedPair()
	{
		uv_loop_init(&this->loop);
		this->port = this->accepting.Listen("127.0.0.1", 0).value();
	}

	~LinkedPair()
	{
		this->connecting.Shutdown();
		this->accepting.Shutdown();
		while (uv_run(&this->loop, UV_RUN_NOWAIT) != 0) {}
		uv_loop_close(&this->loop);
	}

	std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

	/** Run the loop until \a done, for a limited number of turns. */
	template <typename Done> void Run(Done done)
	{
		static constexpr int MAX_TURNS = 1000;
		for (int turn = 0; turn < MAX_TURNS && !done(); turn++) {
			uv_run(&this->loop, UV_RUN_NOWAIT);
			uv_sleep(1);
		}
	}

	uv_loop_t loop{};
	std::function<void(const PeerMessage &)> on_answer; ///< Called with each message that the connecting instance gets.
	uint16_t port = 0;                                  ///< Port of the accepting instance.
	PeerLinks accepting{&this->loop, [](const PeerMessage &message, const PeerLinks::Reply &reply) { reply(message); }};
	PeerLinks connecting{&this->loop, [this](const PeerMessage &message, const PeerLinks::Reply &) { this->on_answer(message); }};
};

} // namespace

// Guards against a deadlock when a link is closed by the handler of a message that arrived on it.
TEST_CASE("Links - a link that is closed by the handler of its own message closes without a deadlock")
{
	LinkedPair pair;
	int answers = 0;
	pair.on_answer = [&](const PeerMessage &) {
		answers++;
		pair.connecting.SetWanted({});
		pair.connecting.SendTo(pair.Address(), FetchMessage{2});
	};
	pair.connecting.on_link_open = [&](const std::string &to) {
		pair.connecting.SendTo(to, FetchMessage{1});
		pair.connecting.SendTo(to, FetchMessage{1});
	};
	pair.connecting.SetWanted({pair.Address()});
	pair.Run([&] { return answers > 0; });
	pair.Run([] { return false; });
	CHECK(answers >= 1);
	CHECK(pair.connecting.LinkStateOf(pair.Address()) == LinkState::None);
	CHECK(pair.connecting.OpenLinks() == 0);
}

TEST_CASE("Links - long messages are compressed and arrive as they were sent")
{
	TablesMessage message{"i", "hall", false, {}, {}};
	TableUpdate update{"targets", {1, 2}, {1, 900}, true, true, {}, {1, 950}};
	for (uint64_t i = 0; i < 1000; i++)
		update.rows.push_back({"target-" + std::to_string(i), R"({"service":"a","address":"10.0.0.1:80","zone":"z"})", i, false});
	message.tables.push_back(update);
	message.shards = {{"pool", "hall", 4}};
	std::string bytes = EncodePeerMessage(message);
	CHECK(IsCompressed(bytes));
	CHECK(bytes.size() * 4 < 1000 * update.rows[0].value.size());
	Result<PeerMessage> decoded = DecodePeerMessage(bytes);
	REQUIRE(decoded);
	const auto &received = std::get<TablesMessage>(decoded.value());
	REQUIRE(received.tables.size() == 1);
	CHECK(received.tables[0].rows.size() == 1000);
	CHECK(received.tables[0].rows[999].value == update.rows[999].value);
	CHECK(received.tables[0].read == update.read);
	CHECK(received.shards == message.shards);
	// Truncated, altered, or with a false length, the message is malformed.
	CHECK_FALSE(DecodePeerMessage(bytes.substr(0, bytes.size() - 1)));
	CHECK_FALSE(DecodePeerMessage(CompressMessage(bytes + std::string(5000, 'x'))));
	std::string longer = bytes;
	longer[1] = 0x7f;
	CHECK_FALSE(DecodePeerMessage(longer));
}

TEST_CASE("Links - a presence message of an older release, which has no cells, is decoded")
{
	Result<PeerMessage> decoded = DecodePeerMessage(EncodePeerMessage(PresenceMessage{"i", {"1.2.3.4:5", "hall", 20}, 7, {8, {1, 2}}}));
	REQUIRE(decoded);
	CHECK(std::get<PresenceMessage>(decoded.value()).cells == CellCount{8, {1, 2}});
	// [PRESENCE, "i", "a:1", "h", 20.0, 7]
	std::string older = std::string("\x86\x07\x61i\x63") + "a:1" + "\x61h" + std::string("\xf9\x4d\x00", 3) + "\x07";
	decoded = DecodePeerMessage(older);
	REQUIRE(decoded);
	CHECK(std::get<PresenceMessage>(decoded.value()).cells == CellCount{});
	CHECK(std::get<PresenceMessage>(decoded.value()).instances == 7);
}
