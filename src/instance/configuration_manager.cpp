/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file configuration_manager.cpp Replication of the configuration log in one instance. */

#include "instance/configuration_manager.h"
#include "metrics/log.h"
#include <algorithm>
#include <malloc.h>

namespace cottonspool {

static const char *const ENTRY_PREFIX = "config/entry/";
static const char *const SNAPSHOT_KEY = "config/snapshot";
static constexpr size_t TRIM_BYTES = 1U << 20; ///< Amount of data after which freed memory is returned to the system.

/** @return The row key of entry \a sequence, zero-padded so that keys sort like sequences. */
static std::string EntryKey(uint64_t sequence)
{
	std::string digits = std::to_string(sequence);
	return ENTRY_PREFIX + std::string(12 - std::min<size_t>(12, digits.size()), '0') + digits;
}

void ConfigurationManager::Bootstrap()
{
	this->platform.ReadObject(SNAPSHOT_KEY, [this](Result<PlatformRow> row) {
		if (row && !row.value().version.empty()) {
			this->OnSnapshot(row.value().value);
		}
		this->Poll();
	});
}

void ConfigurationManager::NotifyChanged(std::vector<std::string> entries)
{
	this->on_changed(entries);
}

bool ConfigurationManager::ApplyEntryText(const std::string &text, uint64_t *counter)
{
	Result<Entry> entry = ParseEntry(text);
	if (!entry || !this->state.Apply(entry.value())) return false;
	(*counter)++;
	this->recent.emplace_back(entry.value().sequence, text);
	this->recent_bytes += text.size();
	while (this->recent.size() > MAX_RECENT || (this->recent_bytes > MAX_RECENT_BYTES && this->recent.size() > 1)) {
		this->recent_bytes -= this->recent.front().second.size();
		this->recent.pop_front();
	}
	return true;
}

void ConfigurationManager::PollTable(PollDone done)
{
	TimePoint asked = MonotonicNow();
	this->platform.ScanRows(ENTRY_PREFIX, EntryKey(this->state.Sequence()),
	                        [this, asked, done = std::move(done)](Result<std::vector<PlatformRow>> rows) {
		                        if (!rows) return done(false);
		                        std::vector<std::string> applied;
		                        for (const PlatformRow &row : rows.value()) {
			                        if (this->ApplyEntryText(row.value, &this->counters.from_table)) applied.push_back(row.value);
		                        }
		                        if (!applied.empty()) this->NotifyChanged(std::move(applied));
		                        if (rows.value().size() >= Platform::SCAN_PAGE) return this->PollTable(done);
		                        this->OnConfirmed(asked);
		                        done(true);
	                        });
}

void ConfigurationManager::Poll()
{
	if (this->polling) return;
	this->polling = true;
	this->PollTable([this](bool) { this->polling = false; });
}

bool ConfigurationManager::OnEntries(const std::vector<std::string> &entries)
{
	std::vector<std::string> applied;
	bool complete = true;
	for (const std::string &text : entries) {
		if (this->ApplyEntryText(text, &this->counters.from_peers)) {
			applied.push_back(text);
			continue;
		}
		Result<Entry> entry = ParseEntry(text);
		if (entry && entry.value().sequence > this->state.Sequence() + 1) complete = false;
	}
	if (!applied.empty()) this->NotifyChanged(std::move(applied));
	return complete;
}

void ConfigurationManager::OnSnapshot(const std::string &snapshot)
{
	Result<bool> advanced = this->state.Load(snapshot);
	if (!advanced) {
		Log(LogLevel::Error, "snapshot-unreadable", {{"error", advanced.error().message}});
		return;
	}
	if (!advanced.value()) return;
	this->recent.clear();
	this->recent_bytes = 0;
	malloc_trim(0);
	this->NotifyChanged({});
}

PeerMessage ConfigurationManager::MakeFetchReply(uint64_t after) const
{
	bool remembered = !this->recent.empty() && this->recent.front().first <= after + 1;
	if (!remembered) return SnapshotMessage{this->state.Snapshot()};
	EntriesMessage message;
	for (const auto &[sequence, text] : this->recent) {
		if (sequence > after) message.entries.push_back(text);
	}
	return message;
}

void ConfigurationManager::Accept(const Change &change, ApplyDone done)
{
	this->RetryAccept(std::make_shared<PendingChange>(PendingChange{change, std::move(done)}));
}

void ConfigurationManager::RetryAccept(std::shared_ptr<PendingChange> pending)
{
	if (pending->tries++ >= MAX_TRIES) {
		ApplyOutcome end = pending->outcome_unknown ? ApplyOutcome::Unknown : ApplyOutcome::Failed;
		return pending->done({end, 0, false, {}, "the table did not confirm the change; repeat it with the same id"});
	}
	this->PollTable([this, pending](bool reached) {
		if (reached) return this->ProposeChange(pending);
		if (pending->outcome_unknown) return this->RetryAccept(pending);
		pending->done({ApplyOutcome::Failed, 0, false, {}, "the table is unreachable; nothing was written"});
	});
}

void ConfigurationManager::ProposeChange(const std::shared_ptr<PendingChange> &pending)
{
	const Change &change = pending->change;
	if (auto accepted = this->state.FindAccepted(change.id)) {
		return pending->done({ApplyOutcome::Accepted, accepted->sequence, pending->tries == 1, {}, {}});
	}
	if (auto other = this->state.FindConflict(change)) {
		this->counters.conflicts++;
		return pending->done({ApplyOutcome::Conflict, 0, false, *other, "the same records were changed concurrently"});
	}
	Result<void> valid = this->state.Validate(change, this->check_policy);
	if (!valid) return pending->done({ApplyOutcome::Invalid, 0, false, {}, valid.error().peer + ": " + valid.error().message});
	Entry entry{this->state.Sequence() + 1, change};
	std::string text = FormatEntry(entry);
	this->platform.InsertRow(EntryKey(entry.sequence), text,
	                         [this, pending, text](const WriteOutcome &outcome) { this->OnInserted(pending, text, outcome); });
}

void ConfigurationManager::OnInserted(const std::shared_ptr<PendingChange> &pending, const std::string &text, const WriteOutcome &outcome)
{
	if (outcome.result == WriteResult::Unknown) pending->outcome_unknown = true;
	// The outcome is unknown or another change took the row. The next attempt reads the log and finds the change by its id if it was
	// written.
	if (outcome.result != WriteResult::Done) return this->RetryAccept(pending);
	Result<Entry> entry = ParseEntry(text);
	this->counters.accepted++;
	if (this->ApplyEntryText(text, &this->counters.from_table)) this->NotifyChanged({text});
	Log(LogLevel::Info, "change-accepted",
	    {{"change", pending->change.id}, {"author", pending->change.author}, {"sequence", std::to_string(entry.value().sequence)}});
	pending->done({ApplyOutcome::Accepted, entry.value().sequence, false, {}, {}});
	this->WriteSnapshotIfDue();
}

void ConfigurationManager::WriteSnapshotIfDue()
{
	if (this->state.Sequence() % static_cast<uint64_t>(this->snapshot_every) != 0) return;
	uint64_t sequence = this->state.Sequence();
	std::string snapshot = this->state.Snapshot();
	this->platform.ReadObject(SNAPSHOT_KEY, [this, sequence, snapshot](Result<PlatformRow> row) {
		if (!row) return;
		ConfigurationState stored;
		bool readable = !row.value().version.empty() && stored.Load(row.value().value);
		if (readable && stored.Sequence() >= sequence) return;
		this->platform.WriteObject(SNAPSHOT_KEY, snapshot, row.value().version, [this](const WriteOutcome &outcome) {
			if (outcome.result == WriteResult::Done) this->counters.snapshots++;
		});
	});
}

} // namespace cottonspool
