/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file end_watch.cpp Finds out whether a target that broke sends off has ended. */

#include "gateway/end_watch.h"
#include <algorithm>

namespace cottonspool {

void EndWatch::OnBroken(const BrokenTarget &target, BrokenSend send, TimePoint now)
{
	auto [found, added] = this->pending.try_emplace(target.name);
	Pending &check = found->second;
	check.check.sends.push_back(std::move(send));
	if (!added) return;
	check.check.target = target;
	check.begun = now;
	check.token = this->next_token++;
	auto done = [this, name = target.name, token = check.token](LifeSign sign) { this->OnSign(name, token, sign); };
	UpstreamCall call = MakeLifeCall(target.address, target.name, target.path, done);
	// This watch has a limit of its own, behind which the target counts as silent, not as refusing.
	call.connect_limit = 2 * this->limit;
	check.call = this->upstream.Start(std::move(call));
}

void EndWatch::OnSign(const std::string &name, uint64_t token, LifeSign sign)
{
	auto found = this->pending.find(name);
	if (found == this->pending.end() || found->second.token != token) return;
	found->second.check.sign = sign;
	this->Conclude(name, MonotonicNow());
}

void EndWatch::Conclude(const std::string &name, TimePoint now)
{
	auto found = this->pending.find(name);
	TargetCheck check = std::move(found->second.check);
	check.took = now - found->second.begun;
	this->pending.erase(found);
	// Where some are known to have begun, those that still waited there have not ended it.
	bool any_begun = std::any_of(check.sends.begin(), check.sends.end(), [](const BrokenSend &send) { return send.begun; });
	auto waited =
	        std::stable_partition(check.sends.begin(), check.sends.end(), [&](const BrokenSend &send) { return send.begun || !any_begun; });
	check.clear.assign(waited, check.sends.end());
	check.sends.erase(waited, check.sends.end());
	this->handler(check);
}

void EndWatch::OnTick(TimePoint now)
{
	std::vector<std::string> late;
	for (const auto &[name, check] : this->pending) {
		if (now - check.begun > this->limit) late.push_back(name);
	}
	for (const std::string &name : late) {
		this->upstream.Cancel(this->pending.at(name).call);
		this->Conclude(name, now);
	}
}

} // namespace cottonspool
