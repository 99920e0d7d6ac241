/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_links_test.cpp Links to other instances, on a loop of their own, and what goes over them. */

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
		this->port = this->answering.Listen("127.0.0.1", 0).value();
	}

	~LinkedPair()
	{
		this->dialling.Shutdown();
		this->answering.Shutdown();
		while (uv_run(&this->loop, UV_RUN_NOWAIT) != 0) {}
		uv_loop_close(&this->loop);
	}

	std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

	/** Let the loop run until \a done, for a bounded number of turns. */
	template <typename Done> void Run(Done done)
	{
		static constexpr int MOST_TURNS = 1000;
		for (int turn = 0; turn < MOST_TURNS && !done(); turn++) {
			uv_run(&this->loop, UV_RUN_NOWAIT);
			uv_sleep(1);
		}
	}

	uv_loop_t loop{};                                   ///< Loop.
	std::function<void(const PeerMessage &)> on_answer; ///< Called with what the dialling instance gets.
	uint16_t port = 0;                                  ///< Port of the one that is dialled.
	PeerLinks answering{&this->loop, [](const PeerMessage &message, const PeerLinks::Reply &reply) { reply(message); }};
	PeerLinks dialling{&this->loop, [this](const PeerMessage &message, const PeerLinks::Reply &) { this->on_answer(message); }};
};

} // namespace

// Some of a thousand instances that started together said nothing any more, were never ready and did not end when told to. They had
// closed a link while a message of that very link was handed out: the answer said that the other one is in another cell.
TEST_CASE("Links - a link that is closed from the message that came on it is closed, and nothing hangs")
{
	LinkedPair pair;
	int answers = 0;
	pair.on_answer = [&](const PeerMessage &) {
		answers++;
		pair.dialling.SetWanted({});
		pair.dialling.SendTo(pair.Address(), FetchMessage{2});
	};
	pair.dialling.on_link_open = [&](const std::string &to) {
		pair.dialling.SendTo(to, FetchMessage{1});
		pair.dialling.SendTo(to, FetchMessage{1});
	};
	pair.dialling.SetWanted({pair.Address()});
	pair.Run([&] { return answers > 0; });
	pair.Run([] { return false; });
	CHECK(answers >= 1);
	CHECK(pair.dialling.LinkStateOf(pair.Address()) == LinkState::None);
	CHECK(pair.dialling.OpenLinks() == 0);
}

TEST_CASE("Links - long messages arrive as they were sent, and take less on the link")
{
	TablesMessage message{"i", "hall", false, {}, {}};
	TableUpdate news{"targets", {1, 2}, {1, 900}, true, true, {}, {1, 950}};
	for (uint64_t i = 0; i < 1000; i++)
		news.rows.push_back({"target-" + std::to_string(i), R"({"service":"a","address":"10.0.0.1:80","zone":"z"})", i, false});
	message.tables.push_back(news);
	message.shards = {{"pool", "hall", 4}};
	std::string bytes = EncodePeerMessage(message);
	CHECK(IsCompressed(bytes));
	CHECK(bytes.size() * 4 < 1000 * news.rows[0].value.size());
	Result<PeerMessage> read = DecodePeerMessage(bytes);
	REQUIRE(read);
	const auto &back = std::get<TablesMessage>(read.value());
	REQUIRE(back.tables.size() == 1);
	CHECK(back.tables[0].rows.size() == 1000);
	CHECK(back.tables[0].rows[999].value == news.rows[999].value);
	CHECK(back.tables[0].read == news.read);
	CHECK(back.shards == message.shards);
	// Cut, changed, or with a length that it does not have, it is none.
	CHECK_FALSE(DecodePeerMessage(bytes.substr(0, bytes.size() - 1)));
	CHECK_FALSE(DecodePeerMessage(CompressMessage(bytes + std::string(5000, 'x'))));
	std::string longer = bytes;
	longer[1] = 0x7f;
	CHECK_FALSE(DecodePeerMessage(longer));
}

TEST_CASE("Links - an instance of an older release tells no cells, and is understood")
{
	Result<PeerMessage> read = DecodePeerMessage(EncodePeerMessage(PresenceMessage{"i", {"1.2.3.4:5", "hall", 20}, 7, {8, {1, 2}}}));
	REQUIRE(read);
	CHECK(std::get<PresenceMessage>(read.value()).cells == CellCount{8, {1, 2}});
	// [PRESENCE, "i", "a:1", "h", 20.0, 7]
	std::string older = std::string("\x86\x07\x61i\x63") + "a:1" + "\x61h" + std::string("\xf9\x4d\x00", 3) + "\x07";
	read = DecodePeerMessage(older);
	REQUIRE(read);
	CHECK(std::get<PresenceMessage>(read.value()).cells == CellCount{});
	CHECK(std::get<PresenceMessage>(read.value()).instances == 7);
}
