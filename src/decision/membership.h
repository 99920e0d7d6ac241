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
struct LeavingTarget {
	std::string target;      ///< Name of the target.
	std::string incarnation; ///< The start of the target that was seen leaving; empty means any.

	auto operator<=>(const LeavingTarget &) const = default;
};

/** Members known to one instance, by counters that spread from peer to peer. */
class Membership {
public:
	Membership(MemberInfo self, Duration timeout) : self(std::move(self)), timeout(timeout) {}

	/** Something was told of a member, by itself or by another. Older news changes nothing. @return Whether it is a new member. */
	bool OnHeard(const MemberInfo &info, TimePoint now);

	/** A member went away in good order, or its process is known to be gone. */
	void Forget(const std::string &name) { this->members.erase(name); }

	/**
	 * @return News to tell next: this instance first, then \a count others in turn; in a large system nearly all of the own
	 *         hall, whose instances share the targets.
	 */
	std::vector<MemberInfo> NextNews(size_t count);

	/** @return All members heard of within the timeout, and this instance, by name. */
	std::vector<MemberInfo> Live(TimePoint now) const;

	/** @return Rank of this instance among the live ones that take requests and share its targets, and their number. */
	std::pair<uint32_t, uint32_t> Rank(TimePoint now) const;

	/** @return Names of the peers to keep links to: all of a small system, a few of each hall of a large one. */
	std::vector<MemberInfo> LinkTargets(TimePoint now) const;

	/**
	 * Set the pace at which news spreads: each of \a links takes \a news members every \a period. In a large system news of
	 * a member takes several rounds, so the timeout grows with it.
	 */
	void SetPace(Duration period, size_t links, size_t news);

	/** @return Silence after which a member counts as gone, at the present pace. */
	Duration Timeout() const { return std::max(this->timeout, this->spread_timeout); }

	/** Drop members that have been silent for several timeouts. */
	void Expire(TimePoint now);

	/** Note that a target leaves. Sticky. @return Whether this was new. */
	bool AddLeaving(const LeavingTarget &leaving) { return this->leaving.insert(leaving).second; }

	/** The configuration says that the target may be used again, or it is gone. */
	void RemoveLeaving(const std::string &target);

	/** @return Targets known to leave. */
	const std::set<LeavingTarget> &Leaving() const { return this->leaving; }

	MemberInfo self; ///< This instance.

private:
	void AddNews(size_t count, bool own_hall, std::string *last, std::vector<MemberInfo> *news) const;
	bool SharesTargets(const MemberInfo &member) const;
	size_t HallSize() const;

	/** A member with the time of its last news. */
	struct Member {
		MemberInfo info; ///< Last news.
		TimePoint heard; ///< When its counter last grew.
	};

	static constexpr size_t SMALL_SYSTEM = 12; ///< Members up to which every instance links to every other.
	static constexpr size_t LINKS_IN_HALL = 6; ///< Links inside the own hall of a larger system.
	static constexpr size_t LINKS_TO_HALL = 1; ///< Links to each other hall.
	static constexpr int EXPIRE_TIMEOUTS = 10; ///< Timeouts of silence after which a member is dropped.

	static constexpr int ROUNDS_OF_SILENCE = 10; ///< Rounds of news without one of a member after which it counts as gone.

	Duration spread_timeout{0};            ///< Timeout that the pace asks for.
	Duration timeout;                      ///< Silence after which a member counts as gone.
	std::map<std::string, Member> members; ///< Other members by name.
	std::string last_told;                 ///< Member of the own hall told last.
	std::string last_told_other;           ///< Member of another hall told last.
	std::set<LeavingTarget> leaving;       ///< Targets that leave.
};

} // namespace cottonspool
