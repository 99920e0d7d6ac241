/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file engine_base.h Stand-in for a model engine. */

#pragma once

#include "standin_func.h"
#include <deque>
#include <list>
#include <map>
#include <set>

namespace cottonspool {

/** One generation at the engine. */
struct EngineGeneration {
	std::string id;                  ///< Id given by the instance.
	std::string request;             ///< Id of the caller's request, for the record.
	int priority = 0;                ///< A larger one is admitted first and preempted last.
	bool chat = false;               ///< Answer in the format of the chat API.
	uint64_t prompt = 1;             ///< Number of prompt tokens.
	uint64_t length = 1;             ///< Number of tokens to generate.
	uint64_t prefix = 0;             ///< Hash of the beginning of the prompt.
	std::vector<std::string> tokens; ///< Generated tokens.
	bool began = false;              ///< It was admitted to a batch at least once.
	bool finished = false;           ///< All tokens were generated.
	bool cancelled = false;          ///< It was cancelled.
	int64_t orphan_since = 0;        ///< When the last listener disconnected; 0 while there is one.
	std::vector<std::pair<std::shared_ptr<HttpExchange>, uint64_t>> listeners; ///< Open streams, each with the number of tokens sent.
};

/** An engine with continuous batching and limited memory, which preempts generations when the memory is full. */
class EngineStandin {
public:
	explicit EngineStandin(uv_loop_t *loop);

	/** Handle one request. */
	void Handle(const std::shared_ptr<HttpExchange> &exchange);

private:
	using GenerationPtr = std::shared_ptr<EngineGeneration>;

	void HandleCompletion(const std::shared_ptr<HttpExchange> &exchange);
	void HandleGeneration(const std::shared_ptr<HttpExchange> &exchange, const std::string &id);
	void HandleOrder(const std::shared_ptr<HttpExchange> &exchange);
	void HandleControl(const std::shared_ptr<HttpExchange> &exchange);
	/** Stream a generation to a listener, beginning after token \a from. */
	void Attach(const GenerationPtr &generation, const std::shared_ptr<HttpExchange> &exchange, uint64_t from);
	/** Send new tokens to all listeners. */
	void Flush(const GenerationPtr &generation);
	/** @return The stream event of token \a index, which counts from 1. */
	std::string EventText(const EngineGeneration &generation, uint64_t index) const;
	/** Run a decoding step if it is due: one token for each generation in the batch. */
	void Step();
	/** Move waiting generations into the batch while there is memory. */
	void AdmitWaiting();
	/** Preempt generations of the lowest priority until the next step fits into memory. */
	void PreemptWhileFull();
	/** Cancel generations that had no listener for too long. */
	void DropOrphans();
	/** @return Memory used by the batch, in tokens. */
	uint64_t UsedTokens() const;
	Json MakeReport();
	/** @return Executed generations and orders, for the checks of scenarios. */
	Json Record() const;

	uv_loop_t *loop;                                        ///< Event loop.
	std::string incarnation;                                ///< Incarnation; changes with each start.
	std::map<std::string, GenerationPtr> known_generations; ///< All accepted generations by id.
	std::set<std::string> cancelled_ids;                    ///< Ids that were cancelled before their request arrived.
	std::list<GenerationPtr> running;                       ///< Generations in the current batch.
	std::deque<GenerationPtr> waiting;                      ///< Accepted or preempted generations outside of the batch.
	std::deque<std::pair<int64_t, Json>> reports;           ///< Recent reports with their times; the oldest is the one given out.
	uint64_t report_sequence = 0;                           ///< Number of reports made.
	uint64_t preemptions = 0;                               ///< Number of preemptions.
	std::set<std::string> models;                           ///< Loaded models.
	std::string role = "serve";                             ///< Role, set by orders.
	uint64_t highest_epoch = 0;                             ///< Highest fencing token received.
	Json orders = Json::array();                            ///< Executed orders.
	std::deque<uint64_t> prefixes;                          ///< Hashes of cached prefixes.
	bool draining = false;                                  ///< The reports announce that the engine drains.
	int64_t draining_since = 0;                             ///< When that was announced; 0 for never.
	bool reports_frozen = false;                            ///< Unused.
	double slow_factor = 1;                                 ///< Factor on the duration of a step.
	int64_t next_step = 0;                                  ///< Due time of the next step.
	Json record = Json::array();                            ///< Accepted generations with their times.
};

} // namespace cottonspool
