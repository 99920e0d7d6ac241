/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file experiment_world.h Simulation of dispatchers and engines on a virtual clock. */

#pragma once

#include "decision/dispatcher.h"
#include <pcg_random.hpp>
#include <queue>

namespace cottonspool {

/** A class of calls in a workload. */
struct WorkloadClass {
	ServiceClass service_class = ServiceClass::Interactive; ///< Service class.
	double share = 1;                                       ///< Weight among all calls.
	double prompt = 100;                                    ///< Median length of prompts, in tokens.
	double length = 20;                                     ///< Median length of outputs, in tokens.
	double sigma = 0.8;                                     ///< Sigma of the log-normal output lengths; half of it for prompts.
	Duration wait = std::chrono::seconds(10);               ///< Longest time in the queue.
};

/** A scheduled disturbance of a run. */
struct WorkloadEvent {
	std::string kind;   ///< "burst", "flood", "engine-dies", "engine-slow", "reports-stop" or "hall-cut".
	double at = 0;      ///< Start, in seconds.
	double seconds = 0; ///< Length, in seconds.
	double factor = 1;  ///< Factor on the number of calls, or on the time of a step.
	size_t number = 0;  ///< Number of the class, engine or hall concerned.
};

/** A workload, read from a file. */
struct Workload {
	std::string name;                   ///< Name of the workload.
	double seconds = 60;                ///< Length of a run, in seconds.
	double load = 0.85;                 ///< Requested part of the engines' capacity.
	size_t instances = 8;               ///< Number of entry instances.
	size_t halls = 3;                   ///< Number of data halls.
	size_t engines = 10;                ///< Number of engines.
	size_t accounts = 10;               ///< Number of client accounts; account k has weight 1/(k+1) among the calls.
	double memory_tokens = 80000;       ///< KV cache of an engine, in tokens.
	size_t prefixes = 40;               ///< Number of prompt prefixes of each account.
	double account_sigma = 0.5;         ///< Spread of median output lengths between accounts.
	size_t max_batch = 128;             ///< Largest batch of an engine.
	double step_ms = 18;                ///< Base time of a decode step.
	double step_ms_per_call = 0.25;     ///< Further time for each call in the batch.
	double prefill_ms_per_token = 0.03; ///< Further time for each prefilled token.
	double report_ms = 300;             ///< Time between reports.
	double lag_ms = 300;                ///< Age of a report on arrival.
	std::vector<WorkloadClass> classes; ///< Classes of calls.
	std::vector<WorkloadEvent> events;  ///< Scheduled disturbances.
};

/** A router with its settings, to be compared with others. */
struct Contender {
	std::string name;       ///< Name in the output.
	std::string router;     ///< Name of the router.
	DispatchLimits limits;  ///< Settings of the dispatcher.
	HeadroomRules rules;    ///< Switches of the headroom router.
	bool priorities = true; ///< Pass priorities to the engines.
};

/** Measurements of one run. */
struct RunFigures {
	std::array<std::vector<float>, SERVICE_CLASS_COUNT> stalls;       ///< Stall of each served call, in seconds.
	std::array<std::vector<float>, SERVICE_CLASS_COUNT> first;        ///< Time to first token, in seconds.
	std::vector<float> intervals;                                     ///< Time between tokens of the stream class, in seconds.
	std::vector<float> small_streams;                                 ///< Stalls of stream calls of all accounts except the largest.
	std::vector<float> small_stalls;                                  ///< Stalls of interactive calls of all accounts except the largest.
	std::vector<double> requested, served;                            ///< Tokens requested and served, by account.
	uint64_t calls = 0, preemptions = 0, lost = 0, useful_tokens = 0; ///< Counts.
	std::array<uint64_t, REJECT_REASON_COUNT> refused{};              ///< Rejections by reason.
};

/** Run \a workload once with \a contender. The same seed gives the same calls to each contender. */
RunFigures RunWorkload(const Workload &workload, const Contender &contender, uint64_t seed);

/** @return Calls per second at which the engines of \a workload reach its load. */
double CallRate(const Workload &workload);

} // namespace cottonspool
