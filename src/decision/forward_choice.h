/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file forward_choice.h Chooses the instance to which a request is passed on whose pool cannot be reached from here. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** Parameters of passing requests on. */
struct ForwardLimits {
	bool use = true;              ///< Whether requests are passed on.
	size_t spread = 6;            ///< Instances of a hall among which an instance divides its requests.
	uint32_t max_tries = 3;       ///< Instances that a request is passed to, one after another.
	uint32_t max_accepted = 48;   ///< Requests in progress that an instance accepts from others.
	size_t max_lost_per_hall = 3; ///< Instances of a hall that have lost the pool as well, from which on unknown ones there are not tried.
	Duration good_ttl = std::chrono::seconds(2);               ///< Time for which an answer of an instance shows that it reaches the pool.
	uint32_t hall_penalty = 2;                                 ///< Requests by which an instance in the next hall has to be less loaded.
	Duration lost_hold = std::chrono::milliseconds(500);       ///< Time for which an instance is avoided that has lost the pool as well.
	Duration unreachable_hold = std::chrono::seconds(1);       ///< The same for an instance that could not be reached.
	Duration busy_hold = std::chrono::milliseconds(200);       ///< The same for an instance that had no room.
	Duration answer_margin = std::chrono::milliseconds(20);    ///< Time by which the other instance has to answer earlier.
	Duration min_retry_after = std::chrono::milliseconds(300); ///< Shortest Retry-After if no instance can take a request.
	Duration retry_after_jitter = std::chrono::milliseconds(700); ///< Random addition to it, so that callers don't return together.
};

/** How passing a request to an instance ended. */
enum class ForwardResult : uint8_t {
	Answered,    ///< It gave an answer.
	Abandoned,   ///< The caller disconnected, or this instance stops.
	Unreachable, ///< It could not be reached, or broke the connection.
	PoolLost,    ///< It does not reach the pool either; the request was not executed.
	Busy,        ///< It refused for another reason; the request was not executed.
};

/** @return The name of \a result as written in logs. */
const char *ForwardResultName(ForwardResult result);

/** Candidates in one data hall. */
using HallCandidates = std::vector<std::string>;

/** Chooses among the other instances by what their answers have shown; nothing is exchanged while no pool is lost. */
class ForwardChoice {
public:
	ForwardChoice(std::string own_name, const ForwardLimits &limits) : own_name(std::move(own_name)), limits(limits) {}

	/**
	 * @param halls Candidates by hall, the preferred hall first.
	 * @param tried Instances that have already refused the request.
	 * @return The usable instance with the fewest requests of this one, those in preferred halls first; nothing if none is usable.
	 */
	std::optional<std::string> Choose(const std::vector<HallCandidates> &halls, ModelNumber pool, const std::vector<std::string> &tried,
	                                  TimePoint now) const;

	/** Count a request that is passed to \a peer. */
	void OnPassed(const std::string &peer);

	/** Handle the end of a request for \a pool that was passed to \a peer. */
	void OnEnded(const std::string &peer, ModelNumber pool, ForwardResult result, TimePoint now);

	/** @return Whether another instance has lately lost \a pool as well. */
	bool IsLostElsewhere(ModelNumber pool, TimePoint now) const;

	/** @return Number of requests that other instances have from this one. */
	uint32_t InProgress() const;

private:
	/** What an instance has shown of a pool. */
	struct PoolView {
		TimePoint good_until; ///< Until then it counts as reaching the pool.
		TimePoint lost_until; ///< Until then it gets no request for the pool.
	};

	/** What is known of an instance. */
	struct Peer {
		uint32_t in_progress = 0;              ///< Requests that it has from this instance.
		uint64_t passed = 0;                   ///< Requests passed to it so far.
		TimePoint held_until;                  ///< Until then it gets no request.
		std::map<ModelNumber, PoolView> pools; ///< What it has shown of pools.
	};

	/**
	 * @param only_good Only instances that have answered lately.
	 * @return The instances of \a hall among which requests for \a pool are divided.
	 */
	HallCandidates UsableIn(const HallCandidates &hall, ModelNumber pool, const std::vector<std::string> &tried, bool only_good,
	                        TimePoint now) const;
	/** @return The best instance for a request; nothing if none is usable. @param only_good See UsableIn(). */
	std::optional<std::string> FindBest(const std::vector<HallCandidates> &halls, ModelNumber pool, const std::vector<std::string> &tried,
	                                    bool only_good, TimePoint now) const;

	std::string own_name; ///< Name of this instance.
	ForwardLimits limits;
	std::map<std::string, Peer> peers; ///< Instances that requests were passed to.
};

} // namespace cottonspool
