/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file table_watch.cpp Follows one table of the store. */

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

TableWatch::TableWatch(TableStore &store, std::string table, WatchLimits limits, Clock clock)
    : store(store), clock(std::move(clock)), table(std::move(table)), limits(limits), read_time(limits.read_limit), alive(std::make_shared<bool>(true))
{
}

TableWatch::~TableWatch()
{
	*this->alive = false;
	if (this->call != 0) this->store.Cancel(this->call);
}

void TableWatch::Start(TimePoint now)
{
	this->ReadPage(now);
}

void TableWatch::ReadAgain(TimePoint now)
{
	if (this->call != 0) this->store.Cancel(this->call);
	this->call = 0;
	this->following = false;
	this->next_key.clear();
	this->pages.clear();
	this->ReadPage(now);
}

void TableWatch::OnTick(TimePoint now)
{
	if (this->call != 0 && now >= this->call_limit) {
		this->store.Cancel(this->call);
		this->call = 0;
		if (!this->following) this->read_time = std::min(this->limits.read_most, 2 * this->read_time);
		this->OnFailure({std::nullopt, StoreFailure::NoAnswer, "no answer in time"}, now);
	}
	if (this->call != 0 || now < this->not_before) return;
	if (this->following) {
		this->ReadChanges(now);
	} else {
		this->ReadPage(now);
	}
}

void TableWatch::ReadPage(TimePoint now)
{
	this->calls++;
	this->call_limit = now + this->read_time;
	this->call = this->store.ReadRows(this->table, this->next_key, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnPage(std::move(answer));
	});
}

void TableWatch::ReadChanges(TimePoint now)
{
	this->calls++;
	this->call_limit = now + this->limits.wait + this->limits.slack;
	// After a failure the next answer is wanted soon: it tells that the store is back.
	Duration wait = this->lost ? Duration(0) : this->limits.wait;
	if (this->lost) this->call_limit = now + this->read_time;
	this->call = this->store.ReadChanges(this->table, this->version, wait, [this, held = this->alive](RowsAnswer answer) {
		if (*held) this->OnChanges(std::move(answer));
	});
}

void TableWatch::OnPage(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	if (!answer.page) return this->OnFailure(answer, now);
	RowsPage &page = *answer.page;
	if (this->next_key.empty()) {
		this->pages.clear();
		this->pages_version = page.version;
	}
	std::move(page.rows.begin(), page.rows.end(), std::back_inserter(this->pages));
	if (page.more && !this->pages.empty()) {
		this->next_key = this->pages.back().key + '\0';
		return this->ReadPage(now);
	}
	this->next_key.clear();
	// A replica that lags must not take us back: read again a little later.
	if (this->pages_version < this->version) return this->OnFailure({std::nullopt, StoreFailure::Malformed, "older than known"}, now);
	this->version = this->pages_version;
	this->known = true;
	this->following = true;
	this->OnAnswered(now);
	std::vector<StoredRow> rows = std::move(this->pages);
	this->pages.clear();
	if (this->on_all) this->on_all(rows, now);
	if (this->call == 0 && this->following) this->ReadChanges(now);
}

void TableWatch::OnChanges(RowsAnswer answer)
{
	TimePoint now = this->clock();
	this->call = 0;
	if (!answer.page && answer.failure == StoreFailure::HistoryGone) {
		this->following = false;
		return this->ReadPage(now);
	}
	if (!answer.page) return this->OnFailure(answer, now);
	this->version = std::max(this->version, answer.page->version);
	this->OnAnswered(now);
	if (!answer.page->rows.empty() && this->on_changes) this->on_changes(answer.page->rows, now);
	if (this->call == 0 && this->following) this->ReadChanges(now);
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
