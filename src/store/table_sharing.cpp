/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_sharing.cpp Chooses the instance that reads the store's tables on behalf of its peers. */

#include "store/table_sharing.h"
#include "core/hash_func.h"
#include <algorithm>

namespace cottonspool {

/** @return Index of \a name in \a names; their number if it is not among them. */
static size_t IndexOf(const std::vector<std::string> &names, const std::string &name)
{
	return static_cast<size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

size_t TableSharing::PositionOf(const SharedTable &table, const std::string &instance, const std::string &instance_hall) const
{
	if (table.halls.empty()) return IndexOf(table.order, instance);
	// Updates from another hall come only from its first instance, so the order of the halls decides.
	if (instance_hall != this->hall) return IndexOf(table.halls, instance_hall);
	size_t in_hall = IndexOf(table.order, instance);
	return in_hall == 0 ? IndexOf(table.halls, this->hall) : table.halls.size() - 1 + in_hall;
}

void TableSharing::Share(TableWatch &watch)
{
	this->tables.push_back({&watch, {}, {}});
	watch.SetTakeoverDelay(watch.Limits().takeover_delay);
}

void TableSharing::SetReaders(const std::vector<Reader> &readers, const std::vector<std::string> &halls, bool starting_up)
{
	for (SharedTable &shared : this->tables) {
		shared.order = ReaderOrder(shared.watch->ReaderOrderKey(), readers);
		shared.halls = RendezvousChoice(shared.watch->ReaderOrderKey(), halls, halls.size());
		auto position = static_cast<int>(this->PositionOf(shared, this->name, this->hall));
		const WatchLimits &times = shared.watch->Limits();
		Duration takeover_delay = std::min<Duration>(times.max_takeover_delay, times.takeover_delay + times.takeover_delay_step * position);
		shared.watch->SetTakeoverDelay(position == 0 && !starting_up ? Duration(0) : takeover_delay);
	}
}

bool TableSharing::IsHallReader() const
{
	return std::any_of(this->tables.begin(), this->tables.end(),
	                   [this](const SharedTable &shared) { return !shared.order.empty() && shared.order.front() == this->name; });
}

bool TableSharing::ShouldForward(const std::string &sender_hall, bool forwarded) const
{
	bool published_per_hall = !this->tables.empty() && !this->tables.front().halls.empty();
	return published_per_hall && !forwarded && sender_hall != this->hall;
}

void TableSharing::OnUpdate(const std::string &sender, const std::string &sender_hall, TableUpdate update, TimePoint now)
{
	for (SharedTable &shared : this->tables) {
		if (shared.watch->Table() != update.table) continue;
		// An active reader yields only to updates from an instance before it in the order; otherwise concurrent readers would stop each
		// other. This is decided per table, as each table has its own order.
		bool sender_follows = this->PositionOf(shared, sender, sender_hall) > this->PositionOf(shared, this->name, this->hall);
		bool is_reader = shared.watch->ReadsFromStore(now) && !shared.watch->IsUnavailable();
		update.healthy = update.healthy && !(sender_follows && is_reader);
		return shared.watch->OnUpdate(update, now);
	}
}

std::vector<std::string> TableSharing::MissingSnapshots() const
{
	std::vector<std::string> missing;
	for (const SharedTable &shared : this->tables) {
		if (shared.watch->NeedsSnapshot()) missing.push_back(shared.watch->Table());
	}
	return missing;
}

std::vector<TableUpdate> TableSharing::Snapshot(const std::vector<std::string> &requested) const
{
	std::vector<TableUpdate> snapshots;
	for (const SharedTable &shared : this->tables) {
		if (std::find(requested.begin(), requested.end(), shared.watch->Table()) == requested.end()) continue;
		if (std::optional<TableUpdate> full = shared.watch->Snapshot()) snapshots.push_back(std::move(*full));
	}
	return snapshots;
}

std::optional<StoreVersion> TableSharing::SnapshotVersion(const std::string &table) const
{
	for (const SharedTable &shared : this->tables) {
		if (shared.watch->Table() == table && shared.watch->HasSnapshot()) return shared.watch->RowsVersion();
	}
	return std::nullopt;
}

void TableSharing::OnTick(TimePoint now)
{
	for (SharedTable &shared : this->tables) shared.watch->OnTick(now);
}

} // namespace cottonspool
