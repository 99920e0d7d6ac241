/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file serving_type.h Configuration from the operators' platform: routes, pools, client accounts and listed targets. */

#pragma once

#include "core/time_type.h"
#include "decision/target_incarnation.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** Type of a route: whether its requests may be retried and how they are answered. */
enum class RouteType : uint8_t {
	Repeatable, ///< Requests may be executed more than once.
	Once,       ///< Requests are executed at most once.
	Stream,     ///< Streamed generations, executed at most once.
};

/** A pool with its share of a route's requests. */
struct WeightedPool {
	std::string pool;  ///< Name of the pool.
	double weight = 1; ///< Share, relative to the route's other pools.
};

/** A route: which requests it matches and how they are served. */
struct Route {
	std::string name;                       ///< Name in logs and metrics.
	std::string host;                       ///< Host of the requests it matches.
	std::string path_prefix;                ///< Prefix of the paths it matches; ends in a slash.
	RouteType kind = RouteType::Repeatable; ///< Type of the route.
	std::vector<WeightedPool> pools;        ///< Pools that serve its requests.
	uint32_t max_attempts = 1;              ///< Maximum number of attempts per request.
	Duration timeout{0};                    ///< Time limit for a complete answer.
	Duration objective{0};                  ///< Latency objective for an answer or its first event.
	Duration gap_objective{0};              ///< Objective for the time between events; zero for none.
	int priority_level = 0;                 ///< Priority of its requests; 0 goes first.
	bool requires_key = true;               ///< Whether requests need the API key of a client account.
	std::vector<std::string> home_regions;  ///< Regions in which its requests may run; empty for all.
};

/** Properties of the engines of a pool. */
struct EnginePool {
	uint32_t slots = 1;            ///< Maximum number of concurrent runs.
	uint64_t memory_tokens = 0;    ///< KV cache capacity, in tokens.
	double bytes_per_token = 0;    ///< KV cache size per token, in bytes.
	double link_mbps = 0;          ///< Bandwidth of an engine's link for KV cache transfers, in Mbit/s; 0 if unknown.
	uint32_t tokens_per_event = 1; ///< Tokens per event of a stream.
	bool can_migrate = false;      ///< Whether runs can migrate to another engine.
	bool can_back_up = false;      ///< Whether runs can be backed up on another engine.
};

/** @return Time to copy the KV cache of \a tokens to another engine in the same data hall; zero if the bandwidth is unknown. */
inline Duration CopyTime(const EnginePool &pool, double tokens)
{
	static constexpr double BITS_PER_BYTE = 8;
	static constexpr double BITS_PER_MBIT = 1e6;
	if (pool.link_mbps <= 0) return Duration(0);
	return FromSeconds(tokens * pool.bytes_per_token * BITS_PER_BYTE / (pool.link_mbps * BITS_PER_MBIT));
}

/** A pool of interchangeable targets. */
struct Pool {
	std::string name;
	std::string health_path;          ///< Path of the health check.
	uint32_t max_connections = 0;     ///< Maximum number of connections to a target from all its clients; 0 if unknown.
	std::optional<EnginePool> engine; ///< Properties of the engines; nothing for a pool of services.
	Duration cold_start{0};           ///< Duration of the cold start of a target.
	double cold_rate = 0;             ///< Maximum requests per second to a cold target, from all instances together; 0 for no limit.
};

/** A client account. */
struct ClientAccount {
	std::string name;                      ///< Name, which is sent to targets.
	std::vector<std::string> keys;         ///< API keys.
	std::optional<int> priority_level;     ///< Priority of its requests; takes precedence over the route's.
	std::vector<std::string> home_regions; ///< Regions in which its requests may run; empty for all.
};

/** Limits on the requests and connections of callers. */
struct CallerLimits {
	size_t max_head_bytes = 16U << 10;                ///< Maximum size of the HTTP head, in bytes.
	size_t max_body_bytes = 4U << 20;                 ///< Maximum size of the body, in bytes.
	Duration head_timeout = std::chrono::seconds(3);  ///< Time limit for receiving a complete head.
	Duration idle_timeout = std::chrono::seconds(15); ///< Time after which an idle connection is closed.
};

/** A complete configuration. */
struct ServingConfiguration {
	uint64_t version = 0; ///< Increases with each configuration.
	std::vector<Route> routes;
	std::vector<Pool> pools;
	std::vector<ClientAccount> accounts;
	bool has_accounts = false; ///< Whether client accounts are configured; without them no route needs a key.
	CallerLimits limits;
};

/** A target as described by its own heartbeat row. */
struct ListedTarget {
	TargetIncarnation incarnation; ///< Id and start time.
	std::string pool;              ///< Name of its pool.
	std::string address;           ///< IP:PORT.
	std::string hall;              ///< Name of its data hall.
	uint32_t slots = 1;            ///< Maximum number of concurrent requests.
	bool draining = false;         ///< Whether it is draining.
	uint64_t sequence = 0;         ///< Increases with each heartbeat.
	Duration cold_remaining{0};    ///< Remaining time of its cold start.

	/** @return Whether \a other differs at most in its identity and sequence. */
	bool HasSameContent(const ListedTarget &other) const
	{
		return this->pool == other.pool && this->address == other.address && this->hall == other.hall && this->slots == other.slots &&
		       this->draining == other.draining && this->cold_remaining == other.cold_remaining;
	}
};

} // namespace cottonspool
