/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_state.h The configuration in force at one instance; only ever moves forward. */

#pragma once

#include "configuration/record_type.h"
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>

namespace cottonspool {

/** A record with the change that last touched it. */
template <typename Record> struct Versioned {
	Record record;        ///< Content.
	uint64_t changed = 0; ///< Sequence of the entry that set it.
};

/** An accepted change, remembered to recognise a repeat and to name in a conflict. */
struct AcceptedChange {
	std::string id;        ///< Id of the change.
	std::string author;    ///< Its author.
	uint64_t sequence = 0; ///< Its place.
};

/** Checks a policy program; an error says why it is refused. */
using PolicyCheck = std::function<Result<void>(const PolicyRecord &)>;

/** All records in force, with their sequence. */
class ConfigurationState {
public:
	/** Take in \a entry. @return Whether the state moved; an entry that is not the next one changes nothing. */
	bool Apply(const Entry &entry);

	/** Take in a snapshot written by Snapshot(). One that is not newer changes nothing. @return Whether the state moved. */
	Result<bool> Load(const std::string &snapshot);

	/** @return The whole state as JSON. */
	std::string Snapshot() const;

	/** Check \a change against the state: schema, references, policies. */
	Result<void> Validate(const Change &change, const PolicyCheck &check_policy) const;

	/** @return The accepted change that touched a record of \a change after its base, or nothing. */
	std::optional<AcceptedChange> FindConflict(const Change &change) const;

	/** @return The accepted change with this id, if it is remembered. */
	std::optional<AcceptedChange> FindAccepted(const std::string &id) const;

	/** @return The account whose key has \a digest, with its name; null when there is none. */
	const std::pair<const std::string, Versioned<AccountRecord>> *FindAccount(const KeyDigest &digest) const;

	/** @return The shares that apply to \a account and to what is \a served ("model:NAME" or "service:NAME"); null when none do. */
	const ShareRecord *FindShare(const std::string &account, const std::string &served) const;

	/** @return Sequence of the last entry in force; 0 before the first. */
	uint64_t Sequence() const { return this->sequence; }

	const std::unordered_map<std::string, Versioned<AccountRecord>> &Accounts() const { return this->accounts; } ///< Accounts by name.
	const std::map<std::string, Versioned<ModelRecord>> &Models() const { return this->models; }                 ///< Models by name.
	const std::map<std::string, Versioned<TargetRecord>> &Targets() const { return this->targets; }              ///< Targets by name.
	const std::map<std::string, Versioned<ShareRecord>> &Shares() const { return this->shares; }                 ///< Shares by name.
	const std::map<std::string, Versioned<PolicyRecord>> &Policies() const { return this->policies; }            ///< Policies by name.

private:
	void ApplyRecord(const RecordChange &record, uint64_t at);
	void SetAccount(const std::string &name, const AccountRecord &account, uint64_t at);
	void RemoveAccount(const std::string &name);
	void RecordAccepted(AcceptedChange accepted);
	uint64_t ChangedAt(RecordKind kind, const std::string &name) const;
	Result<void> ValidateRecord(const RecordChange &record, const Change &change, const PolicyCheck &check_policy) const;
	Result<void> ValidateTarget(const RecordChange &record, const Change &change) const;

	static constexpr size_t MAX_ACCEPTED_CHANGES = 4096; ///< Accepted changes remembered.

	uint64_t sequence = 0;                                                                                  ///< Last entry in force.
	std::unordered_map<std::string, Versioned<AccountRecord>> accounts;                                     ///< Accounts by name.
	std::unordered_multimap<uint64_t, const std::pair<const std::string, Versioned<AccountRecord>> *> keys; ///< Accounts by key.
	std::map<std::string, Versioned<ModelRecord>> models;                                                   ///< Models by name.
	std::map<std::string, Versioned<TargetRecord>> targets;                                                 ///< Targets by name.
	std::map<std::string, Versioned<ShareRecord>> shares;                                                   ///< Shares by name.
	std::map<std::string, Versioned<PolicyRecord>> policies;                                                ///< Policies by name.
	std::map<std::pair<RecordKind, std::string>, uint64_t> removed;                                         ///< When records were removed.
	std::deque<AcceptedChange> accepted; ///< Remembered changes, in order.
};

} // namespace cottonspool
