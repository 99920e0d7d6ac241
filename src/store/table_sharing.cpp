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

size_t TableSharing::PlaceOf(const SharedTable &table, const std::string &instance, const std::string &instance_hall) const
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
	watch.SetPatience(watch.Limits().patience);
}

void TableSharing::SetReaders(const std::vector<Reader> &readers, const std::vector<std::string> &halls, bool settling)
{
	for (SharedTable &each : this->tables) {
		each.order = ReaderOrder(each.watch->OrderedBy(), readers);
		each.halls = RendezvousChoice(each.watch->OrderedBy(), halls, halls.size());
		auto place = static_cast<int>(this->PlaceOf(each, this->name, this->hall));
		const WatchLimits &times = each.watch->Limits();
		Duration patience = std::min<Duration>(times.patience_most, times.patience + times.patience_step * place);
		each.watch->SetPatience(place == 0 && !settling ? Duration(0) : patience);
	}
}

bool TableSharing::ReadsForHall() const
{
	return std::any_of(this->tables.begin(), this->tables.end(),
	                   [this](const SharedTable &each) { return !each.order.empty() && each.order.front() == this->name; });
}

bool TableSharing::PassesOn(const std::string &teller_hall, bool relayed) const
{
	bool keeps_to_halls = !this->tables.empty() && !this->tables.front().halls.empty();
	return keeps_to_halls && !relayed && teller_hall != this->hall;
}

void TableSharing::OnNews(const std::string &teller, const std::string &teller_hall, TableNews news, TimePoint now)
{
	for (SharedTable &each : this->tables) {
		if (each.watch->Table() != news.table) continue;
		// An active reader yields only to updates from an instance before it in the order; otherwise concurrent readers would stop each
		// other. This is decided per table, as each table has its own order.
		bool after = this->PlaceOf(each, teller, teller_hall) > this->PlaceOf(each, this->name, this->hall);
		bool reads = each.watch->ReadsItself(now) && !each.watch->IsLost();
		news.healthy = news.healthy && !(after && reads);
		return each.watch->OnNews(news, now);
	}
}

std::vector<std::string> TableSharing::Wanted() const
{
	std::vector<std::string> wanted;
	for (const SharedTable &each : this->tables) {
		if (each.watch->IsWanted()) wanted.push_back(each.watch->Table());
	}
	return wanted;
}

std::vector<TableNews> TableSharing::Whole(const std::vector<std::string> &asked) const
{
	std::vector<TableNews> known;
	for (const SharedTable &each : this->tables) {
		if (std::find(asked.begin(), asked.end(), each.watch->Table()) == asked.end()) continue;
		if (std::optional<TableNews> whole = each.watch->Whole()) known.push_back(std::move(*whole));
	}
	return known;
}

std::optional<StoreVersion> TableSharing::WholeVersion(const std::string &table) const
{
	for (const SharedTable &each : this->tables) {
		if (each.watch->Table() == table && each.watch->CanTellWhole()) return each.watch->RowsVersion();
	}
	return std::nullopt;
}

void TableSharing::OnTick(TimePoint now)
{
	for (SharedTable &each : this->tables) each.watch->OnTick(now);
}

} // namespace cottonspool
