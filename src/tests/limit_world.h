/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file limit_world.h Instances before one target that names a limit, in simulated time and without a network. */

#pragma once

#include "decision/target_rate_limit.h"
#include <functional>
#include <map>
#include <optional>
#include <pcg_random.hpp>
#include <set>

namespace cottonspool {

/** Where callers are. */
enum class CallersAt : uint8_t {
	Everywhere,  ///< At all instances alike.
	OneHall,     ///< At those of the target's hall.
	OneInstance, ///< At one instance of that hall.
};

/** What a simulated world is like. */
struct LimitLayout {
	size_t halls = 3;                          ///< Data halls; the target is in the first one.
	size_t instances = 8;                      ///< Instances in all.
	double per_second = 2.4;                   ///< The target's limit, in requests a second.
	size_t owners = 3;                         ///< Instances of the target's hall that hold its shares; 0 for all of them.
	bool lease = true;                         ///< They lend each other.
	double load = 3;                           ///< Calls a second as a part of the limit.
	CallersAt callers = CallersAt::Everywhere; ///< Where they come.
};

/** Instances, the messages between them and what reaches the target. */
class LimitWorld {
public:
	LimitWorld(LimitLayout layout, uint32_t seed);

	/** Let \a time pass. */
	void Pass(Duration time);

	/** The target names a limit of \a per_second from now on; nothing for none. */
	void Name(std::optional<double> per_second);

	/** An instance ends and starts again, knowing nothing. */
	void Restart(size_t instance);

	/** An instance stands still, or goes on. */
	void Freeze(size_t instance, bool still) { this->instances[instance].frozen = still; }

	/** Instances below \a first can't hear those from it on any more; as many as there are heals. */
	void CutAt(size_t first) { this->cut_at = first; }

	/** @return Most requests that reached the target in any four seconds since \a since. */
	size_t Most(TimePoint since) const;

	/** @return Requests that reached it since \a since. */
	size_t Arrived(TimePoint since) const;

	/** @return Bytes of the messages between instances so far, as CBOR would take (by arithmetic: 40 an ask or grant). */
	uint64_t Bytes() const { return this->messages * MESSAGE_BYTES; }

	/** @return Number of instances in the target's hall. */
	size_t InHall() const { return this->layout.instances / this->layout.halls; }

	TimePoint now = TimePoint{} + std::chrono::hours(1); ///< Clock.

private:
	static constexpr uint64_t MESSAGE_BYTES = 40;

	/** One instance. */
	struct Instance {
		std::string name;          ///< Name.
		TargetRateLimit limit;     ///< What it knows of the target's limit.
		TimePoint started;         ///< Its start.
		TimePoint next_call;       ///< When the next call comes.
		uint32_t calls = 0;        ///< Calls of the present half window.
		uint32_t calls_before = 0; ///< Those of the one before.
		TimePoint counted;         ///< When the present one began.
		bool frozen = false;       ///< It stands still.
		uint64_t incarnation = 0;  ///< Which start.
	};

	void After(Duration time, std::function<void()> what) { this->events.emplace(this->now + time, std::move(what)); }
	void Tell(size_t from, size_t to, std::function<void(Instance &)> what);
	void Tick(size_t number);
	void Call(size_t number);
	void Share(size_t number);
	double RateAt(size_t number) const;
	Duration Gap(double per_second);
	TargetSignals Signs() const;

	LimitLayout layout;                                     ///< Layout.
	pcg32 random;                                           ///< Chance.
	std::vector<Instance> instances;                        ///< Instances; those of the target's hall first.
	std::vector<std::string> hall;                          ///< Names of those of the target's hall.
	std::vector<std::string> owners;                        ///< Names of those that hold the shares.
	std::optional<double> named;                            ///< The target's limit.
	std::multimap<TimePoint, std::function<void()>> events; ///< What is to come.
	std::vector<TimePoint> arrivals;                        ///< Requests that reached the target.
	size_t cut_at = SIZE_MAX;                               ///< Instances below can't hear those from it on.
	uint64_t messages = 0;                                  ///< Messages sent.
};

} // namespace cottonspool
