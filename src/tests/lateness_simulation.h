/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file lateness_simulation.h Simulation of instances that send streams to engines of several speeds, without a network. */

#pragma once

#include "decision/dispatcher.h"
#include "decision/peer_load.h"
#include <map>
#include <pcg_random.hpp>

namespace cottonspool {

/** Load and engines of a simulation; the defaults are those of the uneven deployment at the given number of engines. */
struct LatenessScenario {
	std::string router = "headroom";                           ///< Router of all instances.
	bool use_lateness = true;                                  ///< Whether placement uses the expected lateness.
	bool states_speed = true;                                  ///< Whether engines state their speed.
	std::vector<double> factors{0.55, 1.2, 1.2, 1.2};          ///< Time factors of the engines, in rotation.
	uint32_t engines = 45;                                     ///< Number of engines at any time.
	uint32_t instances = 6;                                    ///< Number of instances.
	double long_rate = 21.8;                                   ///< Long streams per second.
	double short_rate = 24.5;                                  ///< Short streams per second.
	Duration length = std::chrono::seconds(34);                ///< Time during which calls arrive.
	Duration report_interval = std::chrono::milliseconds(200); ///< Time between two reports of an engine.
	Duration report_age = std::chrono::milliseconds(150);      ///< Age of a report at its receipt.
	Duration peer_delay = std::chrono::milliseconds(150);      ///< Delay of a message between instances.
	Duration peer_interval = std::chrono::milliseconds(100);   ///< Time between two messages of an instance.
	Duration engine_life = std::chrono::milliseconds(20000);   ///< Time from the start of an engine to its drain notice.
	Duration speed_delay = std::chrono::milliseconds(1000);    ///< Time until the speed of a new engine is known.
	uint64_t seed = 1;                                         ///< Seed of all random draws.
};

/** Counts of calls by their result. */
struct StreamCounts {
	uint32_t finished = 0;     ///< Finished calls.
	uint32_t late = 0;         ///< Finished calls that missed an objective.
	uint32_t missed_first = 0; ///< Of the late calls, those whose first event was late.
	uint32_t rejected = 0;     ///< Rejected calls.

	/** @return Fraction of the calls that were late or rejected. */
	double LateFraction() const { return double(this->late + this->rejected) / std::max(1U, this->finished + this->rejected); }
};

/** Result of a simulation. */
struct LatenessResult {
	StreamCounts long_streams;                   ///< Streams of some 188 events.
	StreamCounts short_streams;                  ///< Streams of 2 events.
	std::map<double, uint32_t> shorts_by_factor; ///< Short streams sent, by time factor of the engine.
	std::map<double, uint32_t> longs_by_factor;  ///< Long streams sent, by time factor of the engine.
	std::vector<uint32_t> sends;                 ///< Calls sent to each engine.
	std::vector<uint32_t> choices;               ///< Engine of each send, in order.
};

/** Run \a scenario until all calls have ended. */
LatenessResult SimulateLateness(const LatenessScenario &scenario);

} // namespace cottonspool
