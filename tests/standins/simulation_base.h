/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulation_base.h Simulation of the users' platform: a store with a change feed, engines and services. */

#pragma once

#include "net/http_front.h"
#include "standin_func.h"
#include <deque>
#include <map>
#include <set>

namespace cottonspool {

using Exchange = std::shared_ptr<FrontExchange>;

inline constexpr uint64_t RESTART_DELAY_MS = 1500; ///< Time until a crashed target restarts.

/** The platform's store: versioned rows, a long-polling change feed, and simulated outages. */
class SimulatedStore {
public:
	explicit SimulatedStore(uv_loop_t *loop) : loop(loop) {}

	/** Write a row. */
	void Put(const std::string &table, const std::string &key, const std::string &value);

	/** Delete a row. */
	void Remove(const std::string &table, const std::string &key);

	/** Handle a request of an instance. @return False if its path is not one of the store. */
	bool Handle(const Exchange &exchange);

	/** Back up all rows. */
	void TakeBackup();

	/** Restore the backup: later writes are lost and their versions are assigned again. Waiting requests are reset. */
	void RestoreBackup();

	/** Write again the rows of \a table that a restore lost or reverted. */
	void RewriteRows(const std::string &table);

	std::string mode = "up"; ///< "up", "busy" (503), "silent" (no answer), "away" (reset), "compact" (history compacted, once) or "lose"
	                         ///< (writes take effect without an answer).
	int64_t slow_ms = 0;     ///< Delay of answers, in milliseconds.
	std::map<std::string, std::string> address_overrides; ///< Replacements for addresses in rows, to route connections through a proxy.
	uint64_t calls = 0;                                   ///< Number of received requests.

private:
	/** One row; a deleted one is kept for the feed. */
	struct Row {
		std::string value;    ///< Value.
		uint64_t version = 0; ///< Version of the last write.
		bool deleted = false; ///< The row was deleted.
	};

	/** A waiting feed request. */
	struct Waiting {
		Exchange exchange; ///< Request and answer.
		std::string table; ///< Name of the table.
		uint64_t since;    ///< Version after which changes are requested.
		int64_t until;     ///< Time at which it is answered even without rows.
	};

	using Tables = std::map<std::string, std::map<std::string, Row>>;

	/** Content of a backup. */
	struct Backup {
		Tables tables;        ///< All rows.
		uint64_t version = 0; ///< Version counter.
	};

	void Reply(const Exchange &exchange, int status, const Json &body) const;
	HttpHeaders Headers() const;
	/** @return The rows of \a table written after version \a since. */
	Json RowsOf(const std::string &table, uint64_t since, bool with_deleted) const;
	/** @return \a value with the first matching address replaced. */
	std::string WithAddressOverrides(const std::string &value) const;
	/** Answer a request as the mode demands. */
	void Answer(const Exchange &exchange);
	void Get(const Exchange &exchange, const std::string &query);
	void Feed(const Exchange &exchange, const std::string &query);
	void Transact(const Exchange &exchange);
	/** Answer the feed requests that have new rows or whose time is up. */
	void AnswerWaiting();

