/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch.cpp Keeps a local view of one table of the store. */

#include "store/table_watch.h"
#include <algorithm>

namespace cottonspool {

const char *StoreFailureName(StoreFailure failure)
{
	switch (failure) {
	case StoreFailure::NoAnswer:
		return "no-answer";
	case StoreFailure::Refused:
		return "refused";
	case StoreFailure::HistoryUnavailable:
		return "history-gone";
	case StoreFailure::Malformed:
		return "malformed";
	}
	return "unknown";
}

const char *ReadReasonName(ReadReason reason)
{
	static constexpr const char *NAMES[] = {"whole", "follow", "take-over", "behind", "catch-up", "lost"};
	return NAMES[static_cast<size_t>(reason)];
}

TableWatch::TableWatch(TableStore &store, std::string table, WatchLimits limits, Clock clock)
    : store(store), clock(std::move(clock)), table(std::move(table)), limits(limits), read_timeout(limits.min_read_timeout),
      alive(std::make_shared<bool>(true))
{
}

TableWatch::~TableWatch()
{
	*this->alive = false;
	this->CancelCall();
}

void TableWatch::SetLeadTable(const TableWatch &lead)
{
	this->lead_table = &lead;
	this->SetRecoveryProbe(lead);
}

void TableWatch::Start(TimePoint now)
{
	this->started = true;
	// A coupled table starts without a snapshot: the reader's updates advertise its version, and an empty table then costs no call.
	this->known = this->lead_table != nullptr;
	this->needs_snapshot = !this->known;
	if (this->known) return;
	this->ReadPage(now);
}

void TableWatch::StartFromPeers(TimePoint read_at)
{
	this->started = true;
	this->snapshot_due = read_at;
}

void TableWatch::RefreshSnapshot(TimePoint read_at)
{
	this->needs_snapshot = true;
	this->snapshot_due = read_at;
}

bool TableWatch::ReadsFromStore(TimePoint now) const
{
	return this->ReadsForPeers(now) || this->SnapshotIsDue(now) || this->behind || this->catch_up;
}

bool TableWatch::ReadsForPeers(TimePoint now) const
{
	if (!this->known && now < this->snapshot_due) return false;
	if (this->lead_table != nullptr) return this->lead_table->ReadsForPeers(now);
	return this->takeover_delay == Duration(0) || now - this->peer_update_at > this->takeover_delay;
}

std::optional<TableUpdate> TableWatch::HeartbeatUpdate() const
{
	if (!this->following || this->unavailable) return std::nullopt;
	return TableUpdate{this->table, this->rows_version, this->rows_version, false, true, {}, this->version};
}

std::optional<TableUpdate> TableWatch::Snapshot() const
{
	if (!this->HasSnapshot()) return std::nullopt;
	TableUpdate update{this->table, StoreVersion{}, this->rows_version, true, !this->unavailable, {}, this->version};
	for (const auto &[key, row] : this->kept_rows) update.rows.push_back(row);
	return update;
}

void TableWatch::UpdateKeptRows(const std::vector<StoredRow> &rows, bool full)
{
	if (!this->limits.keep_rows) return;
	if (full) this->kept_rows.clear();
	for (const StoredRow &row : rows) {
		if (row.deleted) {
			this->kept_rows.erase(row.key);
		} else {
			this->kept_rows[row.key] = row;
		}
	}
}

void TableWatch::PublishRead(StoreVersion from, bool full, const std::vector<StoredRow> &rows, TimePoint now)
{
	// A read that isn't on behalf of the peers has nothing to publish: they get the same changes from the reader.
	bool reads_for_peers = this->ReadsForPeers(now);
	if (this->on_publish && reads_for_peers) this->on_publish({this->table, from, this->rows_version, full, true, rows, this->version});
}

void TableWatch::AdvanceRowsVersion(const std::vector<StoredRow> &rows)
{
	// An empty table has version number 0 of the epoch.
	this->rows_version = std::max(this->rows_version, StoreVersion{this->version.epoch, 0});
	for (const StoredRow &row : rows) this->rows_version = std::max(this->rows_version, StoreVersion{this->version.epoch, row.version});
	// The advertised change is covered now, even if it was a deletion, which a snapshot does not show.
	if (this->advertised <= this->version) this->rows_version = std::max(this->rows_version, this->advertised);
	this->behind = this->advertised > this->rows_version;
}

void TableWatch::OnUpdate(const TableUpdate &update, TimePoint now)
{
	if (update.table != this->table) return;
	bool requested = update.full && this->needs_snapshot && this->started;
	if (!this->known && !requested) return;
	// The sender still has the state of an earlier epoch, so that neither its rows nor its heartbeat are valid.
	if (update.to.epoch < this->version.epoch) return;
	if (update.healthy) {
		// An up-to-date view makes the store count as available again without a call. If changes are still to be read, only a successful
		// read of this instance does.
		bool recovers = this->unavailable && this->call == 0 && !this->behind && update.to <= this->rows_version;
		// The first update after an outage shows that the store is available to a peer: end the backoff.
		if (this->unavailable && now - this->peer_update_at > this->takeover_delay) this->next_call_at = std::min(this->next_call_at, now);
		this->peer_update_at = now;
		bool up_to_date = update.to == this->rows_version;
		// A peer publishes these updates right after a read, but sends a snapshot at any time.
		if (recovers || up_to_date) this->SetComplete(up_to_date && !update.full ? now : this->complete_until, now);
		if (recovers) this->OnAnswered(now);
		if (up_to_date) this->confirmed_at = now;
		// Advance the position for a later takeover, as the store truncates its change history.
		if (update.to == this->rows_version && update.read.epoch == this->version.epoch)
			this->version = std::max(this->version, update.read);
	}
	if (update.to < this->rows_version || (update.to == this->rows_version && !requested)) return;
	bool epoch_changed = this->IsOtherEpoch(update.to);
	// Version number 0 means an empty table, so that the update is a snapshot.
	bool full = update.full || update.to.number == 0;
	// A heartbeat with a newer version only advertises changes. Changes that were filtered out completely come without rows, but span
	// versions.
	bool has_changes = !update.rows.empty() || update.from < update.to;
	bool applies = full || (has_changes && !epoch_changed && (this->limits.allow_gaps || update.from <= this->rows_version));
	if (!applies && this->limits.allow_gaps && !epoch_changed) return;
	// A call that was started in the former epoch has no valid answer in the new one.
	if (epoch_changed) this->CancelCall();
	if (!applies) {
		if (epoch_changed) this->following = false;
		this->advertised = std::max(this->advertised, update.to);
		return this->AdvanceRowsVersion({});
	}
	this->ApplyUpdate(update, full, epoch_changed, now);
}

void TableWatch::ApplyUpdate(const TableUpdate &update, bool full, bool epoch_changed, TimePoint now)
{
	StoreVersion before = this->version;
	this->version = std::max(this->version, update.to);
	this->rows_version = update.to;
	if (full && this->needs_snapshot) {
		this->CancelCall();
		this->OnSnapshotKnown(now);
	}
	if (epoch_changed) this->following = true;
	if (epoch_changed && this->on_store_restored) this->on_store_restored({before, update.to, true}, now);
	this->AdvanceRowsVersion({});
	this->confirmed_at = now;
	this->SetComplete(full ? this->complete_until : now, now);
	this->UpdateKeptRows(update.rows, full);
	if (full && this->on_snapshot) this->on_snapshot(update.rows, now);
	if (!full && this->on_changes) this->on_changes(update.rows, now);
}

void TableWatch::OnSnapshotKnown(TimePoint now)
{
	// The snapshot counts as an update, so that a starting instance waits for the reader's updates before it polls.
	if (!this->known) this->peer_update_at = now;
	this->known = true;
	this->following = true;
	this->needs_snapshot = false;
	this->pages.clear();
	this->next_key.clear();
}

void TableWatch::ContinueReading(TimePoint now)
{
	if (this->call == 0 && now >= this->next_call_at && this->following && this->ReadsFromStore(now)) this->ReadChanges(now);
}

void TableWatch::OnTick(TimePoint now)
{
	if (!this->started) return;
	this->CheckLeadTable(now);
	if (this->call != 0 && now >= this->call_deadline) {
		this->CancelCall();
		if (!this->following) this->read_timeout = std::min(this->limits.max_read_timeout, 2 * this->read_timeout);
		this->OnFailure({std::nullopt, StoreFailure::NoAnswer, "timed out"}, now);
	}
	if (this->call != 0 || !this->ReadsFromStore(now) || this->DefersToProbe(now) || now < this->next_call_at) return;
	if (this->following && !this->SnapshotIsDue(now)) {
		this->ReadChanges(now);
	} else {
		this->ReadPage(now);
	}
}

void TableWatch::CheckLeadTable(TimePoint now)
{
	// Long polls of a coupled table detect an outage late; the leading table, which is polled more often, detects it earlier.
	if (this->lead_table == nullptr || !this->lead_table->IsUnavailable() || this->call == 0 || this->unavailable) return;
	this->CancelCall();
	this->OnFailure({std::nullopt, StoreFailure::NoAnswer, "reads of the leading table failed"}, now);
}

bool TableWatch::DefersToProbe(TimePoint now)
{
	bool defers = this->unavailable && this->prober != nullptr && this->prober->IsUnavailable() && this->prober->ReadsFromStore(now);
	if (this->awaits_probe && !defers) this->next_call_at = now;
	this->awaits_probe = defers;
	return defers;
}

void TableWatch::CountCall(ReadReason reason)
{
	this->calls++;
	if (this->on_call) this->on_call(reason);
}

void TableWatch::BeginSnapshotRead(TimePoint now)
{
	this->following = false;
	this->next_key.clear();
	this->ReadPage(now);
}

void TableWatch::ReadPage(TimePoint now)
{
	this->CountCall(ReadReason::Snapshot);
	this->call_version = this->version;
	if (this->next_key.empty()) this->call_advertised = this->advertised;
	this->call_deadline = now + this->read_timeout;
	this->call = this->store.ReadRows(this->table, this->next_key, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnPage(std::move(answer));
	});
}

