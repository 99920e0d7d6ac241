/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_records.cpp Stores crashes of targets under requests in a table that all instances follow. */

#include "gateway/crash_records.h"
#include "metrics/log.h"
#include <algorithm>
#include <utility>

namespace cottonspool {

static const char *const CRASH_TABLE = "cottonspool-ends";
static constexpr char KEY_SEPARATOR = '/'; ///< Stands between the fingerprint and the incarnation in a key.

std::string CrashKey(const CrashRecord &crash)
{
	return FormatFingerprint(crash.fingerprint) + KEY_SEPARATOR + crash.incarnation;
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

bool CrashRecordStore::Add(const CrashRecord &crash)
{
	if (this->changes.size() >= this->limits.max_pending) return false;
	this->recently_removed.erase(crash);
	if (!this->listed.contains(crash)) this->changes[crash] = Change{};
	return true;
}

void CrashRecordStore::Remove(const CrashRecord &crash)
{
	bool known = this->listed.contains(crash) || this->changes.contains(crash);
	if (!known || this->changes.size() >= this->limits.max_pending) return;
	this->changes[crash] = Change{.add = false};
	if (this->recently_removed.size() < this->limits.max_removed) this->recently_removed[crash] = this->last_tick_at;
}

bool CrashRecordStore::IsPendingAdd(const CrashRecord &crash) const
{
	auto found = this->changes.find(crash);
	return found != this->changes.end() && found->second.add;
}

void CrashRecordStore::Write(const CrashRecord &crash, Change &change, TimePoint now)
{
	change.number = this->next_number++;
	change.due = now + this->limits.write_timeout;
	auto done = [this, crash, number = change.number](StoreWriteResult result) { this->OnWritten(crash, number, result); };
	std::string key = CrashKey(crash);
	change.call = change.add ? this->store.WriteRow(CRASH_TABLE, key, this->own_name, done) : this->store.RemoveRow(CRASH_TABLE, key, done);
}

void CrashRecordStore::OnWritten(const CrashRecord &crash, uint64_t number, StoreWriteResult result)
{
	auto found = this->changes.find(crash);
	if (found == this->changes.end() || found->second.number != number) return;
	if (result == StoreWriteResult::Done) {
		// The table's own update may arrive later.
		if (found->second.add) this->listed.insert(crash);
		if (!found->second.add) this->listed.erase(crash);
		this->changes.erase(found);
		return;
	}
	// The row may have been written all the same; writing it again is harmless.
	found->second.call = 0;
	found->second.due = this->last_tick_at + this->limits.retry_delay;
}

void CrashRecordStore::OnTick(TimePoint now)
{
	this->last_tick_at = now;
	std::erase_if(this->recently_removed, [&](const auto &each) { return now - each.second > this->limits.removed_retention; });
	size_t in_progress = 0;
	for (auto &[crash, change] : this->changes) {
		if (change.call != 0 && now >= change.due) {
			this->store.Cancel(change.call);
			change.call = 0;
		}
		if (change.call == 0 && now >= change.due && in_progress < this->limits.max_concurrent_writes) this->Write(crash, change, now);
		if (change.call != 0) in_progress++;
	}
}

void CrashRecordStore::OnStoreRestored()
{
	this->verify_snapshot = true;
	// A write in progress may have gone to the store before it was restored.
	for (auto &[crash, change] : this->changes) {
		if (change.call == 0) continue;
		this->store.Cancel(change.call);
		change.call = 0;
		change.due = this->last_tick_at;
	}
}

void CrashRecordStore::RewriteMissing(const std::set<CrashRecord> &missing, TimePoint now)
{
	for (const CrashRecord &crash : missing) {
		this->listed.erase(crash);
		bool first = !this->rewrites_first || this->rewrites_first(crash);
		if (!this->changes.contains(crash)) this->changes[crash] = Change{.due = first ? now : now + this->limits.fallback_rewrite_delay};
	}
	if (!missing.empty()) Log(LogLevel::Warning, "ends-forgotten", {{"ends", std::to_string(missing.size())}});
}

void CrashRecordStore::OnRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now)
{
	std::vector<CrashRecord> added;
	std::vector<CrashRecord> removed;
	std::set<CrashRecord> missing;
	if (is_snapshot) missing = this->listed;
	for (const StoredRow &row : rows) {
		std::optional<CrashRecord> crash = ParseCrashKey(row.key);
		if (!crash) {
			Log(LogLevel::Warning, "end-unreadable", {{"key", row.key.substr(0, 64)}});
			continue;
		}
		missing.erase(*crash);
		if (row.deleted) missing.insert(*crash);
		if (row.deleted) continue;
		bool is_new = this->listed.insert(*crash).second;
		auto change = this->changes.find(*crash);
		// Another instance has written the row.
		if (change != this->changes.end() && change->second.add && change->second.call == 0) this->changes.erase(change);
		// The restored backup may contain rows that have been removed since.
		bool was_cleared = is_snapshot && this->verify_snapshot && this->recently_removed.contains(*crash);
		if (was_cleared) this->changes[*crash] = Change{.add = false};
		if (is_new && !was_cleared) added.push_back(*crash);
	}
	if (is_snapshot && this->verify_snapshot) this->RewriteMissing(std::exchange(missing, {}), now);
	if (is_snapshot) this->verify_snapshot = false;
	for (const CrashRecord &crash : missing) {
		this->listed.erase(crash);
		if (!this->IsPendingAdd(crash)) removed.push_back(crash);
	}
	this->handler(added, removed, now);
}

} // namespace cottonspool
