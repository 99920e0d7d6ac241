/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division.h Into how many cells a large fleet is divided, and which instances and targets belong to which. */

#pragma once

#include "core/store_version_type.h"
#include "decision/target_registry.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** Into how many cells a fleet is divided, and since when. */
struct CellCount {
	uint32_t cells = 1;      ///< Number of cells, a power of two.
	StoreVersion decided_at; ///< Version of the list of instances from which it was decided; unknown for one that each works out by itself.

	bool operator==(const CellCount &) const = default;
};

/**
 * The cells of a fleet. What the instances of a hall tell each other costs each of them in proportion to their number, and to that of
 * the hall's targets. So a large fleet is divided into cells that work by themselves: each has a bounded number of instances in every
 * hall, and its part of every hall's targets. The number of cells is a power of two: when it changes, cells are split in two or joined
 * in pairs, and nobody else moves. Instances tell each other how many there are, and the decision from the newest list counts.
 */
class CellDivision {
public:
	static constexpr size_t MAX_UNDIVIDED_INSTANCES =
	        96; ///< Instances of a hall up to which there is one cell: links to all cost little till then.
	static constexpr size_t MAX_CELL_INSTANCES = 32; ///< Instances of a hall above which a cell is split.
	static constexpr size_t MIN_CELL_INSTANCES =
	        12; ///< Those below which cells are joined; well under half, so that restarts change nothing.
	static constexpr uint32_t MIN_DIVIDED_CELLS = 4; ///< Least number of cells of a divided fleet.

	explicit CellDivision(std::string_view own_name);

	/**
	 * The whole list of instances was read as of \a version.
	 * @param largest_hall Instances of the hall that has most.
	 * @param bootstrapping The fleet starts for the first time: the list is not complete yet, and a newer one tells more.
	 * @return Whether the number of cells has changed.
	 */
	bool OnInstanceList(size_t largest_hall, StoreVersion version, bool bootstrapping);

	/** Instances have come or gone since; see OnInstanceList(). @return Whether the number of cells has changed. */
	bool OnInstanceChanges(size_t largest_hall, StoreVersion version);

	/** Another instance divides the fleet as \a peer_cells says. @return Whether the number of cells has changed here. */
	bool OnPeerCellCount(CellCount peer_cells);

	/** @return Into how many cells the fleet is divided. */
	const CellCount &Count() const { return this->count; }

	/** @return Whether \a instance is in the cell of this one. */
	bool IsOwn(std::string_view instance) const;

private:
	bool Decide(CellCount decision);

	uint64_t own_hash;             ///< Hash of this instance's name.
	CellCount count;               ///< Number of cells.
	size_t largest_hall = 0;       ///< Instances known in the largest hall.
	StoreVersion list;             ///< Version of the list they were read from; unknown before.
	bool is_bootstrapping = false; ///< That list was not complete.
};

/** Among how many cells the targets of one pool in one hall are divided. */
struct PoolShards {
	std::string pool;    ///< Pool.
	std::string hall;    ///< Data hall.
	uint32_t shards = 1; ///< Cells, a power of two; each target of it is in one of so many groups of cells.

	bool operator==(const PoolShards &) const = default;
};

/**
 * Which targets an instance knows. Where a hall has many targets of a pool, each belongs to one cell; where it has few, each belongs to
 * several, so that every cell keeps some to choose from.
 */
class TargetDivision {
public:
	static constexpr size_t MIN_TARGETS_PER_CELL = 8; ///< Targets of a pool in a hall that a cell keeps on average where there are as many.

	explicit TargetDivision(std::string_view own_name);

	/** Divide \a all targets that are listed among \a cells. */
	void Divide(const std::vector<TargetRow> &all, uint32_t cells);

	/** Another instance has divided them as \a divided says. @return Whether that is news. */
	bool Set(std::vector<PoolShards> divided);

	/** @return How they are divided; pools that are not are left out. */
	const std::vector<PoolShards> &Shards() const { return this->shards; }

	/** @return Whether \a target is one of those that the cell of this instance knows. */
	bool IsOwn(const ListedTarget &target) const;

	/** @return The part of all instances' requests for a target of \a pool in \a hall that comes from one of \a cells. */
	double ShareOf(std::string_view pool, std::string_view hall, uint32_t cells) const;

private:
	uint32_t ShardsOf(std::string_view pool, std::string_view hall) const;

	uint64_t own_hash;              ///< Hash of this instance's name.
	std::vector<PoolShards> shards; ///< Divided pools.
};

} // namespace cottonspool
