/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulation_base.h The users' platform in small: a store with rows and a feed, engines that stream, move and leave, services. */

#pragma once

#include "net/http_front.h"
#include "standin_func.h"
#include <map>
#include <set>

namespace cottonspool {

using Exchange = std::shared_ptr<FrontExchange>;

/** The platform's store: rows with versions, a feed that waits, and outages. */
class SimulatedStore {
public:
	explicit SimulatedStore(uv_loop_t *loop) : loop(loop) {}

	/** Write a row as the operator or a target does. */
	void Put(const std::string &table, const std::string &key, const std::string &value);

	/** Remove a row. */
	void Remove(const std::string &table, const std::string &key);

	/** Answer a call of an instance. @return False if it is none. */
	bool Handle(const Exchange &exchange);

	/** Keep a copy of all rows as they are now. */
	void TakeBackup();

	/** Come back from the copy: what was written since is gone, and its versions are given out again. Calls that wait are reset. */
	void RestoreBackup();

	/** Write the rows of \a table again as they were written last, those that are not there as they were. */
	void RewriteRows(const std::string &table);

	std::string mode = "up"; ///< "up", "busy" (503), "silent" (no answer), "away" (reset), "compact" (history gone, once) or "lose" (writes
	                         ///< done, not answered).
	int64_t slow_ms = 0;     ///< Time by which answers are late, in milliseconds.
	std::map<std::string, std::string> address_overrides; ///< Addresses that rows show in place of others: those of links.
	uint64_t calls = 0;                                   ///< Calls answered or turned away.

private:
	/** One row with its history. */
	struct Row {
		std::string value;    ///< Content.
		uint64_t version = 0; ///< Version.
		bool deleted = false; ///< Gone.
	};

	/** A feed call that waits. */
	struct Waiting {
		Exchange exchange; ///< Call.
		std::string table; ///< Table.
		uint64_t since;    ///< Version.
		int64_t until;     ///< When it is answered without rows.
	};

	using Tables = std::map<std::string, std::map<std::string, Row>>;

	/** What a store comes back with. */
	struct Backup {
		Tables tables;        ///< Rows.
		uint64_t version = 0; ///< Counter.
	};

	void Reply(const Exchange &exchange, int status, const Json &body) const;
	HttpHeaders Headers() const;
	Json RowsOf(const std::string &table, uint64_t since, bool with_deleted) const;
	std::string WithAddressOverrides(const std::string &value) const;
	void Answer(const Exchange &exchange);
	void Get(const Exchange &exchange, const std::string &query);
	void Feed(const Exchange &exchange, const std::string &query);
	void Transact(const Exchange &exchange);
	void AnswerWaiting();

	uv_loop_t *loop;            ///< Loop.
	Tables tables;              ///< Rows by table and key.
	uint64_t version = 0;       ///< Counter of the whole store.
	uint64_t epoch = 1;         ///< Rises with each return from a copy.
	Backup backup;              ///< Copy taken last.
	Tables newest;              ///< Rows as they were written last, also if the store has lost them.
	std::list<Waiting> waiting; ///< Feed calls that wait.
	bool timer_running = false; ///< The timer of waiting calls runs.
};

/** What the targets of one world share. */
struct SimulationRecord {
	Json runs = Json::array();                                      ///< Runs: request, target, resumed.
	Json late = Json::array();                                      ///< Requests that came long after the notice.
	std::map<std::string, std::pair<std::string, uint64_t>> copies; ///< Copies by handle: request and events made.
	std::map<std::string, int64_t> resumed_at;                      ///< When another engine was asked to go on, by request.
	Json overlaps = Json::array();                                  ///< Milliseconds for which an old engine still made events then.
	uint64_t reports = 0;                                           ///< Reports told.
	Json arrivals = Json::array(); ///< Requests that reached a target which names a limit or asked for a pause: target, when.
	Json pauses = Json::array();   ///< Pauses asked for: target, when, until when.
	Json limits = Json::array();   ///< Limits named: target, requests a second (0: none any more), when.
	Json crashes = Json::array();  ///< Crashes: request, target, when.
	uint64_t next_handle = 1;      ///< Number of the next copy.
};

/** One engine or service. */
class SimulatedTarget {
public:
	SimulatedTarget(uv_loop_t *loop, SimulatedStore &store, SimulationRecord &record, std::string id, std::string pool, std::string hall,
	                bool engine);

	/** Listen and enter the list. */
	void Start();

	/** @return Where it listens. */
	std::string Address() const { return "127.0.0.1:" + std::to_string(this->port); }

	/** @return Whether it still listens. */
	bool IsAlive() const { return this->front != nullptr; }

	/** Say that it leaves; \a silently only removes its row. */
	void StartDraining(bool silently);

	/** Say with its answers that it leaves, and nowhere else. */
	void DrainByHeader();

	/** End at once: every connection is reset. */
	void Kill();

	/** Crash: every connection is reset, the row lapses later, and it starts again after \a back_ms under the same name and address. */
	void Crash(uint64_t back_ms);

	/** Start again under the same name while the connections of the former life stay open and say nothing more. */
	void Hang();

	/** Write the row again, as a heartbeat does. */
	void WriteHeartbeat();

	std::string id;         ///< Name of its incarnation.
	int64_t cold_ms = 0;    ///< How much longer it says that it is cold, in milliseconds.
	double error_ratio = 0; ///< Part of the answers that are 500.
	std::string corruption; ///< "reset", "extra" or empty.
	std::string limit;      ///< Limit that it names with its answers; empty for none.
	int64_t pause_ms = 0;   ///< Pause that it asks for, once, with a refusal, in milliseconds; zero for none.

private:
	/** One generation. */
	struct Run {
		Exchange exchange;   ///< Caller.
		std::string attempt; ///< Request.
		uint64_t made = 0;   ///< Events made.
		uint64_t length = 0; ///< Events in all.
		int64_t next_at = 0; ///< When the next one is due.
	};

	void Listen();
	void CrashDuring(const std::string &attempt);
	void Handle(const Exchange &exchange);
	void Generate(const Exchange &exchange, const std::string &attempt);
	void Begin(Run run);
	void Serve(const Exchange &exchange, const std::string &attempt);
	HttpHeaders Headers(const std::string &attempt);
	bool RejectWhilePaused(const Exchange &exchange, const std::string &attempt);
	void MigrateRun(const Exchange &exchange);
	void Step();

	uv_loop_t *loop;                                     ///< Loop.
	SimulatedStore &store;                               ///< Store.
	SimulationRecord &record;                            ///< Record.
	std::string pool;                                    ///< Pool.
	std::string hall;                                    ///< Data hall.
	bool engine;                                         ///< Streams.
	std::unique_ptr<HttpFront> front;                    ///< Listener.
	std::vector<std::unique_ptr<HttpFront>> hung_fronts; ///< Listeners of former lives whose connections stay open.
	uint16_t port = 0;                                   ///< Port.
	std::list<Run> running;                              ///< Generations.
	bool draining = false;                               ///< Said that it leaves.
	bool drains_by_header = false;                       ///< Says so with its answers, and nowhere else.
	int64_t drain_started_at = 0;                        ///< When.
	int64_t paused_until = 0;                            ///< It wants nothing before.
	uint64_t answers = 0;                                ///< Answers given.
	int64_t started_at = 0;                              ///< When this life began.
};

} // namespace cottonspool
