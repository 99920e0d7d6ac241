/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_records.cpp Stores crashes of targets under requests in a table that all instances follow. */

#include "gateway/crash_records.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>
#include <utility>

namespace cottonspool {

static const char *const CRASH_TABLE = "cottonspool-ends";
static constexpr char KEY_SEPARATOR = '/';            ///< Stands between the fingerprint and the incarnation in a key.
static constexpr char VALUE_SEPARATOR = ' ';          ///< Stands between the writer and the features in a value.
static const char *const HARMFUL_PREFIX = "harmful/"; ///< Beginning of the keys of rows about harmful features.
static constexpr size_t MAX_HARMFUL_FEATURES = 8;     ///< Most features in such a key, which the store limits to 200 bytes.
static constexpr size_t MAX_FEATURES = 24;            ///< Most features that are read from a row.

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

std::string HarmfulKey(const FeatureList &features)
{
	return HARMFUL_PREFIX + FormatFeatures(features);
}

FeatureList ParseHarmfulKey(std::string_view key)
{
	if (!key.starts_with(HARMFUL_PREFIX)) return {};
	return ParseFeatures(key.substr(std::string_view(HARMFUL_PREFIX).size()), MAX_HARMFUL_FEATURES);
}

std::string CrashValue(const CrashRecord &crash, const std::string &writer)
{
	return crash.shared.empty() ? writer : writer + VALUE_SEPARATOR + FormatFeatures(crash.shared);
}

FeatureList ParseCrashValue(std::string_view value)
{
	size_t separator = value.find(VALUE_SEPARATOR);
	if (separator == std::string_view::npos) return {};
	return ParseFeatures(value.substr(separator + 1), MAX_FEATURES);
}

/** @return The features that the finding in the row \a key is about; empty if it holds none. */
static FeatureList FeaturesOfFinding(const std::string &key)
{
	std::optional<RequestFeature> cleared = ParseFeature(key);
	return cleared ? FeatureList{*cleared} : ParseHarmfulKey(key);
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
	if (!this->listed.contains(crash)) this->changes.insert_or_assign(CrashKey(crash), Change{.crash = crash});
	return true;
}

void CrashRecordStore::Remove(const CrashRecord &crash)
{
	std::string key = CrashKey(crash);
	bool known = this->listed.contains(crash) || this->changes.contains(key);
	if (!known || this->changes.size() >= this->limits.max_pending) return;
	this->changes.insert_or_assign(key, Change{.add = false, .crash = crash});
	if (this->recently_removed.size() < this->limits.max_removed) this->recently_removed[crash] = this->last_tick_at;
}

void CrashRecordStore::ClearFeature(const RequestFeature &feature, TimePoint now)
{
	this->WriteFinding(FormatFeature(feature), now);
}

void CrashRecordStore::ReportHarmful(const FeatureList &features, TimePoint now)
{
	std::string key = HarmfulKey(features);
	if (features.size() <= MAX_HARMFUL_FEATURES && !this->findings.contains(key)) this->WriteFinding(key, now);
}

void CrashRecordStore::WriteFinding(const std::string &key, TimePoint now)
{
	if (this->changes.size() >= this->limits.max_pending || this->changes.contains(key)) return;
	uint64_t random = HashText(key, HashText(this->own_name));
	auto delay = static_cast<int64_t>(random % static_cast<uint64_t>(this->limits.finding_spread.count()));
	this->changes.insert_or_assign(key, Change{.due = now + Duration(delay)});
}

void CrashRecordStore::RemoveUnusedFindings()
{
	for (const auto &[key, features] : this->findings) {
		if (this->changes.size() >= this->limits.max_pending) return;
		if (this->changes.contains(key) || !this->is_in_charge || !this->is_in_charge(key)) continue;
		auto has_features = [&about = features](const auto &row) {
			return std::includes(row.first.shared.begin(), row.first.shared.end(), about.begin(), about.end());
		};
		if (std::none_of(this->listed.begin(), this->listed.end(), has_features)) this->changes.insert_or_assign(key, Change{.add = false});
	}
}

bool CrashRecordStore::IsPendingAdd(const std::string &key) const
{
	auto found = this->changes.find(key);
	return found != this->changes.end() && found->second.add;
}

void CrashRecordStore::Write(const std::string &key, Change &change, TimePoint now)
{
	change.number = this->next_number++;
	change.due = now + this->limits.write_timeout;
	auto done = [this, key, number = change.number](StoreWriteResult result) { this->OnWritten(key, number, result); };
	std::string value = change.crash ? CrashValue(*change.crash, this->own_name) : this->own_name;
	change.call = change.add ? this->store.WriteRow(CRASH_TABLE, key, value, done) : this->store.RemoveRow(CRASH_TABLE, key, done);
}

void CrashRecordStore::OnWritten(const std::string &key, uint64_t number, StoreWriteResult result)
{
	auto found = this->changes.find(key);
	if (found == this->changes.end() || found->second.number != number) return;
	if (result == StoreWriteResult::Done) {
		// The table's own update may arrive later.
		const Change &change = found->second;
		if (change.crash && change.add) this->listed.try_emplace(*change.crash, ListedCrash{change.crash->shared});
		if (change.crash && !change.add) this->listed.erase(*change.crash);
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
	for (auto &[key, change] : this->changes) {
		if (change.call != 0 && now >= change.due) {
			this->store.Cancel(change.call);
			change.call = 0;
		}
		if (change.call == 0 && now >= change.due && in_progress < this->limits.max_concurrent_writes) this->Write(key, change, now);
		if (change.call != 0) in_progress++;
	}
}

void CrashRecordStore::OnStoreRestored()
{
	this->verify_snapshot = true;
	// A write in progress may have gone to the store before it was restored.
	for (auto &[key, change] : this->changes) {
		if (change.call == 0) continue;
		this->store.Cancel(change.call);
		change.call = 0;
		change.due = this->last_tick_at;
	}
}

void CrashRecordStore::RewriteMissing(const std::map<CrashRecord, ListedCrash> &missing, TimePoint now)
{
	for (const auto &[crash, row] : missing) {
		this->listed.erase(crash);
		bool first = !this->rewrites_first || this->rewrites_first(crash);
		TimePoint due = first ? now : now + this->limits.fallback_rewrite_delay;
		this->changes.try_emplace(CrashKey(crash), Change{.crash = crash, .due = due});
	}
	if (!missing.empty()) Log(LogLevel::Warning, "ends-forgotten", {{"ends", std::to_string(missing.size())}});
}

void CrashRecordStore::OnRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now)
{
	std::vector<std::pair<uint64_t, CrashRecord>> written; // New records with the versions of their rows.
	std::vector<CrashRecord> removed;
	std::map<CrashRecord, ListedCrash> missing;
	if (is_snapshot) missing = this->listed;
	for (const StoredRow &row : rows) {
		if (!FeaturesOfFinding(row.key).empty()) continue;
		std::optional<CrashRecord> crash = ParseCrashKey(row.key);
		if (!crash) {
			Log(LogLevel::Warning, "end-unreadable", {{"key", row.key.substr(0, 64)}});
			continue;
		}
		crash->shared = ParseCrashValue(row.value);
		missing.erase(*crash);
		if (row.deleted) missing.insert({*crash, {}});
		if (row.deleted) continue;
		auto [listed_row, is_new] = this->listed.try_emplace(*crash, ListedCrash{crash->shared});
		listed_row->second.version = row.version;
		auto change = this->changes.find(row.key);
		// Another instance has written the row.
		if (change != this->changes.end() && change->second.add && change->second.call == 0) this->changes.erase(change);
		// The restored backup may contain rows that have been removed since.
		bool was_cleared = is_snapshot && this->verify_snapshot && this->recently_removed.contains(*crash);
		if (was_cleared) this->changes.insert_or_assign(row.key, Change{.add = false, .crash = *crash});
		if (is_new && !was_cleared) written.emplace_back(row.version, *crash);
	}
	if (is_snapshot && this->verify_snapshot) this->RewriteMissing(std::exchange(missing, {}), now);
	if (is_snapshot) this->verify_snapshot = false;
	for (const auto &[crash, row] : missing) {
		this->listed.erase(crash);
		if (!this->IsPendingAdd(CrashKey(crash))) removed.push_back(crash);
	}
	// Pages of a snapshot are sorted by key; who learns all crashes at once needs their order.
	std::stable_sort(written.begin(), written.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
	std::vector<CrashRecord> added;
	for (const auto &[version, crash] : written) {
		// One that was removed again in the same update is not there.
		if (this->listed.contains(crash)) added.push_back(crash);
	}
	this->from_snapshot = is_snapshot && !this->has_snapshot;
	this->has_snapshot |= is_snapshot;
	this->handler(added, removed, now);
	this->OnFindings(rows, is_snapshot);
}

void CrashRecordStore::OnFindings(const std::vector<StoredRow> &rows, bool is_snapshot)
{
	if (is_snapshot) this->findings.clear();
	for (const StoredRow &row : rows) {
		FeatureList features = FeaturesOfFinding(row.key);
		if (features.empty()) continue;
		bool is_harmful = row.key.starts_with(HARMFUL_PREFIX);
		if (is_harmful && this->on_harmful) this->on_harmful(features, row.deleted);
		if (row.deleted) this->findings.erase(row.key);
		if (row.deleted) continue;
		this->findings.insert_or_assign(row.key, features);
		auto change = this->changes.find(row.key);
		// Another instance has written the row.
		if (change != this->changes.end() && change->second.add && change->second.call == 0) this->changes.erase(change);
		if (!is_harmful) this->OnCleared(features.front(), row);
	}
}

void CrashRecordStore::OnCleared(const RequestFeature &feature, const StoredRow &row)
{
	std::vector<CrashRecord> crashes;
	for (auto &[crash, listed_row] : this->listed) {
		bool earlier = listed_row.version != 0 && listed_row.version < row.version;
		if (earlier && std::erase(listed_row.shared, feature) > 0) crashes.push_back(crash);
	}
	if (!crashes.empty() && this->on_cleared) this->on_cleared(feature, crashes);
}

} // namespace cottonspool
