/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file end_watch.cpp Finds out whether a target that interrupted sends has crashed. */

#include "gateway/end_watch.h"
#include <algorithm>

namespace cottonspool {

static constexpr uint32_t MOST_ASKS = 3; ///< Probes of a target that keeps breaking the connection.

static constexpr size_t MOST_WITHDRAWN = 256; ///< Limit of remembered cancelled sends, about two seconds' worth.

bool EndWatch::HasWithdrawn(const std::string &life) const
{
	return std::any_of(this->withdrawn.begin(), this->withdrawn.end(), [&](const Withdrawn &each) { return each.life == life; });
}

void EndWatch::OnWithdrawn(const std::string &life, BrokenSend send, TimePoint now)
{
	this->withdrawn.push_back({life, std::move(send), now});
	if (this->withdrawn.size() > MOST_WITHDRAWN) this->withdrawn.pop_front();
}

void EndWatch::TakeWithdrawn(TargetCheck &check)
{
	for (const Withdrawn &each : this->withdrawn) {
		if (each.life == check.target.life.Name()) check.sends.push_back(each.send);
	}
	std::erase_if(this->withdrawn, [&](const Withdrawn &each) { return each.life == check.target.life.Name(); });
}

bool EndWatch::OnBroken(const BrokenTarget &target, BrokenSend send, TimePoint now)
{
	bool suspect = send.stage != RunStage::RunsWell;
	if (!suspect && !this->HasWithdrawn(target.life.Name())) return false;
	auto [found, added] = this->pending.try_emplace(target.life.Name());
	Pending &check = found->second;
	if (suspect) check.check.sends.push_back(std::move(send));
	if (!added) return suspect;
	check.check.target = target;
	check.begun = now;
	this->Ask(found->first, check);
	return suspect;
}

void EndWatch::Ask(const std::string &name, Pending &check)
{
	check.asks++;
	check.token = this->next_token++;
	auto done = [this, name, token = check.token](LifeSign sign) { this->OnSign(name, token, sign); };
	const BrokenTarget &target = check.check.target;
	UpstreamCall call = MakeLifeCall(target.address, target.life, target.path, done);
	// Longer than this check's own timeout, after which the target counts as unreachable rather than refusing.
	call.connect_limit = 2 * this->limit;
	check.call = this->upstream.Start(std::move(call));
}

void EndWatch::OnSign(const std::string &name, uint64_t token, LifeSign sign)
{
	auto found = this->pending.find(name);
	if (found == this->pending.end() || found->second.token != token) return;
	// A terminating process accepts and breaks connections until its socket is closed; the next probe is refused then.
	if (sign == LifeSign::Broken && found->second.asks < MOST_ASKS) {
		found->second.call = 0;
		return;
	}
	found->second.check.sign = sign;
	this->Conclude(name, MonotonicNow());
}

void EndWatch::OnOtherLife(const std::string &life, TimePoint now)
{
	auto found = this->pending.find(life);
	if (found == this->pending.end()) return;
	this->upstream.Cancel(found->second.call);
	found->second.check.sign = LifeSign::OtherLife;
	this->Conclude(life, now);
}

void EndWatch::Conclude(const std::string &name, TimePoint now)
{
	auto found = this->pending.find(name);
	TargetCheck check = std::move(found->second.check);
	check.took = now - found->second.begun;
	this->pending.erase(found);
	if (check.HasEnded()) this->TakeWithdrawn(check);
	// Requests that were waiting while others had started did not crash the target.
	auto begun = [](const BrokenSend &send) { return send.stage == RunStage::Begun; };
	bool any_begun = std::any_of(check.sends.begin(), check.sends.end(), begun);
	auto suspect = [&](const BrokenSend &send) { return !any_begun || begun(send); };
	auto waited = std::stable_partition(check.sends.begin(), check.sends.end(), suspect);
	check.cleared.assign(waited, check.sends.end());
	check.sends.erase(waited, check.sends.end());
	this->handler(check);
}

void EndWatch::OnTick(TimePoint now)
{
	std::erase_if(this->withdrawn, [&](const Withdrawn &each) { return now - each.at > this->lately; });
	std::vector<std::string> late;
	for (const auto &[name, check] : this->pending) {
		if (now - check.begun > this->limit) late.push_back(name);
	}
	for (const std::string &name : late) {
		this->upstream.Cancel(this->pending.at(name).call);
		this->Conclude(name, now);
	}
	for (auto &[name, check] : this->pending) {
		if (check.call == 0) this->Ask(name, check);
	}
}

} // namespace cottonspool
