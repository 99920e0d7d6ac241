/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file record_type.h Records of the configuration, and changes to them. */

#pragma once

#include "core/error_type.h"
#include "decision/request_type.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** SHA-256 digest of a caller's key. */
using KeyDigest = std::array<uint8_t, 32>;

/** A client account. */
struct AccountRecord {
	KeyDigest key{};                                        ///< Digest of the account's bearer key.
	ServiceClass service_class = ServiceClass::Interactive; ///< Service class of calls that specify none.
	float weight = 1;                                       ///< Weight in the fair sharing of capacity.
};

/** A model that callers may request. */
struct ModelRecord {
	uint32_t context_tokens = 32768; ///< Maximum number of tokens of prompt and output together.
};

/** Kind of a target. */
enum class TargetKind : uint8_t { Engine, Service };

/** State that the operators want a target to have. */
enum class DesiredState : uint8_t { Live, Draining };

/** A target. */
struct TargetRecord {
	TargetKind kind = TargetKind::Engine;            ///< Kind of the target.
	std::string address;                             ///< IP:PORT.
	std::string hall;                                ///< Data hall of the target.
	std::vector<std::string> serves;                 ///< Models that an engine serves, or the names of a service.
	DesiredState desired_state = DesiredState::Live; ///< Whether the target may receive new requests.
	bool checks_fences = true;                       ///< It rejects orders with an outdated fencing token.
	bool reports = true;                             ///< It answers GET /load.
	uint32_t slots = 64;                             ///< Maximum number of concurrent calls, for a service without load reports.
	std::string role;                                ///< Role that the target should have; empty to leave it unchanged.
};

/** Distribution of traffic among data halls for one account, one model or service, or all ("*"). */
struct ShareRecord {
	std::vector<HallPreference> halls; ///< Halls with weights; a hall that is not listed gets no new requests.
};

/** A policy of the operators. */
struct PolicyRecord {
	std::string program; ///< Lua source code.
};

/** Kind of a record. */
enum class RecordKind : uint8_t { Account, Model, Target, Share, Policy };
constexpr size_t RECORD_KIND_COUNT = 5;

/** @return "account", "model", "target", "share" or "policy". */
const char *RecordKindName(RecordKind kind);

/** New content or removal of one record. */
struct RecordChange {
	RecordKind kind = RecordKind::Account; ///< Kind of the record.
	std::string name;                      ///< Name of the record.
	bool removed = false;                  ///< Whether the record is removed.
	std::string content;                   ///< JSON object with the fields of the record.
};

/** Change of several records by an operator; applied completely or not at all. */
struct Change {
	std::string id;                    ///< Unique id of the change, so that sending it again has no effect.
	std::string author;                ///< Author of the change.
	std::string note;                  ///< Reason for the change.
	uint64_t base = 0;                 ///< Sequence of the configuration on which the change is based.
	std::vector<RecordChange> records; ///< Records to change.
};

/** An accepted change with its sequence. */
struct Entry {
	uint64_t sequence = 0; ///< Sequence of the entry, starting from 1 without gaps.
	Change change;         ///< The accepted change.
};

Result<AccountRecord> ParseAccount(const std::string &name, const std::string &content); ///< @return The account in \a content.
Result<ModelRecord> ParseModel(const std::string &name, const std::string &content);     ///< @return The model in \a content.
Result<TargetRecord> ParseTarget(const std::string &name, const std::string &content);   ///< @return The target in \a content.
Result<ShareRecord> ParseShare(const std::string &name, const std::string &content);     ///< @return The traffic shares in \a content.
Result<PolicyRecord> ParsePolicy(const std::string &name, const std::string &content);   ///< @return The policy in \a content.

/** Checks that the content of \a record is valid. */
Result<void> CheckRecordSchema(const RecordChange &record);

std::string FormatAccount(const AccountRecord &account); ///< @return \a account as a JSON object.
std::string FormatTarget(const TargetRecord &target);    ///< @return \a target as a JSON object.

/** Parses a change in JSON. */
Result<Change> ParseChange(std::string_view json);

/** Parses a change written by an operator in TOML: author, note, base and tables like [account.NAME]. */
Result<Change> ParseChangeFile(std::string_view toml, const std::string &file);

/** Parses an entry in JSON. */
Result<Entry> ParseEntry(std::string_view json);

std::string FormatChange(const Change &change); ///< @return \a change in JSON.
std::string FormatEntry(const Entry &entry);    ///< @return \a entry in JSON.

/** @return The digest in \a text, which holds 64 hexadecimal digits. */
Result<KeyDigest> ParseDigest(std::string_view text);

/** @return \a digest in hexadecimal. */
std::string FormatDigest(const KeyDigest &digest);

/** @return The SHA-256 digest of \a key. */
KeyDigest DigestKey(std::string_view key);

} // namespace cottonspool
