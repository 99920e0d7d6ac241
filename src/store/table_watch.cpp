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
	case StoreFailure::HistoryGone:
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
    : store(store), clock(std::move(clock)), table(std::move(table)), limits(limits), read_time(limits.read_limit),
      alive(std::make_shared<bool>(true))
{
}

TableWatch::~TableWatch()
{
	*this->alive = false;
	this->GiveUpCall();
}

void TableWatch::ReadWith(const TableWatch &leading)
{
	this->lead = &leading;
	this->WaitForReturnAt(leading);
}

void TableWatch::Start(TimePoint now)
{
	this->started = true;
	// A coupled table starts without a snapshot: the reader's updates advertise its version, and an empty table then costs no call.
	this->known = this->lead != nullptr;
	this->wants_whole = !this->known;
	if (this->known) return;
	this->ReadPage(now);
}

void TableWatch::StartAmongOthers(TimePoint read_at)
{
	this->started = true;
	this->whole_at = read_at;
}

void TableWatch::Renew(TimePoint read_at)
{
	this->wants_whole = true;
	this->whole_at = read_at;
}

bool TableWatch::ReadsItself(TimePoint now) const
{
	return this->ReadsForAll(now) || this->ReadsWhole(now) || this->behind || this->catch_up;
}

bool TableWatch::ReadsForAll(TimePoint now) const
{
	if (!this->known && now < this->whole_at) return false;
	if (this->lead != nullptr) return this->lead->ReadsForAll(now);
	return this->patience == Duration(0) || now - this->news_at > this->patience;
}

std::optional<TableNews> TableWatch::SignOfLife() const
{
	if (!this->following || this->lost) return std::nullopt;
	return TableNews{this->table, this->rows_version, this->rows_version, false, true, {}, this->version};
}

std::optional<TableNews> TableWatch::Whole() const
{
	if (!this->CanTellWhole()) return std::nullopt;
	TableNews news{this->table, StoreVersion{}, this->rows_version, true, !this->lost, {}, this->version};
	for (const auto &[key, row] : this->kept) news.rows.push_back(row);
	return news;
}

void TableWatch::Keep(const std::vector<StoredRow> &rows, bool whole)
{
	if (!this->limits.keep) return;
	if (whole) this->kept.clear();
	for (const StoredRow &row : rows) {
		if (row.deleted) {
			this->kept.erase(row.key);
		} else {
			this->kept[row.key] = row;
		}
	}
}

void TableWatch::TellRead(StoreVersion from, bool whole, const std::vector<StoredRow> &rows, TimePoint now)
{
	// A read that isn't on behalf of the peers has nothing to publish: they get the same changes from the reader.
	bool reads_for_all = this->ReadsForAll(now);
	if (this->on_read && reads_for_all) this->on_read({this->table, from, this->rows_version, whole, true, rows, this->version});
}

void TableWatch::NoteRows(const std::vector<StoredRow> &rows)
{
	// An empty table has version number 0 of the epoch.
	this->rows_version = std::max(this->rows_version, StoreVersion{this->version.era, 0});
	for (const StoredRow &row : rows) this->rows_version = std::max(this->rows_version, StoreVersion{this->version.era, row.version});
	// The advertised change is covered now, even if it was a deletion, which a snapshot does not show.
	if (this->wanted <= this->version) this->rows_version = std::max(this->rows_version, this->wanted);
	this->behind = this->wanted > this->rows_version;
}

void TableWatch::OnNews(const TableNews &news, TimePoint now)
{
	if (news.table != this->table) return;
	bool first = news.whole && this->wants_whole && this->started;
	if (!this->known && !first) return;
	// The sender still has the state of an earlier epoch, so that neither its rows nor its heartbeat are valid.
	if (news.to.era < this->version.era) return;
	if (news.healthy) {
		// An up-to-date view makes the store count as available again without a call. If changes are still to be read, only a successful
		// read of this instance does.
		bool returns = this->lost && this->call == 0 && !this->behind && news.to <= this->rows_version;
		// The first update after an outage shows that the store is available to a peer: end the backoff.
		if (this->lost && now - this->news_at > this->patience) this->not_before = std::min(this->not_before, now);
		this->news_at = now;
		if (returns) this->OnAnswered(now);
		if (news.to == this->rows_version) this->confirmed = now;
		// Advance the position for a later takeover, as the store truncates its change history.
		if (news.to == this->rows_version && news.read.era == this->version.era) this->version = std::max(this->version, news.read);
	}
	if (news.to < this->rows_version || (news.to == this->rows_version && !first)) return;
	bool other = this->IsOfOtherStore(news.to);
	// Version number 0 means an empty table, so that the update is a snapshot.
	bool whole = news.whole || news.to.number == 0;
	// A heartbeat with a newer version only advertises changes. Changes that were filtered out completely come without rows, but span
	// versions.
	bool has_changes = !news.rows.empty() || news.from < news.to;
	bool fits = whole || (has_changes && !other && (this->limits.gaps || news.from <= this->rows_version));
	if (!fits && this->limits.gaps && !other) return;
	// A call that was started in the former epoch has no valid answer in the new one.
	if (other) this->GiveUpCall();
	if (!fits) {
		if (other) this->following = false;
		this->wanted = std::max(this->wanted, news.to);
		return this->NoteRows({});
	}
	this->TakeNews(news, whole, other, now);
}

