/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_state.cpp Implementation of the configuration in force at one instance. */

#include "configuration/configuration_state.h"
#include "configuration/json_text.h"
#include <algorithm>
#include <cstring>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

/** @return The first bytes of \a digest, as the key of the account index. */
static uint64_t KeyIndex(const KeyDigest &digest)
{
	uint64_t index = 0;
	std::memcpy(&index, digest.data(), sizeof(index));
	return index;
}

bool ConfigurationState::Apply(const Entry &entry)
{
	if (entry.sequence != this->sequence + 1) return false;
	this->sequence = entry.sequence;
	for (const RecordChange &record : entry.change.records) this->ApplyRecord(record, entry.sequence);
	this->RecordAccepted({entry.change.id, entry.change.author, entry.sequence});
	return true;
}

void ConfigurationState::RecordAccepted(AcceptedChange change)
{
	this->accepted.push_back(std::move(change));
	if (this->accepted.size() > MAX_ACCEPTED_CHANGES) this->accepted.pop_front();
}

void ConfigurationState::SetAccount(const std::string &name, const AccountRecord &account, uint64_t entry_sequence)
{
	this->RemoveAccount(name);
	auto added = this->accounts.emplace(name, Versioned<AccountRecord>{account, entry_sequence}).first;
	this->keys.emplace(KeyIndex(account.key), &*added);
}

void ConfigurationState::RemoveAccount(const std::string &name)
{
	auto found = this->accounts.find(name);
	if (found == this->accounts.end()) return;
	auto [first, last] = this->keys.equal_range(KeyIndex(found->second.record.key));
	for (auto it = first; it != last; ++it) {
		if (it->second != &*found) continue;
		this->keys.erase(it);
		break;
	}
	this->accounts.erase(found);
}

/** Applies \a change to \a records: inserts or replaces the parsed record, or removes it. Invalid content is ignored. */
template <typename Record, typename Parse>
static void ApplyTo(std::map<std::string, Versioned<Record>> &records, const RecordChange &change, uint64_t entry_sequence, Parse parse)
{
	if (change.removed) {
		records.erase(change.name);
		return;
	}
	Result<Record> record = parse(change.name, change.content);
	if (record) records[change.name] = Versioned<Record>{record.value(), entry_sequence};
}

void ConfigurationState::ApplyRecord(const RecordChange &record, uint64_t entry_sequence)
{
	if (record.removed) this->removed[{record.kind, record.name}] = entry_sequence;
	switch (record.kind) {
	case RecordKind::Account:
		if (record.removed) return this->RemoveAccount(record.name);
		if (auto account = ParseAccount(record.name, record.content)) this->SetAccount(record.name, account.value(), entry_sequence);
		return;
	case RecordKind::Model:
		return ApplyTo(this->models, record, entry_sequence, ParseModel);
	case RecordKind::Target:
		return ApplyTo(this->targets, record, entry_sequence, ParseTarget);
	case RecordKind::Share:
		return ApplyTo(this->shares, record, entry_sequence, ParseShare);
	case RecordKind::Policy:
		return ApplyTo(this->policies, record, entry_sequence, ParsePolicy);
	}
}

/** Writes \a records as field \a kind of \a to, each with the sequence that set it. */
template <typename Records, typename Format> static void WriteRecords(Json &to, const char *kind, const Records &records, Format format)
{
	Json list = Json::array();
	for (const auto &[name, versioned] : records) list.push_back({name, versioned.changed, format(versioned.record)});
	to[kind] = std::move(list);
}

std::string ConfigurationState::Snapshot() const
{
	Json document{{"sequence", this->sequence}};
	WriteRecords(document, "account", this->accounts, FormatAccount);
	WriteRecords(document, "model", this->models, [](const ModelRecord &model) {
		return ToJsonText(Json{{"context_tokens", model.context_tokens}});
	});
	WriteRecords(document, "target", this->targets, FormatTarget);
	WriteRecords(document, "share", this->shares, [](const ShareRecord &share) {
		Json halls = Json::object();
		for (const HallPreference &preference : share.halls) halls[preference.hall] = preference.weight;
		return ToJsonText(halls);
	});
	WriteRecords(document, "policy", this->policies, [](const PolicyRecord &policy) {
		return ToJsonText(Json{{"program", policy.program}});
	});
	Json accepted_changes = Json::array();
	for (const AcceptedChange &change : this->accepted) accepted_changes.push_back({change.id, change.author, change.sequence});
	document["accepted"] = std::move(accepted_changes);
	Json removed_records = Json::array();
	for (const auto &[key, entry_sequence] : this->removed)
		removed_records.push_back({static_cast<int>(key.first), key.second, entry_sequence});
	document["removed"] = std::move(removed_records);
	return ToJsonText(document);
}

