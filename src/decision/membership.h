/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership.h Which instances are there, and which targets leave, as heard from peers. */

#pragma once

#include "core/time_type.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cottonspool {

/** What an instance tells of itself. */
struct MemberInfo {
	std::string name;         ///< Name of the instance.
	std::string hall;         ///< Data hall it stands in.
	std::string address;      ///< IP:PORT for peers.
	uint64_t incarnation = 0; ///< Grows with each start of the instance.
	uint64_t counter = 0;     ///< Grows with each heartbeat.
	uint64_t sequence = 0;    ///< Configuration in force there.
	bool stopping = false;    ///< It finishes what it has and goes.
};

/** A target seen leaving. */
struct DrainingTarget {
	std::string target;      ///< Name of the target.
	std::string incarnation; ///< The start of the target that was seen leaving; empty means any.

	auto operator<=>(const DrainingTarget &) const = default;
};

/** Members known to one instance, by counters that spread from peer to peer. */
class Membership {
public:
	Membership(MemberInfo self, Duration timeout) : self(std::move(self)), timeout(timeout) {}

	/** Something was told of a member, by itself or by another. Older news changes nothing. @return Whether it is a new member. */
	bool OnMemberInfo(const MemberInfo &info, TimePoint now);

	/** A member went away in good order, or its process is known to be gone. */
	void Forget(const std::string &name) { this->members.erase(name); }

	/**
	 * @return News to tell next: this instance first, then \a count others in turn; in a large system nearly all of the own
	 *         hall, whose instances share the targets.
	 */
	std::vector<MemberInfo> NextGossip(size_t count);

	/** @return All members heard of within the timeout, and this instance, by name. */
	std::vector<MemberInfo> Live(TimePoint now) const;

	/** @return Rank of this instance among the live ones that take requests and share its targets, and their number. */
	std::pair<uint32_t, uint32_t> Rank(TimePoint now) const;

	/** @return Names of the peers to keep links to: all of a small system, a few of each hall of a large one. */
	std::vector<MemberInfo> GossipPeers(TimePoint now) const;

	/**
	 * Set the pace at which news spreads: each of \a links takes \a gossip members every \a period. In a large system news of
	 * a member takes several rounds, so the timeout grows with it.
	 */
	void SetGossipPace(Duration period, size_t links, size_t gossip);

	/** @return Silence after which a member counts as gone, at the present pace. */
	Duration Timeout() const { return std::max(this->timeout, this->gossip_timeout); }

	/** Drop members that have been silent for several timeouts. */
	void Expire(TimePoint now);

	/** Note that a target leaves. Sticky. @return Whether this was new. */
	bool AddDraining(const DrainingTarget &draining) { return this->draining.insert(draining).second; }

	/** The configuration says that the target may be used again, or it is gone. */
	void RemoveDraining(const std::string &target);

	/** @return Targets known to leave. */
	const std::set<DrainingTarget> &Leaving() const { return this->draining; }

	MemberInfo self; ///< This instance.

private:
	void AddGossip(size_t count, bool own_hall, std::string *last, std::vector<MemberInfo> *gossip) const;
	bool SharesTargets(const MemberInfo &member) const;
	size_t HallSize() const;

	/** A member with the time of its last news. */
	struct Member {
		MemberInfo info;      ///< Last news.
		TimePoint last_heard; ///< When its counter last grew.
	};

	static constexpr size_t MAX_FULL_MESH = 12;       ///< Members up to which every instance links to every other.
	static constexpr size_t LOCAL_HALL_LINKS = 6;     ///< Links inside the own hall of a larger system.
	static constexpr size_t REMOTE_HALL_LINKS = 1;    ///< Links to each other hall.
	static constexpr int MEMBER_EXPIRY_TIMEOUTS = 10; ///< Timeouts of silence after which a member is dropped.

	static constexpr int TIMEOUT_ROUNDS = 10; ///< Rounds of news without one of a member after which it counts as gone.

	Duration gossip_timeout{0};            ///< Timeout that the pace asks for.
	Duration timeout;                      ///< Silence after which a member counts as gone.
	std::map<std::string, Member> members; ///< Other members by name.
	std::string last_sent_local;           ///< Member of the own hall told last.
	std::string last_sent_remote;          ///< Member of another hall told last.
	std::set<DrainingTarget> draining;     ///< Targets that leave.
};

} // namespace cottonspool
