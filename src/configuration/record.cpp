/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file record.cpp Parsing and formatting of configuration records and changes. */

#include "configuration/json_text.h"
#include "configuration/record_type.h"
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <set>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr std::array<const char *, RECORD_KIND_COUNT> KIND_NAMES{"account", "model", "target", "share", "policy"};
static constexpr size_t MAX_RECORD_NAME = 128; ///< Maximum length of the name of a record.

const char *RecordKindName(RecordKind kind)
{
	return KIND_NAMES[static_cast<size_t>(kind)];
}

/** @return A configuration error about \a name. */
static Error RecordError(const std::string &name, const std::string &what)
{
	return Error{Step::Configuration, name, what};
}

/** @return The JSON object in \a content, or an error if it has a field that is not in \a allowed. */
static Result<Json> ParseObject(const std::string &name, const std::string &content, const std::set<std::string> &allowed)
{
	Json object = Json::parse(content, nullptr, false);
	if (!object.is_object()) return RecordError(name, "content must be an object");
	for (const auto &[key, value] : object.items()) {
		if (!allowed.contains(key)) return RecordError(name + "." + key, "no such field");
	}
	return object;
}

/** Reads the optional field \a key into \a to, or returns an error if the field has the wrong type. */
template <typename Value> static Result<void> ReadField(const Json &object, const std::string &name, const char *key, Value *to)
{
	if (!object.contains(key)) return outcome::success();
	const Json &field = object[key];
	bool valid = std::is_same_v<Value, bool>          ? field.is_boolean()
	             : std::is_same_v<Value, std::string> ? field.is_string()
	                                                  : field.is_number();
	if constexpr (std::is_same_v<Value, std::vector<std::string>>) {
		valid = field.is_array() && std::all_of(field.begin(), field.end(), [](const Json &item) { return item.is_string(); });
	}
	if constexpr (std::is_same_v<Value, uint32_t>) valid = field.is_number_unsigned() && field.get<uint64_t>() <= UINT32_MAX;
	if (!valid) return RecordError(name + "." + key, "has the wrong type or range");
	*to = field.get<Value>();
	return outcome::success();
}

Result<KeyDigest> ParseDigest(std::string_view text)
{
	KeyDigest digest{};
	if (text.size() != 64) return RecordError(std::string(text.substr(0, 16)), "must be 64 hexadecimal digits");
	for (size_t i = 0; i < text.size(); i++) {
		const char *digits = "0123456789abcdef";
		const char *found = strchr(digits, tolower(text[i]));
		if (found == nullptr || *found == '\0') return RecordError(std::string(text.substr(0, 16)), "must be 64 hexadecimal digits");
		digest[i / 2] = static_cast<uint8_t>(digest[i / 2] * 16 + (found - digits));
	}
	return digest;
}

std::string FormatDigest(const KeyDigest &digest)
{
	std::string text;
	for (uint8_t byte : digest) {
		text += "0123456789abcdef"[byte / 16];
		text += "0123456789abcdef"[byte % 16];
	}
	return text;
}

KeyDigest DigestKey(std::string_view key)
{
	KeyDigest digest{};
	unsigned length = 0;
	EVP_Digest(key.data(), key.size(), digest.data(), &length, EVP_sha256(), nullptr);
	return digest;
}

Result<AccountRecord> ParseAccount(const std::string &name, const std::string &content)
{
	BOOST_OUTCOME_TRY(object, ParseObject(name, content, {"key_sha256", "class", "weight"}));
	AccountRecord account;
	std::string digest;
	std::string class_name = ServiceClassName(account.service_class);
	BOOST_OUTCOME_TRYV(ReadField(object, name, "key_sha256", &digest));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "class", &class_name));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "weight", &account.weight));
	BOOST_OUTCOME_TRY(key, ParseDigest(digest));
	account.key = key;
	auto service_class = ParseServiceClass(class_name);
	if (!service_class) return RecordError(name + ".class", "must be interactive, stream or background");
	account.service_class = *service_class;
	if (!(account.weight > 0) || account.weight > 1000) return RecordError(name + ".weight", "must be above 0 and at most 1000");
	return account;
}

