/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulation_control.cpp Simulation of the users' platform: its parts, and the control interface for scenarios. */

#include "configuration/json_text.h"
#include "simulation_base.h"
#include <gflags/gflags.h>
#include <iostream>

DEFINE_int32(engines, 4, "world: number of engines");
DEFINE_int32(services, 2, "world: number of services");
DEFINE_int32(keeping_engines, 1, "world: number of engines that work on when the connection of a run closes; the others drop it");

namespace cottonspool {

/** Data halls of the targets, in turn. */
static const char *const HALLS[] = {"hall-a", "hall-b"};

/** The simulation: store, targets, and the control interface. */
class PlatformSimulation {
public:
	explicit PlatformSimulation(uv_loop_t *loop)
	    : loop(loop), store(loop), front(loop, [this](const Exchange &exchange) { this->Handle(exchange); })
	{
	}

	/** Start all targets and the control interface. */
	void Start()
	{
		for (int i = 0; i < FLAGS_engines; i++) this->AddTarget("engine-" + std::to_string(i), "engines", HALLS[i % 2], true);
		for (int i = 0; i < FLAGS_services; i++) this->AddTarget("service-" + std::to_string(i), "services", HALLS[i % 2], false);
		std::cout << "listening port=" << this->front.Listen({"127.0.0.1", 0}).value() << std::endl;
	}

private:
	void AddTarget(const std::string &id, const std::string &pool, const std::string &hall, bool engine)
	{
		auto &target = this->targets[id] = std::make_unique<SimulatedTarget>(this->loop, this->store, this->record, id, pool, hall, engine);
		target->keeps_runs = engine && this->engines++ < FLAGS_keeping_engines;
		target->Start();
	}

	void Handle(const Exchange &exchange)
	{
		if (exchange->head.target == "/record") {
			Json answer{{"runs", this->record.runs},         {"late", this->record.late},
			            {"overlaps", this->record.overlaps}, {"stops", this->record.stops},
			            {"works_on", this->record.works_on}, {"crashes", this->record.crashes},
			            {"arrivals", this->record.arrivals}, {"sends", this->record.sends},
			            {"pauses", this->record.pauses},     {"falls", this->record.falls},
			            {"limits", this->record.limits},     {"reports", this->record.reports},
			            {"store_calls", this->store.calls},  {"copy_requests", this->record.copy_requests}};
			answer["health"] = this->record.health;
			for (const auto &[id, target] : this->targets) answer["targets"][id] = target->Address();
			return exchange->Respond(200, {}, ToJsonText(answer));
		}
		if (exchange->head.target == "/control") return this->HandleControl(exchange);
		if (!this->store.Handle(exchange)) exchange->Respond(404, {}, {});
	}

	void HandleControl(const Exchange &exchange)
	{
		Json control = Json::parse(exchange->body, nullptr, false);
		std::string id = control.value("target", "");
		std::string action = control.value("do", "");
		if (action == "copy") this->store.TakeBackup();
		if (action == "return") this->store.RestoreBackup();
		if (control.contains("again")) this->store.RewriteRows(control["again"]);
		if (control.contains("config")) this->store.Put("op", "config", control["config"].dump());
		if (control.contains("store")) this->store.mode = control["store"];
		if (control.contains("put")) this->store.Put("op", control["put"], "{}");
		if (control.contains("drop")) this->store.Remove("op", control["drop"]);
		this->store.slow_ms = control.value("slow_ms", this->store.slow_ms);
		if (control.contains("shown_as")) this->store.address_overrides = control["shown_as"].get<std::map<std::string, std::string>>();
		if (action == "leave") this->targets.at(id)->StartDraining(false);
		if (action == "vanish") this->targets.at(id)->StartDraining(true);
		if (action == "kill") this->targets.at(id)->Kill();
		if (action == "hang") this->targets.at(id)->Hang();
		if (action == "crash")
			this->targets.at(id)->Crash(control.value("back_ms", RESTART_DELAY_MS), control.value("inside_event", false),
			                            control.value("keeps_port", true));
		if (action == "add")
			this->AddTarget(id, control.value("pool", "engines"), HALLS[this->targets.size() % 2],
			                control.value("pool", "engines") == "engines");
		if (action == "lapse") {
			for (const auto &[name, target] : this->targets) this->store.Remove("servers", name);
		}
		if (action == "beat") {
			for (const auto &[name, target] : this->targets) {
				if (target->IsAlive()) target->WriteHeartbeat();
			}
		}
		if (action == "cold") {
			this->targets.at(id)->cold_ms = control.value("ms", 0);
			this->targets.at(id)->WriteHeartbeat();
		}
		if (action == "limit") {
			std::string limit = this->targets.at(id)->limit = control.value("per_s", "");
			this->record.limits.push_back({{"target", id}, {"per_s", strtod(limit.c_str(), nullptr)}, {"at", NowMs()}});
		}
		if (control.contains("percent")) this->targets.at(id)->percent = control["percent"];
		if (action == "brittle") {
			this->targets.at(id)->bears = control.value("bears", 0);
			this->targets.at(id)->places = control.value("places", 0);
		}
		this->record.keep_sends = control.value("keep_sends", this->record.keep_sends);
		if (action == "slots") {
			this->targets.at(id)->slots = control.value("slots", 0);
			this->targets.at(id)->max_queue = control.value("queue", 0);
			this->targets.at(id)->work_ms = control.value("work_ms", 5);
		}
		if (action == "say-leaving") this->targets.at(id)->DrainByHeader();
		if (action == "pause") this->targets.at(id)->pause_ms = control.value("ms", 0);
		if (action == "fail") this->targets.at(id)->error_ratio = control.value("part", 0.0);
		if (action == "mute") {
			this->targets.at(id)->muted = control.value("on", true);
			this->targets.at(id)->keeps_runs = control.value("keeps_runs", this->targets.at(id)->keeps_runs);
		}
		if (action == "refuse-resumes") this->targets.at(id)->refused_resumes = control.value("count", 1);
		if (action == "stop-failure") this->targets.at(id)->stop_failure = control.value("how", "");
		if (action == "stall") this->targets.at(id)->stalled = control.value("on", true);
		if (action == "garble") this->targets.at(id)->corruption = control.value("how", "");
		exchange->Respond(200, {}, "{}");
	}

	uv_loop_t *loop;                                                 ///< Event loop.
	SimulatedStore store;                                            ///< Store of the platform.
	SimulationRecord record;                                         ///< Recorded events.
	std::map<std::string, std::unique_ptr<SimulatedTarget>> targets; ///< Targets by name.
	HttpFront front;                                                 ///< HTTP server of the store and the control interface.
	int engines = 0;                                                 ///< Number of engines added so far.
};

int RunPlatformSimulation(uv_loop_t *loop)
{
	PlatformSimulation simulation(loop);
	simulation.Start();
	return uv_run(loop, UV_RUN_DEFAULT);
}

} // namespace cottonspool