ReadReason TableWatch::ReasonToRead(TimePoint now) const
{
	if (this->unavailable) return ReadReason::Probe;
	if (this->behind) return ReadReason::Behind;
	if (this->catch_up) return ReadReason::CatchUp;
	bool takes_over = this->takeover_delay > Duration(0) && now - this->confirmed_at > this->takeover_delay;
	return takes_over ? ReadReason::TakeOver : ReadReason::Follow;
}

void TableWatch::ReadChanges(TimePoint now)
{
	ReadReason reason = this->ReasonToRead(now);
	this->CountCall(reason);
	this->call_deadline = now + this->limits.wait + this->limits.slack;
	this->call_version = this->version;
	// Only a regular poll waits for a change. After a failure or a takeover the answer itself matters: it shows that the store is
	// available, and lets the peers know that there is a reader again.
	bool immediate = reason != ReadReason::Follow;
	Duration wait = immediate ? Duration(0) : this->limits.wait;
	if (immediate) this->call_deadline = now + this->read_timeout;
	this->call = this->store.ReadChanges(this->table, this->version.number, wait, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnChanges(std::move(answer));
	});
}

StoreVersion TableWatch::VersionOf(const RowsAnswer &answer, uint64_t number) const
{
	return {answer.epoch == 0 ? this->version.epoch : answer.epoch, number};
}

