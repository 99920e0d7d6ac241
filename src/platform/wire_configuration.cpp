/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_configuration.cpp Decodes configurations and heartbeats. */

#include "platform/wire_configuration.h"
#include "platform/json_func.h"

namespace cottonspool {

const char *const CONFIGURATION_TABLE = "op";
const char *const TARGET_TABLE = "servers";

bool IsConfigurationKey(std::string_view key)
{
	return key == "config";
}

std::optional<std::string> EmptiedHallOf(std::string_view key)
{
	static constexpr std::string_view PREFIX = "evacuate/";
	if (!key.starts_with(PREFIX)) return std::nullopt;
	return std::string(key.substr(PREFIX.size()));
}

/** @return The texts in the list \a name of \a object. */
static std::vector<std::string> TextsOf(const Json &object, const char *name)
{
	std::vector<std::string> texts;
	for (const Json &item : ListOf(object, name)) {
		if (item.is_string()) texts.push_back(item.get<std::string>());
	}
	return texts;
}

/** Decode one route. */
static Route DecodeRoute(const Json &from)
{
	Route route;
	route.name = TextOf(from, "name");
	route.host = TextOf(from, "host");
	route.path_prefix = TextOf(from, "pathPrefix");
	std::string kind = TextOf(from, "routeType");
	// A kind we do not know is treated as the most careful one that still serves: run at most once.
	route.kind = kind == "idempotent" ? RunKind::Repeatable : kind == "streaming" ? RunKind::Stream : RunKind::Once;
	for (const Json &share : ListOf(from, "weightedServices")) {
		route.pools.push_back({TextOf(share, "service"), NumberOf(share, "weight", 1)});
	}
	if (route.pools.empty()) route.pools.push_back({TextOf(from, "service"), 1});
	route.max_attempts = static_cast<uint32_t>(std::max(1.0, NumberOf(from, "maxAttempts", 1)));
	route.timeout = MillisecondsOf(from, "timeoutMs", 60000);
	route.objective = MillisecondsOf(from, "targetLatencyMs", 1000);
	route.gap_objective = MillisecondsOf(from, "gapAimMs");
	route.rank = static_cast<int>(NumberOf(from, "priority"));
	route.needs_key = !FlagOf(from, "public");
	route.homes = TextsOf(from, "allowedRegions");
	return route;
}

/** Decode one pool of targets. */
static Pool DecodePool(const Json &from)
{
	Pool pool;
	pool.name = TextOf(from, "name");
	pool.health_path = TextOf(from, "healthPath");
	pool.max_connections = static_cast<uint32_t>(NumberOf(from, "maxConnections"));
	pool.cold_start = FromSeconds(NumberOf(from, "coldStartS"));
	pool.cold_per_s = NumberOf(from, "coldPerS");
	auto engine = from.find("engine");
	if (engine == from.end() || !engine->is_object()) return pool;
	EnginePool &known = pool.engine.emplace();
	known.slots = static_cast<uint32_t>(NumberOf(*engine, "capacity", 1));
	known.memory_tokens = CountOf(*engine, "kvTokenCapacity");
	known.bytes_per_token = NumberOf(*engine, "kvTokenBytes");
	known.link_mbps = NumberOf(*engine, "linkMbps");
	known.tokens_per_event = static_cast<uint32_t>(std::max(1.0, NumberOf(*engine, "stride", 1)));
	known.can_move = FlagOf(*engine, "moves");
	known.can_back_up = FlagOf(*engine, "backups");
	return pool;
}

/** Decode the limits on callers. */
static CallerLimits DecodeLimits(const Json &from)
{
	CallerLimits limits;
	limits.max_head_bytes = static_cast<size_t>(NumberOf(from, "maxHeaderBytes", static_cast<double>(limits.max_head_bytes)));
	limits.max_body_bytes = static_cast<size_t>(NumberOf(from, "maxBodyBytes", static_cast<double>(limits.max_body_bytes)));
	limits.head_timeout = MillisecondsOf(from, "headerTimeoutMs", 3000);
	limits.idle_timeout = MillisecondsOf(from, "idleTimeoutMs", 15000);
	return limits;
}

Result<ServingConfiguration> DecodeConfiguration(const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return Error{Step::Configuration, "store", "the configuration is not a JSON object"};
	ServingConfiguration configuration;
	configuration.version = CountOf(root, "version");
	for (const Json &route : ListOf(root, "routes")) configuration.routes.push_back(DecodeRoute(route));
	for (const Json &pool : ListOf(root, "services")) configuration.pools.push_back(DecodePool(pool));
	auto limits = root.find("limits");
	if (limits != root.end() && limits->is_object()) configuration.limits = DecodeLimits(*limits);
	configuration.has_accounts = root.contains("tenants");
	for (const Json &tenant : ListOf(root, "tenants")) {
		ClientAccount account;
		account.name = TextOf(tenant, "name");
		account.keys = TextsOf(tenant, "apiKeys");
		account.homes = TextsOf(tenant, "allowedRegions");
		auto rank = tenant.find("priority");
		if (rank != tenant.end() && rank->is_number()) account.rank = rank->get<int>();
		configuration.accounts.push_back(std::move(account));
	}
	return configuration;
}

Result<TargetRow> DecodeTargetRow(const StoredRow &row)
{
	if (row.deleted) return TargetRow{row.key, std::nullopt};
	Json root = Json::parse(row.value, nullptr, false);
	if (!root.is_object()) return Error{Step::Table, row.key, "the heartbeat is not a JSON object"};
	ListedTarget target;
	target.life = {row.key, CountOf(root, "born")};
	target.pool = TextOf(root, "service");
	target.address = TextOf(root, "address");
	target.hall = TextOf(root, "zone");
	target.slots = static_cast<uint32_t>(std::max(1.0, NumberOf(root, "capacity", 1)));
	target.leaving = TextOf(root, "state") == "draining";
	target.sequence = CountOf(root, "sequence");
	target.cold_left = MillisecondsOf(root, "coldRemainingMs");
	if (target.pool.empty() || target.address.empty()) return Error{Step::Table, row.key, "the heartbeat names no pool or address"};
	return TargetRow{row.key, std::move(target)};
}

} // namespace cottonspool
