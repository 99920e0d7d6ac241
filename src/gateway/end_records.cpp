/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file end_records.cpp Stores crashes of targets under requests in a table that all instances follow. */

#include "gateway/end_records.h"
#include "metrics/log.h"
#include <algorithm>
#include <utility>

namespace cottonspool {

static const char *const END_TABLE = "cottonspool-ends";
static constexpr char KEY_SEPARATOR = '/'; ///< Stands between the fingerprint and the incarnation in a key.

std::string EndKey(const EndRecord &end)
{
	return PrintText(end.print) + KEY_SEPARATOR + end.life;
}

std::optional<EndRecord> ParseEndKey(std::string_view key)
{
	size_t separator = key.find(KEY_SEPARATOR);
	if (separator == std::string_view::npos || separator + 1 == key.size()) return std::nullopt;
	std::optional<RequestPrint> print = ParsePrint(key.substr(0, separator));
	if (!print) return std::nullopt;
	return EndRecord{*print, std::string(key.substr(separator + 1))};
}

EndRecords::EndRecords(TableStore &store, WatchLimits watch_limits, EndRecordLimits limits, std::string own_name, Handler handler)
    : store(store), limits(limits), own_name(std::move(own_name)), handler(std::move(handler)), watch(store, END_TABLE, watch_limits)
{
	this->watch.on_all = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnRows(rows, true, at); };
	this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint at) { this->OnRows(rows, false, at); };
}

bool EndRecords::Add(const EndRecord &end)
{
	if (this->changes.size() >= this->limits.most_waiting) return false;
	this->cleared.erase(end);
	if (!this->listed.contains(end)) this->changes[end] = Change{};
	return true;
}

void EndRecords::Remove(const EndRecord &end)
{
	bool known = this->listed.contains(end) || this->changes.contains(end);
	if (!known || this->changes.size() >= this->limits.most_waiting) return;
	this->changes[end] = Change{.add = false};
	if (this->cleared.size() < this->limits.most_cleared) this->cleared[end] = this->ticked_at;
}

bool EndRecords::IsWaiting(const EndRecord &end) const
{
	auto found = this->changes.find(end);
	return found != this->changes.end() && found->second.add;
}

void EndRecords::Write(const EndRecord &end, Change &change, TimePoint now)
{
	change.number = this->next_number++;
	change.due = now + this->limits.write_limit;
	auto done = [this, end, number = change.number](StoreWrite result) { this->OnWritten(end, number, result); };
	std::string key = EndKey(end);
	change.call = change.add ? this->store.WriteRow(END_TABLE, key, this->own_name, done) : this->store.RemoveRow(END_TABLE, key, done);
}

void EndRecords::OnWritten(const EndRecord &end, uint64_t number, StoreWrite result)
{
	auto found = this->changes.find(end);
	if (found == this->changes.end() || found->second.number != number) return;
	if (result == StoreWrite::Done) {
		// The table's own update may arrive later.
		if (found->second.add) this->listed.insert(end);
		if (!found->second.add) this->listed.erase(end);
		this->changes.erase(found);
		return;
	}
	// The row may have been written all the same; writing it again is harmless.
	found->second.call = 0;
	found->second.due = this->ticked_at + this->limits.pause;
}

void EndRecords::OnTick(TimePoint now)
{
	this->ticked_at = now;
	std::erase_if(this->cleared, [&](const auto &each) { return now - each.second > this->limits.cleared_kept; });
	size_t under_way = 0;
	for (auto &[end, change] : this->changes) {
		if (change.call != 0 && now >= change.due) {
			this->store.Cancel(change.call);
			change.call = 0;
		}
		if (change.call == 0 && now >= change.due && under_way < this->limits.at_once) this->Write(end, change, now);
		if (change.call != 0) under_way++;
	}
}

void EndRecords::OnOtherStore()
{
	this->forgotten = true;
	// A write in progress may have gone to the store before it was restored.
	for (auto &[end, change] : this->changes) {
		if (change.call == 0) continue;
		this->store.Cancel(change.call);
		change.call = 0;
		change.due = this->ticked_at;
	}
}

void EndRecords::WriteAgain(const std::set<EndRecord> &missing, TimePoint now)
{
	for (const EndRecord &end : missing) {
		this->listed.erase(end);
		bool first = !this->writes_first || this->writes_first(end);
		if (!this->changes.contains(end)) this->changes[end] = Change{.due = first ? now : now + this->limits.others_after};
	}
	if (!missing.empty()) Log(LogLevel::Warning, "ends-forgotten", {{"ends", std::to_string(missing.size())}});
}

void EndRecords::OnRows(const std::vector<StoredRow> &rows, bool all, TimePoint now)
{
	std::vector<EndRecord> added;
	std::vector<EndRecord> removed;
	std::set<EndRecord> gone;
	if (all) gone = this->listed;
	for (const StoredRow &row : rows) {
		std::optional<EndRecord> end = ParseEndKey(row.key);
		if (!end) {
			Log(LogLevel::Warning, "end-unreadable", {{"key", row.key.substr(0, 64)}});
			continue;
		}
		gone.erase(*end);
		if (row.deleted) gone.insert(*end);
		if (row.deleted) continue;
		bool news = this->listed.insert(*end).second;
		auto change = this->changes.find(*end);
		// Another instance has written the row.
		if (change != this->changes.end() && change->second.add && change->second.call == 0) this->changes.erase(change);
		// The restored backup may contain rows that have been removed since.
		bool was_cleared = all && this->forgotten && this->cleared.contains(*end);
		if (was_cleared) this->changes[*end] = Change{.add = false};
		if (news && !was_cleared) added.push_back(*end);
	}
	if (all && this->forgotten) this->WriteAgain(std::exchange(gone, {}), now);
	if (all) this->forgotten = false;
	for (const EndRecord &end : gone) {
		this->listed.erase(end);
		if (!this->IsWaiting(end)) removed.push_back(end);
	}
	this->handler(added, removed, now);
}

} // namespace cottonspool
