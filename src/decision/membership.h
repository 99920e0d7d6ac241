/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership.h Gossip-based membership: the live instances, and the targets that are draining. */

#pragma once

#include "core/time_type.h"
#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace cottonspool {

/** Information that an instance sends about itself. */
struct MemberInfo {
	std::string name;         ///< Name of the instance.
	std::string hall;         ///< Data hall of the instance.
	std::string address;      ///< IP:PORT for peers.
	uint64_t incarnation = 0; ///< Grows with each start of the instance.
	uint64_t counter = 0;     ///< Number of the last heartbeat.
	uint64_t sequence = 0;    ///< Sequence of the configuration in force there.
	bool stopping = false;    ///< It is shutting down: it finishes its calls and accepts no new ones.
};

/** A target that has announced that it is draining. */
struct DrainingTarget {
	std::string target;      ///< Name of the target.
	std::string incarnation; ///< Incarnation of the target that is draining; empty for any.

	auto operator<=>(const DrainingTarget &) const = default;
};

/**
 * Membership as known to one instance. Instances forward each other's heartbeat counters, and a member whose counter does not grow within a
 * timeout is considered failed.
 */
class Membership {
public:
	Membership(MemberInfo self, Duration timeout) : self(std::move(self)), timeout(timeout) {}

	/**
	 * Handles information about a member, from itself or forwarded by a peer; outdated information is ignored.
	 * @return Whether the member is new.
	 */
	bool OnMemberInfo(const MemberInfo &info, TimePoint now);

	/** Removes a member that has shut down or whose process has ended. */
	void Forget(const std::string &name) { this->members.erase(name); }

	/**
	 * @return Information for the next gossip message: this instance first, then up to \a count members in turn. In a large system nearly
	 * all of them are in this instance's hall, as its instances share targets.
	 */
	std::vector<MemberInfo> NextGossip(size_t count);

	/** @return The live members and this instance, sorted by name. */
	std::vector<MemberInfo> Live(TimePoint now) const;

	/**
	 * @return The position of this instance, by name, among the live members that accept requests and share its targets, and their number.
	 */
	std::pair<uint32_t, uint32_t> Rank(TimePoint now) const;

	/** @return The peers to keep links to: all in a small system, a few in each hall in a large one. */
	std::vector<MemberInfo> GossipPeers(TimePoint now) const;

	/**
	 * Sets the gossip rate: each of \a links sends \a gossip members every \a period. In a large system information needs several rounds to
	 * reach every member, so the timeout grows with the system.
	 */
	void SetGossipPace(Duration period, size_t links, size_t gossip);

	/** @return The time without a new heartbeat after which a member is considered failed, at the current gossip rate. */
	Duration Timeout() const { return std::max(this->timeout, this->gossip_timeout); }

	/** Removes members without a heartbeat for several timeouts. */
	void Expire(TimePoint now);

	/** Records that a target is draining, until RemoveDraining() is called. @return Whether this was unknown. */
	bool AddDraining(const DrainingTarget &draining) { return this->draining.insert(draining).second; }

	/** Removes a target that the configuration enables again or that is gone. */
	void RemoveDraining(const std::string &target);

	/** @return Targets known to be draining. */
	const std::set<DrainingTarget> &Draining() const { return this->draining; }

	MemberInfo self; ///< Information about this instance.

private:
	void AddGossip(size_t count, bool own_hall, std::string *cursor, std::vector<MemberInfo> *gossip) const;
	bool SharesTargets(const MemberInfo &member) const;
	size_t HallSize() const;

	/** Another member. */
	struct Member {
		MemberInfo info;      ///< Newest information about it.
		TimePoint last_heard; ///< Time at which its counter last grew.
	};

	static constexpr size_t MAX_FULL_MESH = 12;       ///< Number of other members up to which every instance links to every other one.
	static constexpr size_t LOCAL_HALL_LINKS = 6;     ///< Links to members in the same hall, in a larger system.
	static constexpr size_t REMOTE_HALL_LINKS = 1;    ///< Links to members in each other hall, in a larger system.
	static constexpr int MEMBER_EXPIRY_TIMEOUTS = 10; ///< Timeouts without a heartbeat after which a member is removed.

	static constexpr int TIMEOUT_ROUNDS = 10; ///< Gossip rounds without a heartbeat after which a member is considered failed.

	Duration gossip_timeout{0};            ///< Timeout that the gossip rate requires.
	Duration timeout;                      ///< Minimum timeout.
	std::map<std::string, Member> members; ///< Other members by name.
	std::string last_sent_local;           ///< Name of the member in the same hall that was sent last.
	std::string last_sent_remote;          ///< Name of the member in another hall that was sent last.
	std::set<DrainingTarget> draining;     ///< Targets known to be draining.
};

} // namespace cottonspool
