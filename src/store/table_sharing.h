/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_sharing.h Chooses which instance reads the store's tables on behalf of its peers, and when another one takes over. */

#pragma once

#include "decision/reader_order.h"
#include "store/table_watch.h"

namespace cottonspool {

/**
 * The tables that an instance and its peers read for each other. The first instance in a table's reader order polls the store and publishes
 * updates; the others take over one after another when updates stop. Where updates are published per data hall, the first instance of each
 * hall precedes all other instances, so that one instance reads for all halls and each hall has one that detects a failed reader.
 */
class TableSharing {
public:
	TableSharing(std::string name, std::string hall) : name(std::move(name)), hall(std::move(hall)) {}

	/** Add the table of \a watch, which has to outlive this object. */
	void Share(TableWatch &watch);

	/**
	 * Update the reader order after a change of the live instances.
	 * @param readers This instance and its live peers.
	 * @param halls Data halls that share the tables; empty if updates are not published per hall.
	 * @param starting_up This instance has just started and may not have heard from its peers yet, so that it must not read for them.
	 */
	void SetReaders(const std::vector<Reader> &readers, const std::vector<std::string> &halls, bool starting_up);

	/** Handle an update published by the instance \a sender of \a sender_hall. */
	void OnUpdate(const std::string &sender, const std::string &sender_hall, TableUpdate update, TimePoint now);

	/**
	 * @param forwarded Another instance of this hall has forwarded the updates already.
	 * @return Whether this instance forwards updates from \a sender_hall within its own hall.
	 */
	[[nodiscard]] bool ShouldForward(const std::string &sender_hall, bool forwarded) const;

	/** @return Whether this instance is the first of its hall in the reader order of any table. */
	bool IsHallReader() const;

	/** @return Names of the tables whose snapshot has to be requested from other instances. */
	std::vector<std::string> MissingSnapshots() const;

	/** @return Snapshots of those tables of \a requested that are available here. */
	std::vector<TableUpdate> Snapshot(const std::vector<std::string> &requested) const;

	/** @return Version of the snapshot of \a table; nothing if none is available here. */
	std::optional<StoreVersion> SnapshotVersion(const std::string &table) const;

	/** Advance all tables; called periodically. */
	void OnTick(TimePoint now);

private:
	/** A table with its reader order. */
	struct SharedTable {
		TableWatch *watch;              ///< Follows the table.
		std::vector<std::string> order; ///< Names of the instances, in reader order.
		std::vector<std::string> halls; ///< Data halls in reader order; empty if updates are not published per hall.
	};

	/** @return Position of an instance in the reader order of \a table; 0 is the reader. */
	size_t PositionOf(const SharedTable &table, const std::string &instance, const std::string &instance_hall) const;

	std::string name;                ///< Name of this instance.
	std::string hall;                ///< Data hall of this instance.
	std::vector<SharedTable> tables; ///< Shared tables.
};

} // namespace cottonspool