void TableWatch::TakeNews(const TableNews &news, bool whole, bool other, TimePoint now)
{
	StoreVersion before = this->version;
	this->version = std::max(this->version, news.to);
	this->rows_version = news.to;
	if (whole && this->wants_whole) {
		this->GiveUpCall();
		this->OnWholeKnown(now);
	}
	if (other) this->following = true;
	if (other && this->on_other_store) this->on_other_store({before, news.to, true}, now);
	this->NoteRows({});
	this->confirmed = now;
	this->Keep(news.rows, whole);
	if (whole && this->on_all) this->on_all(news.rows, now);
	if (!whole && this->on_changes) this->on_changes(news.rows, now);
}

void TableWatch::OnWholeKnown(TimePoint now)
{
	// The snapshot counts as an update, so that a starting instance waits for the reader's updates before it polls.
	if (!this->known) this->news_at = now;
	this->known = true;
	this->following = true;
	this->wants_whole = false;
	this->pages.clear();
	this->next_key.clear();
}

void TableWatch::GoOn(TimePoint now)
{
	if (this->call == 0 && now >= this->not_before && this->following && this->ReadsItself(now)) this->ReadChanges(now);
}

void TableWatch::OnTick(TimePoint now)
{
	if (!this->started) return;
	this->FollowLoss(now);
	if (this->call != 0 && now >= this->call_limit) {
		this->GiveUpCall();
		if (!this->following) this->read_time = std::min(this->limits.read_most, 2 * this->read_time);
		this->OnFailure({std::nullopt, StoreFailure::NoAnswer, "timed out"}, now);
	}
	if (this->call != 0 || !this->ReadsItself(now) || this->LeavesItToProbe(now) || now < this->not_before) return;
	if (this->following && !this->ReadsWhole(now)) {
		this->ReadChanges(now);
	} else {
		this->ReadPage(now);
	}
}

void TableWatch::FollowLoss(TimePoint now)
{
	// Long polls of a coupled table detect an outage late; the leading table, which is polled more often, detects it earlier.
	if (this->lead == nullptr || !this->lead->IsLost() || this->call == 0 || this->lost) return;
	this->GiveUpCall();
	this->OnFailure({std::nullopt, StoreFailure::NoAnswer, "reads of the leading table failed"}, now);
}

bool TableWatch::LeavesItToProbe(TimePoint now)
{
	bool leaves = this->lost && this->probe != nullptr && this->probe->IsLost() && this->probe->ReadsItself(now);
	if (this->waits_for_probe && !leaves) this->not_before = now;
	this->waits_for_probe = leaves;
	return leaves;
}

void TableWatch::NoteCall(ReadReason reason)
{
	this->calls++;
	if (this->on_call) this->on_call(reason);
}

void TableWatch::BeginWholeRead(TimePoint now)
{
	this->following = false;
	this->next_key.clear();
	this->ReadPage(now);
}

void TableWatch::ReadPage(TimePoint now)
{
	this->NoteCall(ReadReason::Whole);
	this->asked = this->version;
	if (this->next_key.empty()) this->asked_wanted = this->wanted;
	this->call_limit = now + this->read_time;
	this->call = this->store.ReadRows(this->table, this->next_key, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnPage(std::move(answer));
	});
}

ReadReason TableWatch::ReasonToRead(TimePoint now) const
{
	if (this->lost) return ReadReason::Lost;
	if (this->behind) return ReadReason::Behind;
	if (this->catch_up) return ReadReason::CatchUp;
	bool takes_over = this->patience > Duration(0) && now - this->confirmed > this->patience;
	return takes_over ? ReadReason::TakeOver : ReadReason::Follow;
}

