/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_simulation.h Simulation of instances that share the rate limit of one target, without a network and in simulated time. */

#pragma once

#include "decision/target_rate_limit.h"
#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>

namespace cottonspool {

/** Where the callers are. */
enum class CallersAt : uint8_t {
	Everywhere,  ///< Spread evenly over all instances.
	OneHall,     ///< Spread evenly over the instances of the target's hall.
	OneInstance, ///< At one instance of the target's hall.
};

/** Parameters of the simulation. */
struct LimitLayout {
	size_t halls = 3;                          ///< Data halls; the target is in the first one.
	size_t instances = 8;                      ///< Total number of instances.
	double per_second = 2.4;                   ///< Rate limit of the target, in requests per second.
	size_t owners = 3;                         ///< Instances of the target's hall that own shares of the limit; 0 for all of them.
	bool lease = true;                         ///< Whether instances lend shares to each other.
	double load = 3;                           ///< Calls per second as a multiple of the limit.
	CallersAt callers = CallersAt::Everywhere; ///< Where the callers are.
};

/** Simulation of the instances, their messages and the requests that reach the target. */
class LimitSimulation {
public:
	LimitSimulation(LimitLayout layout, uint32_t seed);

	/** Advances the simulation by \a time. */
	void Pass(Duration time);

	/** Sets the rate limit of the target; nothing for none. */
	void SetRateLimit(std::optional<double> per_second);

	/** Restarts an instance, which loses its state. */
	void Restart(size_t instance);

	/** Pauses or continues an instance. */
	void SetPaused(size_t instance, bool pause) { this->instances[instance].paused = pause; }

	/** Partitions the network between the instances below \a first and the others; SIZE_MAX heals it. */
	void PartitionAt(size_t first) { this->partition_at = first; }

	/** @return Maximum number of requests that reached the target in any four seconds since \a since. */
	size_t MaxInWindow(TimePoint since) const;

	/** @return Number of requests that reached the target since \a since. */
	size_t ArrivedSince(TimePoint since) const;

	/** @return Approximate number of bytes sent between instances. */
	uint64_t Bytes() const { return this->messages * MESSAGE_BYTES; }

	/** @return Number of instances in the target's hall. */
	size_t InHall() const { return this->layout.instances / this->layout.halls; }

	TimePoint now = TimePoint{} + std::chrono::hours(1); ///< Simulated time.

private:
	static constexpr uint64_t MESSAGE_BYTES = 40;

	/** A simulated instance. */
	struct Instance {
		std::string name;          ///< Name of the instance.
		TargetRateLimit limit;     ///< Its state of the target's rate limit.
		TimePoint started;         ///< Time at which it started.
		TimePoint next_call;       ///< Time of its next call.
		uint32_t calls = 0;        ///< Calls in the current half window.
		uint32_t calls_before = 0; ///< Calls in the previous half window.
		TimePoint counted;         ///< Start of the current half window.
		bool paused = false;       ///< The process is paused.
		uint64_t incarnation = 0;  ///< Number of its restarts.
	};

	void After(Duration time, std::function<void()> action) { this->events.emplace(this->now + time, std::move(action)); }
	void Send(size_t from, size_t to, std::function<void(Instance &)> action);
	void Tick(size_t number);
	void Call(size_t number);
	void Share(size_t number);
	double RateAt(size_t number) const;
	Duration Gap(double per_second);
	TargetSignals Signals() const;

	LimitLayout layout;                                     ///< Parameters of the simulation.
	pcg32 random;                                           ///< Random number generator.
	std::vector<Instance> instances;                        ///< All instances; those of the target's hall come first.
	std::vector<std::string> hall;                          ///< Names of the instances in the target's hall.
	std::vector<std::string> owners;                        ///< Names of the instances that own shares.
	std::optional<double> rate_limit;                       ///< Rate limit of the target.
	std::multimap<TimePoint, std::function<void()>> events; ///< Future events.
	std::vector<TimePoint> arrivals;                        ///< Times at which requests reached the target.
	size_t partition_at = SIZE_MAX;                         ///< First instance on the other side of the network partition.
	uint64_t messages = 0;                                  ///< Number of messages sent.
};

} // namespace cottonspool
