/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_directory_test.cpp Peers are dialled at the right time, and links across halls are kept only where needed. */

#include "decision/peer_directory.h"
#include <doctest/doctest.h>
#include <set>

using namespace cottonspool;
using std::chrono::milliseconds;

namespace {

/** A directory with the state of its links. */
struct DialHarness {
	/** Establishes the wanted links and closes all others. @return Addresses that were dialled. */
	std::set<std::string> UpdateLinks()
	{
		auto link_state_of = [this](const std::string &address) { return this->LinkStateOf(address); };
		WantedLinks links_wanted = this->directory.Wanted(link_state_of, this->is_hall_reader, this->now);
		this->forwarders = links_wanted.forwarders;
		std::vector<std::string> wanted = links_wanted.peers;
		wanted.insert(wanted.end(), this->forwarders.begin(), this->forwarders.end());
		std::set<std::string> dialled;
		for (const std::string &address : wanted) {
			if (!this->links.contains(address)) dialled.insert(address);
		}
		std::map<std::string, LinkState> new_links;
		for (const std::string &address : wanted)
			new_links[address] = dialled.contains(address) ? LinkState::Dialling : this->links[address];
		this->links = new_links;
		return dialled;
	}

	LinkState LinkStateOf(const std::string &address) { return this->links.contains(address) ? this->links[address] : LinkState::None; }

	PeerDirectory directory{"self", "hall-a", DialLimits{}}; ///< Directory under test.
	std::map<std::string, LinkState> links;                  ///< Links by address.
	std::vector<std::string> forwarders;                     ///< Addresses of the forwarders in other halls.
	bool is_hall_reader = false;                             ///< This instance reads store tables for its hall.
	TimePoint now = MonotonicNow();                          ///< Simulated time.
};

} // namespace

TEST_CASE("Directory - a dial in progress is not interrupted")
{
	DialHarness harness;
	harness.directory.Update("b", {"b:1", "hall-a", 10});
	CHECK(harness.UpdateLinks() == std::set<std::string>{"b:1"});
	harness.now += milliseconds(2);
	harness.directory.Update("c", {"c:1", "hall-a", 10});
	CHECK(harness.UpdateLinks() == std::set<std::string>{"c:1"});
	CHECK(harness.links.contains("b:1"));
	harness.links["b:1"] = LinkState::Open;
	harness.now += DialLimits{}.min_redial_interval;
	harness.UpdateLinks();
	CHECK(harness.links.contains("b:1"));
	CHECK_FALSE(harness.links.contains("c:1"));
	// The link that was not established in time is dialled again.
	CHECK(harness.UpdateLinks() == std::set<std::string>{"c:1"});
}

TEST_CASE("Directory - a peer that reports itself alive is dialled at once, however long it was unreachable")
{
	DialHarness harness;
	harness.directory.Update("b", {"b:1", "hall-a", 10});
	for (int i = 0; i < 20; i++) {
		harness.UpdateLinks();
		harness.links.clear();
		harness.now += milliseconds(500);
	}
	CHECK(harness.UpdateLinks().empty());
	harness.directory.OnPeerAlive("b", {"b:1", "hall-a", 10});
	CHECK(harness.UpdateLinks() == std::set<std::string>{"b:1"});
}

TEST_CASE("Directory - links cross halls only if this is enabled and there are few instances")
{
	DialHarness harness;
	harness.directory.Update("b", {"b:1", "hall-a", 10});
	harness.directory.Update("c", {"c:1", "hall-b", 10});
	CHECK(harness.UpdateLinks() == std::set<std::string>{"b:1"});
	harness.directory.SetHallOnly(false);
	CHECK(harness.UpdateLinks() == std::set<std::string>{"c:1"});
	for (size_t i = 0; i < DialLimits{}.max_mesh_instances; i++)
		harness.directory.Update("d" + std::to_string(i), {std::to_string(i), "hall-b", 10});
	CHECK(harness.UpdateLinks().empty());
	CHECK(harness.links.size() == 1);
}

TEST_CASE("Directory - a hall reader keeps a link to one instance of each other hall, and tries others when it fails")
{
	DialHarness harness;
	for (const char *peer : {"b1", "b2", "b3"}) harness.directory.Update(peer, {peer, "hall-b", 10});
	for (const char *peer : {"c1", "c2"}) harness.directory.Update(peer, {peer, "hall-c", 10});
	CHECK(harness.UpdateLinks().empty());
	harness.is_hall_reader = true;
	CHECK(harness.UpdateLinks().size() == 2);
	for (auto &[address, state] : harness.links) state = LinkState::Open;
	CHECK(harness.UpdateLinks().empty());
	// A whole hall is unreachable: each candidate is tried once, one at a time, before one is tried again.
	std::string failed = harness.forwarders.front();
	std::set<std::string> attempted{failed};
	harness.links.erase(failed);
	for (int i = 0; i < 13; i++) {
		for (const std::string &address : harness.UpdateLinks()) attempted.insert(address);
		CHECK(harness.links.size() <= 2);
		harness.now += milliseconds(250);
	}
	CHECK(attempted == std::set<std::string>{"b1", "b2", "b3"});
	CHECK(harness.links.size() >= 1);
}