Result<ModelRecord> ParseModel(const std::string &name, const std::string &content)
{
	BOOST_OUTCOME_TRY(object, ParseObject(name, content, {"context_tokens"}));
	ModelRecord model;
	BOOST_OUTCOME_TRYV(ReadField(object, name, "context_tokens", &model.context_tokens));
	if (model.context_tokens == 0) return RecordError(name + ".context_tokens", "must be above 0");
	return model;
}

Result<TargetRecord> ParseTarget(const std::string &name, const std::string &content)
{
	BOOST_OUTCOME_TRY(
	        object, ParseObject(name, content, {"kind", "address", "hall", "serves", "wish", "checks_fences", "reports", "slots", "role"}));
	TargetRecord target;
	std::string kind = "engine";
	std::string desired_state = "live";
	BOOST_OUTCOME_TRYV(ReadField(object, name, "kind", &kind));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "address", &target.address));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "hall", &target.hall));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "serves", &target.serves));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "wish", &desired_state));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "checks_fences", &target.checks_fences));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "reports", &target.reports));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "slots", &target.slots));
	BOOST_OUTCOME_TRYV(ReadField(object, name, "role", &target.role));
	if (kind != "engine" && kind != "service") return RecordError(name + ".kind", "must be engine or service");
	if (desired_state != "live" && desired_state != "leaving") return RecordError(name + ".wish", "must be live or leaving");
	if (target.address.find(':') == std::string::npos) return RecordError(name + ".address", "must be IP:PORT");
	if (target.hall.empty()) return RecordError(name + ".hall", "is required");
	target.kind = kind == "engine" ? TargetKind::Engine : TargetKind::Service;
	target.desired_state = desired_state == "live" ? DesiredState::Live : DesiredState::Draining;
	return target;
}

Result<ShareRecord> ParseShare(const std::string &name, const std::string &content)
{
	Json object = Json::parse(content, nullptr, false);
	if (!object.is_object()) return RecordError(name, "content must be an object of halls and weights");
	ShareRecord share;
	for (const auto &[hall, weight] : object.items()) {
		if (!weight.is_number() || weight.get<double>() < 0) return RecordError(name + "." + hall, "must be a weight of 0 or more");
		share.halls.push_back({hall, weight.get<double>()});
	}
	return share;
}

Result<PolicyRecord> ParsePolicy(const std::string &name, const std::string &content)
{
	BOOST_OUTCOME_TRY(object, ParseObject(name, content, {"program"}));
	PolicyRecord policy;
	BOOST_OUTCOME_TRYV(ReadField(object, name, "program", &policy.program));
	return policy;
}

/** @return The error of \a parsed, if there is one. */
template <typename Record> static Result<void> Discard(const Result<Record> &parsed)
{
	if (!parsed) return parsed.error();
	return outcome::success();
}

Result<void> CheckRecordSchema(const RecordChange &record)
{
	switch (record.kind) {
	case RecordKind::Account:
		return Discard(ParseAccount(record.name, record.content));
	case RecordKind::Model:
		return Discard(ParseModel(record.name, record.content));
	case RecordKind::Target:
		return Discard(ParseTarget(record.name, record.content));
	case RecordKind::Share:
		return Discard(ParseShare(record.name, record.content));
	case RecordKind::Policy:
		return Discard(ParsePolicy(record.name, record.content));
	}
	return RecordError(record.name, "no such kind");
}

std::string FormatAccount(const AccountRecord &account)
{
	Json object{{"key_sha256", FormatDigest(account.key)}};
	if (account.service_class != ServiceClass::Interactive) object["class"] = ServiceClassName(account.service_class);
	if (account.weight != 1) object["weight"] = account.weight;
	return ToJsonText(object);
}

