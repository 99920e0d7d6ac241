/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry.cpp Which listed targets may be used. */

#include "decision/target_registry.h"
#include <algorithm>
#include <set>

namespace cottonspool {

void TargetRegistry::UpdateUsable(Entry &entry, const char *source, bool changed, TimePoint now, std::vector<TargetEvent> &events)
{
	bool usable = !entry.departed && (!entry.missing || now < entry.usable_until);
	bool told = usable == entry.usable && !changed;
	entry.usable = usable;
	if (told) return;
	events.push_back({usable ? TargetChange::EligibleTargets : TargetChange::Draining, entry.target, source});
}

void TargetRegistry::Terminate(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	if (!entry.missing) entry.missing_since = now;
	bool was_usable = entry.usable;
	entry.missing = entry.departed = true;
	entry.usable = false;
	entry.usable_until = TimePoint{};
	// One that left is still finishing what it has, until it ends.
	if (was_usable || !entry.ended) events.push_back({TargetChange::Terminated, entry.target, source});
	entry.ended = true;
}

void TargetRegistry::ApplyRow(const ListedTarget &target, bool full, TimePoint now, std::vector<TargetEvent> &events)
{
	std::string name = target.incarnation.Name();
	// A row of a life that has ended, told late: the one that followed it stays.
	auto known = this->entries.find(name);
	if (known != this->entries.end() && known->second.ended) return;
	// A change is the target's own word; in the whole list its row may be what a copy of the store had not forgotten.
	bool doubted = known != this->entries.end() && known->second.missing && now < known->second.distrusted_until;
	if (doubted && full && target.sequence <= known->second.target.sequence) {
		known->second.relisted = true;
		return;
	}
	std::string &newest = this->newest[target.incarnation.id];
	auto former = newest == name ? this->entries.end() : this->entries.find(newest);
	if (former != this->entries.end()) this->Terminate(former->second, "other-life", now, events);
	newest = name;
	auto [found, added] = this->entries.try_emplace(name);
	Entry &entry = found->second;
	bool changed = added || !entry.target.HasSameContent(target);
	bool was_departed = entry.departed;
	entry.target = target;
	entry.missing = entry.relisted = false;
	entry.departed = entry.departed || target.draining;
	if (added) entry.usable = !entry.departed;
	// A departed target that changes its row again says nothing new.
	if (was_departed) return;
	this->UpdateUsable(entry, target.draining ? "notice" : "listed", changed, now, events);
}

void TargetRegistry::MarkMissing(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	entry.relisted = false;
	if (!entry.missing) {
		entry.missing = true;
		entry.missing_since = now;
		entry.usable_until = this->expiry_grace_until;
	}
	this->UpdateUsable(entry, source, false, now, events);
}

void TargetRegistry::MarkAllMissing(const std::vector<Entry *> &gone, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	// Many rows that go at once without notice have lapsed while the store was away, even if its absence went unnoticed here.
	auto unannounced = [](const Entry *entry) { return !entry->missing && !entry->departed; };
	size_t newly = static_cast<size_t>(std::count_if(gone.begin(), gone.end(), unannounced));
	auto usable = std::count_if(this->entries.begin(), this->entries.end(), [](const auto &entry) { return entry.second.usable; });
	bool lapse = newly >= this->limits.mass_expiry_min_rows &&
	             static_cast<double>(newly) >= this->limits.mass_expiry_min_fraction * static_cast<double>(usable);
	if (lapse) this->expiry_grace_until = std::max(this->expiry_grace_until, now + this->limits.expiry_grace);
	for (Entry *entry : gone) this->MarkMissing(*entry, source, now, events);
}

std::vector<TargetEvent> TargetRegistry::OnFullList(const std::vector<TargetRow> &rows, TimePoint now)
{
	std::vector<TargetEvent> events;
	std::set<std::string> seen;
	for (const TargetRow &row : rows) {
		if (!row.target) continue;
		seen.insert(row.target->incarnation.Name());
		this->ApplyRow(*row.target, true, now, events);
	}
	std::vector<Entry *> gone;
	for (auto &[name, entry] : this->entries) {
		if (!seen.contains(name)) gone.push_back(&entry);
	}
	this->MarkAllMissing(gone, "not-listed", now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnChanges(const std::vector<TargetRow> &rows, TimePoint now)
{
	std::vector<TargetEvent> events;
	std::vector<Entry *> gone;
	for (const TargetRow &row : rows) {
		if (row.target) {
			this->ApplyRow(*row.target, false, now, events);
			continue;
		}
		auto newest = this->newest.find(row.id);
		auto found = newest == this->newest.end() ? this->entries.end() : this->entries.find(newest->second);
		if (found != this->entries.end()) gone.push_back(&found->second);
	}
	this->MarkAllMissing(gone, "removed", now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnDrainNotice(const std::string &name, const char *source, TimePoint now)
{
	std::vector<TargetEvent> events;
	auto found = this->entries.find(name);
	if (found == this->entries.end()) return events;
	found->second.departed = true;
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

void TargetRegistry::OnStoreRestored(TimePoint now)
{
	this->OnStoreReconnected(now);
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
		if (forget && this->newest[entry.target.incarnation.id] == it->first) this->newest.erase(entry.target.incarnation.id);
		it = forget ? this->entries.erase(it) : std::next(it);
	}
	return events;
}

} // namespace cottonspool
