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
			members.OnHeard(info, now);
			newest = std::max(newest, {info.incarnation, info.counter});
		}
		for (const MemberInfo &member : members.Live(now)) {
			if (member.name == "other") RC_ASSERT(std::pair(member.incarnation, member.counter) == newest);
		}
	});
	CHECK(good);
}

TEST_CASE("Membership - in a system of 370 everyone learns of everyone through a few links each, and of a loss")
{
	constexpr size_t count = 370;
	std::vector<Membership> all;
	TimePoint now(std::chrono::seconds(5));
	for (size_t i = 0; i < count; i++) {
		std::string name = "instance" + std::to_string(i);
		all.emplace_back(MemberInfo{name, "hall" + std::to_string(i % 9), name}, std::chrono::seconds(60));
	}
	// Every instance begins with one seed.
	for (size_t i = 0; i < count; i++) all[i].OnHeard(all[i / 2].self, now);
	size_t rounds = 0;
	size_t most_links = 0;
	bool complete = false;
	while (!complete && rounds < 200) {
		rounds++;
		now += milliseconds(500);
		for (size_t i = 0; i < count; i++) {
			all[i].self.counter++;
			std::vector<MemberInfo> news = all[i].NextNews(6);
			std::vector<MemberInfo> links = all[i].LinkTargets(now);
			most_links = std::max(most_links, links.size());
			for (const MemberInfo &link : links) {
				Membership &peer = all[std::stoul(link.name.substr(8))];
				for (const MemberInfo &member : news) peer.OnHeard(member, now);
			}
		}
		complete = true;
		for (const Membership &each : all) complete = complete && each.Live(now).size() == count;
	}
	CHECK(complete);
	CHECK(rounds <= 120);
	CHECK(most_links <= 6 + 8 * 2);
}

TEST_CASE("Membership - a stopping instance no longer counts for shares")
{
	Membership members({"b", "hall", "a"}, milliseconds(1000));
	TimePoint now(std::chrono::seconds(5));
	members.OnHeard({"a", "hall", "x", 1, 1}, now);
	members.OnHeard({"c", "hall", "y", 1, 1}, now);
	CHECK((members.Rank(now) == std::pair<uint32_t, uint32_t>{1, 3}));
	members.OnHeard({"a", "hall", "x", 1, 2, 0, true}, now);
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
	CHECK(back.leaving == heartbeat.leaving);
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
