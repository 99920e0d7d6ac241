/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file serving_type.h What an operator's platform tells an instance: routes, pools, client accounts, listed targets. */

#pragma once

#include "core/time_type.h"
#include "decision/target_incarnation.h"
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** What may be done with a request that did not end well. */
enum class RouteType : uint8_t {
	Repeatable, ///< May run more than once.
	Once,       ///< May run at most once.
	Stream,     ///< A generation, passed on event by event; may run at most once.
};

/** A pool of targets with its share of a route's requests. */
struct WeightedPool {
	std::string pool;  ///< Name of the pool.
	double weight = 1; ///< Share, relative to the others.
};

/** One route. */
struct Route {
	std::string name;                       ///< Name, for logs and metrics.
	std::string host;                       ///< Host it is for.
	std::string path_prefix;                ///< Beginning of the paths it is for; ends in a slash.
	RouteType kind = RouteType::Repeatable; ///< What may be repeated.
	std::vector<WeightedPool> pools;        ///< Where its requests go.
	uint32_t max_attempts = 1;              ///< Most targets that one request may be sent to.
	Duration timeout{0};                    ///< Longest time a request may be held.
	Duration objective{0};                  ///< Latency within which an answer (its first event) is in time.
	Duration gap_objective{0};              ///< Longest pause between events that is in time; zero if there is none.
	int priority_level = 0;                 ///< Order among requests; 0 goes first.
	bool requires_key = true;               ///< Requests must carry a client account's key.
	std::vector<std::string> home_regions;  ///< Regions in which its requests may run; empty for all.
};

/** What is known of the engines of a pool. */
struct EnginePool {
	uint32_t slots = 1;            ///< Generations run at once.
	uint64_t memory_tokens = 0;    ///< Memory, in tokens.
	double bytes_per_token = 0;    ///< Size of a token's part of the memory.
	double link_mbps = 0;          ///< Speed of the link on which memory is moved, in Mbit/s.
	uint32_t tokens_per_event = 1; ///< Tokens that one event holds.
	bool can_migrate = false;      ///< Runs can be moved to another engine.
	bool can_back_up = false;      ///< Runs can be backed up on another engine.
};

/** @return Time that copying the memory of \a tokens to another engine of the same hall takes on the link; zero if its speed is unknown. */
inline Duration CopyTime(const EnginePool &pool, double tokens)
{
	static constexpr double BITS_PER_BYTE = 8;
	static constexpr double BITS_PER_MBIT = 1e6;
	if (pool.link_mbps <= 0) return Duration(0);
	return FromSeconds(tokens * pool.bytes_per_token * BITS_PER_BYTE / (pool.link_mbps * BITS_PER_MBIT));
}

/** One pool of targets. */
struct Pool {
	std::string name;                 ///< Name.
	std::string health_path;          ///< Path of the health check.
	uint32_t max_connections = 0;     ///< Most connections a target takes from all callers together; 0 if unknown.
	std::optional<EnginePool> engine; ///< Given for model engines.
	Duration cold_start{0};           ///< Time for which a target is cold after its start.
	double cold_rate = 0;             ///< Requests a second that a cold target bears, from all instances together; 0 for any number.
};

/** One client account. */
struct ClientAccount {
	std::string name;                      ///< Name, told to targets.
	std::vector<std::string> keys;         ///< Keys.
	std::optional<int> priority_level;     ///< Goes before the route's rank.
	std::vector<std::string> home_regions; ///< Regions in which its requests may run; empty for all.
};

/** Limits on callers that the operator sets. */
struct CallerLimits {
	size_t max_head_bytes = 16U << 10;                ///< Longest head.
	size_t max_body_bytes = 4U << 20;                 ///< Longest body.
	Duration head_timeout = std::chrono::seconds(3);  ///< Longest time for a head.
	Duration idle_timeout = std::chrono::seconds(15); ///< Longest rest of a connection.
};

/** A whole configuration. */
struct ServingConfiguration {
	uint64_t version = 0;                ///< Rises with each configuration.
	std::vector<Route> routes;           ///< Routes.
	std::vector<Pool> pools;             ///< Pools.
	std::vector<ClientAccount> accounts; ///< Client accounts.
	bool has_accounts = false;           ///< Requests must carry keys where the route says so.
	CallerLimits limits;                 ///< Limits on callers.
};

/** A target as its own heartbeat shows it. */
struct ListedTarget {
	TargetIncarnation incarnation; ///< Its id and the start of its life.
	std::string pool;              ///< Pool it belongs to.
	std::string address;           ///< IP:PORT.
	std::string hall;              ///< Data hall.
	uint32_t slots = 1;            ///< Requests it works on at once.
	bool draining = false;         ///< Gets nothing new.
	uint64_t sequence = 0;         ///< Rises with each heartbeat.
	Duration cold_remaining{0};    ///< How much longer it is slow from its start.

	/** @return Whether \a other says the same but for the heartbeat's number. */
	bool HasSameContent(const ListedTarget &other) const
	{
		return this->pool == other.pool && this->address == other.address && this->hall == other.hall && this->slots == other.slots &&
		       this->draining == other.draining && this->cold_remaining == other.cold_remaining;
	}
};

} // namespace cottonspool