void TableWatch::CancelCall()
{
	if (this->call != 0) this->store.Cancel(this->call);
	this->call = 0;
}

void TableWatch::DiscardRefutedUpdate()
{
	// The store, called after that version was advertised, doesn't know its epoch: drop it, or it would be requested endlessly.
	if (this->advertised.epoch > this->version.epoch && this->advertised == this->call_advertised) this->advertised = StoreVersion{};
}

void TableWatch::OnPage(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	if (!answer.page) return this->OnFailure(answer, now);
	RowsPage &page = *answer.page;
	StoreVersion read = this->VersionOf(answer, page.version);
	bool first = this->next_key.empty();
	bool superseded = this->IsSuperseded(read) || (!first && read.epoch != this->pages_version.epoch);
	if (superseded) return this->BeginSnapshotRead(now);
	if (first) {
		this->pages.clear();
		this->pages_version = read;
		this->pages_begun_at = now;
	}
	std::move(page.rows.begin(), page.rows.end(), std::back_inserter(this->pages));
	if (page.more && !this->pages.empty()) {
		this->next_key = this->pages.back().key + '\0';
		return this->ReadPage(now);
	}
	this->next_key.clear();
	bool epoch_changed = this->IsOtherEpoch(this->pages_version);
	// A lagging replica of the store must not revert the local view: retry after the backoff.
	if (!epoch_changed && this->pages_version < this->version) {
		if (this->on_stale_snapshot) this->on_stale_snapshot(this->pages_version);
		return this->OnFailure({std::nullopt, StoreFailure::Malformed, "older than known", answer.epoch}, now);
	}
	StoreVersion before = this->version;
	this->version = this->pages_version;
	if (epoch_changed) this->rows_version = StoreVersion{};
	std::vector<StoredRow> rows = std::move(this->pages);
	this->OnSnapshotKnown(now);
	this->DiscardRefutedUpdate();
	this->SetComplete(this->pages_begun_at, now);
	this->OnAnswered(now);
	if (epoch_changed && this->on_store_restored) this->on_store_restored({before, this->version, false}, now);
	this->AdvanceRowsVersion(rows);
	if (this->filter_rows) this->filter_rows(rows, true);
	this->UpdateKeptRows(rows, true);
	this->PublishRead(StoreVersion{}, true, rows, now);
	if (this->on_snapshot) this->on_snapshot(rows, now);
	this->ContinueReading(now);
}

