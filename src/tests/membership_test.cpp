/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership_test.cpp Membership converges over few links and detects failures, and peer messages survive encoding. */

#include "decision/membership.h"
#include "peer/peer_message.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace cottonspool;
using std::chrono::milliseconds;

TEST_CASE("Membership - outdated information never replaces newer information, and a new incarnation replaces both")
{
	bool good = rc::check("outdated information", [](const std::vector<std::pair<uint8_t, uint8_t>> &updates) {
		Membership members({"self", "hall", "a"}, milliseconds(1000));
		std::pair<uint64_t, uint64_t> newest{0, 0};
		TimePoint now(std::chrono::seconds(5));
		for (const auto &[incarnation, counter] : updates) {
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

TEST_CASE("Membership - each of 370 instances learns all members of its hall over few links, and detects a failure")
{
	constexpr size_t count = 370;
	constexpr auto period = std::chrono::seconds(4);
	std::vector<Membership> all;
	TimePoint now(std::chrono::seconds(5));
	for (size_t i = 0; i < count; i++) {
		std::string name = "instance" + std::to_string(i);
		all.emplace_back(MemberInfo{name, "hall" + std::to_string(i % 9), name}, std::chrono::seconds(4));
	}
	// Initially each instance knows one member of its hall, and the first instance of each hall one of another hall.
	for (size_t i = 0; i < count; i++) all[i].OnMemberInfo(all[i < 9 ? i / 2 : i / 18 * 9 + i % 9].self, now);
	size_t max_links = 0;
	size_t stopped = SIZE_MAX;
	auto round = [&] {
		now += period;
		for (size_t i = 0; i < count; i++) {
			if (i == stopped) continue;
			all[i].self.counter++;
			std::vector<MemberInfo> updates = all[i].NextGossip(6);
			std::vector<MemberInfo> links = all[i].GossipPeers(now);
			all[i].SetGossipPace(period, links.size(), 6);
			max_links = std::max(max_links, links.size());
			for (const MemberInfo &link : links) {
				Membership &peer = all[std::stoul(link.name.substr(8))];
				for (const MemberInfo &member : updates) peer.OnMemberInfo(member, now);
			}
		}
	};
	// Whether every instance counts exactly the live instances of its hall.
	auto converged = [&] {
		for (size_t i = 0; i < count; i++) {
			size_t wanted = count / 9 + (i % 9 < count % 9 ? 1 : 0) - (stopped != SIZE_MAX && stopped % 9 == i % 9 ? 1 : 0);
			if (i != stopped && all[i].Rank(now).second != wanted) return false;
		}
		return true;
	};
	size_t rounds = 0;
	while (!converged() && rounds < 100) {
		round();
		rounds++;
	}
	CHECK(rounds <= 60);
	bool stays_converged = true;
	for (int i = 0; i < 40; i++) {
		round();
		stays_converged = stays_converged && converged();
	}
	CHECK(stays_converged); // No live member is considered failed.
	stopped = 7;
	for (rounds = 0; !converged() && rounds < 100; rounds++) round();
	CHECK(rounds <= 60);
	CHECK(max_links <= 6 + 8);
	MESSAGE("rounds until a loss is known to all: " << rounds);
}

TEST_CASE("Membership - a stopping instance does not count for shares")
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

TEST_CASE("Peer messages - survive encoding, and arbitrary bytes cause at most an error")
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
