/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file reader_order.cpp Implementation of the order in which instances read a store table. */

#include "decision/reader_order.h"
#include "core/hash_func.h"
#include <algorithm>
#include <map>

namespace cottonspool {

std::vector<std::string> ReaderOrder(std::string_view table, const std::vector<Reader> &readers)
{
	std::map<std::string, double> links;
	std::vector<std::string> names;
	for (const Reader &reader : readers) {
		links[reader.name] = reader.link_mbps;
		names.push_back(reader.name);
	}
	std::vector<std::string> order = RendezvousChoice(table, names, names.size());
	std::stable_sort(order.begin(), order.end(), [&](const std::string &a, const std::string &b) { return links[a] > links[b]; });
	return order;
}

} // namespace cottonspool
