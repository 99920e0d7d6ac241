/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership.cpp Implementation of the gossip-based membership. */

#include "decision/membership.h"
#include "core/hash_func.h"
#include <algorithm>

namespace cottonspool {

bool Membership::OnMemberInfo(const MemberInfo &info, TimePoint now)
{
	if (info.name == this->self.name) return false;
	auto [found, added] = this->members.try_emplace(info.name, Member{info, now});
	if (added) return true;
	Member &member = found->second;
	bool newer = info.incarnation > member.info.incarnation ||
	             (info.incarnation == member.info.incarnation && info.counter > member.info.counter);
	if (newer) member = Member{info, now};
	return false;
}

void Membership::AddGossip(size_t count, bool own_hall, std::string *cursor, std::vector<MemberInfo> *gossip) const
{
	auto it = this->members.upper_bound(*cursor);
	for (size_t seen = 0; seen < this->members.size() && count > 0; seen++, ++it) {
		if (it == this->members.end()) it = this->members.begin();
		if ((it->second.info.hall == this->self.hall) != own_hall) continue;
		gossip->push_back(it->second.info);
		*cursor = it->first;
		count--;
	}
}

std::vector<MemberInfo> Membership::NextGossip(size_t count)
{
	std::vector<MemberInfo> gossip{this->self};
	size_t remote_count = this->members.size() <= MAX_FULL_MESH ? count / 2 : 1;
	this->AddGossip(count - remote_count, true, &this->last_sent_local, &gossip);
	this->AddGossip(count + 1 - gossip.size(), false, &this->last_sent_remote, &gossip);
	return gossip;
}

bool Membership::SharesTargets(const MemberInfo &member) const
{
	return this->members.size() <= MAX_FULL_MESH || member.hall == this->self.hall;
}

std::vector<MemberInfo> Membership::Live(TimePoint now) const
{
	std::vector<MemberInfo> live{this->self};
	for (const auto &[name, member] : this->members) {
		if (now - member.last_heard <= this->Timeout()) live.push_back(member.info);
	}
	std::sort(live.begin(), live.end(), [](const MemberInfo &a, const MemberInfo &b) { return a.name < b.name; });
	return live;
}

std::pair<uint32_t, uint32_t> Membership::Rank(TimePoint now) const
{
	uint32_t rank = 0;
	uint32_t count = 0;
	for (const MemberInfo &member : this->Live(now)) {
		if ((member.stopping && member.name != this->self.name) || !this->SharesTargets(member)) continue;
		if (member.name < this->self.name) rank++;
		count++;
	}
	return {rank, count};
}

std::vector<MemberInfo> Membership::GossipPeers(TimePoint now) const
{
	std::vector<MemberInfo> live = this->Live(now);
	std::erase_if(live, [&](const MemberInfo &member) { return member.name == this->self.name; });
	if (live.size() <= MAX_FULL_MESH) return live;
	std::map<std::string, std::vector<std::string>> halls;
	for (const MemberInfo &member : live) halls[member.hall].push_back(member.name);
	std::set<std::string> chosen;
	for (const auto &[hall, names] : halls) {
		size_t count = hall == this->self.hall ? LOCAL_HALL_LINKS : REMOTE_HALL_LINKS;
		for (std::string &name : RendezvousChoice(this->self.name, names, count)) chosen.insert(std::move(name));
	}
	std::erase_if(live, [&](const MemberInfo &member) { return !chosen.contains(member.name); });
	return live;
}

size_t Membership::HallSize() const
{
	auto shares = [&](const auto &entry) { return this->SharesTargets(entry.second.info); };
	return static_cast<size_t>(std::count_if(this->members.begin(), this->members.end(), shares));
}

void Membership::SetGossipPace(Duration period, size_t links, size_t gossip)
{
	double sent_per_round = static_cast<double>(std::max<size_t>(1, links * gossip));
	double rounds = 1 + static_cast<double>(this->HallSize()) / sent_per_round;
	this->gossip_timeout = FromSeconds(Seconds(period) * TIMEOUT_ROUNDS * rounds);
}

void Membership::Expire(TimePoint now)
{
	std::erase_if(this->members,
	              [&](const auto &entry) { return now - entry.second.last_heard > MEMBER_EXPIRY_TIMEOUTS * this->Timeout(); });
}

void Membership::RemoveDraining(const std::string &target)
{
	std::erase_if(this->draining, [&](const DrainingTarget &entry) { return entry.target == target; });
}

} // namespace cottonspool
