/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file reader_order.h Which instance reads a table of the store for the others, and who takes over from it. */

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** One instance that may read for the others. */
struct Reader {
	std::string name;     ///< Name.
	double link_mbps = 0; ///< Speed of its link, in Mbit/s; 0 if unknown.
};

/**
 * The reader passes what it reads on to every other instance, so those with the fastest links come first; among equals,
 * rendezvous hashing spreads the tables.
 * @return The names of \a readers in the order in which they read \a table for the others: the same at all who know the same readers.
 */
std::vector<std::string> ReaderOrder(std::string_view table, const std::vector<Reader> &readers);

} // namespace cottonspool
