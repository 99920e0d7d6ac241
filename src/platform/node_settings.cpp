/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file node_settings.cpp Decodes the node settings file of the platform. */

#include "platform/node_settings.h"
#include "platform/json_func.h"
#include <cstdlib>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cottonspool {

using Json = nlohmann::json;

/** Reads fields of a settings file and records the first error. */
class FieldReader {
public:
	FieldReader(const Json &root, std::string file) : root(root), file(std::move(file)) {}

	/** @return The string at \a path, which is required. */
	std::string Text(const char *path)
	{
		const Json *value = this->Find(path);
		if (value != nullptr && value->is_string()) return value->get<std::string>();
		this->Fail(path, "has to be a string");
		return {};
	}

	/** @return The address at \a path, which is required. */
	Endpoint Address(const char *path)
	{
		std::string text = this->Text(path);
		if (this->fault) return {};
		Result<Endpoint> endpoint = ParseEndpoint(text);
		if (endpoint) return endpoint.value();
		this->Fail(path, endpoint.error().message);
		return {};
	}

	/** @return The number at \a path, which has to be within the given range; \a fallback if it is absent or null. */
	double Number(const char *path, double fallback, double min_value, double max_value)
	{
		const Json *value = this->Find(path);
		if (value == nullptr || value->is_null()) return fallback;
		if (value->is_number() && value->get<double>() >= min_value && value->get<double>() <= max_value) return value->get<double>();
		this->Fail(path, "has to be a number from " + std::to_string(min_value) + " to " + std::to_string(max_value));
		return fallback;
	}

	/** @return The value at \a path; null if it is absent. */
	const Json *Find(const char *path) const
	{
		Json::json_pointer pointer(path);
		return this->root.contains(pointer) ? &this->root.at(pointer) : nullptr;
	}

	/** @return The first error, if any. */
	const std::optional<Error> &FirstError() const { return this->fault; }

private:
	void Fail(const char *path, const std::string &message)
	{
		if (!this->fault) this->fault = Error{Step::Settings, this->file, std::string(path) + " " + message};
	}

	const Json &root;           ///< Content of the file.
	std::string file;           ///< Name of the file, for error messages.
	std::optional<Error> fault; ///< First error.
};

Result<NodeSettings> ParseNodeSettings(const std::string &text, const std::string &file)
{
	static constexpr double MAX_MS = 3600e3;
	Json root = Json::parse(text, nullptr, false);
	if (!root.is_object()) return Error{Step::Settings, file, "has to be a JSON object"};
	FieldReader fields(root, file);
	auto milliseconds = [&](const char *path, double fallback) { return FromSeconds(fields.Number(path, fallback, 0, MAX_MS) / 1000); };
	auto seconds = [&](const char *path, double fallback) { return FromSeconds(fields.Number(path, fallback, 0, MAX_MS / 1000)); };
	NodeSettings settings;
	settings.name = fields.Text("/nodeName");
	settings.hall = fields.Text("/zone");
	settings.ip = fields.Text("/ip");
	settings.front = fields.Address("/listen/front");
	settings.ready = fields.Address("/listen/ready");
	settings.store = fields.Address("/platform/address");
	if (const Json *zones = fields.Find("/zones"); zones != nullptr && zones->is_object()) {
		for (const auto &[zone, region] : zones->items())
			settings.halls[zone] = region.is_string() ? region.get<std::string>() : std::string();
	}
	settings.first_port = static_cast<uint16_t>(fields.Number("/internalPorts/0", 0, 0, UINT16_MAX));
	settings.last_port = static_cast<uint16_t>(fields.Number("/internalPorts/1", 0, 0, UINT16_MAX));
	settings.bootstrap = BoolField(root, "bootstrap");
	settings.memory_mb = static_cast<uint64_t>(fields.Number("/limits/memoryMb", 0, 0, 1e9));
	settings.link_mbps = fields.Number("/limits/linkMbps", 0, 0, 1e9);
	settings.heartbeat = milliseconds("/heartbeatMs", 1200);
	settings.platform_bounds.drain = milliseconds("/bounds/drainMs", 2000);
	settings.platform_bounds.config_apply = milliseconds("/bounds/configApplyMs", 2000);
	settings.platform_bounds.empty = milliseconds("/bounds/evacuateMs", 2000);
	settings.platform_bounds.recovery = milliseconds("/bounds/contactMs", 3000);
	settings.platform_bounds.stop_grace = seconds("/bounds/graceS", 8);
	settings.platform_bounds.retry_ratio = fields.Number("/bounds/retryBudgetRatio", 0.2, 0, 10);
	settings.platform_bounds.retry_window = seconds("/bounds/budgetWindowS", 10);
	settings.platform_bounds.retry_slack = fields.Number("/bounds/retrySlack", 50, 0, 1e9);
	if (fields.FirstError()) return *fields.FirstError();
	return settings;
}

std::string NodeSettingsPath()
{
	const char *path = std::getenv("COTTONSPOOL_NODE_FILE");
	return path == nullptr ? "" : path;
}

Result<NodeSettings> LoadNodeSettings(const std::string &path)
{
	std::ifstream in(path);
	if (!in) return Error{Step::Settings, path, "cannot be read"};
	std::stringstream text;
	text << in.rdbuf();
	return ParseNodeSettings(text.str(), path);
}

} // namespace cottonspool
