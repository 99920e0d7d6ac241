/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_registry.cpp Lifecycle of the targets in the target list. */

#include "decision/target_registry.h"
#include <algorithm>
#include <set>

namespace cottonspool {

void TargetRegistry::Judge(Entry &entry, const char *source, bool changed, TimePoint now, std::vector<TargetEvent> &events)
{
	bool usable = !entry.departed && (!entry.missing || now < entry.usable_until);
	bool told = usable == entry.usable && !changed;
	entry.usable = usable;
	if (told) return;
	events.push_back({usable ? TargetChange::Usable : TargetChange::Leaving, entry.target, source});
}

void TargetRegistry::End(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	if (!entry.missing) entry.missing_since = now;
	bool was_usable = entry.usable;
	entry.missing = entry.departed = true;
	entry.usable = false;
	entry.usable_until = TimePoint{};
	// A draining target still finishes its runs until it terminates, so the event is needed even if it was not usable.
	if (was_usable || !entry.ended) events.push_back({TargetChange::Ended, entry.target, source});
	entry.ended = true;
}

void TargetRegistry::Note(const ListedTarget &target, bool whole, TimePoint now, std::vector<TargetEvent> &events)
{
	std::string name = target.life.Name();
	// A late row of an incarnation that has terminated.
	auto known = this->entries.find(name);
	if (known != this->entries.end() && known->second.ended) return;
	// A change is written by the target itself, but a row in the full list may come from the backup that the store was restored from.
	bool doubted = known != this->entries.end() && known->second.missing && now < known->second.doubted_until;
	if (doubted && whole && target.sequence <= known->second.target.sequence) {
		known->second.listed_anew = true;
		return;
	}
	std::string &newest = this->newest[target.life.id];
	auto former = newest == name ? this->entries.end() : this->entries.find(newest);
	if (former != this->entries.end()) this->End(former->second, "other-life", now, events);
	newest = name;
	auto [found, added] = this->entries.try_emplace(name);
	Entry &entry = found->second;
	bool changed = added || !entry.target.SaysSameAs(target);
	bool was_departed = entry.departed;
	entry.target = target;
	entry.missing = entry.listed_anew = false;
	entry.departed = entry.departed || target.leaving;
	if (added) entry.usable = !entry.departed;
	// Later changes of a draining target's row don't matter.
	if (was_departed) return;
	this->Judge(entry, target.leaving ? "notice" : "listed", changed, now, events);
}

void TargetRegistry::NoteMissing(Entry &entry, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	entry.listed_anew = false;
	if (!entry.missing) {
		entry.missing = true;
		entry.missing_since = now;
		entry.usable_until = this->lapse_until;
	}
	this->Judge(entry, source, false, now, events);
}

void TargetRegistry::NoteAllMissing(const std::vector<Entry *> &gone, const char *source, TimePoint now, std::vector<TargetEvent> &events)
{
	// Many rows that disappear at once without notice expired during a store outage, even if this instance did not notice the outage.
	auto unannounced = [](const Entry *entry) { return !entry->missing && !entry->departed; };
	size_t newly = static_cast<size_t>(std::count_if(gone.begin(), gone.end(), unannounced));
	auto usable = std::count_if(this->entries.begin(), this->entries.end(), [](const auto &entry) { return entry.second.usable; });
	bool lapse = newly >= this->limits.lapse_least && static_cast<double>(newly) >= this->limits.lapse_part * static_cast<double>(usable);
	if (lapse) this->lapse_until = std::max(this->lapse_until, now + this->limits.lapse_grace);
	for (Entry *entry : gone) this->NoteMissing(*entry, source, now, events);
}

std::vector<TargetEvent> TargetRegistry::OnAll(const std::vector<TargetRow> &rows, TimePoint now)
{
	std::vector<TargetEvent> events;
	std::set<std::string> seen;
	for (const TargetRow &row : rows) {
		if (!row.target) continue;
		seen.insert(row.target->life.Name());
		this->Note(*row.target, true, now, events);
	}
	std::vector<Entry *> gone;
	for (auto &[name, entry] : this->entries) {
		if (!seen.contains(name)) gone.push_back(&entry);
	}
	this->NoteAllMissing(gone, "not-listed", now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnChanges(const std::vector<TargetRow> &rows, TimePoint now)
{
	std::vector<TargetEvent> events;
	std::vector<Entry *> gone;
	for (const TargetRow &row : rows) {
		if (row.target) {
			this->Note(*row.target, false, now, events);
			continue;
		}
		auto newest = this->newest.find(row.id);
		auto found = newest == this->newest.end() ? this->entries.end() : this->entries.find(newest->second);
		if (found != this->entries.end()) gone.push_back(&found->second);
	}
	this->NoteAllMissing(gone, "removed", now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnOwnNotice(const std::string &name, const char *source, TimePoint now)
{
	std::vector<TargetEvent> events;
	auto found = this->entries.find(name);
	if (found == this->entries.end()) return events;
	found->second.departed = true;
	this->Judge(found->second, source, false, now, events);
	return events;
}

std::vector<TargetEvent> TargetRegistry::OnOtherLife(const std::string &name, TimePoint now)
{
	std::vector<TargetEvent> events;
	auto found = this->entries.find(name);
	if (found != this->entries.end()) this->End(found->second, "other-life", now, events);
	return events;
}

void TargetRegistry::OnStoreRegained(TimePoint now)
{
	this->lapse_until = now + this->limits.lapse_grace;
}

void TargetRegistry::OnOtherStore(TimePoint now)
{
	this->OnStoreRegained(now);
	for (auto &[name, entry] : this->entries) {
		if (entry.missing && !entry.usable) entry.doubted_until = now + this->limits.copy_doubted;
	}
}

std::vector<TargetEvent> TargetRegistry::OnTick(TimePoint now)
{
	std::vector<TargetEvent> events;
	for (auto it = this->entries.begin(); it != this->entries.end();) {
		Entry &entry = it->second;
		if (entry.listed_anew && now >= entry.doubted_until) entry.missing = entry.listed_anew = false;
		if (entry.missing || !entry.usable) this->Judge(entry, entry.missing ? "lapsed" : "listed", false, now, events);
		bool forget = entry.missing && !entry.usable && now - entry.missing_since > this->limits.remembered;
		if (forget && this->newest[entry.target.life.id] == it->first) this->newest.erase(entry.target.life.id);
		it = forget ? this->entries.erase(it) : std::next(it);
	}
	return events;
}

} // namespace cottonspool
