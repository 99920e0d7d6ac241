/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.cpp Requests under which targets end. */

#include "decision/quarantine.h"
#include <algorithm>

namespace cottonspool {

bool Quarantine::Add(const CrashRecord &end, TimePoint now)
{
	if (end.fingerprint.value == 0 || this->IsFull()) return false;
	bool added = this->crashes[end.fingerprint].emplace(end.incarnation, now).second;
	if (added) this->count++;
	return added;
}

void Quarantine::Remove(const CrashRecord &end)
{
	auto found = this->crashes.find(end.fingerprint);
	if (found == this->crashes.end() || found->second.erase(end.incarnation) == 0) return;
	if (found->second.empty()) this->crashes.erase(found);
	this->count--;
}

std::vector<CrashRecord> Quarantine::All() const
{
	std::vector<CrashRecord> all;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		for (const auto &[incarnation, learned_at] : incarnations) all.push_back({fingerprint, incarnation});
	}
	return all;
}

std::vector<CrashRecord> Quarantine::CrashesOf(RequestFingerprint fingerprint) const
{
	std::vector<CrashRecord> own;
	auto found = this->crashes.find(fingerprint);
	if (found == this->crashes.end()) return own;
	for (const auto &[incarnation, learned_at] : found->second) own.push_back({fingerprint, incarnation});
	return own;
}

std::vector<CrashRecord> Quarantine::ClearedBySuccess(RequestFingerprint fingerprint) const
{
	std::vector<CrashRecord> own = this->CrashesOf(fingerprint);
	auto learned_at = [this](const CrashRecord &end) { return this->crashes.at(end.fingerprint).at(end.incarnation); };
	std::stable_sort(own.begin(), own.end(), [&](const CrashRecord &a, const CrashRecord &b) { return learned_at(a) < learned_at(b); });
	own.resize(std::min(own.size(), this->limits.cleared_per_success));
	return own;
}

std::vector<CrashRecord> Quarantine::Expired(TimePoint now) const
{
	std::vector<CrashRecord> expired;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		for (const auto &[incarnation, learned_at] : incarnations) {
			if (now - learned_at > this->limits.retention) expired.push_back({fingerprint, incarnation});
		}
	}
	return expired;
}

Duration Quarantine::RemainingTime(RequestFingerprint fingerprint, TimePoint now) const
{
	auto found = this->crashes.find(fingerprint);
	if (fingerprint.value == 0 || found == this->crashes.end()) return Duration(0);
	TimePoint oldest = TimePoint::max();
	TimePoint newest = TimePoint::min();
	for (const auto &[incarnation, learned_at] : found->second) {
		oldest = std::min(oldest, learned_at);
		newest = std::max(newest, learned_at);
	}
	TimePoint until = now;
	if (found->second.size() >= this->limits.holdback_crashes) until = newest + this->limits.holdback;
	if (found->second.size() >= this->limits.crash_threshold) until = oldest + this->limits.retention;
	return std::max(Duration(0), std::chrono::duration_cast<Duration>(until - now));
}

Suspicion Quarantine::Judge(RequestFingerprint fingerprint, TimePoint now) const
{
	if (!this->crashes.contains(fingerprint)) return Suspicion::None;
	return this->RemainingTime(fingerprint, now) > Duration(0) ? Suspicion::Quarantined : Suspicion::Suspected;
}

std::vector<RequestFingerprint> Quarantine::Quarantined(TimePoint now) const
{
	std::vector<RequestFingerprint> prints;
	for (const auto &[fingerprint, incarnations] : this->crashes) {
		if (this->RemainingTime(fingerprint, now) > Duration(0)) prints.push_back(fingerprint);
	}
	return prints;
}

} // namespace cottonspool
