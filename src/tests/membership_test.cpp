/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership_test.cpp Members, their spread, and the messages between instances. */

#include "decision/membership.h"
#include "peer/peer_message.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

TEST_CASE("Membership - older news never replaces newer, and a new start replaces both")
{
	bool good = rc::check("news", [](const std::vector<std::pair<uint8_t, uint8_t>> &news) {
		Membership members({"self", "hall", "a"}, milliseconds(1000));
		std::pair<uint64_t, uint64_t> newest{0, 0};
		TimePoint now(std::chrono::seconds(5));
		for (const auto &[incarnation, counter] : news) {
			MemberInfo info{"other", "hall", "b", incarnation % 4U, counter};
			members.OnMemberInfo(info, now);
			newest = std::max(newest, {info.incarnation, info.counter});
		}
		for (const MemberInfo &member : members.Live(now)) {
			if (member.name == "other") RC_ASSERT(std::pair(member.incarnation, member.counter) == newest);
		}
	});
	CHECK(good);
}

TEST_CASE("Membership - in a system of 370 everyone learns of its whole hall through a few links each, keeps it, and notices a loss")
{
	constexpr size_t count = 370;
	constexpr auto period = std::chrono::seconds(4);
	std::vector<Membership> all;
	TimePoint now(std::chrono::seconds(5));
	for (size_t i = 0; i < count; i++) {
		std::string name = "instance" + std::to_string(i);
		all.emplace_back(MemberInfo{name, "hall" + std::to_string(i % 9), name}, std::chrono::seconds(4));
	}
	// Every instance begins with one seed of its own hall, the first of each hall with one of another.
	for (size_t i = 0; i < count; i++) all[i].OnMemberInfo(all[i < 9 ? i / 2 : i / 18 * 9 + i % 9].self, now);
	size_t most_links = 0;
	size_t dead = SIZE_MAX;
	auto round = [&] {
		now += period;
		for (size_t i = 0; i < count; i++) {
			if (i == dead) continue;
			all[i].self.counter++;
			std::vector<MemberInfo> news = all[i].NextGossip(6);
			std::vector<MemberInfo> links = all[i].GossipPeers(now);
			all[i].SetGossipPace(period, links.size(), 6);
			most_links = std::max(most_links, links.size());
			for (const MemberInfo &link : links) {
				Membership &peer = all[std::stoul(link.name.substr(8))];
				for (const MemberInfo &member : news) peer.OnMemberInfo(member, now);
			}
		}
	};
	// Whether every instance's share counts exactly the live instances of its hall.
	auto known = [&] {
		for (size_t i = 0; i < count; i++) {
			size_t wanted = count / 9 + (i % 9 < count % 9 ? 1 : 0) - (dead != SIZE_MAX && dead % 9 == i % 9 ? 1 : 0);
			if (i != dead && all[i].Rank(now).second != wanted) return false;
		}
		return true;
	};
	size_t rounds = 0;
	while (!known() && rounds < 100) {
		round();
		rounds++;
	}
	CHECK(rounds <= 60);
	bool kept = true;
	for (int i = 0; i < 40; i++) {
		round();
		kept = kept && known();
	}
	CHECK(kept); // Nobody who is there is taken for gone.
	dead = 7;
	for (rounds = 0; !known() && rounds < 100; rounds++) round();
	CHECK(rounds <= 60);
	CHECK(most_links <= 6 + 8);
	MESSAGE("rounds until a loss is known to all: " << rounds);
}

TEST_CASE("Membership - a stopping instance no longer counts for shares")
{
	Membership members({"b", "hall", "a"}, milliseconds(1000));
	TimePoint now(std::chrono::seconds(5));
	members.OnMemberInfo({"a", "hall", "x", 1, 1}, now);
	members.OnMemberInfo({"c", "hall", "y", 1, 1}, now);
	CHECK((members.Rank(now) == std::pair<uint32_t, uint32_t>{1, 3}));
	members.OnMemberInfo({"a", "hall", "x", 1, 2, 0, true}, now);
	CHECK((members.Rank(now) == std::pair<uint32_t, uint32_t>{0, 2}));
	CHECK((members.Rank(now + milliseconds(1500)) == std::pair<uint32_t, uint32_t>{0, 1}));
}

TEST_CASE("Peer messages - come back as they were, and any bytes are an error at worst")
{
	HeartbeatMessage heartbeat{{{"a", "hall", "1.2.3.4:5", 7, 8, 9, true}}, {{"engine", "start"}}, milliseconds(12), {{"b", 3}}};
	auto decoded = DecodePeerMessage(EncodePeerMessage(heartbeat));
	REQUIRE(decoded.has_value());
	const auto &back = std::get<HeartbeatMessage>(decoded.value());
	CHECK(back.members.at(0).sequence == 9);
	CHECK(back.members.at(0).stopping);
	CHECK(back.draining == heartbeat.draining);
	CHECK(back.confirmed_age == Duration(milliseconds(12)));
	CHECK(back.echoes == heartbeat.echoes);
	auto entries = DecodePeerMessage(EncodePeerMessage(EntriesMessage{{"x", "y"}}));
	CHECK(std::get<EntriesMessage>(entries.value()).entries.size() == 2);
	bool good = rc::check("bytes", [](const std::string &bytes, const std::vector<uint8_t> &flips) {
		(void)DecodePeerMessage(bytes);
		std::string message = EncodePeerMessage(HeartbeatMessage{{{"a", "hall", "b"}}, {}, milliseconds(1), {}});
		for (uint8_t flip : flips) message[flip % message.size()] ^= static_cast<char>(flip);
		(void)DecodePeerMessage(message);
	});
	CHECK(good);
}
