/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry.cpp Lifecycle of the targets in the target list. */

#include "decision/target_registry.h"
#include <algorithm>
#include <set>

namespace cottonspool {

void TargetRegistry::UpdateUsable(Entry &entry, const char *source, bool changed, TimePoint now, std::vector<TargetEvent> &events)
{
	bool usable = !entry.retired && (!entry.missing || now < entry.usable_without_row_until);
	bool unchanged = usable == entry.usable && !changed;
	entry.usable = usable;
	if (unchanged) return;
	events.push_back({usable ? TargetChange::Usable : TargetChange::Draining, entry.target, source, entry.acknowledged_after});
}

void TargetRegistry::Terminate(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	if (!entry.missing) entry.missing_since = now;
	bool was_usable = entry.usable;
	entry.missing = entry.retired = true;
	entry.usable = false;
	entry.usable_without_row_until = TimePoint{};
	// A draining target still finishes its runs until it terminates, so the event is needed even if it was not usable.
	if (was_usable || !entry.terminated) events.push_back({TargetChange::Terminated, entry.target, source, now});
	entry.terminated = true;
}

bool TargetRegistry::MayBeOutdated(const ListedTarget &target, const Entry &latest, TimePoint now) const
{
	return now < this->restore_distrusted_until && target.incarnation.started_ms < latest.target.incarnation.started_ms;
}

TimePoint TargetRegistry::AcknowledgedAfter(const UpdateAge &age, TimePoint now) const
{
	// A row that disappears in a store outage says nothing of its target, so that time counts from the end of the outage.
	return this->MayHaveExpired(age) ? now : now - age.longest;
}

void TargetRegistry::ApplyRow(const ListedTarget &target, bool full, TimePoint now, const UpdateAge &age, std::vector<TargetEvent> &events)
{
	std::string name = target.incarnation.Name();
	// A late row of an incarnation that has terminated.
	auto known = this->entries.find(name);
	if (known != this->entries.end() && known->second.terminated) return;
	// A change is written by the target itself, but a row in the full list may come from the backup that the store was restored from.
	bool distrusted = known != this->entries.end() && known->second.missing && now < known->second.distrusted_until;
	if (distrusted && full && target.sequence <= known->second.target.sequence) {
		known->second.relisted = true;
		return;
	}
	std::string &latest = this->latest[target.incarnation.id];
	auto former = latest == name ? this->entries.end() : this->entries.find(latest);
	// An instance that has started since the backup knows nothing of the incarnations that it lists.
	if (full && former != this->entries.end() && this->MayBeOutdated(target, former->second, now)) return;
	if (former != this->entries.end()) this->Terminate(former->second, "other-life", now, events);
	latest = name;
	auto [found, added] = this->entries.try_emplace(name);
	Entry &entry = found->second;
	bool changed = added || !entry.target.HasSameContent(target);
	bool was_retired = entry.retired;
	entry.target = target;
	entry.missing = entry.relisted = false;
	if (target.draining && !entry.retired) entry.acknowledged_after = this->AcknowledgedAfter(age, now);
	entry.retired = entry.retired || target.draining;
	if (added) entry.usable = !entry.retired;
	// Later changes of a draining target's row don't matter.
	if (was_retired) return;
	this->UpdateUsable(entry, target.draining ? "notice" : "listed", changed, now, events);
}

void TargetRegistry::MarkMissing(Entry &entry, const char *source, TimePoint now, const UpdateAge &age, std::vector<TargetEvent> &events)
{
	entry.relisted = false;
	if (!entry.missing) {
		entry.missing = true;
		entry.missing_since = now;
		if (!entry.retired) entry.acknowledged_after = this->AcknowledgedAfter(age, now);
		// Even if the row has expired, the target may have left: until its row returns, that can't be told apart.
		entry.usable_without_row_until = std::min(this->expiry_grace_until, this->LastSendTime(entry.acknowledged_after));
		bool kept = !entry.retired && now < entry.usable_without_row_until;
		if (kept && this->on_kept) this->on_kept({entry.target, source, age, entry.usable_without_row_until});
	}
	this->UpdateUsable(entry, source, false, now, events);
}

void TargetRegistry::MarkAllMissing(const std::vector<Entry *> &removed, const char *source, TimePoint now, const UpdateAge &age,
                                    std::vector<TargetEvent> &events)
{
	// Many rows that disappear at once without notice expired during a store outage, even if this instance did not notice the outage.
	auto unannounced = [](const Entry *entry) { return !entry->missing && !entry->retired; };
	size_t newly_missing = static_cast<size_t>(std::count_if(removed.begin(), removed.end(), unannounced));
	auto usable = std::count_if(this->entries.begin(), this->entries.end(), [](const auto &entry) { return entry.second.usable; });
	bool mass_expiry = newly_missing >= this->limits.mass_expiry_min_rows &&
	                   static_cast<double>(newly_missing) >= this->limits.mass_expiry_min_fraction * static_cast<double>(usable);
	if (mass_expiry) this->expiry_grace_until = std::max(this->expiry_grace_until, now + this->limits.expiry_grace);
	for (Entry *entry : removed) this->MarkMissing(*entry, source, now, age, events);
}

std::vector<TargetEvent> TargetRegistry::OnFullList(const std::vector<TargetRow> &rows, TimePoint now, const UpdateAge &age)
{
	this->OnReadsResumed(age, now);
	std::vector<TargetEvent> events;
	std::set<std::string> listed;
	for (const TargetRow &row : rows) {
		if (!row.target) continue;
		listed.insert(row.target->incarnation.Name());
		this->ApplyRow(*row.target, true, now, age, events);
	}
	std::vector<Entry *> removed;
	for (auto &[name, entry] : this->entries) {
		if (!listed.contains(name)) removed.push_back(&entry);
	}
	this->MarkAllMissing(removed, "not-listed", now, age, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnChanges(const std::vector<TargetRow> &rows, TimePoint now, const UpdateAge &age)
{
	this->OnReadsResumed(age, now);
	std::vector<TargetEvent> events;
	std::vector<Entry *> removed;
	for (const TargetRow &row : rows) {
		if (row.target) {
			this->ApplyRow(*row.target, false, now, age, events);
			continue;
		}
		auto latest = this->latest.find(row.id);
		auto found = latest == this->latest.end() ? this->entries.end() : this->entries.find(latest->second);
		if (found != this->entries.end()) removed.push_back(&found->second);
	}
	this->MarkAllMissing(removed, "removed", now, age, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnDrainNotice(const std::string &name, const char *source, TimePoint now)
{
	std::vector<TargetEvent> events;
	auto found = this->entries.find(name);
	if (found == this->entries.end()) return events;
	if (!found->second.retired && !found->second.missing) found->second.acknowledged_after = now;
	found->second.retired = true;
	this->UpdateUsable(found->second, source, false, now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnOtherIncarnation(const std::string &name, TimePoint now)
{
	std::vector<TargetEvent> events;
	auto found = this->entries.find(name);
	if (found != this->entries.end()) this->Terminate(found->second, "other-life", now, events);
	return events;
}

void TargetRegistry::OnStoreReconnected(TimePoint now)
{
	this->expiry_grace_until = now + this->limits.expiry_grace;
}

void TargetRegistry::OnReadsResumed(const UpdateAge &age, TimePoint now)
{
	if (this->MayHaveExpired(age)) this->OnStoreReconnected(now);
}

void TargetRegistry::OnStoreRestored(TimePoint now)
{
	this->OnStoreReconnected(now);
	this->restore_distrusted_until = now + this->limits.restore_distrust_period;
	for (auto &[name, entry] : this->entries) {
		if (entry.missing && !entry.usable) entry.distrusted_until = now + this->limits.restore_distrust_period;
	}
}

std::vector<TargetEvent> TargetRegistry::OnTick(TimePoint now)
{
	std::vector<TargetEvent> events;
	for (auto it = this->entries.begin(); it != this->entries.end();) {
		Entry &entry = it->second;
		if (entry.relisted && now >= entry.distrusted_until) entry.missing = entry.relisted = false;
		if (entry.missing || !entry.usable) this->UpdateUsable(entry, entry.missing ? "lapsed" : "listed", false, now, events);
		bool forget = entry.missing && !entry.usable && now - entry.missing_since > this->limits.departed_retention;
		if (forget && this->latest[entry.target.incarnation.id] == it->first) this->latest.erase(entry.target.incarnation.id);
		it = forget ? this->entries.erase(it) : std::next(it);
	}
	return events;
}

} // namespace cottonspool
