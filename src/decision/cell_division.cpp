/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division.cpp Into how many cells a large fleet is divided. */

#include "decision/cell_division.h"
#include "core/hash_func.h"
#include <algorithm>
#include <bit>
#include <map>

namespace cottonspool {

/** @return The number of cells for a fleet whose largest hall has \a in_hall instances. */
static uint32_t CellsFor(size_t in_hall)
{
	if (in_hall <= CellDivision::UNDIVIDED_MOST) return 1;
	uint32_t cells = CellDivision::FIRST_DIVISION;
	while (in_hall > CellDivision::CELL_MOST * cells) cells *= 2;
	return cells;
}

/** @return Whether \a cells may stay as they are with \a in_hall instances in the largest hall. */
static bool MayKeep(uint32_t cells, size_t in_hall)
{
	if (cells == 1) return in_hall <= CellDivision::UNDIVIDED_MOST;
	return in_hall <= CellDivision::CELL_MOST * cells && in_hall >= CellDivision::CELL_LEAST * cells;
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

bool CellDivision::OnList(size_t now_in_hall, StoreVersion version, bool growing)
{
	bool first = !this->list.IsKnown();
	this->in_hall = now_in_hall;
	this->list = version;
	this->is_growing = growing;
	uint32_t cells = CellsFor(now_in_hall);
	if (growing) return this->count.decided < version && this->Decide({cells, version});
	// Who reads the list at its start does not know yet whether the others keep to another number, which may stay.
	if (first && !this->count.decided.IsKnown()) return this->Decide({cells, {}});
	return !MayKeep(this->count.cells, now_in_hall) && this->Decide({cells, version});
}

bool CellDivision::OnChanges(size_t now_in_hall, StoreVersion version)
{
	this->in_hall = now_in_hall;
	// A list with gaps may lack some, so it never tells that there are too few.
	bool too_many = now_in_hall > this->count.cells * CELL_MOST && !MayKeep(this->count.cells, now_in_hall);
	return too_many && this->count.decided < version && this->Decide({CellsFor(now_in_hall), version});
}

bool CellDivision::OnTold(CellCount told)
{
	if (!std::has_single_bit(told.cells) || told == this->count) return false;
	if (told.decided == this->count.decided) return told.cells > this->count.cells && this->Decide(told);
	if (told.decided < this->count.decided) return false;
	bool knows_better = this->list.IsKnown() && !this->is_growing && told.decided < this->list && !MayKeep(told.cells, this->in_hall);
	return this->Decide(knows_better ? CellCount{CellsFor(this->in_hall), this->list} : told);
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
	this->parts.clear();
	if (cells <= 1) return;
	std::map<std::pair<std::string, std::string>, size_t> numbers;
	for (const TargetRow &row : all) {
		if (row.target) numbers[{row.target->pool, row.target->hall}]++;
	}
	for (const auto &[place, number] : numbers) {
		uint32_t parts = 1;
		while (2 * parts <= cells && number >= KEPT_LEAST * 2 * parts) parts *= 2;
		if (parts > 1) this->parts.push_back({place.first, place.second, parts});
	}
}

bool TargetDivision::Set(std::vector<PoolParts> divided)
{
	// Hashes are compared by their last bits: only powers of two divide without moving others.
	std::erase_if(divided, [](const PoolParts &each) { return !std::has_single_bit(each.parts); });
	if (divided == this->parts) return false;
	this->parts = std::move(divided);
	return true;
}

uint32_t TargetDivision::PartsOf(std::string_view pool, std::string_view hall) const
{
	auto found = std::find_if(this->parts.begin(), this->parts.end(),
	                          [&](const PoolParts &each) { return each.pool == pool && each.hall == hall; });
	return found == this->parts.end() ? 1 : found->parts;
}

bool TargetDivision::IsOwn(const ListedTarget &target) const
{
	return (HashText(target.life.id) ^ this->own_hash) % this->PartsOf(target.pool, target.hall) == 0;
}

double TargetDivision::ShareOf(std::string_view pool, std::string_view hall, uint32_t cells) const
{
	return std::min(1.0, static_cast<double>(this->PartsOf(pool, hall)) / std::max(1U, cells));
}

} // namespace cottonspool
