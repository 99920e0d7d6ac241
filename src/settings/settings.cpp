/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file settings.cpp Parsing and validation of settings. */

#include "settings/settings_type.h"
#include "settings/toml_parser.h"
#include <algorithm>
#include <fstream>
#include <sstream>
#include <toml++/toml.h>

namespace cottonspool {

/** @return An error about \a key at the line of \a node. */
static Error SettingError(const std::string &file, const toml::node &node, const std::string &key, const std::string &what)
{
	return Error{Step::Settings, file + ":" + std::to_string(node.source().begin.line), key + ": " + what};
}

/** Check the range of a number and store it. */
template <typename Number>
static Result<void> StoreNumber(const SettingField &field, const toml::node &node, const std::string &file, double value, Number *to)
{
	if (value < field.min_value || value > field.max_value) {
		std::ostringstream allowed;
		allowed << "must be from " << field.min_value << " to " << field.max_value;
		return SettingError(file, node, field.key, allowed.str());
	}
	*to = static_cast<Number>(value);
	return outcome::success();
}

/** Check a string against the allowed choices and store it. */
static Result<void> StoreString(const SettingField &field, const toml::node &node, const std::string &file, std::string *to)
{
	if (!node.is_string()) return SettingError(file, node, field.key, "must be a string in quotes");
	std::string value = node.as_string()->get();
	if (!field.choices.empty() && std::find(field.choices.begin(), field.choices.end(), value) == field.choices.end()) {
		std::string allowed;
		for (const std::string &choice : field.choices) allowed += (allowed.empty() ? "" : ", ") + choice;
		return SettingError(file, node, field.key, "must be one of " + allowed);
	}
	*to = value;
	return outcome::success();
}

/** Store an array of strings. */
static Result<void> StoreStrings(const SettingField &field, const toml::node &node, const std::string &file, std::vector<std::string> *to)
{
	if (!node.is_array()) return SettingError(file, node, field.key, "must be an array of strings");
	for (const toml::node &item : *node.as_array()) {
		if (!item.is_string()) return SettingError(file, item, field.key, "must be an array of strings");
		to->push_back(item.as_string()->get());
	}
	return outcome::success();
}

/** Check the type of \a node and store its value. */
static Result<void> StoreValue(const SettingField &field, const toml::node &node, const std::string &file)
{
	if (auto text = std::get_if<std::string *>(&field.pointer)) return StoreString(field, node, file, *text);
	if (auto texts = std::get_if<std::vector<std::string> *>(&field.pointer)) return StoreStrings(field, node, file, *texts);
	if (auto flag = std::get_if<bool *>(&field.pointer)) {
		if (!node.is_boolean()) return SettingError(file, node, field.key, "must be true or false");
		**flag = node.as_boolean()->get();
		return outcome::success();
	}
	if (auto real = std::get_if<double *>(&field.pointer)) {
		if (!node.is_number()) return SettingError(file, node, field.key, "must be a number");
		return StoreNumber(field, node, file, *node.value<double>(), *real);
	}
	if (!node.is_integer()) return SettingError(file, node, field.key, "must be an integer");
	auto number = static_cast<double>(node.as_integer()->get());
	if (auto integer = std::get_if<int64_t *>(&field.pointer)) return StoreNumber(field, node, file, number, *integer);
	if (auto size = std::get_if<size_t *>(&field.pointer)) return StoreNumber(field, node, file, number, *size);
	int64_t milliseconds = 0;
	BOOST_OUTCOME_TRYV(StoreNumber(field, node, file, number, &milliseconds));
	**std::get_if<Duration *>(&field.pointer) = std::chrono::milliseconds(milliseconds);
	return outcome::success();
}

/** Fail if \a document has a table or key that is no setting. */
static Result<void> RejectUnknownKeys(const toml::table &document, const std::vector<SettingField> &fields, const std::string &file)
{
	for (const auto &[table_name, table] : document) {
		if (!table.is_table()) return SettingError(file, table, std::string(table_name.str()), "must be a table; see docs/SETTINGS.md");
		for (const auto &[name, node] : *table.as_table()) {
			std::string key = std::string(table_name.str()) + "." + std::string(name.str());
			bool known = std::any_of(fields.begin(), fields.end(), [&](const SettingField &field) { return field.key == key; });
			if (!known) return SettingError(file, node, key, "no such setting; see docs/SETTINGS.md");
		}
	}
	return outcome::success();
}

/** Check rules that involve several settings, and the format of strings. */
static Result<void> CheckConsistency(const Settings &settings, const std::string &file)
{
	if (settings.member_timeout < 2 * settings.heartbeat) {
		return Error{Step::Settings, file, "peers.member_timeout_ms: must be at least twice peers.heartbeat_ms"};
	}
	if (settings.dispatch.targets.growth_min > settings.dispatch.targets.growth_max) {
		return Error{Step::Settings, file, "dispatch.growth_min: must not be above dispatch.growth_max"};
	}
	if (!settings.platform_url.starts_with("http://")) return Error{Step::Settings, file, "platform.url: must begin with http://"};
	if (settings.operator_key_sha256.size() != 64) {
		return Error{Step::Settings, file, "operator.key_sha256: must be 64 hexadecimal digits"};
	}
	return outcome::success();
}

Result<Settings> ParseSettings(std::string_view text, const std::string &file)
{
	Settings settings;
	std::vector<SettingField> fields = DescribeSettings(settings);
	BOOST_OUTCOME_TRY(document, ParseToml(text, file));
	BOOST_OUTCOME_TRYV(RejectUnknownKeys(document, fields, file));
	for (const SettingField &field : fields) {
		toml::node_view<toml::node> found = document.at_path(field.key);
		if (!found && field.required) return Error{Step::Settings, file, field.key + ": is required: " + field.doc};
		if (!found) continue;
		BOOST_OUTCOME_TRYV(StoreValue(field, *found.node(), file));
	}
	BOOST_OUTCOME_TRYV(CheckConsistency(settings, file));
	return settings;
}

Result<Settings> LoadSettings(const std::string &path)
{
	std::ifstream in(path);
	if (!in) return Error{Step::Settings, path, "cannot be read"};
	std::stringstream text;
	text << in.rdbuf();
	return ParseSettings(text.str(), path);
}

} // namespace cottonspool
