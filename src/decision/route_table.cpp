/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file route_table.cpp Implementation of the lookup of routes, pools and client accounts. */

#include "decision/route_table.h"

namespace cottonspool {

bool RouteTable::Apply(ServingConfiguration next)
{
	if (this->known && next.version <= this->configuration.version) return false;
	this->configuration = std::move(next);
	this->known = true;
	this->hosts.clear();
	this->keys.clear();
	this->pools.clear();
	for (size_t i = 0; i < this->configuration.routes.size(); i++) {
		const Route &route = this->configuration.routes[i];
		this->hosts[route.host].emplace(route.path_prefix, i);
	}
	for (size_t i = 0; i < this->configuration.accounts.size(); i++) {
		for (const std::string &key : this->configuration.accounts[i].keys) this->keys.emplace(key, i);
	}
	for (size_t i = 0; i < this->configuration.pools.size(); i++) this->pools.emplace(this->configuration.pools[i].name, i);
	return true;
}

const Route *RouteTable::FindRoute(std::string_view host, std::string_view path) const
{
	auto routes = this->hosts.find(std::string(host));
	if (routes == this->hosts.end()) return nullptr;
	// Prefixes end in a slash, so only the parts of the path up to a slash can match; the longest is tried first.
	for (size_t slash = path.rfind('/'); slash != std::string_view::npos;
	     slash = slash == 0 ? std::string_view::npos : path.rfind('/', slash - 1)) {
		auto found = routes->second.find(path.substr(0, slash + 1));
		if (found != routes->second.end()) return &this->configuration.routes[found->second];
	}
	return nullptr;
}

std::string RouteTable::ChoosePool(const Route &route, double draw)
{
	double sum = 0;
	for (const WeightedPool &pool : route.pools) sum += pool.weight;
	if (sum <= 0) return {};
	double at = draw * sum;
	const WeightedPool *last = nullptr;
	for (const WeightedPool &pool : route.pools) {
		if (pool.weight <= 0) continue;
		last = &pool;
		at -= pool.weight;
		if (at < 0) break;
	}
	return last->pool;
}

KeyCheckResult RouteTable::CheckKey(const Route &route, std::string_view key, const ClientAccount **account) const
{
	*account = nullptr;
	auto found = key.empty() ? this->keys.end() : this->keys.find(std::string(key));
	if (found != this->keys.end()) *account = &this->configuration.accounts[found->second];
	if (!this->configuration.has_accounts || !route.requires_key)
		return *account != nullptr ? KeyCheckResult::Known : KeyCheckResult::NotNeeded;
	return *account != nullptr ? KeyCheckResult::Known : KeyCheckResult::Unknown;
}

const Pool *RouteTable::FindPool(std::string_view name) const
{
	auto found = this->pools.find(std::string(name));
	return found == this->pools.end() ? nullptr : &this->configuration.pools[found->second];
}

} // namespace cottonspool
