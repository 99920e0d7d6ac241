/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division.cpp Implementation of the partitioning of a large fleet into cells. */

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

/** @return Whether \a cells is still appropriate for \a largest_hall instances in the largest hall. */
static bool CanKeepCells(uint32_t cells, size_t largest_hall)
{
	if (cells == 1) return largest_hall <= CellDivision::MAX_UNDIVIDED_INSTANCES;
	return largest_hall <= CellDivision::MAX_CELL_INSTANCES * cells && largest_hall >= CellDivision::MIN_CELL_INSTANCES * cells;
}

CellDivision::CellDivision(std::string_view own_name) : own_hash(HashText(own_name))
{
}

bool CellDivision::SetCount(CellCount new_count)
{
	bool changed = new_count.cells != this->count.cells;
	this->count = new_count;
	return changed;
}

bool CellDivision::OnInstanceList(size_t new_largest_hall, StoreVersion version, bool bootstrapping)
{
	bool is_first_list = !this->list_version.IsKnown();
	this->largest_hall = new_largest_hall;
	this->list_version = version;
	this->is_bootstrapping = bootstrapping;
	uint32_t cells = CellCountFor(new_largest_hall);
	if (bootstrapping) return this->count.decided_at < version && this->SetCount({cells, version});
	// At startup the number of cells that the peers use is unknown, so this local number must not override theirs.
	if (is_first_list && !this->count.decided_at.IsKnown()) return this->SetCount({cells, {}});
	return !CanKeepCells(this->count.cells, new_largest_hall) && this->SetCount({cells, version});
}

bool CellDivision::OnInstanceChanges(size_t new_largest_hall, StoreVersion version)
{
	this->largest_hall = new_largest_hall;
	// Incremental changes can miss instances, so they may only increase the number of cells.
	bool too_many = new_largest_hall > this->count.cells * MAX_CELL_INSTANCES && !CanKeepCells(this->count.cells, new_largest_hall);
	return too_many && this->count.decided_at < version && this->SetCount({CellCountFor(new_largest_hall), version});
}

bool CellDivision::OnPeerCellCount(CellCount peer_cells)
{
	if (!std::has_single_bit(peer_cells.cells) || peer_cells == this->count) return false;
	if (peer_cells.decided_at == this->count.decided_at) return peer_cells.cells > this->count.cells && this->SetCount(peer_cells);
	if (peer_cells.decided_at < this->count.decided_at) return false;
	bool has_newer_list = this->list_version.IsKnown() && !this->is_bootstrapping && peer_cells.decided_at < this->list_version &&
	                      !CanKeepCells(peer_cells.cells, this->largest_hall);
	return this->SetCount(has_newer_list ? CellCount{CellCountFor(this->largest_hall), this->list_version} : peer_cells);
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
	std::map<std::pair<std::string, std::string>, size_t> target_counts;
	for (const TargetRow &row : all) {
		if (row.target) target_counts[{row.target->pool, row.target->hall}]++;
	}
	for (const auto &[pool_and_hall, number] : target_counts) {
		uint32_t shards = 1;
		while (2 * shards <= cells && number >= MIN_TARGETS_PER_CELL * 2 * shards) shards *= 2;
		if (shards > 1) this->shards.push_back({pool_and_hall.first, pool_and_hall.second, shards});
	}
}

bool TargetDivision::Set(std::vector<PoolShards> divided)
{
	// Targets are assigned by the low bits of their hash, so the number of shards has to be a power of two.
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
