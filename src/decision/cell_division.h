/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file cell_division.h Partitioning of a large fleet into cells: how many cells, and which instances and targets belong to each. */

#pragma once

#include "core/store_version_type.h"
#include "decision/target_registry.h"
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** Number of cells of a fleet and the version at which it was decided. */
struct CellCount {
	uint32_t cells = 1;      ///< Number of cells, a power of two.
	StoreVersion decided_at; ///< Version of the instance list that led to this number; unknown if an instance derived it locally.

	bool operator==(const CellCount &) const = default;
};

/**
 * Divides a fleet into cells. Instances of a hall exchange their load, so the cost for each instance grows with the number of instances and
 * targets it exchanges load about. Cells bound that cost: an instance exchanges load only with its own cell, and only about the targets of
 * that cell. The number of cells is a power of two, so that a change only splits cells in two or merges pairs of cells. Instances send each
 * other the number of cells, and the number derived from the newest instance list wins.
 */
class CellDivision {
public:
	static constexpr size_t MAX_UNDIVIDED_INSTANCES = 96; ///< Instances in the largest hall up to which the fleet has a single cell.
	static constexpr size_t MAX_CELL_INSTANCES = 32;      ///< Instances per hall and cell above which cells are split.
	static constexpr size_t MIN_CELL_INSTANCES =
	        12; ///< Instances per hall and cell below which cells are merged; low, so that restarts merge none.
	static constexpr uint32_t MIN_DIVIDED_CELLS = 4; ///< Smallest number of cells of a divided fleet.

	explicit CellDivision(std::string_view own_name);

	/**
	 * Handles a complete read of the instance list.
	 * @param largest_hall Number of instances in the largest hall.
	 * @param version Version of the list.
	 * @param bootstrapping The fleet is starting for the first time, so the list is still incomplete.
	 * @return Whether the number of cells has changed.
	 */
	bool OnInstanceList(size_t largest_hall, StoreVersion version, bool bootstrapping);

	/** Handles incremental changes of the instance list; see OnInstanceList(). @return Whether the number of cells has changed. */
	bool OnInstanceChanges(size_t largest_hall, StoreVersion version);

	/** Handles the number of cells that a peer uses. @return Whether the number of cells has changed on this instance. */
	bool OnPeerCellCount(CellCount peer_cells);

	/** @return The current number of cells. */
	const CellCount &Count() const { return this->count; }

	/** @return Whether \a instance is in the same cell as this instance. */
	bool IsOwn(std::string_view instance) const;

private:
	bool SetCount(CellCount decision);

	uint64_t own_hash;             ///< Hash of this instance's name.
	CellCount count;               ///< Current number of cells.
	size_t largest_hall = 0;       ///< Number of instances known in the largest hall.
	StoreVersion list_version;     ///< Version of the instance list that was read last; unknown before the first read.
	bool is_bootstrapping = false; ///< The list that was read last was incomplete.
};

/** Number of shards into which the targets of one pool in one hall are divided. */
struct PoolShards {
	std::string pool;    ///< Name of the pool.
	std::string hall;    ///< Data hall.
	uint32_t shards = 1; ///< Number of shards, a power of two. Each target belongs to one shard, each cell serves one shard.

	bool operator==(const PoolShards &) const = default;
};

/**
 * Decides which targets the cell of this instance serves. If a hall has many targets of a pool, each target belongs to one cell. If it has
 * few, several cells share them, so that each cell still has several to choose from.
 */
class TargetDivision {
public:
	static constexpr size_t MIN_TARGETS_PER_CELL = 8; ///< Minimum average number of targets per pool, hall and cell.

	explicit TargetDivision(std::string_view own_name);

	/** Divides the listed targets \a all among \a cells. */
	void Divide(const std::vector<TargetRow> &all, uint32_t cells);

	/** Replaces the division by \a divided, which a peer has sent. @return Whether the division has changed. */
	bool Set(std::vector<PoolShards> divided);

	/** @return The divided pools; undivided pools are omitted. */
	const std::vector<PoolShards> &Shards() const { return this->shards; }

	/** @return Whether the cell of this instance serves \a target. */
	bool IsOwn(const ListedTarget &target) const;

	/** @return The fraction of all requests for a target of \a pool in \a hall that each of \a cells cells sends. */
	double ShareOf(std::string_view pool, std::string_view hall, uint32_t cells) const;

private:
	uint32_t ShardsOf(std::string_view pool, std::string_view hall) const;

	uint64_t own_hash;              ///< Hash of this instance's name.
	std::vector<PoolShards> shards; ///< Divided pools.
};

} // namespace cottonspool
