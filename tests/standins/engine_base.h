/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file engine_base.h State of the engine stand-in. */

#pragma once

#include "standin_func.h"
#include <deque>
#include <list>
#include <map>
#include <set>

namespace cottonspool {

/** One generation at the engine stand-in. */
struct EngineGeneration {
	std::string id;                                                            ///< Name given by the caller.
	std::string request;                                                       ///< Request it answers, for the record.
	int priority = 0;                                                          ///< Larger goes first and is preempted last.
	bool chat = false;                                                         ///< Answer in the chat form.
	uint64_t prompt = 1;                                                       ///< Prompt tokens.
	uint64_t length = 1;                                                       ///< Tokens it will generate.
	uint64_t prefix = 0;                                                       ///< Hash of the prompt's beginning.
	std::vector<std::string> tokens;                                           ///< Tokens generated so far.
	bool began = false;                                                        ///< Has been decoded at least once.
	bool finished = false;                                                     ///< All tokens are there.
	bool cancelled = false;                                                    ///< Was cancelled.
	int64_t orphan_since = 0;                                                  ///< Since when nobody listens; 0 while somebody does.
	std::vector<std::pair<std::shared_ptr<HttpExchange>, uint64_t>> listeners; ///< Streams with the tokens they have.
};

/** An engine that batches continuously in limited memory and preempts when it is full. */
class EngineStandin {
public:
	explicit EngineStandin(uv_loop_t *loop);

	/** Answer one request. */
	void Handle(const std::shared_ptr<HttpExchange> &exchange);

private:
	using GenerationPtr = std::shared_ptr<EngineGeneration>;

	void HandleCompletion(const std::shared_ptr<HttpExchange> &exchange);
	void HandleGeneration(const std::shared_ptr<HttpExchange> &exchange, const std::string &id);
	void HandleOrder(const std::shared_ptr<HttpExchange> &exchange);
	void HandleControl(const std::shared_ptr<HttpExchange> &exchange);
	void Attach(const GenerationPtr &generation, const std::shared_ptr<HttpExchange> &exchange, uint64_t from);
	void Flush(const GenerationPtr &generation);
	std::string EventText(const EngineGeneration &generation, uint64_t index) const;
	void Step();
	void AdmitWaiting();
	void PreemptWhileFull();
	void DropOrphans();
	uint64_t UsedTokens() const;
	Json MakeReport();
	Json Record() const;

	uv_loop_t *loop;                                        ///< Loop.
	std::string incarnation;                                ///< Changes with each start.
	std::map<std::string, GenerationPtr> known_generations; ///< Generations by name.
	std::set<std::string> cancelled_ids;                    ///< Cancelled before they came.
	std::list<GenerationPtr> running;                       ///< Being decoded.
	std::deque<GenerationPtr> waiting;                      ///< Accepted, not being decoded.
	std::deque<std::pair<int64_t, Json>> reports;           ///< Reports with the time they were made.
	uint64_t report_sequence = 0;                           ///< Reports made.
	uint64_t preemptions = 0;                               ///< Preemptions so far.
	std::set<std::string> models;                           ///< Models loaded.
	std::string role = "serve";                             ///< Role, set by orders.
	uint64_t highest_epoch = 0;                             ///< Highest fence seen.
	Json orders = Json::array();                            ///< Orders carried out.
	std::deque<uint64_t> prefixes;                          ///< Prefixes cached.
	bool draining = false;                                  ///< Notice given.
	int64_t draining_since = 0;                             ///< When notice was given.
	bool reports_frozen = false;                            ///< Reports no longer change.
	double slow_factor = 1;                                 ///< Factor on the time of a step.
	int64_t next_step = 0;                                  ///< When the next step is due.
	Json record = Json::array();                            ///< Accepted generations with times.
};

} // namespace cottonspool
