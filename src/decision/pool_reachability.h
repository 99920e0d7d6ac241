/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file pool_reachability.h Detects that this instance reaches none of the targets of a pool. */

#pragma once

#include "core/id_type.h"
#include "core/time_type.h"
#include <map>
#include <vector>

namespace cottonspool {

/** Parameters of the detection. */
struct ReachLimits {
	Duration connect_timeout = std::chrono::milliseconds(300); ///< Time after which an unanswered probe counts as silent.
	Duration repeat_delay =
	        std::chrono::milliseconds(120);            ///< Delay of the second connect of a probe, as a packet of the first may be lost.
	Duration round_interval = std::chrono::seconds(1); ///< Shortest interval between two rounds for a pool that is reachable.
	Duration lost_interval = std::chrono::milliseconds(250); ///< Interval between rounds for a pool that is lost.
	Duration answer_ttl = std::chrono::milliseconds(250); ///< Time for which an answer shows that a silent target is not the link's fault.
	Duration plain_silence = std::chrono::milliseconds(300);  ///< Time without an answer of a service that is taken for silence.
	Duration stream_silence = std::chrono::milliseconds(700); ///< The same for an engine, which may read a prompt meanwhile.
	uint32_t failed_connects = 2;                             ///< Failed connects without an answer between them that begin a round.
	size_t first_probes = 2; ///< Targets that a round probes at once; the others follow if none has accepted after first_delay.
	Duration first_delay = std::chrono::milliseconds(75); ///< See first_probes.
	size_t probes = 6;                                    ///< Targets that a round probes.
	size_t probes_while_lost = 2;                         ///< The same while the pool is lost.
	uint32_t silent_rounds =
	        2; ///< Consecutive rounds without a connection after which a pool is lost although open connections still answer.
};

/** Result of a probe, which only opens a connection. */
enum class ReachResult : uint8_t {
	Connected, ///< The target accepted the connection.
	Refused,   ///< The connection was refused.
	Silent,    ///< There was no answer in time.
};

/** What made this instance doubt that it reaches a pool. */
enum class ReachDoubt : uint8_t {
	NoConnection, ///< A connection could not be established.
	NoAnswer,     ///< An open connection does not answer, or broke.
};

/**
 * Whether one pool can be reached. A doubt starts a round of probes of several targets. Only if none of them accepts a connection, the
 * pool is lost; from then on a few targets are probed regularly until one accepts. One target that is down or silent is therefore no
 * loss of the pool.
 */
class PoolReachability {
public:
	explicit PoolReachability(const ReachLimits &limits) : limits(limits) {}

	/** Handle bytes of an answer of a target. */
	void OnAnswer(TimePoint now)
	{
		this->answered_at = now;
		this->failed_connects = 0;
	}

	/** Handle \a doubt. @return Whether it calls for a round of probes now. */
	[[nodiscard]] bool OnDoubt(ReachDoubt doubt, TimePoint now);

	/** @return Whether a lost pool is to be probed again now. */
	[[nodiscard]] bool IsRetryDue(TimePoint now) const;

	/** Begin a round that probes \a targets. @pre None is in progress. */
	void BeginRound(const std::vector<TargetNumber> &targets, TimePoint now);

	/** Handle the result of probing \a target. @return Whether the pool is now lost or reachable again, unlike before. */
	bool OnProbed(TargetNumber target, ReachResult result, TimePoint now);

	/** @return Whether no target can be reached. */
	bool IsLost() const { return this->lost; }

	/** @return Whether a round is in progress. */
	bool IsProbing() const { return this->probing; }

	/** @return Whether a round is in progress, or the pool is lost. */
	bool IsDoubted() const { return this->lost || this->probing; }

	/** @return When the pool was lost. @pre IsLost() */
	TimePoint LostSince() const { return this->lost_since; }

private:
	bool EndRound(bool reached, TimePoint now);
	/** @return Whether a round without a connection shows that the pool is lost. */
	bool ShowsLoss() const;

	ReachLimits limits;
	std::map<TargetNumber, bool> open_probes; ///< Probes of this round without a result yet.
	bool probing = false;                     ///< A round is in progress.
	bool all_refused = true;                  ///< All results of this round are refusals.
	bool lost = false;                        ///< No target can be reached.
	uint32_t failed_connects = 0;             ///< Failed connects since the last answer.
	uint32_t failed_rounds = 0;               ///< Consecutive rounds without a connection.
	TimePoint answered_at;                    ///< When a target last answered.
	TimePoint round_begun_at;                 ///< When the last round began.
	TimePoint next_round_at;                  ///< When the next round may begin.
	TimePoint lost_since;                     ///< When the pool was lost.
};

} // namespace cottonspool
