/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file route_table.h Lookup of the route, pool and client account of a request. */

#pragma once

#include "decision/serving_type.h"
#include <map>
#include <string_view>
#include <unordered_map>

namespace cottonspool {

/** Result of checking a caller's key. */
enum class KeyCheckResult : uint8_t {
	Known,     ///< The key belongs to an account.
	NotNeeded, ///< The route requires no key, or no accounts are configured.
	Unknown,   ///< The key is missing or unknown, so the request is rejected.
};

/** Index of the configuration in force. */
class RouteTable {
public:
	/** Puts \a configuration in force unless its version is not newer than the current one. @return Whether it was put in force. */
	bool Apply(ServingConfiguration configuration);

	/** @return Whether a configuration is in force. */
	bool IsKnown() const { return this->known; }

	/** @return The configuration in force. */
	const ServingConfiguration &Configuration() const { return this->configuration; }

	/** @return The route of \a host (without a port) with the longest prefix that matches \a path; null if there is none. */
	const Route *FindRoute(std::string_view host, std::string_view path) const;

	/**
	 * Chooses a pool of \a route by weight.
	 * @param draw Random number, uniformly distributed from 0 to 1.
	 * @return Name of the pool; empty if no pool has a positive weight.
	 */
	static std::string ChoosePool(const Route &route, double draw);

	/** Checks whether \a key may use \a route. @param account Set to the account of the key, or to null if there is none. */
	KeyCheckResult CheckKey(const Route &route, std::string_view key, const ClientAccount **account) const;

	/** @return The pool with this name; null if there is none. */
	const Pool *FindPool(std::string_view name) const;

private:
	ServingConfiguration configuration;                                                ///< Configuration in force.
	bool known = false;                                                                ///< Whether a configuration is in force.
	std::unordered_map<std::string, std::map<std::string, size_t, std::less<>>> hosts; ///< Indexes of the routes by host and path prefix.
	std::unordered_map<std::string, size_t> keys;                                      ///< Indexes of the accounts by key.
	std::unordered_map<std::string, size_t> pools;                                     ///< Indexes of the pools by name.
};

} // namespace cottonspool
