/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_sharing.h Which instance reads the store's tables for its peers, and when another one takes over. */

#pragma once

#include "decision/reader_order.h"
#include "store/table_watch.h"

namespace cottonspool {

/**
 * The tables whose reading an instance shares with its peers. The first in a table's order reads it for all; the others take over one
 * after another when they hear nothing. Where news keep to halls the first of each hall come before all others, in an order of the
 * halls, so that one instance reads for all halls, and each hall has one that notices when it doesn't.
 */
class TableSharing {
public:
	TableSharing(std::string name, std::string hall) : name(std::move(name)), hall(std::move(hall)) {}

	/** Share the reading of \a watch, which has to outlive this. */
	void Share(TableWatch &watch);

	/**
	 * This instance and its live peers have changed, or may have.
	 * @param halls Data halls that share the reading; none where news don't keep to halls.
	 * @param starting_up This instance has just started and hears nobody yet: it doesn't read for others.
	 */
	void SetReaders(const std::vector<Reader> &readers, const std::vector<std::string> &halls, bool starting_up);

	/** Take in what the instance \a sender of \a sender_hall tells of a table. */
	void OnUpdate(const std::string &sender, const std::string &sender_hall, TableUpdate update, TimePoint now);

	/**
	 * @param forwarded An instance of this hall has passed them on already.
	 * @return Whether news of tables that an instance of \a sender_hall told are passed on in this instance's hall.
	 */
	[[nodiscard]] bool ShouldForward(const std::string &sender_hall, bool forwarded) const;

	/** @return Whether this instance is the first of its hall that reads one of the tables. */
	bool IsHallReader() const;

	/** @return Tables that are wanted whole from other instances. */
	std::vector<std::string> MissingSnapshots() const;

	/** @return What is known here of \a tables, whole; those that are not known are left out. */
	std::vector<TableUpdate> Snapshot(const std::vector<std::string> &requested) const;

	/** @return The version of \a table, if it is known here and can be told whole. */
	std::optional<StoreVersion> SnapshotVersion(const std::string &table) const;

	/** Time has passed. */
	void OnTick(TimePoint now);

private:
	/** A table whose reading is shared. */
	struct SharedTable {
		TableWatch *watch;              ///< Follows it.
		std::vector<std::string> order; ///< Instances in the order in which they read it for the others.
		std::vector<std::string> halls; ///< Data halls in that order; none where news don't keep to halls.
	};

	/** @return The place of an instance in the order in which \a table is read for all; 0 reads it. */
	size_t PositionOf(const SharedTable &table, const std::string &instance, const std::string &instance_hall) const;

	std::string name;                ///< Name of this instance.
	std::string hall;                ///< Data hall it stands in.
	std::vector<SharedTable> tables; ///< Tables.
};

} // namespace cottonspool
