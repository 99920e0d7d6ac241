/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_configuration.cpp Decodes the configuration and the targets' heartbeats. */

#include "platform/wire_configuration.h"
#include "net/tcp_stream.h"
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

/** @return The strings in the array field \a name of \a object. */
static std::vector<std::string> TextsOf(const Json &object, const char *name)
{
	std::vector<std::string> texts;
	for (const Json &item : ListOf(object, name)) {
		if (item.is_string()) texts.push_back(item.get<std::string>());
	}
	return texts;
}

/** Decode a route. */
static Route DecodeRoute(const Json &from)
{
	Route route;
	route.name = TextOf(from, "name");
	route.host = TextOf(from, "host");
	route.path_prefix = TextOf(from, "pathPrefix");
	std::string kind = TextOf(from, "routeType");
	// An unknown route type gets the strictest treatment: its requests are run at most once.
	route.kind = kind == "idempotent" ? RunKind::Repeatable : kind == "streaming" ? RunKind::Stream : RunKind::Once;
	for (const Json &share : ListOf(from, "weightedServices")) {
		route.pools.push_back({TextOf(share, "service"), NumberOf(share, "weight", 1)});
	}
	if (route.pools.empty()) route.pools.push_back({TextOf(from, "service"), 1});
	route.max_attempts = SmallCountOf(from, "maxAttempts", 1);
	route.timeout = MillisecondsOf(from, "timeoutMs", 60000);
	route.objective = MillisecondsOf(from, "targetLatencyMs", 1000);
	route.gap_objective = MillisecondsOf(from, "gapAimMs");
	route.rank = ToWhole<int>(NumberOf(from, "priority"));
	route.needs_key = !FlagOf(from, "public");
	route.homes = TextsOf(from, "allowedRegions");
	return route;
}

/** Decode a pool of targets. */
static Pool DecodePool(const Json &from)
{
	Pool pool;
	pool.name = TextOf(from, "name");
	pool.health_path = TextOf(from, "healthPath");
	pool.max_connections = SmallCountOf(from, "maxConnections");
	pool.cold_start = SecondsOf(from, "coldStartS");
	pool.cold_per_s = NumberOf(from, "coldPerS");
	auto engine = from.find("engine");
	if (engine == from.end() || !engine->is_object()) return pool;
	EnginePool &known = pool.engine.emplace();
	known.slots = SmallCountOf(*engine, "capacity", 1);
	known.memory_tokens = CountOf(*engine, "kvTokenCapacity");
	known.bytes_per_token = NumberOf(*engine, "kvTokenBytes");
	known.link_mbps = NumberOf(*engine, "linkMbps");
	known.tokens_per_event = SmallCountOf(*engine, "stride", 1);
	known.can_move = FlagOf(*engine, "moves");
	known.can_back_up = FlagOf(*engine, "backups");
	return pool;
}

/** Decode the limits on requests of callers. */
static CallerLimits DecodeLimits(const Json &from)
{
	CallerLimits limits;
	limits.max_head_bytes = ToWhole<size_t>(NumberOf(from, "maxHeaderBytes", static_cast<double>(limits.max_head_bytes)));
	limits.max_body_bytes = ToWhole<size_t>(NumberOf(from, "maxBodyBytes", static_cast<double>(limits.max_body_bytes)));
	limits.head_timeout = MillisecondsOf(from, "headerTimeoutMs", 3000);
	limits.idle_timeout = MillisecondsOf(from, "idleTimeoutMs", 15000);
	return limits;
}

Result<ServingConfiguration> DecodeConfiguration(const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return Error{Step::Configuration, "store", "the configuration is not a JSON object"};
	bool whole = CountOf(root, "version") > 0 && root.contains("routes") && root["routes"].is_array() && root.contains("services") &&
	             root["services"].is_array();
	if (!whole) return Error{Step::Configuration, "store", "the configuration lacks its version, routes or services"};
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
		if (rank != tenant.end() && rank->is_number()) account.rank = ToWhole<int>(rank->get<double>());
		configuration.accounts.push_back(std::move(account));
	}
	return configuration;
}

/** @return Why \a row is not a valid heartbeat; null if it is one. */
static const char *FaultOf(const Json &row)
{
	if (!row.is_object()) return "not a JSON object";
	for (const char *name : {"service", "address", "zone"}) {
		if (TextOf(row, name).empty()) return "service, address or zone is missing";
	}
	if (!ParseEndpoint(TextOf(row, "address"))) return "the address is not of the form IP:PORT";
	std::string state = TextOf(row, "state");
	if (state != "ready" && state != "draining") return "unknown state";
	if (NumberOf(row, "capacity") < 1) return "the capacity is missing or below 1";
	if (!row.contains("coldRemainingMs") || !row["coldRemainingMs"].is_number()) return "coldRemainingMs is not a number";
	if (!row.contains("sequence") || !row["sequence"].is_number()) return "the sequence is not a number";
	if (row.contains("born") && !row["born"].is_number_unsigned()) return "the start time is not an unsigned integer";
	return nullptr;
}

Result<TargetRow> DecodeTargetRow(const StoredRow &row)
{
	if (row.deleted) return TargetRow{row.key, std::nullopt};
	if (row.unreadable) return Error{Step::Table, row.key, "the value is not valid base64"};
	Json root = Json::parse(row.value, nullptr, false);
	if (const char *fault = FaultOf(root)) return Error{Step::Table, row.key, fault};
	ListedTarget target;
	target.life = {row.key, CountOf(root, "born")};
	target.pool = TextOf(root, "service");
	target.address = TextOf(root, "address");
	target.hall = TextOf(root, "zone");
	target.slots = SmallCountOf(root, "capacity", 1);
	target.leaving = TextOf(root, "state") == "draining";
	target.sequence = CountOf(root, "sequence");
	target.cold_left = MillisecondsOf(root, "coldRemainingMs");
	return TargetRow{row.key, std::move(target)};
}

} // namespace cottonspool
