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

std::optional<std::string> EvacuatedHallOf(std::string_view key)
{
	static constexpr std::string_view PREFIX = "evacuate/";
	if (!key.starts_with(PREFIX)) return std::nullopt;
	return std::string(key.substr(PREFIX.size()));
}

/** @return The strings in the array field \a name of \a object. */
static std::vector<std::string> StringArrayField(const Json &object, const char *name)
{
	std::vector<std::string> texts;
	for (const Json &item : ArrayField(object, name)) {
		if (item.is_string()) texts.push_back(item.get<std::string>());
	}
	return texts;
}

/** Decode a route. */
static Route DecodeRoute(const Json &from)
{
	Route route;
	route.name = StringField(from, "name");
	route.host = StringField(from, "host");
	route.path_prefix = StringField(from, "pathPrefix");
	std::string kind = StringField(from, "routeType");
	// An unknown route type gets the strictest treatment: its requests are run at most once.
	route.kind = kind == "idempotent" ? RouteType::Repeatable : kind == "streaming" ? RouteType::Stream : RouteType::Once;
	for (const Json &share : ArrayField(from, "weightedServices")) {
		route.pools.push_back({StringField(share, "service"), NumberField(share, "weight", 1)});
	}
	if (route.pools.empty()) route.pools.push_back({StringField(from, "service"), 1});
	route.max_attempts = Uint32Field(from, "maxAttempts", 1);
	route.timeout = MillisecondsField(from, "timeoutMs", 60000);
	route.objective = MillisecondsField(from, "targetLatencyMs", 1000);
	route.gap_objective = MillisecondsField(from, "gapAimMs");
	route.priority_level = ToInteger<int>(NumberField(from, "priority"));
	route.requires_key = !BoolField(from, "public");
	route.home_regions = StringArrayField(from, "allowedRegions");
	return route;
}

/** Decode a pool of targets. */
static Pool DecodePool(const Json &from)
{
	Pool pool;
	pool.name = StringField(from, "name");
	pool.health_path = StringField(from, "healthPath");
	pool.max_connections = Uint32Field(from, "maxConnections");
	pool.cold_start = SecondsField(from, "coldStartS");
	pool.cold_rate = NumberField(from, "coldPerS");
	auto engine = from.find("engine");
	if (engine == from.end() || !engine->is_object()) return pool;
	EnginePool &engine_pool = pool.engine.emplace();
	engine_pool.slots = Uint32Field(*engine, "capacity", 1);
	engine_pool.memory_tokens = UintField(*engine, "kvTokenCapacity");
	engine_pool.bytes_per_token = NumberField(*engine, "kvTokenBytes");
	engine_pool.link_mbps = NumberField(*engine, "linkMbps");
	engine_pool.tokens_per_event = Uint32Field(*engine, "stride", 1);
	engine_pool.can_migrate = BoolField(*engine, "moves");
	engine_pool.can_back_up = BoolField(*engine, "backups");
	return pool;
}

/** Decode the limits on requests of callers. */
static CallerLimits DecodeLimits(const Json &from)
{
	CallerLimits limits;
	limits.max_head_bytes = ToInteger<size_t>(NumberField(from, "maxHeaderBytes", static_cast<double>(limits.max_head_bytes)));
	limits.max_body_bytes = ToInteger<size_t>(NumberField(from, "maxBodyBytes", static_cast<double>(limits.max_body_bytes)));
	limits.head_timeout = MillisecondsField(from, "headerTimeoutMs", 3000);
	limits.idle_timeout = MillisecondsField(from, "idleTimeoutMs", 15000);
	return limits;
}

Result<ServingConfiguration> DecodeConfiguration(const std::string &text)
{
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return Error{Step::Configuration, "store", "the configuration is not a JSON object"};
	bool complete = UintField(root, "version") > 0 && root.contains("routes") && root["routes"].is_array() && root.contains("services") &&
	                root["services"].is_array();
	if (!complete) return Error{Step::Configuration, "store", "the configuration lacks its version, routes or services"};
	ServingConfiguration configuration;
	configuration.version = UintField(root, "version");
	for (const Json &route : ArrayField(root, "routes")) configuration.routes.push_back(DecodeRoute(route));
	for (const Json &pool : ArrayField(root, "services")) configuration.pools.push_back(DecodePool(pool));
	auto limits = root.find("limits");
	if (limits != root.end() && limits->is_object()) configuration.limits = DecodeLimits(*limits);
	configuration.has_accounts = root.contains("tenants");
	for (const Json &tenant : ArrayField(root, "tenants")) {
		ClientAccount account;
		account.name = StringField(tenant, "name");
		account.keys = StringArrayField(tenant, "apiKeys");
		account.home_regions = StringArrayField(tenant, "allowedRegions");
		auto priority_level = tenant.find("priority");
		if (priority_level != tenant.end() && priority_level->is_number())
			account.priority_level = ToInteger<int>(priority_level->get<double>());
		configuration.accounts.push_back(std::move(account));
	}
	return configuration;
}

/** @return Why \a row is not a valid heartbeat; null if it is one. */
static const char *FindHeartbeatError(const Json &row)
{
	if (!row.is_object()) return "not a JSON object";
	for (const char *name : {"service", "address", "zone"}) {
		if (StringField(row, name).empty()) return "service, address or zone is missing";
	}
	if (!ParseEndpoint(StringField(row, "address"))) return "the address is not of the form IP:PORT";
	std::string state = StringField(row, "state");
	if (state != "ready" && state != "draining") return "unknown state";
	if (NumberField(row, "capacity") < 1) return "the capacity is missing or below 1";
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
	if (const char *error = FindHeartbeatError(root)) return Error{Step::Table, row.key, error};
	ListedTarget target;
	target.incarnation = {row.key, UintField(root, "born")};
	target.pool = StringField(root, "service");
	target.address = StringField(root, "address");
	target.hall = StringField(root, "zone");
	target.slots = Uint32Field(root, "capacity", 1);
	target.draining = StringField(root, "state") == "draining";
	target.sequence = UintField(root, "sequence");
	target.cold_remaining = MillisecondsField(root, "coldRemainingMs");
	return TargetRow{row.key, std::move(target)};
}

} // namespace cottonspool
