/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_signs.cpp Signals that targets send with their own answers: load, rate limits, pauses and drain notices. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

static constexpr Duration SIGNS_LOG_PAUSE = std::chrono::seconds(1); ///< Shortest time between log lines about one target.

void Gateway::OnAnswerBegun(const RelayRequest &request, TargetNumber number, const AnswerInfo &answer, TimePoint asked)
{
	if (answer.load) this->OnLoadTold(number, *answer.load);
	TimePoint now = MonotonicNow();
	this->LogSigns(request, number, answer.signs, now);
	if (answer.signs.leaving) this->OnOwnWord(this->records[number.value].life.Name(), "answer", now);
	bool limit_changed = this->dispatcher.Targets().OnSigns(number, answer.signs, asked, now);
	if (limit_changed) this->OnLimitChanged(number, "answer", asked, now);
	if (limit_changed) this->peers.TellSigns(this->NewsOf(number, now), asked);
	if (limit_changed || answer.signs.pause > Duration(0)) this->Carry(this->dispatcher.OnPlacesChanged(now));
}

void Gateway::OnOwnWord(const std::string &target, const char *source, TimePoint now)
{
	// The notice is final even if the list doesn't show it: the store may be unavailable, and a plain service announces it nowhere else.
	std::vector<TargetEvent> events = this->registry.OnOwnNotice(target, source, now);
	if (events.empty()) return;
	this->left_by_word[target] = now;
	this->peers.TellSigns({.target = target, .leaving = true}, now);
	this->OnTargetEvents(events, now);
}

SignNews Gateway::NewsOf(TargetNumber number, TimePoint now) const
{
	const TargetState &target = this->dispatcher.Targets().Get(number);
	SignNews news{.target = target.name};
	news.limit = target.bounds.limit.IsNamed() ? SignState::Said : SignState::Absent;
	news.limit_per_s = target.bounds.limit.IsNamed() ? target.bounds.limit.Bound().per_second : 0;
	/** Upper limit of the age that is sent; older values are equally outdated. */
	static constexpr Duration OLDEST = std::chrono::minutes(10);
	news.asked_ago = std::min(OLDEST, now - target.bounds.limit.HeardAt());
	return news;
}

std::vector<SignNews> Gateway::KnownSigns(TimePoint now) const
{
	std::vector<SignNews> all;
	for (TargetNumber number : this->limited) all.push_back(this->NewsOf(number, now));
	for (const auto &[target, at] : this->left_by_word) all.push_back({.target = target, .leaving = true, .asked_ago = now - at});
	return all;
}

void Gateway::OnPeerSigns(const SignNews &news)
{
	TimePoint now = MonotonicNow();
	std::optional<TargetNumber> number = this->dispatcher.Targets().Find(news.target);
	if (news.leaving) this->OnOwnWord(news.target, "peer", now);
	if (!number || news.limit == SignState::Unreadable) return;
	TargetSigns signs;
	signs.limit = news.limit;
	signs.limit_per_s = news.limit_per_s;
	TimePoint asked = now - news.asked_ago;
	if (!this->dispatcher.Targets().OnSigns(*number, signs, asked, now)) return;
	this->OnLimitChanged(*number, "peer", asked, now);
	this->Carry(this->dispatcher.OnPlacesChanged(now));
}

void Gateway::OnLimitChanged(TargetNumber number, const char *source, TimePoint asked, TimePoint now)
{
	const TargetLimit &limit = this->dispatcher.Targets().Get(number).bounds.limit;
	if (limit.IsNamed()) this->limited.insert(number);
	if (!limit.IsNamed()) this->limited.erase(number);
	this->ShareLimit(number, now);
	TargetRecord &record = this->records[number.value];
	bool was_named = record.limit_logged;
	if (was_named == limit.IsNamed() && now - record.limit_logged_at < SIGNS_LOG_PAUSE) return;
	record.limit_logged = limit.IsNamed();
	record.limit_logged_at = now;
	const RateShare &share = limit.Share();
	Log(LogLevel::Info, "target-limit",
	    {{"target", record.life.Name()},
	     {"source", source},
	     {"per_s", limit.IsNamed() ? FormatNumber(limit.Bound().per_second) : ""},
	     {"asked_ms_ago", FormatMilliseconds(now - asked)},
	     {"share", std::to_string(share.most)},
	     {"window_ms", FormatMilliseconds(share.window)}});
}

void Gateway::LogSigns(const RelayRequest &request, TargetNumber number, const TargetSigns &signs, TimePoint now)
{
	TargetRecord &record = this->records[number.value];
	if (signs == record.signs || now - record.signs_logged < SIGNS_LOG_PAUSE) return;
	record.signs = signs;
	record.signs_logged = now;
	Log(LogLevel::Info, "target-said",
	    {{"target", record.life.Name()},
	     {"request", request.info.attempt},
	     {"limit_per_s", signs.limit == SignState::Said ? FormatNumber(signs.limit_per_s) : ""},
	     {"leaving", signs.leaving ? "yes" : "no"},
	     {"pause_ms", FormatMilliseconds(signs.pause)},
	     {"unreadable", signs.unreadable ? "yes" : "no"}});
}

void Gateway::OnLoadTold(TargetNumber number, const TargetLoad &load)
{
	TargetRecord &record = this->records[number.value];
	if (record.engine || load.slots == 0) return;
	LoadReport report;
	report.sequence = ++record.reports;
	report.capacity_tokens = load.slots;
	report.used_tokens = load.running;
	report.running = load.running;
	report.waiting = load.waiting;
	this->Carry(this->dispatcher.OnReport(number, report, MonotonicNow()));
}

} // namespace cottonspool
