/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file experiment_world.h Several instances' decisions over a small model of engines and a virtual clock. */

#pragma once

#include "decision/dispatcher.h"
#include <pcg_random.hpp>
#include <queue>

namespace cottonspool {

/** One class of calls in a workload. */
struct WorkloadClass {
	ServiceClass service_class = ServiceClass::Interactive; ///< Class.
	double share = 1;                                       ///< Part of all calls.
	double prompt = 100;                                    ///< Middle length of prompts, in tokens.
	double length = 20;                                     ///< Middle length of outputs, in tokens.
	double sigma = 0.8;                                     ///< Spread of both (log-normal).
	Duration wait = std::chrono::seconds(10);               ///< Longest wait before it is sent.
};

/** Something that happens during a run. */
struct WorkloadEvent {
	std::string kind;   ///< "burst", "flood", "engine-dies", "engine-slow", "reports-stop" or "hall-cut".
	double at = 0;      ///< Start, in seconds.
	double seconds = 0; ///< Length, in seconds.
	double factor = 1;  ///< How much more, or slower.
	size_t number = 0;  ///< Class, engine or hall it concerns.
};

/** A workload as read from its file. */
struct Workload {
	std::string name;                   ///< Name.
	double seconds = 60;                ///< Length of a run.
	double load = 0.85;                 ///< Part of the engines' capacity that is asked for.
	size_t instances = 8;               ///< Entry instances.
	size_t halls = 3;                   ///< Data halls.
	size_t engines = 10;                ///< Engines.
	size_t accounts = 10;               ///< Client accounts; account k asks for a share of 1/(k+1).
	double memory_tokens = 80000;       ///< Memory of an engine.
	size_t prefixes = 40;               ///< Beginnings of prompts of each account.
	double account_sigma = 0.5;         ///< Spread of output lengths between accounts.
	size_t max_batch = 128;             ///< Most calls decoded at once.
	double step_ms = 18;                ///< Time of a step.
	double step_ms_per_call = 0.25;     ///< Further time for each call in it.
	double prefill_ms_per_token = 0.03; ///< Further time for each prompt token taken in.
	double report_ms = 300;             ///< Time between reports.
	double lag_ms = 300;                ///< Age of a report on arrival.
	std::vector<WorkloadClass> classes; ///< Classes.
	std::vector<WorkloadEvent> events;  ///< Events.
};

/** One way to decide, as compared. */
struct Contender {
	std::string name;       ///< Name in the table.
	std::string router;     ///< Router.
	DispatchLimits limits;  ///< Settings.
	HeadroomRules rules;    ///< Switches of the headroom router.
	bool priorities = true; ///< Pass priorities to the engines.
};

/** Figures of one run. */
struct RunFigures {
	std::array<std::vector<float>, SERVICE_CLASS_COUNT> stalls;       ///< Seconds of stall of each served call.
	std::array<std::vector<float>, SERVICE_CLASS_COUNT> first;        ///< Seconds to the first token.
	std::vector<float> intervals;                                     ///< Seconds between tokens, stream class.
	std::vector<float> small_streams;                                 ///< Stalls of stream calls of all accounts but the largest.
	std::vector<float> small_stalls;                                  ///< Stalls of interactive calls of all accounts but the largest.
	std::vector<double> asked, served;                                ///< Tokens by account.
	uint64_t calls = 0, preemptions = 0, lost = 0, useful_tokens = 0; ///< Counts.
	std::array<uint64_t, REJECT_REASON_COUNT> refused{};              ///< Refusals by reason.
};

/** Run \a workload once with \a contender. The same seed gives the same calls to every contender. */
RunFigures RunWorkload(const Workload &workload, const Contender &contender, uint64_t seed);

/** @return Calls a second that fill the engines of \a workload to its load. */
double CallRate(const Workload &workload);

} // namespace cottonspool
