/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory_test.cpp Which other instances are dialled when. */

#include "decision/peer_directory.h"
#include <doctest/doctest.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** Links as far as they have come. */
struct DialWorld {
	/** Dial what is wanted and close the rest, as links are kept. @return Addresses that were dialled. */
	std::set<std::string> Look()
	{
		auto link_state_of = [this](const std::string &address) { return this->LinkStateOf(address); };
		WantedLinks links_wanted = this->directory.Wanted(link_state_of, this->reads_for_hall, this->now);
		this->forwarders = links_wanted.forwarders;
		std::vector<std::string> wanted = links_wanted.peers;
		wanted.insert(wanted.end(), this->forwarders.begin(), this->forwarders.end());
		std::set<std::string> dialled;
		for (const std::string &address : wanted) {
			if (!this->links.contains(address)) dialled.insert(address);
		}
		std::map<std::string, LinkState> kept;
		for (const std::string &address : wanted) kept[address] = dialled.contains(address) ? LinkState::Dialling : this->links[address];
		this->links = kept;
		return dialled;
	}

	LinkState LinkStateOf(const std::string &address) { return this->links.contains(address) ? this->links[address] : LinkState::None; }

	PeerDirectory directory{"self", "hall-a", DialLimits{}}; ///< Under test.
	std::map<std::string, LinkState> links;                  ///< Links by address.
	std::vector<std::string> forwarders;                     ///< Those that pass news on in other halls.
	bool reads_for_hall = false;                             ///< This instance is the first of its hall.
	TimePoint now = MonotonicNow();                          ///< Clock.
};

} // namespace

TEST_CASE("Directory - a dial under way is not broken off by the next look")
{
	DialWorld world;
	world.directory.Update("b", {"b:1", "hall-a", 10});
	CHECK(world.Look() == std::set<std::string>{"b:1"});
	world.now += milliseconds(2);
	world.directory.Update("c", {"c:1", "hall-a", 10});
	CHECK(world.Look() == std::set<std::string>{"c:1"});
	CHECK(world.links.contains("b:1"));
	world.links["b:1"] = LinkState::Open;
	world.now += DialLimits{}.min_redial_interval;
	world.Look();
	CHECK(world.links.contains("b:1"));
	CHECK_FALSE(world.links.contains("c:1"));
	// The one that did not open in time is dialled anew.
	CHECK(world.Look() == std::set<std::string>{"c:1"});
}

TEST_CASE("Directory - a peer that tells that it lives is dialled at once, however long it was away")
{
	DialWorld world;
	world.directory.Update("b", {"b:1", "hall-a", 10});
	for (int i = 0; i < 20; i++) {
		world.Look();
		world.links.clear();
		world.now += milliseconds(500);
	}
	CHECK(world.Look().empty());
	world.directory.OnPeerAlive("b", {"b:1", "hall-a", 10});
	CHECK(world.Look() == std::set<std::string>{"b:1"});
}

TEST_CASE("Directory - links cross halls only while the instances are few and the own hall's engines too")
{
	DialWorld world;
	world.directory.Update("b", {"b:1", "hall-a", 10});
	world.directory.Update("c", {"c:1", "hall-b", 10});
	CHECK(world.Look() == std::set<std::string>{"b:1"});
	world.directory.SetHallOnly(false);
	CHECK(world.Look() == std::set<std::string>{"c:1"});
	for (size_t i = 0; i < DialLimits{}.max_mesh_instances; i++)
		world.directory.Update("d" + std::to_string(i), {std::to_string(i), "hall-b", 10});
	CHECK(world.Look().empty());
	CHECK(world.links.size() == 1);
}

TEST_CASE("Directory - the first of a hall keeps a link to one instance of each other hall, and tries another when that is gone")
{
	DialWorld world;
	for (const char *peer : {"b1", "b2", "b3"}) world.directory.Update(peer, {peer, "hall-b", 10});
	for (const char *peer : {"c1", "c2"}) world.directory.Update(peer, {peer, "hall-c", 10});
	CHECK(world.Look().empty());
	world.reads_for_hall = true;
	CHECK(world.Look().size() == 2);
	for (auto &[address, state] : world.links) state = LinkState::Open;
	CHECK(world.Look().empty());
	// A cut hall: nobody there answers. Each candidate is tried in turn, one at a time, before any is tried again.
	std::string lost = world.forwarders.front();
	std::set<std::string> tried{lost};
	world.links.erase(lost);
	for (int i = 0; i < 13; i++) {
		for (const std::string &address : world.Look()) tried.insert(address);
		CHECK(world.links.size() <= 2);
		world.now += milliseconds(250);
	}
	CHECK(tried == std::set<std::string>{"b1", "b2", "b3"});
	CHECK(world.links.size() >= 1);
}