std::string FormatTarget(const TargetRecord &target)
{
	Json object{{"kind", target.kind == TargetKind::Engine ? "engine" : "service"},
	            {"address", target.address},
	            {"hall", target.hall},
	            {"serves", target.serves},
	            {"wish", target.desired_state == DesiredState::Live ? "live" : "leaving"},
	            {"checks_fences", target.checks_fences},
	            {"reports", target.reports},
	            {"slots", target.slots}};
	if (!target.role.empty()) object["role"] = target.role;
	return ToJsonText(object);
}

/** @return The record kind with this name. */
static Result<RecordKind> ParseKind(const std::string &name)
{
	for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
		if (name == KIND_NAMES[i]) return static_cast<RecordKind>(i);
	}
	return RecordError(name, "no such kind; there are account, model, target, share, policy");
}

/** @return The change described by \a object. */
static Result<Change> ReadChange(const Json &object)
{
	if (!object.is_object()) return RecordError("change", "must be an object");
	Change change;
	BOOST_OUTCOME_TRYV(ReadField(object, "change", "id", &change.id));
	BOOST_OUTCOME_TRYV(ReadField(object, "change", "author", &change.author));
	BOOST_OUTCOME_TRYV(ReadField(object, "change", "note", &change.note));
	BOOST_OUTCOME_TRYV(ReadField(object, "change", "base", &change.base));
	if (!object.contains("records") || !object["records"].is_array()) return RecordError("change.records", "must be an array");
	for (const Json &item : object["records"]) {
		if (!item.is_object()) return RecordError("change.records", "must be objects");
		RecordChange record;
		std::string kind;
		BOOST_OUTCOME_TRYV(ReadField(item, "record", "kind", &kind));
		BOOST_OUTCOME_TRYV(ReadField(item, "record", "name", &record.name));
		BOOST_OUTCOME_TRYV(ReadField(item, "record", "removed", &record.removed));
		BOOST_OUTCOME_TRY(parsed_kind, ParseKind(kind));
		record.kind = parsed_kind;
		if (record.name.empty() || record.name.size() > MAX_RECORD_NAME) return RecordError(kind, "name must have 1 to 128 characters");
		if (!record.removed && !item.contains("content")) return RecordError(kind + "." + record.name, "content is missing");
		if (!record.removed) record.content = ToJsonText(item["content"]);
		change.records.push_back(std::move(record));
	}
	return change;
}

Result<Change> ParseChange(std::string_view json)
{
	return ReadChange(Json::parse(json, nullptr, false));
}

Result<Entry> ParseEntry(std::string_view json)
{
	Json object = Json::parse(json, nullptr, false);
	if (!object.is_object() || !object.contains("sequence") || !object["sequence"].is_number_unsigned() || !object.contains("change")) {
		return RecordError("entry", "must have a sequence and a change");
	}
	BOOST_OUTCOME_TRY(change, ReadChange(object["change"]));
	return Entry{object["sequence"].get<uint64_t>(), std::move(change)};
}

/** @return \a change as a JSON object. */
static Json WriteChange(const Change &change)
{
	Json records = Json::array();
	for (const RecordChange &record : change.records) {
		Json item{{"kind", RecordKindName(record.kind)}, {"name", record.name}};
		if (record.removed) item["removed"] = true;
		if (!record.removed) item["content"] = Json::parse(record.content, nullptr, false);
		records.push_back(std::move(item));
	}
	return Json{{"id", change.id}, {"author", change.author}, {"note", change.note}, {"base", change.base}, {"records", records}};
}

std::string FormatChange(const Change &change)
{
	return ToJsonText(WriteChange(change));
}

std::string FormatEntry(const Entry &entry)
{
	return ToJsonText(Json{{"sequence", entry.sequence}, {"change", WriteChange(entry.change)}});
}

} // namespace cottonspool
