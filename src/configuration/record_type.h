/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file record_type.h Records of the configuration, changes to them, and their order. */

#pragma once

#include "core/error_type.h"
#include "decision/request_type.h"
#include <array>
#include <map>
#include <string>
#include <vector>

namespace cottonspool {

/** SHA-256 of a caller's key. */
using KeyDigest = std::array<uint8_t, 32>;

/** A client account. */
struct AccountRecord {
	KeyDigest key{};                                        ///< Digest of its bearer key.
	ServiceClass service_class = ServiceClass::Interactive; ///< Class of calls that name none.
	float weight = 1;                                       ///< Fair share.
};

/** A model that callers may ask for. */
struct ModelRecord {
	uint32_t context_tokens = 32768; ///< Longest prompt and output together.
};

/** Kind of a target. */
enum class TargetKind : uint8_t { Engine, Service };

/** What the operators want of a target. */
enum class DesiredState : uint8_t { Live, Leaving };

/** A target. */
struct TargetRecord {
	TargetKind kind = TargetKind::Engine;            ///< Kind.
	std::string address;                             ///< IP:PORT.
	std::string hall;                                ///< Data hall it stands in.
	std::vector<std::string> serves;                 ///< Models of an engine, or the names of a service.
	DesiredState desired_state = DesiredState::Live; ///< Whether it is to get new work.
	bool checks_fences = true;                       ///< It refuses orders with an old fence.
	bool reports = true;                             ///< It answers GET /load.
	uint32_t slots = 64;                             ///< Calls at once, for a service without reports.
	std::string role;                                ///< Role wanted of it; empty means as it is.
};

/** Shares of traffic between data halls for one account, one model, or all ("*"). */
struct ShareRecord {
	std::vector<HallPreference> halls; ///< Halls with weights; a hall not named gets nothing new.
};

/** A program of the operators. */
struct PolicyRecord {
	std::string program; ///< Lua source.
};

/** Kind of a record. */
enum class RecordKind : uint8_t { Account, Model, Target, Share, Policy };
constexpr size_t RECORD_KIND_COUNT = 5;

/** @return "account", "model", "target", "share" or "policy". */
const char *RecordKindName(RecordKind kind);

/** New content of one record, or its removal. */
struct RecordChange {
	RecordKind kind = RecordKind::Account; ///< Kind of the record.
	std::string name;                      ///< Name of the record.
	bool removed = false;                  ///< The record is removed.
	std::string content;                   ///< JSON object with the record's fields.
};

/** What one operator wants changed, all or nothing. */
struct Change {
	std::string id;                    ///< Chosen by the operator's program; repeating it is harmless.
	std::string author;                ///< Who asks.
	std::string note;                  ///< Why.
	uint64_t base = 0;                 ///< Sequence that the author had seen.
	std::vector<RecordChange> records; ///< Records.
};

/** A change that was accepted, with its place in the order. */
struct Entry {
	uint64_t sequence = 0; ///< Place, from 1 without gaps.
	Change change;         ///< The change.
};

Result<AccountRecord> ParseAccount(const std::string &name, const std::string &content); ///< @return The account in \a content.
Result<ModelRecord> ParseModel(const std::string &name, const std::string &content);     ///< @return The model in \a content.
Result<TargetRecord> ParseTarget(const std::string &name, const std::string &content);   ///< @return The target in \a content.
Result<ShareRecord> ParseShare(const std::string &name, const std::string &content);     ///< @return The shares in \a content.
Result<PolicyRecord> ParsePolicy(const std::string &name, const std::string &content);   ///< @return The policy in \a content.

/** Check that the content of \a record can be read. */
Result<void> CheckRecordSchema(const RecordChange &record);

std::string FormatAccount(const AccountRecord &account); ///< @return \a account as a JSON object.
std::string FormatTarget(const TargetRecord &target);    ///< @return \a target as a JSON object.

/** Read a change written in JSON. */
Result<Change> ParseChange(std::string_view json);

/** Read a change as operators write it, in TOML: author, note, base and tables like [account.NAME]. */
Result<Change> ParseChangeFile(std::string_view toml, const std::string &file);

/** Read an entry written in JSON. */
Result<Entry> ParseEntry(std::string_view json);

std::string FormatChange(const Change &change); ///< @return \a change in JSON.
std::string FormatEntry(const Entry &entry);    ///< @return \a entry in JSON.

/** @return The digest written as 64 hexadecimal digits in \a text. */
Result<KeyDigest> ParseDigest(std::string_view text);

/** @return \a digest in hexadecimal. */
std::string FormatDigest(const KeyDigest &digest);

/** @return The SHA-256 digest of \a key. */
KeyDigest DigestKey(std::string_view key);

} // namespace cottonspool