void TableWatch::ReadChanges(TimePoint now)
{
	ReadReason reason = this->ReasonToRead(now);
	this->NoteCall(reason);
	this->call_limit = now + this->limits.wait + this->limits.slack;
	this->asked = this->version;
	// Only a regular poll waits for a change. After a failure or a takeover the answer itself matters: it shows that the store is
	// available, and lets the peers know that there is a reader again.
	bool at_once = reason != ReadReason::Follow;
	Duration wait = at_once ? Duration(0) : this->limits.wait;
	if (at_once) this->call_limit = now + this->read_time;
	this->call = this->store.ReadChanges(this->table, this->version.number, wait, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnChanges(std::move(answer));
	});
}

StoreVersion TableWatch::VersionOf(const RowsAnswer &answer, uint64_t number) const
{
	return {answer.era == 0 ? this->version.era : answer.era, number};
}

void TableWatch::GiveUpCall()
{
	if (this->call != 0) this->store.Cancel(this->call);
	this->call = 0;
}

void TableWatch::DropDisproved()
{
	// The store, called after that version was advertised, doesn't know its epoch: drop it, or it would be requested endlessly.
	if (this->wanted.era > this->version.era && this->wanted == this->asked_wanted) this->wanted = StoreVersion{};
}

void TableWatch::OnPage(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	if (!answer.page) return this->OnFailure(answer, now);
	RowsPage &page = *answer.page;
	StoreVersion read = this->VersionOf(answer, page.version);
	bool first = this->next_key.empty();
	bool overtaken = this->IsOvertaken(read) || (!first && read.era != this->pages_version.era);
	if (overtaken) return this->BeginWholeRead(now);
	if (first) {
		this->pages.clear();
		this->pages_version = read;
	}
	std::move(page.rows.begin(), page.rows.end(), std::back_inserter(this->pages));
	if (page.more && !this->pages.empty()) {
		this->next_key = this->pages.back().key + '\0';
		return this->ReadPage(now);
	}
	this->next_key.clear();
	bool other = this->IsOfOtherStore(this->pages_version);
	// A lagging replica of the store must not revert the local view: retry after the backoff.
	if (!other && this->pages_version < this->version) {
		if (this->on_older) this->on_older(this->pages_version);
		return this->OnFailure({std::nullopt, StoreFailure::Malformed, "older than known", answer.era}, now);
	}
	StoreVersion before = this->version;
	this->version = this->pages_version;
	if (other) this->rows_version = StoreVersion{};
	std::vector<StoredRow> rows = std::move(this->pages);
	this->OnWholeKnown(now);
	this->DropDisproved();
	this->OnAnswered(now);
	if (other && this->on_other_store) this->on_other_store({before, this->version, false}, now);
	this->NoteRows(rows);
	if (this->select) this->select(rows, true);
	this->Keep(rows, true);
	this->TellRead(StoreVersion{}, true, rows, now);
	if (this->on_all) this->on_all(rows, now);
	this->GoOn(now);
}

void TableWatch::OnChanges(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	StoreVersion read = this->VersionOf(answer, answer.page ? answer.page->version : 0);
	// The call was started in a former epoch, so that its answer is not valid any more.
	if (this->asked.era < this->version.era && read.era <= this->version.era) return this->GoOn(now);
	bool other = this->IsOfOtherStore(read);
	if (other || (!answer.page && answer.failure == StoreFailure::HistoryGone)) return this->BeginWholeRead(now);
	if (!answer.page) return this->OnFailure(answer, now);
	this->catch_up = false;
	StoreVersion before = this->rows_version;
	this->version = std::max(this->version, read);
	std::vector<StoredRow> rows = std::move(answer.page->rows);
	bool changed = !rows.empty();
	this->NoteRows(rows);
	if (this->select) this->select(rows, false);
	this->Keep(rows, false);
	this->OnAnswered(now);
	this->TellRead(changed ? before : this->rows_version, false, rows, now);
	if (changed) this->not_before = now + this->limits.gather;
	if (!rows.empty() && this->on_changes) this->on_changes(rows, now);
	this->GoOn(now);
}

void TableWatch::OnFailure(const RowsAnswer &answer, TimePoint now)
{
	if (!this->lost) {
		this->lost = true;
		this->lost_since = now;
		if (this->on_lost) this->on_lost(answer, now);
	}
	this->pause = std::clamp(2 * this->pause, this->limits.pause_least, this->limits.pause_most);
	this->not_before = now + this->pause;
}

void TableWatch::OnAnswered(TimePoint now)
{
	this->confirmed = now;
	this->pause = Duration(0);
	this->read_time = this->limits.read_limit;
	if (!this->lost) return;
	this->lost = false;
	if (this->on_regained) this->on_regained(now - this->lost_since, now);
}

} // namespace cottonspool
