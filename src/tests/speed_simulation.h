/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file speed_simulation.h Simulation of instances that learn the speeds of short-lived targets, without a network, in simulated time. */

#pragma once

#include "decision/pending_signals.h"
#include "decision/speed_probes.h"
#include <memory>
#include <pcg_random.hpp>
#include <random>

namespace cottonspool {

/** Parameters of the simulation. */
struct SpeedLayout {
	size_t instances = 59;                    ///< Total number of instances.
	size_t halls = 3;                         ///< Data halls.
	size_t targets = 45;                      ///< Targets at a time.
	double streams_per_s = 46;                ///< Streams a second, spread evenly over instances and targets.
	Duration life = std::chrono::seconds(20); ///< Mean life of a target.
	bool share = true;                        ///< Whether instances publish speeds.
	bool probe = true;                        ///< Whether targets are probed.
	Duration restarts{0};                     ///< Interval between restarts of an instance; zero for none.
	bool cut_off = false;                     ///< Whether the first hall is cut off from the others in the second half of the time.
	uint32_t steps = 2400;                    ///< Length of the simulation, in ticks of 25 ms.
};

/** What the simulation has counted. */
struct SpeedCounts {
	size_t judged = 0;      ///< Targets judged, two seconds after the first stream of each began.
	size_t well_known = 0;  ///< Of these, targets that at least nine of ten instances classified correctly as slow or fast.
	size_t pairs = 0;       ///< Pairs of such a target and an instance.
	size_t right = 0;       ///< Of these, correct classifications.
	size_t wrong = 0;       ///< Of these, wrong classifications; the others are unknown.
	size_t updates = 0;     ///< Updates published, each counted once.
	size_t probes = 0;      ///< Probes sent.
	size_t most_probes = 0; ///< Most probes of one target.
	size_t most_per_s = 0;  ///< Most probes of one instance in a second.
	size_t started = 0;     ///< Targets started.
};

/** Simulation of the targets, the instances and their messages. */
class SpeedSimulation {
public:
	SpeedSimulation(SpeedLayout layout, uint32_t seed);

	/** @return The counts after the whole simulation. */
	SpeedCounts Run();

private:
	/** A simulated target incarnation. */
	struct Target {
		std::string name;
		size_t hall = 0;
		double base = 1; ///< Base factor.
		TimePoint born;
		TimePoint dies_at;
		TimePoint slow_until;      ///< End of the present slowdown.
		TimePoint next_slow;       ///< Begin of the next one.
		TimePoint first_stream_at; ///< When the first stream began; zero before.
		bool judged = false;
		size_t probes = 0;
	};
	/** A simulated instance. */
	struct Instance {
		LengthEstimate lengths{LengthEstimateLimits{}};
		TargetTable targets{AdmissionLimits{}, this->lengths};
		SpeedProbes probes{SpeedProbeLimits{}};
		PendingSignals pending;
		TimePoint started;                  ///< When it started.
		std::vector<TimePoint> probe_times; ///< Times of its probes.
	};
	/** An event that reaches an instance. */
	struct Event {
		size_t instance = 0;
		size_t target = 0;                        ///< Target that it concerns.
		std::optional<TargetSignalUpdate> update; ///< Update of a peer; otherwise an answer of the target.
	};

	void StartTarget();
	double FactorNow(Target &target);
	bool IsListed(size_t instance, const Target &target) const;
	void UpdateLists();
	void StartStreams();
	void Probe();
	void Deliver();
	void Flush();
	void Judge();
	void RestartInstance();
	/** @return Whether the network connects the halls \a a and \a b now. */
	bool IsConnected(size_t a, size_t b) const { return !this->is_cut || (a == 0) == (b == 0); }
	double Uniform(double from, double to) { return std::uniform_real_distribution<double>(from, to)(this->random); }
	size_t Index(size_t size) { return std::uniform_int_distribution<size_t>(0, size - 1)(this->random); }
	Duration Between(double from_ms, double to_ms) { return FromSeconds(this->Uniform(from_ms, to_ms) / 1000); }

	SpeedLayout layout;
	pcg32 random;
	TimePoint now{std::chrono::hours(1)};
	std::vector<std::unique_ptr<Instance>> instances;
	std::vector<Target> targets;            ///< All targets so far.
	std::vector<size_t> alive;              ///< Targets that are alive, or ended less than a second ago.
	std::multimap<TimePoint, Event> events; ///< Events to come.
	SpeedCounts counts;
	TimePoint next_restart;
	bool is_cut = false; ///< Whether the first hall is cut off now.
};

} // namespace cottonspool
