/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file crash_watch.cpp Finds out whether a target that interrupted sends has crashed. */

#include "gateway/crash_watch.h"
#include <algorithm>

namespace cottonspool {

static constexpr uint32_t MAX_PROBES = 3; ///< Probes of a target that keeps breaking the connection.

static constexpr size_t MAX_CANCELLED_SENDS = 256; ///< Limit of remembered cancelled sends, about two seconds' worth.

bool CrashWatch::HasCancelledSend(const std::string &incarnation) const
{
	return std::any_of(this->cancelled_sends.begin(), this->cancelled_sends.end(),
	                   [&](const CancelledSend &each) { return each.incarnation == incarnation; });
}

void CrashWatch::OnSendCancelled(const std::string &incarnation, InterruptedSend send, TimePoint now)
{
	this->cancelled_sends.push_back({incarnation, std::move(send), now});
	if (this->cancelled_sends.size() > MAX_CANCELLED_SENDS) this->cancelled_sends.pop_front();
}

void CrashWatch::AddCancelledSends(CrashCheck &check)
{
	for (const CancelledSend &each : this->cancelled_sends) {
		if (each.incarnation == check.target.incarnation.Name()) check.sends.push_back(each.send);
	}
	std::erase_if(this->cancelled_sends, [&](const CancelledSend &each) { return each.incarnation == check.target.incarnation.Name(); });
}

bool CrashWatch::OnSendInterrupted(const ProbedTarget &target, InterruptedSend send, TimePoint now)
{
	bool suspect = send.stage != RunStage::Stable;
	if (!suspect && !this->HasCancelledSend(target.incarnation.Name())) return false;
	auto [found, added] = this->pending.try_emplace(target.incarnation.Name());
	PendingCheck &check = found->second;
	if (suspect) check.check.sends.push_back(std::move(send));
	if (!added) return suspect;
	check.check.target = target;
	check.started_at = now;
	this->SendProbe(found->first, check);
	return suspect;
}

void CrashWatch::SendProbe(const std::string &name, PendingCheck &check)
{
	check.probes++;
	check.token = this->next_token++;
	auto done = [this, name, token = check.token](ProbeResult result) { this->OnProbeResult(name, token, result); };
	const ProbedTarget &target = check.check.target;
	UpstreamCall call = MakeProbeCall(target.address, target.incarnation, target.path, done);
	// Longer than this check's own timeout, after which the target counts as unreachable rather than refusing.
	call.connect_timeout = 2 * this->timeout;
	check.call = this->upstream.Start(std::move(call));
}

void CrashWatch::OnProbeResult(const std::string &name, uint64_t token, ProbeResult result)
{
	auto found = this->pending.find(name);
	if (found == this->pending.end() || found->second.token != token) return;
	// A terminating process accepts and breaks connections until its socket is closed; the next probe is refused then.
	if (result == ProbeResult::Broken && found->second.probes < MAX_PROBES) {
		found->second.call = 0;
		return;
	}
	found->second.check.result = result;
	this->Conclude(name, MonotonicNow());
}

void CrashWatch::OnOtherIncarnation(const std::string &incarnation, TimePoint now)
{
	auto found = this->pending.find(incarnation);
	if (found == this->pending.end()) return;
	this->upstream.Cancel(found->second.call);
	found->second.check.result = ProbeResult::OtherIncarnation;
	this->Conclude(incarnation, now);
}

void CrashWatch::Conclude(const std::string &name, TimePoint now)
{
	auto found = this->pending.find(name);
	CrashCheck check = std::move(found->second.check);
	check.took = now - found->second.started_at;
	this->pending.erase(found);
	if (check.HasCrashed()) this->AddCancelledSends(check);
	// Requests that were waiting while others had started did not crash the target.
	auto has_started = [](const InterruptedSend &send) { return send.stage == RunStage::Started; };
	bool any_started = std::any_of(check.sends.begin(), check.sends.end(), has_started);
	auto suspect = [&](const InterruptedSend &send) { return !any_started || has_started(send); };
	auto first_waiting = std::stable_partition(check.sends.begin(), check.sends.end(), suspect);
	check.cleared.assign(first_waiting, check.sends.end());
	check.sends.erase(first_waiting, check.sends.end());
	this->handler(check);
}

void CrashWatch::OnTick(TimePoint now)
{
	std::erase_if(this->cancelled_sends, [&](const CancelledSend &each) { return now - each.at > this->cancelled_window; });
	std::vector<std::string> late;
	for (const auto &[name, check] : this->pending) {
		if (now - check.started_at > this->timeout) late.push_back(name);
	}
	for (const std::string &name : late) {
		this->upstream.Cancel(this->pending.at(name).call);
		this->Conclude(name, now);
	}
	for (auto &[name, check] : this->pending) {
		if (check.call == 0) this->SendProbe(name, check);
	}
}

} // namespace cottonspool
