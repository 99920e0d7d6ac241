/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file route_table.h Which route, pool and client account a request belongs to, under the configuration in force. */

#pragma once

#include "decision/serving_type.h"
#include <map>
#include <string_view>
#include <unordered_map>

namespace cottonspool {

/** Result of looking a request's key up. */
enum class KeyCheckResult : uint8_t {
	Known,     ///< The account is known.
	NotNeeded, ///< The route is open to all, or there are no accounts.
	Unknown,   ///< The request must not run.
};

/** The configuration in force, indexed. It only ever goes forward. */
class RouteTable {
public:
	/** Put \a configuration in force unless it is older than the one in force. @return Whether it was. */
	bool Apply(ServingConfiguration configuration);

	/** @return Whether a configuration is in force. */
	bool IsKnown() const { return this->known; }

	/** @return The configuration in force. */
	const ServingConfiguration &Configuration() const { return this->configuration; }

	/** @return The route of \a host (without a port) whose prefix begins \a path and is longest; null when there is none. */
	const Route *FindRoute(std::string_view host, std::string_view path) const;

	/** Choose a pool of \a route by weight. @param draw Evenly spread over 0 to 1. @return Empty when no pool has a weight. */
	static std::string ChoosePool(const Route &route, double draw);

	/** Look \a key up for \a route. @param account Set to the account when it is known. */
	KeyCheckResult CheckKey(const Route &route, std::string_view key, const ClientAccount **account) const;

	/** @return The pool \a name, or null. */
	const Pool *FindPool(std::string_view name) const;

private:
	ServingConfiguration configuration;                                                ///< In force.
	bool known = false;                                                                ///< One is in force.
	std::unordered_map<std::string, std::map<std::string, size_t, std::less<>>> hosts; ///< Route numbers by host and prefix.
	std::unordered_map<std::string, size_t> keys;                                      ///< Account numbers by key.
	std::unordered_map<std::string, size_t> pools;                                     ///< Pool numbers by name.
};

} // namespace cottonspool
