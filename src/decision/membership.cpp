/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file membership.cpp Which instances are there. */

#include "decision/membership.h"
#include "core/hash_func.h"
#include <algorithm>

namespace cottonspool {

bool Membership::OnHeard(const MemberInfo &info, TimePoint now)
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

std::vector<MemberInfo> Membership::NextNews(size_t count)
{
	std::vector<MemberInfo> news{this->self};
	auto it = this->members.upper_bound(this->last_told);
	for (size_t i = 0; i < std::min(count, this->members.size()); i++) {
		if (it == this->members.end()) it = this->members.begin();
		news.push_back(it->second.info);
		this->last_told = it->first;
		++it;
	}
	return news;
}

std::vector<MemberInfo> Membership::Live(TimePoint now) const
{
	std::vector<MemberInfo> live{this->self};
	for (const auto &[name, member] : this->members) {
		if (now - member.heard <= this->timeout) live.push_back(member.info);
	}
	std::sort(live.begin(), live.end(), [](const MemberInfo &a, const MemberInfo &b) { return a.name < b.name; });
	return live;
}

std::pair<uint32_t, uint32_t> Membership::Rank(TimePoint now) const
{
	uint32_t rank = 0;
	uint32_t count = 0;
	for (const MemberInfo &member : this->Live(now)) {
		if (member.stopping && member.name != this->self.name) continue;
		if (member.name < this->self.name) rank++;
		count++;
	}
	return {rank, count};
}

std::vector<MemberInfo> Membership::LinkTargets(TimePoint now) const
{
	std::vector<MemberInfo> live = this->Live(now);
	std::erase_if(live, [&](const MemberInfo &member) { return member.name == this->self.name; });
	if (live.size() <= SMALL_SYSTEM) return live;
	std::map<std::string, std::vector<std::string>> halls;
	for (const MemberInfo &member : live) halls[member.hall].push_back(member.name);
	std::set<std::string> chosen;
	for (const auto &[hall, names] : halls) {
		size_t count = hall == this->self.hall ? LINKS_IN_HALL : LINKS_TO_HALL;
		for (std::string &name : RendezvousChoice(this->self.name, names, count)) chosen.insert(std::move(name));
	}
	std::erase_if(live, [&](const MemberInfo &member) { return !chosen.contains(member.name); });
	return live;
}

void Membership::Expire(TimePoint now)
{
	std::erase_if(this->members, [&](const auto &entry) { return now - entry.second.heard > EXPIRE_TIMEOUTS * this->timeout; });
}

void Membership::RemoveLeaving(const std::string &target)
{
	std::erase_if(this->leaving, [&](const LeavingTarget &entry) { return entry.target == target; });
}

} // namespace cottonspool