void TableWatch::OnChanges(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	StoreVersion read = this->VersionOf(answer, answer.page ? answer.page->version : 0);
	// The call was started in a former epoch, so that its answer is not valid any more.
	if (this->call_version.epoch < this->version.epoch && read.epoch <= this->version.epoch) return this->ContinueReading(now);
	bool epoch_changed = this->IsOtherEpoch(read);
	if (epoch_changed || (!answer.page && answer.failure == StoreFailure::HistoryUnavailable)) return this->BeginSnapshotRead(now);
	if (!answer.page) return this->OnFailure(answer, now);
	this->catch_up = false;
	StoreVersion before = this->rows_version;
	this->version = std::max(this->version, read);
	std::vector<StoredRow> rows = std::move(answer.page->rows);
	bool changed = !rows.empty();
	this->AdvanceRowsVersion(rows);
	if (this->filter_rows) this->filter_rows(rows, false);
	this->UpdateKeptRows(rows, false);
	this->SetComplete(now, now);
	this->OnAnswered(now);
	this->PublishRead(changed ? before : this->rows_version, false, rows, now);
	if (changed) this->next_call_at = now + this->limits.batch_delay;
	if (!rows.empty() && this->on_changes) this->on_changes(rows, now);
	this->ContinueReading(now);
}

void TableWatch::OnFailure(const RowsAnswer &answer, TimePoint now)
{
	if (!this->unavailable) {
		this->unavailable = true;
		this->unavailable_since = now;
		if (this->on_unavailable) this->on_unavailable(answer, now);
	}
	this->backoff = std::clamp(2 * this->backoff, this->limits.min_backoff, this->limits.max_backoff);
	this->next_call_at = now + this->backoff;
}

void TableWatch::SetComplete(TimePoint complete, TimePoint now)
{
	this->update_age = {std::chrono::duration_cast<Duration>(now - this->complete_until), this->unavailable};
	this->complete_until = std::max(this->complete_until, complete);
}

void TableWatch::OnAnswered(TimePoint now)
{
	this->confirmed_at = now;
	this->backoff = Duration(0);
	this->read_timeout = this->limits.min_read_timeout;
	if (!this->unavailable) return;
	this->unavailable = false;
	if (this->on_reconnected) this->on_reconnected(now - this->unavailable_since, now);
}

} // namespace cottonspool
