/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_placement.cpp Evacuated halls, home regions that change, and targets that return cold. */

#include "gateway/gateway.h"
#include "metrics/log.h"
#include "platform/wire_configuration.h"
#include <algorithm>

namespace cottonspool {

void Gateway::OnEvacuationRows(const std::vector<StoredRow> &rows, bool is_snapshot, TimePoint now)
{
	std::set<std::string> listed;
	for (const StoredRow &row : rows) {
		std::optional<std::string> hall = EvacuatedHallOf(row.key);
		if (!hall) continue;
		if (is_snapshot) listed.insert(*hall);
		if (!is_snapshot) this->placement.SetEvacuated(*hall, !row.deleted);
	}
	if (is_snapshot) this->placement.SetAllEvacuated(listed);
	this->RefreshEvacuated(now);
}

void Gateway::RefreshEvacuated(TimePoint now)
{
	std::set<std::string> before = std::move(this->evacuated);
	this->evacuated = this->placement.Evacuated(now);
	if (this->evacuated == before) return;
	for (const std::string &hall : before) {
		if (!this->evacuated.contains(hall)) this->OnHallReinstated(hall, now);
	}
	for (const std::string &hall : this->evacuated) {
		if (!before.contains(hall)) Log(LogLevel::Info, "hall-emptied", {{"hall", hall}});
	}
	this->dispatcher.Targets().SetEvacuatedHalls(this->evacuated);
	this->Execute(this->dispatcher.OnPlacementChanged(now));
}

void Gateway::OnHallReinstated(const std::string &hall, TimePoint now)
{
	Log(LogLevel::Info, "hall-taken-back", {{"hall", hall}});
	// Its targets may have become cold just before; their rows show it only with the next heartbeat.
	for (const auto &[id, listed] : this->usable) {
		const Pool *pool = this->routes.FindPool(listed.pool);
		std::optional<TargetNumber> number = this->dispatcher.Targets().Find(id);
		if (listed.hall == hall && pool != nullptr && number) this->MarkCold(*number, listed, pool->cold_start, now);
	}
}

void Gateway::MarkCold(TargetNumber number, const ListedTarget &listed, Duration cold_remaining, TimePoint now)
{
	const Pool *pool = this->routes.FindPool(listed.pool);
	if (pool == nullptr || pool->cold_rate <= 0 || cold_remaining <= Duration(0)) return;
	RateShare share = this->ColdShareOf(number, *pool, now);
	this->dispatcher.Targets().SetCold(number, now + cold_remaining, share);
	this->cold.insert(number);
	Log(LogLevel::Info, "target-cold",
	    {{"target", listed.incarnation.Name()},
	     {"hall", listed.hall},
	     {"left_ms", FormatMilliseconds(cold_remaining)},
	     {"bears_per_s", FormatNumber(pool->cold_rate)},
	     {"share", std::to_string(share.max_requests)},
	     {"window_ms", FormatMilliseconds(share.window)}});
}

RateShare Gateway::ColdShareOf(TargetNumber number, const Pool &pool, TimePoint now) const
{
	RateLimit bound = this->CellRateLimit(number, {pool.cold_rate, std::chrono::seconds(1)});
	return this->ShareOf(this->records[number.value].incarnation.Name(), bound, this->peers.KnownInstances(), Duration(0), now);
}

void Gateway::RefreshColdShares(TimePoint now)
{
	TargetTable &targets = this->dispatcher.Targets();
	std::erase_if(this->cold, [&](TargetNumber number) { return !targets.Get(number).restrictions.cold.IsCold(now); });
	for (TargetNumber number : this->cold) {
		const Pool *pool = this->routes.FindPool(this->records[number.value].pool);
		if (pool != nullptr) targets.SetColdShare(number, this->ColdShareOf(number, *pool, now));
	}
}

std::vector<HallPreference> Gateway::HallsFor(const RelayRequest &request) const
{
	const ServingConfiguration &configuration = this->routes.Configuration();
	auto route = std::find_if(configuration.routes.begin(), configuration.routes.end(),
	                          [&](const Route &each) { return each.name == request.route.name; });
	auto account = std::find_if(configuration.accounts.begin(), configuration.accounts.end(),
	                            [&](const ClientAccount &each) { return each.name == request.account; });
	return this->placement.HallsFor(route == configuration.routes.end() ? request.route : *route,
	                                account == configuration.accounts.end() ? nullptr : &*account);
}

void Gateway::RefreshHalls(TimePoint now)
{
	for (const auto &[id, call] : this->calls) {
		std::vector<HallPreference> halls = this->HallsFor(call->Request());
		// An empty list would allow any hall, so a hall name that matches none stands for "nowhere".
		if (halls.empty()) halls.push_back({std::string(), 0});
		this->dispatcher.SetHalls(id, std::move(halls));
	}
	this->Execute(this->dispatcher.OnPlacementChanged(now));
}

} // namespace cottonspool
