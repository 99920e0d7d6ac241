/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file hall_load.cpp Implementation of the aggregated target load that data halls send each other. */

#include "decision/hall_load.h"

namespace cottonspool {

/** @return The summary of \a load on \a target, whose pending prompts are prefilled within \a wait. */
static TargetLoadSum MakeLoadSum(const TargetState &target, const HeldLoad &load, Duration wait)
{
	TargetLoadSum sum;
	sum.target = target.name;
	sum.held_tokens = static_cast<uint32_t>(std::max(0.0, load.tokens));
	sum.calls = load.calls;
	sum.wait_ms = static_cast<uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
	return sum;
}

HallLoadMessage HallLoad::BuildMessage(TimePoint now) const
{
	HallLoadMessage message;
	message.hall = this->own_hall;
	for (uint32_t i = 0; i < this->targets.Size(); i++) {
		const TargetState &target = this->targets.Get(TargetNumber{i});
		if (!target.restrictions.known || !target.engine) continue;
		if (target.hall == this->own_hall) {
			TargetLoadSum sum = MakeLoadSum(target, this->targets.TotalLoadAt(target, now), TargetTable::PrefillWait(target, now));
			if (sum.held_tokens + sum.calls + sum.wait_ms > 0) message.local_targets.push_back(std::move(sum));
		} else if (!target.in_flight.empty()) {
			message.remote_targets.push_back(MakeLoadSum(target, TargetTable::KnownLoadAt(target), Duration(0)));
		}
	}
	message.accounts = this->AccountSums();
	return message;
}

std::vector<AccountLoadSum> HallLoad::AccountSums() const
{
	std::vector<AccountLoadSum> sums;
	if (!this->names) return sums;
	bool any_named = false;
	for (const AccountTokens &each : this->targets.Usage().LargestKnown()) {
		sums.push_back({this->names->pools.Name(each.pool), this->names->accounts.Name(each.account), each.tokens});
		any_named = any_named || !sums.back().account.empty();
	}
	// Without named accounts there are no shares.
	return any_named ? sums : std::vector<AccountLoadSum>{};
}

void HallLoad::ApplyAccountSums(const HallLoadMessage &message, TimePoint now)
{
	if (!this->names) return;
	std::vector<AccountTokens> sums;
	for (const AccountLoadSum &sum : message.accounts)
		sums.push_back({this->names->pools.Intern(sum.pool), this->names->accounts.Intern(sum.account), sum.tokens});
	this->targets.Usage().OnHallSums(message.hall, sums, now);
}

std::vector<ReportUpdate> HallLoad::OnMessage(const HallLoadMessage &message, TimePoint now)
{
	std::vector<ReportUpdate> reports;
	if (message.hall == this->own_hall) return reports;
	std::set<TargetNumber> previous = std::move(this->reported_targets[message.hall]);
	std::set<TargetNumber> &current = this->reported_targets[message.hall] = {};
	for (const TargetLoadSum &sum : message.local_targets) {
		std::optional<TargetNumber> number = this->targets.Find(sum.target);
		if (!number || this->targets.Get(*number).hall != message.hall) continue;
		this->targets.SetRemotePrefillDone(*number, now + std::chrono::milliseconds(sum.wait_ms));
		LoadReport report;
		report.capacity_tokens = this->targets.Get(*number).report.capacity_tokens;
		report.used_tokens = sum.held_tokens;
		report.running = sum.calls;
		reports.push_back({sum.target, report});
		current.insert(*number);
	}
	for (TargetNumber number : previous) {
		if (current.contains(number)) continue;
		// A target that is missing from the summary has become idle.
		this->targets.SetRemotePrefillDone(number, now);
		LoadReport report;
		report.capacity_tokens = this->targets.Get(number).report.capacity_tokens;
		reports.push_back({this->targets.Get(number).name, report});
	}
	std::map<TargetNumber, HeldLoad> remote_loads;
	for (const TargetLoadSum &sum : message.remote_targets) {
		std::optional<TargetNumber> number = this->targets.Find(sum.target);
		bool is_local = number && this->targets.Get(*number).hall == this->own_hall;
		if (is_local) remote_loads[*number] = {static_cast<double>(sum.held_tokens), sum.calls};
	}
	this->targets.OnHallLoad(message.hall, remote_loads, now);
	this->ApplyAccountSums(message, now);
	return reports;
}

} // namespace cottonspool
