/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_records.cpp Keeps the ends of targets under requests in the store. */

#include "gateway/crash_records.h"
#include "metrics/log.h"
#include <algorithm>
#include <utility>

namespace cottonspool {

static const char *const CRASH_TABLE = "cottonspool-ends"; ///< Table of ends.
static constexpr char KEY_SEPARATOR = '/';                 ///< Between the fingerprint and the life in a key.

std::string CrashKey(const CrashRecord &end)
{
	return FormatFingerprint(end.fingerprint) + KEY_SEPARATOR + end.incarnation;
}

std::optional<CrashRecord> ParseCrashKey(std::string_view key)
{
	size_t separator = key.find(KEY_SEPARATOR);
	if (separator == std::string_view::npos || separator + 1 == key.size()) return std::nullopt;
	std::optional<RequestFingerprint> fingerprint = ParseFingerprint(key.substr(0, separator));
	if (!fingerprint) return std::nullopt;
	return CrashRecord{*fingerprint, std::string(key.substr(separator + 1))};
}

CrashRecordStore::CrashRecordStore(TableStore &store, WatchLimits watch_limits, CrashRecordLimits limits, std::string own_name,
                                   Handler handler)
    : store(store), limits(limits), own_name(std::move(own_name)), handler(std::move(handler)), watch(store, CRASH_TABLE, watch_limits)
{
	this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnRows(rows, true, at); };
	this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnRows(rows, false, at); };
}

bool CrashRecordStore::Add(const CrashRecord &end)
{
	if (this->changes.size() >= this->limits.max_pending) return false;
	this->recently_removed.erase(end);
	if (!this->listed.contains(end)) this->changes[end] = Change{};
	return true;
}

void CrashRecordStore::Remove(const CrashRecord &end)
{
	bool known = this->listed.contains(end) || this->changes.contains(end);
	if (!known || this->changes.size() >= this->limits.max_pending) return;
	this->changes[end] = Change{.add = false};
	if (this->recently_removed.size() < this->limits.max_removed) this->recently_removed[end] = this->last_tick_at;
}

bool CrashRecordStore::IsWaiting(const CrashRecord &end) const
{
	auto found = this->changes.find(end);
	return found != this->changes.end() && found->second.add;
}

void CrashRecordStore::Write(const CrashRecord &end, Change &change, TimePoint now)
{
	change.number = this->next_number++;
	change.due = now + this->limits.write_timeout;
	auto done = [this, end, number = change.number](StoreWriteResult result) { this->OnWritten(end, number, result); };
	std::string key = CrashKey(end);
	change.call = change.add ? this->store.WriteRow(CRASH_TABLE, key, this->own_name, done) : this->store.RemoveRow(CRASH_TABLE, key, done);
}

void CrashRecordStore::OnWritten(const CrashRecord &end, uint64_t number, StoreWriteResult result)
{
	auto found = this->changes.find(end);
	if (found == this->changes.end() || found->second.number != number) return;
	if (result == StoreWriteResult::Done) {
		// The table's own news of it may still be on their way.
		if (found->second.add) this->listed.insert(end);
		if (!found->second.add) this->listed.erase(end);
		this->changes.erase(found);
		return;
	}
	// It may have been done: doing it again changes nothing.
	found->second.call = 0;
	found->second.due = this->last_tick_at + this->limits.pause;
}

void CrashRecordStore::OnTick(TimePoint now)
{
	this->last_tick_at = now;
	std::erase_if(this->recently_removed, [&](const auto &each) { return now - each.second > this->limits.removed_retention; });
	size_t under_way = 0;
	for (auto &[end, change] : this->changes) {
		if (change.call != 0 && now >= change.due) {
			this->store.Cancel(change.call);
			change.call = 0;
		}
		if (change.call == 0 && now >= change.due && under_way < this->limits.max_concurrent_writes) this->Write(end, change, now);
		if (change.call != 0) under_way++;
	}
}

void CrashRecordStore::OnStoreRestored()
{
	this->verify_snapshot = true;
	// A write under way may have gone to the former store: its answer says nothing of this one.
	for (auto &[end, change] : this->changes) {
		if (change.call == 0) continue;
		this->store.Cancel(change.call);
		change.call = 0;
		change.due = this->last_tick_at;
	}
}

void CrashRecordStore::RewriteMissing(const std::set<CrashRecord> &missing, TimePoint now)
{
	for (const CrashRecord &end : missing) {
		this->listed.erase(end);
		bool first = !this->rewrites_first || this->rewrites_first(end);
		if (!this->changes.contains(end)) this->changes[end] = Change{.due = first ? now : now + this->limits.fallback_rewrite_delay};
	}
	if (!missing.empty()) Log(LogLevel::Warning, "ends-forgotten", {{"ends", std::to_string(missing.size())}});
}

void CrashRecordStore::OnRows(const std::vector<StoredRow> &rows, bool all, TimePoint now)
{
	std::vector<CrashRecord> added;
	std::vector<CrashRecord> removed;
	std::set<CrashRecord> gone;
	if (all) gone = this->listed;
	for (const StoredRow &row : rows) {
		std::optional<CrashRecord> end = ParseCrashKey(row.key);
		if (!end) {
			Log(LogLevel::Warning, "end-unreadable", {{"key", row.key.substr(0, 64)}});
			continue;
		}
		gone.erase(*end);
		if (row.deleted) gone.insert(*end);
		if (row.deleted) continue;
		bool news = this->listed.insert(*end).second;
		auto change = this->changes.find(*end);
		// Another instance was faster.
		if (change != this->changes.end() && change->second.add && change->second.call == 0) this->changes.erase(change);
		// What was taken out since the copy is taken out again.
		bool was_cleared = all && this->verify_snapshot && this->recently_removed.contains(*end);
		if (was_cleared) this->changes[*end] = Change{.add = false};
		if (news && !was_cleared) added.push_back(*end);
	}
	if (all && this->verify_snapshot) this->RewriteMissing(std::exchange(gone, {}), now);
	if (all) this->verify_snapshot = false;
	for (const CrashRecord &end : gone) {
		this->listed.erase(end);
		if (!this->IsWaiting(end)) removed.push_back(end);
	}
	this->handler(added, removed, now);
}

} // namespace cottonspool