	uv_loop_t *loop;            ///< Event loop.
	Tables tables;              ///< Rows by table and key.
	uint64_t version = 0;       ///< Version counter of the store.
	uint64_t epoch = 1;         ///< Increases with each restore.
	Backup backup;              ///< Last backup.
	Tables newest;              ///< Last write of each row, including writes that a restore lost.
	std::list<Waiting> waiting; ///< Waiting feed requests, and requests that never get an answer.
	bool timer_running = false; ///< The timer for waiting requests was started.
};

/** Events recorded by all targets, for the checks of scenarios. */
struct SimulationRecord {
	Json runs = Json::array();                                      ///< Executed requests: request, target, resumed.
	Json late = Json::array();                                      ///< Requests that arrived long after the target announced its drain.
	std::map<std::string, std::pair<std::string, uint64_t>> copies; ///< KV cache copies by handle: request and number of events.
	std::map<std::string, int64_t> resumed_at;                      ///< When a request was resumed on another engine.
	Json overlaps = Json::array(); ///< Time for which the previous engine kept generating after that, in milliseconds.
	Json stops = Json::array();    ///< Runs that an engine stopped to copy them completely: request, target, time.
	Json works_on = Json::array(); ///< Runs that an engine still works on long after another one resumed them: request, target, time.
	uint64_t reports = 0;          ///< Number of load reports given out.
	Json arrivals = Json::array(); ///< Requests at targets with a rate limit or pause: target, request, time.
	bool keep_sends = false;       ///< Whether all requests that arrive are recorded.
	Json sends = Json::array();    ///< All requests that arrived, whatever became of them: pool, request, time, target, whether resumed.
	Json pauses = Json::array();   ///< Requested pauses: target, start, end.
	Json limits = Json::array();   ///< Announced rate limits: target, requests per second (0 for none), time.
	Json falls = Json::array();    ///< Crashes of brittle services: target, time.
	Json crashes = Json::array();  ///< Crashes: request, target, time.
	Json copy_requests = Json::array(); ///< Requests to copy a run to another engine: request, target, time, whether there was such a run.
	std::map<std::string, int> health;  ///< Number of health checks by target.
	uint64_t next_handle = 1;           ///< Number of the next handle.
};

/** A simulated engine or service. */
class SimulatedTarget {
public:
	SimulatedTarget(uv_loop_t *loop, SimulatedStore &store, SimulationRecord &record, std::string id, std::string pool, std::string hall,
	                bool engine);

	/** Start listening and write the target's row. */
	void Start();

	/** @return The address (IP:PORT). */
	std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

	/** @return Whether the target is running. */
	bool IsAlive() const { return this->front != nullptr; }

	/** Start draining. @param silently Delete the row instead of changing its state. */
	void StartDraining(bool silently);

	/** Start draining, announced only in answer headers. */
	void DrainByHeader();

	/** Stop for good: reset all connections and delete the row. */
	void Kill();

	/**
	 * Crash: end all connections, keep the row, and restart after \a back_ms with the same name and address.
	 * @param inside_event Streams end inside an event, with an orderly close of the connection, instead of a reset.
	 * @param keeps_port No other process can take its port meanwhile.
	 */
	void Crash(uint64_t back_ms, bool inside_event = false, bool keeps_port = true);

	/** Restart under the same name at another port, while connections of the previous incarnation stay open without an answer. */
	void Hang();

	/** Write the row, as a heartbeat does. */
	void WriteHeartbeat();

	std::string id;         ///< Name; the key of its row.
	int64_t cold_ms = 0;    ///< Remaining cold start time written to the row, in milliseconds.
	double error_ratio = 0; ///< Fraction of answers that are 500.
	/** "reset" truncates and resets answers, "cut" resets them before their last byte, "unframed" ends bodies by closing; empty for none.
	 */
	std::string corruption;
	std::string limit;       ///< Rate limit announced in answers; empty for none.
	std::string percent;     ///< Time that work takes, as stated in answers; empty for none.
	uint64_t slots = 0;      ///< Requests that a service works on at once; 0 for no limit.
	uint64_t max_queue = 0;  ///< Requests that wait for one of them; more are refused as not executed.
	uint64_t work_ms = 5;    ///< Time that a service takes for a request.
	uint64_t places = 0;     ///< Requests that a brittle service processes at once; 0 if it is not brittle.
	uint64_t bears = 0;      ///< Refusals in a second that it bears.
	int64_t pause_ms = 0;    ///< Pause to request with the next rejection, in milliseconds; 0 for none.
	bool stalled = false;    ///< All runs of the engine wait: they produce no events and cannot be copied.
	int refused_resumes = 0; ///< Number of runs that the engine will refuse to resume.
	bool muted = false;      ///< The engine produces events and does not send them.
	bool keeps_runs = false; ///< The engine does not drop a run when its connection closes.
	/**
	 * What becomes of a copy for which the engine has to stop the run: "no-room" at the other engine, "silent", with no answer, "busy",
	 * when it is stopped only at the second request, or "absent", when the engine does not stop it and says that it has none; empty if it
	 * is made.
	 */
	std::string stop_failure;

private:
	/** A running generation. */
	struct Run {
		Exchange exchange;     ///< Request and answer.
		std::string attempt;   ///< Id of the request.
		uint64_t made = 0;     ///< Number of sent events.
		uint64_t length = 0;   ///< Total number of events.
		int64_t next_at = 0;   ///< Due time of the next event.
		int64_t begun = 0;     ///< When its answer began.
		bool unframed = false; ///< Its answer ends when the connection is closed.
		bool reported = false; ///< It is in the record of runs that are still worked on.
	};

