/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulated_migration.cpp How simulated engines copy and stop runs, and what they record of runs that two of them work on. */

#include "simulation_base.h"

namespace cottonspool {

static constexpr uint64_t KV_COPY_MS = 40;     ///< Duration of copying a run's KV cache.
static constexpr uint64_t KV_REST_COPY_MS = 5; ///< Duration of copying what a stopped run has generated since the last copy.
static constexpr int64_t WORKS_ON_MS = 400;    ///< Time after which a run that another engine resumed must have ended.

void SimulatedTarget::MigrateRun(const Exchange &exchange)
{
	Json body = Json::parse(exchange->body, nullptr, false);
	std::string attempt = body.value("id", "");
	auto found = std::find_if(this->running.begin(), this->running.end(), [&](const Run &run) { return run.attempt == attempt; });
	bool runs = found != this->running.end() && found->made > 0 && !this->stalled;
	this->record.copy_requests.push_back({{"request", attempt}, {"target", this->id}, {"at", NowMs()}, {"runs", runs}});
	if (!runs) return exchange->Respond(404, {}, {});
	uint64_t made = found->made;
	bool last = body.value("last", false);
	if (last && this->stop_failure == "busy" && this->asked_to_stop.insert(attempt).second) return exchange->Respond(409, {}, {});
	if (last && this->stop_failure == "absent") return exchange->Respond(404, {}, {});
	if (last) this->StopRun(found);
	if (last && this->stop_failure == "silent") return this->unanswered.push_back(exchange);
	bool has_room = !last || this->stop_failure != "no-room";
	After(this->loop, last ? KV_REST_COPY_MS : KV_COPY_MS, [this, exchange, attempt, made, has_room] {
		std::string handle = "copy-" + std::to_string(this->record.next_handle++);
		this->record.copies[handle] = {attempt, made};
		exchange->Respond(has_room ? 200 : 503, {}, Json{{"handle", handle}, {"createdRev", made}}.dump());
	});
}

void SimulatedTarget::StopRun(std::list<Run>::iterator run)
{
	this->record.stops.push_back({{"request", run->attempt}, {"target", this->id}, {"at", NowMs()}});
	run->exchange->on_disconnect = nullptr;
	if (run->unframed) run->exchange->Finish();
	if (!run->unframed) run->exchange->Abort();
	this->running.erase(run);
}

void SimulatedTarget::CheckWorksOn(Run &run)
{
	auto resumed = this->record.resumed_at.find(run.attempt);
	if (run.reported || resumed == this->record.resumed_at.end()) return;
	if (run.begun >= resumed->second || NowMs() - resumed->second <= WORKS_ON_MS) return;
	run.reported = true;
	this->record.works_on.push_back({{"request", run.attempt}, {"target", this->id}, {"at", NowMs()}});
}

} // namespace cottonspool
