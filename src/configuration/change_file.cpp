/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file change_file.cpp Parser for configuration changes that operators write in TOML. */

#include "configuration/json_text.h"
#include "configuration/record_type.h"
#include "settings/toml_parser.h"
#include <nlohmann/json.hpp>
#include <sstream>
#include <toml++/toml.h>

namespace cottonspool {

/** @return \a table as JSON text. */
static std::string ToJson(const toml::table &table)
{
	std::ostringstream out;
	out << toml::json_formatter(table);
	return ToJsonText(nlohmann::json::parse(out.str(), nullptr, false));
}

/** Adds the records of one kind ([account.NAME] …) to \a change. */
static Result<void> ReadRecords(RecordKind kind, const toml::table &records, const std::string &file, Change *change)
{
	for (const auto &[name, node] : records) {
		std::string where = file + ":" + std::to_string(node.source().begin.line);
		if (!node.is_table()) return Error{Step::Configuration, where, std::string(name.str()) + ": must be a table"};
		const toml::table &table = *node.as_table();
		RecordChange record{kind, std::string(name.str()), table["removed"].value_or(false), {}};
		if (!record.removed) record.content = ToJson(table);
		change->records.push_back(std::move(record));
	}
	return outcome::success();
}

Result<Change> ParseChangeFile(std::string_view text, const std::string &file)
{
	BOOST_OUTCOME_TRY(document, ParseToml(text, file));
	Change change;
	change.id = document["id"].value_or(std::string());
	change.author = document["author"].value_or(std::string());
	change.note = document["note"].value_or(std::string());
	change.base = static_cast<uint64_t>(document["base"].value_or<int64_t>(0));
	for (const auto &[key, node] : document) {
		std::string name(key.str());
		if (name == "id" || name == "author" || name == "note" || name == "base") continue;
		std::string where = file + ":" + std::to_string(node.source().begin.line);
		bool known = false;
		for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
			auto kind = static_cast<RecordKind>(i);
			if (name != RecordKindName(kind) || !node.is_table()) continue;
			known = true;
			BOOST_OUTCOME_TRYV(ReadRecords(kind, *node.as_table(), file, &change));
		}
		if (!known) return Error{Step::Configuration, where, name + ": no such kind; there are account, model, target, share, policy"};
	}
	if (change.author.empty()) return Error{Step::Configuration, file, "author: is required"};
	return change;
}

} // namespace cottonspool