Result<bool> ConfigurationState::Load(const std::string &snapshot)
{
	Json document = Json::parse(snapshot, nullptr, false);
	if (!document.is_object() || !document["sequence"].is_number_unsigned()) {
		return Error{Step::Configuration, "snapshot", "must be a JSON object with a sequence"};
	}
	if (document["sequence"].get<uint64_t>() <= this->sequence) return false;
	ConfigurationState loaded;
	try {
		for (size_t i = 0; i < RECORD_KIND_COUNT; i++) {
			auto kind = static_cast<RecordKind>(i);
			for (const Json &item : document.at(RecordKindName(kind))) {
				loaded.ApplyRecord({kind, item.at(0), false, item.at(2)}, item.at(1).get<uint64_t>());
			}
		}
		for (const Json &item : document.at("accepted")) loaded.RecordAccepted({item.at(0), item.at(1), item.at(2)});
		for (const Json &item : document.at("removed"))
			loaded.removed[{static_cast<RecordKind>(item.at(0).get<int>()), item.at(1)}] = item.at(2);
	} catch (const Json::exception &error) {
		return Error{Step::Configuration, "snapshot", error.what()};
	}
	loaded.sequence = document["sequence"].get<uint64_t>();
	*this = std::move(loaded);
	return true;
}

uint64_t ConfigurationState::ChangedAt(RecordKind kind, const std::string &name) const
{
	auto in = [&](const auto &records) {
		auto found = records.find(name);
		return found == records.end() ? 0 : found->second.changed;
	};
	uint64_t changed = 0;
	switch (kind) {
	case RecordKind::Account:
		changed = in(this->accounts);
		break;
	case RecordKind::Model:
		changed = in(this->models);
		break;
	case RecordKind::Target:
		changed = in(this->targets);
		break;
	case RecordKind::Share:
		changed = in(this->shares);
		break;
	case RecordKind::Policy:
		changed = in(this->policies);
		break;
	}
	auto removed_records = this->removed.find({kind, name});
	return removed_records == this->removed.end() ? changed : std::max(changed, removed_records->second);
}

std::optional<AcceptedChange> ConfigurationState::FindConflict(const Change &change) const
{
	for (const RecordChange &record : change.records) {
		uint64_t changed = this->ChangedAt(record.kind, record.name);
		if (changed <= change.base) continue;
		for (const AcceptedChange &other : this->accepted) {
			if (other.sequence == changed) return other;
		}
		return AcceptedChange{"(no longer recorded)", "(no longer recorded)", changed};
	}
	return std::nullopt;
}

std::optional<AcceptedChange> ConfigurationState::FindAccepted(const std::string &id) const
{
	for (const AcceptedChange &change : this->accepted) {
		if (change.id == id) return change;
	}
	return std::nullopt;
}

const std::pair<const std::string, Versioned<AccountRecord>> *ConfigurationState::FindAccount(const KeyDigest &digest) const
{
	auto [first, last] = this->keys.equal_range(KeyIndex(digest));
	for (auto it = first; it != last; ++it) {
		if (it->second->second.record.key == digest) return it->second;
	}
	return nullptr;
}

const ShareRecord *ConfigurationState::FindShare(const std::string &account, const std::string &served) const
{
	for (const std::string &name : {"account:" + account, served, std::string("*")}) {
		auto found = this->shares.find(name);
		if (found != this->shares.end()) return &found->second.record;
	}
	return nullptr;
}

Result<void> ConfigurationState::ValidateTarget(const RecordChange &record, const Change &change) const
{
	BOOST_OUTCOME_TRY(target, ParseTarget(record.name, record.content));
	if (target.kind == TargetKind::Service) return outcome::success();
	for (const std::string &model : target.serves) {
		bool in_change = std::any_of(change.records.begin(), change.records.end(), [&](const RecordChange &other) {
			return other.kind == RecordKind::Model && other.name == model && !other.removed;
		});
		if (!in_change && !this->models.contains(model)) {
			return Error{Step::Configuration, "target." + record.name, "serves the unknown model " + model};
		}
	}
	return outcome::success();
}

Result<void> ConfigurationState::ValidateRecord(const RecordChange &record, const Change &change, const PolicyCheck &check_policy) const
{
	BOOST_OUTCOME_TRYV(CheckRecordSchema(record));
	if (record.kind == RecordKind::Target) return this->ValidateTarget(record, change);
	if (record.kind == RecordKind::Policy && check_policy) return check_policy(ParsePolicy(record.name, record.content).value());
	if (record.kind != RecordKind::Account) return outcome::success();
	const auto *other = this->FindAccount(ParseAccount(record.name, record.content).value().key);
	if (other == nullptr || other->first == record.name) return outcome::success();
	return Error{Step::Configuration, "account." + record.name, "has the same key as account " + other->first};
}

Result<void> ConfigurationState::Validate(const Change &change, const PolicyCheck &check_policy) const
{
	if (change.id.empty() || change.id.size() > 128) return Error{Step::Configuration, "change.id", "must have 1 to 128 characters"};
	if (change.author.empty()) return Error{Step::Configuration, "change.author", "is required"};
	if (change.records.empty()) return Error{Step::Configuration, "change.records", "is empty"};
	for (const RecordChange &record : change.records) {
		if (record.removed) continue;
		BOOST_OUTCOME_TRYV(this->ValidateRecord(record, change, check_policy));
	}
	return outcome::success();
}

} // namespace cottonspool
