/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file quarantine.cpp Implementation of the quarantine of requests. */

#include "decision/quarantine.h"
#include <algorithm>

namespace cottonspool {

bool Quarantine::Add(const CrashRecord &crash, TimePoint now)
{
	if (crash.fingerprint.value == 0 || this->IsFull()) return false;
	bool added = this->crashes[crash.fingerprint].emplace(crash.incarnation, now).second;
	if (added) this->count++;
	return added;
}

void Quarantine::Remove(const CrashRecord &crash)
{
	auto found = this->crashes.find(crash.fingerprint);
	if (found == this->crashes.end() || found->second.erase(crash.incarnation) == 0) return;
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
	std::vector<CrashRecord> records;
	auto found = this->crashes.find(fingerprint);
	if (found == this->crashes.end()) return records;
	for (const auto &[incarnation, learned_at] : found->second) records.push_back({fingerprint, incarnation});
	return records;
}

std::vector<CrashRecord> Quarantine::ClearedBySuccess(RequestFingerprint fingerprint) const
{
	std::vector<CrashRecord> records = this->CrashesOf(fingerprint);
	auto learned_at = [this](const CrashRecord &crash) { return this->crashes.at(crash.fingerprint).at(crash.incarnation); };
	std::stable_sort(records.begin(), records.end(),
	                 [&](const CrashRecord &a, const CrashRecord &b) { return learned_at(a) < learned_at(b); });
	records.resize(std::min(records.size(), this->limits.cleared_per_success));
	return records;
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

Suspicion Quarantine::Assess(RequestFingerprint fingerprint, TimePoint now) const
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
