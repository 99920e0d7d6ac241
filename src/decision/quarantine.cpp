/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.cpp Requests under which targets end. */

#include "decision/quarantine.h"
#include <algorithm>

namespace cottonspool {

bool Quarantine::Add(const EndRecord &end, TimePoint now)
{
	if (end.print.value == 0 || this->IsFull()) return false;
	bool added = this->ends[end.print].emplace(end.life, now).second;
	if (added) this->count++;
	return added;
}

void Quarantine::Remove(const EndRecord &end)
{
	auto found = this->ends.find(end.print);
	if (found == this->ends.end() || found->second.erase(end.life) == 0) return;
	if (found->second.empty()) this->ends.erase(found);
	this->count--;
}

std::vector<EndRecord> Quarantine::All() const
{
	std::vector<EndRecord> all;
	for (const auto &[print, lives] : this->ends) {
		for (const auto &[life, learned] : lives) all.push_back({print, life});
	}
	return all;
}

std::vector<EndRecord> Quarantine::EndsOf(RequestPrint print) const
{
	std::vector<EndRecord> own;
	auto found = this->ends.find(print);
	if (found == this->ends.end()) return own;
	for (const auto &[life, learned] : found->second) own.push_back({print, life});
	return own;
}

std::vector<EndRecord> Quarantine::ClearedByAnswer(RequestPrint print) const
{
	std::vector<EndRecord> own = this->EndsOf(print);
	auto learned = [this](const EndRecord &end) { return this->ends.at(end.print).at(end.life); };
	std::stable_sort(own.begin(), own.end(), [&](const EndRecord &a, const EndRecord &b) { return learned(a) < learned(b); });
	own.resize(std::min(own.size(), this->limits.cleared_by_answer));
	return own;
}

std::vector<EndRecord> Quarantine::Expired(TimePoint now) const
{
	std::vector<EndRecord> expired;
	for (const auto &[print, lives] : this->ends) {
		for (const auto &[life, learned] : lives) {
			if (now - learned > this->limits.kept) expired.push_back({print, life});
		}
	}
	return expired;
}

Duration Quarantine::Left(RequestPrint print, TimePoint now) const
{
	auto found = this->ends.find(print);
	if (print.value == 0 || found == this->ends.end()) return Duration(0);
	TimePoint oldest = TimePoint::max();
	TimePoint newest = TimePoint::min();
	for (const auto &[life, learned] : found->second) {
		oldest = std::min(oldest, learned);
		newest = std::max(newest, learned);
	}
	TimePoint until = now;
	if (found->second.size() >= this->limits.likely_ends) until = newest + this->limits.held_back;
	if (found->second.size() >= this->limits.ends) until = oldest + this->limits.kept;
	return std::max(Duration(0), std::chrono::duration_cast<Duration>(until - now));
}

Suspicion Quarantine::Judge(RequestPrint print, TimePoint now) const
{
	if (!this->ends.contains(print)) return Suspicion::None;
	return this->Left(print, now) > Duration(0) ? Suspicion::Quarantined : Suspicion::Suspected;
}

std::vector<RequestPrint> Quarantine::Quarantined(TimePoint now) const
{
	std::vector<RequestPrint> prints;
	for (const auto &[print, lives] : this->ends) {
		if (this->Left(print, now) > Duration(0)) prints.push_back(print);
	}
	return prints;
}

} // namespace cottonspool
