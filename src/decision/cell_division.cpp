/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division.cpp Into how many cells a large fleet is divided. */

#include "decision/cell_division.h"
#include "core/hash_func.h"
#include <algorithm>
#include <bit>
#include <map>

namespace cottonspool {

/** @return The number of cells for a fleet whose largest hall has \a largest_hall instances. */
static uint32_t CellCountFor(size_t largest_hall)
{
	if (largest_hall <= CellDivision::MAX_UNDIVIDED_INSTANCES) return 1;
	uint32_t cells = CellDivision::MIN_DIVIDED_CELLS;
	while (largest_hall > CellDivision::MAX_CELL_INSTANCES * cells) cells *= 2;
	return cells;
}

/** @return Whether \a cells may stay as they are with \a largest_hall instances in the largest hall. */
static bool CanKeepCells(uint32_t cells, size_t largest_hall)
{
	if (cells == 1) return largest_hall <= CellDivision::MAX_UNDIVIDED_INSTANCES;
	return largest_hall <= CellDivision::MAX_CELL_INSTANCES * cells && largest_hall >= CellDivision::MIN_CELL_INSTANCES * cells;
}

CellDivision::CellDivision(std::string_view own_name) : own_hash(HashText(own_name))
{
}

bool CellDivision::Decide(CellCount decision)
{
	bool changed = decision.cells != this->count.cells;
	this->count = decision;
	return changed;
}

bool CellDivision::OnInstanceList(size_t new_largest_hall, StoreVersion version, bool bootstrapping)
{
	bool first = !this->list.IsKnown();
	this->largest_hall = new_largest_hall;
	this->list = version;
	this->is_bootstrapping = bootstrapping;
	uint32_t cells = CellCountFor(new_largest_hall);
	if (bootstrapping) return this->count.decided_at < version && this->Decide({cells, version});
	// Who reads the list at its start does not know yet whether the others keep to another number, which may stay.
	if (first && !this->count.decided_at.IsKnown()) return this->Decide({cells, {}});
	return !CanKeepCells(this->count.cells, new_largest_hall) && this->Decide({cells, version});
}

bool CellDivision::OnInstanceChanges(size_t new_largest_hall, StoreVersion version)
{
	this->largest_hall = new_largest_hall;
	// A list with gaps may lack some, so it never tells that there are too few.
	bool too_many = new_largest_hall > this->count.cells * MAX_CELL_INSTANCES && !CanKeepCells(this->count.cells, new_largest_hall);
	return too_many && this->count.decided_at < version && this->Decide({CellCountFor(new_largest_hall), version});
}

bool CellDivision::OnPeerCellCount(CellCount peer_cells)
{
	if (!std::has_single_bit(peer_cells.cells) || peer_cells == this->count) return false;
	if (peer_cells.decided_at == this->count.decided_at) return peer_cells.cells > this->count.cells && this->Decide(peer_cells);
	if (peer_cells.decided_at < this->count.decided_at) return false;
	bool has_newer_list = this->list.IsKnown() && !this->is_bootstrapping && peer_cells.decided_at < this->list &&
	                      !CanKeepCells(peer_cells.cells, this->largest_hall);
	return this->Decide(has_newer_list ? CellCount{CellCountFor(this->largest_hall), this->list} : peer_cells);
}

bool CellDivision::IsOwn(std::string_view instance) const
{
	return (HashText(instance) ^ this->own_hash) % this->count.cells == 0;
}

TargetDivision::TargetDivision(std::string_view own_name) : own_hash(HashText(own_name))
{
}

void TargetDivision::Divide(const std::vector<TargetRow> &all, uint32_t cells)
{
	this->shards.clear();
	if (cells <= 1) return;
	std::map<std::pair<std::string, std::string>, size_t> numbers;
	for (const TargetRow &row : all) {
		if (row.target) numbers[{row.target->pool, row.target->hall}]++;
	}
	for (const auto &[place, number] : numbers) {
		uint32_t shards = 1;
		while (2 * shards <= cells && number >= MIN_TARGETS_PER_CELL * 2 * shards) shards *= 2;
		if (shards > 1) this->shards.push_back({place.first, place.second, shards});
	}
}

bool TargetDivision::Set(std::vector<PoolShards> divided)
{
	// Hashes are compared by their last bits: only powers of two divide without moving others.
	std::erase_if(divided, [](const PoolShards &each) { return !std::has_single_bit(each.shards); });
	if (divided == this->shards) return false;
	this->shards = std::move(divided);
	return true;
}

uint32_t TargetDivision::ShardsOf(std::string_view pool, std::string_view hall) const
{
	auto found = std::find_if(this->shards.begin(), this->shards.end(),
	                          [&](const PoolShards &each) { return each.pool == pool && each.hall == hall; });
	return found == this->shards.end() ? 1 : found->shards;
}

bool TargetDivision::IsOwn(const ListedTarget &target) const
{
	return (HashText(target.incarnation.id) ^ this->own_hash) % this->ShardsOf(target.pool, target.hall) == 0;
}

double TargetDivision::ShareOf(std::string_view pool, std::string_view hall, uint32_t cells) const
{
	return std::min(1.0, static_cast<double>(this->ShardsOf(pool, hall)) / std::max(1U, cells));
}

} // namespace cottonspool
