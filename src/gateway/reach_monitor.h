/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file reach_monitor.h Finds out by probes which pools this instance cannot reach; see PoolReachability. */

#pragma once

#include "decision/pool_reachability.h"
#include "net/tcp_stream.h"
#include <string>

namespace cottonspool {

/** A target that can be probed. */
struct ReachTarget {
	TargetNumber number;
	Endpoint address;
	std::string hall;
};

/** Probes targets by opening connections to them, and tracks which pools are lost. */
class ReachMonitor {
public:
	/** @return The targets of a pool that are in use. */
	using TargetsOf = std::function<std::vector<ReachTarget>(ModelNumber)>;
	/** Called when a pool is lost, or reachable again. */
	using Handler = std::function<void(ModelNumber pool, bool lost, Duration lost_for)>;

	ReachMonitor(uv_loop_s *loop, const ReachLimits &limits, TargetsOf targets_of, Handler handler)
	    : loop(loop), limits(limits), targets_of(std::move(targets_of)), handler(std::move(handler))
	{
	}

	/** Handle bytes of an answer of a target of \a pool. */
	void OnAnswer(ModelNumber pool, TimePoint now) { this->StateOf(pool).OnAnswer(now); }

	/** Handle a doubt that \a pool can be reached. */
	void OnDoubt(ModelNumber pool, ReachDoubt doubt, TimePoint now);

	/** Probe lost pools again, and time out probes; to be called several times a second. */
	void OnTick(TimePoint now);

	/** @return Whether no target of \a pool can be reached. */
	bool IsLost(ModelNumber pool) const;

	/** @return Whether \a pool is lost or being probed. */
	bool IsDoubted(ModelNumber pool) const;

	/** Close all probes; no callback is called any more. */
	void Shutdown();

	/** @return Number of connections opened by probes. */
	uint64_t Connects() const { return this->connects; }

private:
	/** A probe of one target. */
	struct Probe {
		ModelNumber pool;
		ReachTarget target;
		TimePoint begun_at;                              ///< When it begins.
		std::vector<std::shared_ptr<TcpStream>> streams; ///< Its connects.
	};

	PoolReachability &StateOf(ModelNumber pool) { return this->pools.try_emplace(pool, this->limits).first->second; }
	void BeginRound(ModelNumber pool, size_t count, TimePoint now);
	/** @return Up to \a count of \a targets, from all halls in turn, others in each round. */
	std::vector<ReachTarget> Select(std::vector<ReachTarget> targets, size_t count);
	void Connect(uint64_t number, Probe &probe);
	void EndProbe(uint64_t number, ReachResult result);
	/** Close the probes of \a pool, whose round is over. */
	void CloseProbes(ModelNumber pool);

	uv_loop_s *loop;
	ReachLimits limits;
	TargetsOf targets_of;
	Handler handler;
	std::map<ModelNumber, PoolReachability> pools;
	std::map<uint64_t, Probe> probes; ///< Probes in progress by number.
	uint64_t next_probe = 1;
	uint64_t rounds = 0;   ///< Rounds so far; see Select().
	uint64_t connects = 0; ///< Connections opened.
};

} // namespace cottonspool
