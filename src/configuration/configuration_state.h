/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_state.h The configuration in force at one instance; its sequence never decreases. */

#pragma once

#include "configuration/record_type.h"
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace cottonspool {

/** Record with the sequence of its last change. */
template <typename Record> struct Versioned {
	Record record;        ///< Content of the record.
	uint64_t changed = 0; ///< Sequence of the entry that set it.
};

/** Accepted change; kept to detect repeated changes and to report conflicts. */
struct AcceptedChange {
	std::string id;        ///< Id of the change.
	std::string author;    ///< Author of the change.
	uint64_t sequence = 0; ///< Sequence of its entry.
};

/** Checks a policy program; the error tells why it is rejected. */
using PolicyCheck = std::function<Result<void>(const PolicyRecord &)>;

/** All records in force, with their sequence. */
class ConfigurationState {
public:
	/** Applies \a entry if it is the next one. @return Whether it was applied. */
	bool Apply(const Entry &entry);

	/** Replaces the state by a \a snapshot of Snapshot(), unless it is not newer. @return Whether the state was replaced. */
	Result<bool> Load(const std::string &snapshot);

	/** @return The complete state as JSON. */
	std::string Snapshot() const;

	/** Checks the schema, references and policies of \a change against the state. */
	Result<void> Validate(const Change &change, const PolicyCheck &check_policy) const;

	/** @return The accepted change that modified a record of \a change after the base of \a change, if any. */
	std::optional<AcceptedChange> FindConflict(const Change &change) const;

	/** @return The accepted change with this id, if it is still kept. */
	std::optional<AcceptedChange> FindAccepted(const std::string &id) const;

	/** @return The account, with its name, whose key has \a digest; null if there is none. */
	const std::pair<const std::string, Versioned<AccountRecord>> *FindAccount(const KeyDigest &digest) const;

	/** @return The traffic shares that apply to \a account and \a served ("model:NAME" or "service:NAME"); null if there are none. */
	const ShareRecord *FindShare(const std::string &account, const std::string &served) const;

	/** @return Sequence of the last applied entry; 0 before the first one. */
	uint64_t Sequence() const { return this->sequence; }

	const std::unordered_map<std::string, Versioned<AccountRecord>> &Accounts() const { return this->accounts; } ///< Accounts by name.
	const std::map<std::string, Versioned<ModelRecord>> &Models() const { return this->models; }                 ///< Models by name.
	const std::map<std::string, Versioned<TargetRecord>> &Targets() const { return this->targets; }              ///< Targets by name.
	const std::map<std::string, Versioned<ShareRecord>> &Shares() const { return this->shares; }                 ///< Shares by name.
	const std::map<std::string, Versioned<PolicyRecord>> &Policies() const { return this->policies; }            ///< Policies by name.

private:
	void ApplyRecord(const RecordChange &record, uint64_t entry_sequence);
	void SetAccount(const std::string &name, const AccountRecord &account, uint64_t entry_sequence);
	void RemoveAccount(const std::string &name);
	void RecordAccepted(AcceptedChange accepted);
	uint64_t ChangedAt(RecordKind kind, const std::string &name) const;
	Result<void> ValidateRecord(const RecordChange &record, const Change &change, const PolicyCheck &check_policy) const;
	Result<void> ValidateTarget(const RecordChange &record, const Change &change) const;

	static constexpr size_t MAX_ACCEPTED_CHANGES = 4096; ///< Maximum number of accepted changes that are kept.

	uint64_t sequence = 0;                                              ///< Sequence of the last applied entry.
	std::unordered_map<std::string, Versioned<AccountRecord>> accounts; ///< Accounts by name.
	std::unordered_multimap<uint64_t, const std::pair<const std::string, Versioned<AccountRecord>> *> keys; ///< Accounts by key digest.
	std::map<std::string, Versioned<ModelRecord>> models;                                                   ///< Models by name.
	std::map<std::string, Versioned<TargetRecord>> targets;                                                 ///< Targets by name.
	std::map<std::string, Versioned<ShareRecord>> shares;                                                   ///< Shares by name.
	std::map<std::string, Versioned<PolicyRecord>> policies;                                                ///< Policies by name.
	std::map<std::pair<RecordKind, std::string>, uint64_t> removed; ///< Sequences at which records were removed.
	std::deque<AcceptedChange> accepted;                            ///< Accepted changes, oldest first.
};

} // namespace cottonspool
