/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file reader_order.h Order in which instances read a store table on behalf of the others. */

#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace cottonspool {

/** Instance that may read for the others. */
struct Reader {
	std::string name;     ///< Name of the instance.
	double link_mbps = 0; ///< Bandwidth of its network link, in Mbit/s; 0 if unknown.
};

/**
 * Orders the instances that may read \a table. The first one reads it and forwards the rows to all others; the next one takes over if it
 * fails. Instances with the fastest network links come first, and rendezvous hashing distributes the tables among equal ones.
 * @return The names of \a readers in order, the same on all instances that know the same readers.
 */
std::vector<std::string> ReaderOrder(std::string_view table, const std::vector<Reader> &readers);

} // namespace cottonspool