	void Listen();
	/** Take the port without listening at it, so that connections are refused and no other process takes it. */
	void ReservePort();
	/** Crash shortly after the request \a attempt has started. */
	void CrashDuring(const std::string &attempt);
	void Handle(const Exchange &exchange);
	/** Handle a request to an engine: start a generation, or resume one from a KV cache copy. */
	void Generate(const Exchange &exchange, const std::string &attempt);
	/** Start streaming a run. */
	void Begin(Run run);
	/** Refuse a request if all places of a brittle service are taken, and crash after too many refusals. @return Whether it was refused. */
	bool RefuseWhileFull(const Exchange &exchange, const std::string &attempt);
	/** Handle a request to a service: it is worked on, waits for a slot, or is refused. */
	void Serve(const Exchange &exchange, const std::string &attempt);
	/** Work on a request to a service, and answer it. */
	void Work(const Exchange &exchange, const std::string &attempt);
	/** A slot of the service is free. */
	void FreeSlot();
	/** @return The headers of an answer, with rate limit and drain announcement. */
	HttpHeaders Headers(const std::string &attempt);
	/** @return The load field of an answer with \a load. */
	HttpHeader LoadField(const std::string &load) const
	{
		return {"X-Server-Load", this->percent.empty() ? load : load + "," + this->percent};
	}
	/** Reject a request during a pause, and begin a pause that is due. @return Whether it was rejected. */
	bool RejectWhilePaused(const Exchange &exchange, const std::string &attempt);
	/** Copy the KV cache of a run, so that another engine can resume it. */
	void MigrateRun(const Exchange &exchange);
	/** Stop \a run, so that its copy is complete: its stream is closed without its end. */
	void StopRun(std::list<Run>::iterator run);
	/** Record \a run if another engine has resumed it long ago. */
	void CheckWorksOn(Run &run);
	/** Send the events that are due. */
	void Step();

	uv_loop_t *loop;                                     ///< Event loop.
	SimulatedStore &store;                               ///< Store of the platform.
	SimulationRecord &record;                            ///< Shared record of events.
	std::string pool;                                    ///< Pool that the target belongs to.
	std::string hall;                                    ///< Data hall.
	bool engine;                                         ///< It is an engine, which streams its answers.
	std::unique_ptr<HttpFront> front;                    ///< HTTP server; null while stopped.
	std::vector<std::unique_ptr<HttpFront>> hung_fronts; ///< HTTP servers of previous incarnations, whose connections stay open.
	uint16_t port = 0;                                   ///< Port of the current or last incarnation.
	int reserved_port = -1;                              ///< Socket that reserves it while the target is down.
	std::list<Run> running;                              ///< Running generations.
	std::list<Exchange> unanswered;                      ///< Requests that get no answer.
	std::set<std::string> asked_to_stop;                 ///< Runs that a busy engine was asked to stop.
	bool draining = false;                               ///< The row announces the drain.
	bool drains_by_header = false;                       ///< Only answer headers announce the drain.
	int64_t drain_started_at = 0;                        ///< When the drain was announced; 0 for not yet.
	int64_t paused_until = 0;                            ///< End of the requested pause.
	uint64_t processing = 0;                             ///< Requests that a brittle service processes.
	uint64_t working = 0;                                ///< Slots of a service that are taken.
	std::deque<std::pair<Exchange, std::string>> queued; ///< Requests that wait for a slot, with their ids.
	std::deque<int64_t> refusals;                        ///< Times of its refusals.
	uint64_t answers = 0;                                ///< Counter of answers and rows.
	bool stopped = false;                                ///< It has stopped for good.
	int64_t started_at = 0;                              ///< Start time of this incarnation.
};

} // namespace cottonspool
