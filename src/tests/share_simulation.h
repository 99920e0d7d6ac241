/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file share_simulation.h Many instances that share engines under a virtual clock, to observe how accounts divide the memory. */

#pragma once

#include "decision/dispatcher.h"
#include "decision/hall_load.h"
#include <functional>
#include <map>
#include <memory>
#include <pcg_random.hpp>

namespace cottonspool {

/** Size and load of a simulation. */
struct ShareSimulationConfig {
	size_t instances = 12;                                ///< Number of instances.
	size_t halls = 3;                                     ///< Number of halls; instances and engines are spread evenly.
	size_t engines = 12;                                  ///< Number of engines.
	uint32_t memory = 26875;                              ///< KV cache of an engine, in tokens.
	uint32_t prompt = 3000;                               ///< Prompt of each call, in tokens.
	uint32_t output = 752;                                ///< Mean output of a call, in tokens.
	Duration duration = std::chrono::seconds(6);          ///< Mean duration of a call at an engine.
	Duration wait_limit = std::chrono::milliseconds(880); ///< Longest wait of a call.
	Duration objective = std::chrono::milliseconds(4000); ///< Objective for the time until an engine runs a call.
	Duration update_age = std::chrono::milliseconds(25);  ///< Age of updates inside a hall, which are sent at once.
	Duration sums_age = std::chrono::milliseconds(450);   ///< Greatest age of the sums of other halls.
	bool use_shares = true;                               ///< Whether accounts are limited to their share.
	uint32_t seed = 1;                                    ///< Seed of arrivals and of the choice of instances.
	std::vector<double> rates;                            ///< Calls a second of each account.
};

/** Calls of one account. */
struct ShareStatistics {
	uint64_t submitted = 0;                 ///< Calls submitted.
	uint64_t sent = 0;                      ///< Calls sent to an engine.
	uint64_t rejected = 0;                  ///< Calls rejected for any reason.
	uint64_t share_rejected = 0;            ///< Calls rejected with RejectReason::AccountShare.
	uint64_t in_time = 0;                   ///< Calls that an engine began to run within the objective.
	uint64_t late = 0;                      ///< Calls that an engine began to run later.
	std::optional<TimePoint> starved_since; ///< When the first call was rejected since one was last sent.
	Duration longest_starved{0};            ///< Longest time from a rejected call until one was sent.

	/** @return Fraction of the decided calls that ran in time. */
	double Served() const
	{
		uint64_t decided = this->in_time + this->late + this->rejected;
		return decided == 0 ? 1 : static_cast<double>(this->in_time) / static_cast<double>(decided);
	}
};

/** Simulates instances with delayed views of each other. */
class ShareSimulation {
public:
	explicit ShareSimulation(ShareSimulationConfig config);
	~ShareSimulation();

	/** Run for \a time. */
	void Run(Duration time);

	/** Set the calls a second of \a account. */
	void SetRate(size_t account, double rate) { this->config.rates[account] = rate; }

	/** Cut the links between \a hall and the others, or connect them again. */
	void SetCut(size_t hall, bool cut);

	/** Restart \a instance: its calls are lost. */
	void Restart(size_t instance);

	/** Forget the statistics. */
	void ResetStatistics();

	/** @return The statistics of \a account. */
	const ShareStatistics &Of(size_t account) const { return this->statistics[account]; }

	/** @return Memory held by \a account at all engines, in tokens. */
	double HeldBy(size_t account) const;

	/** @return Memory held by all accounts, in relation to the memory of all engines. */
	double Use() const;

	/** @return Memory of all engines, in tokens. */
	double Memory() const { return static_cast<double>(this->config.engines) * this->config.memory; }

	/** @return The dispatcher of \a instance. */
	Dispatcher &DispatcherOf(size_t instance);

	/** @return Number of accounts that \a instance limits. */
	size_t LimitedAt(size_t instance) const;

	std::string trace; ///< All decisions, to compare runs.

private:
	struct Node;
	/** A call at an engine. */
	struct RunningCall {
		size_t node = 0;
		size_t account = 0;
		TargetNumber target;
		TimePoint arrived;                ///< When it arrived at its instance.
		std::optional<TimePoint> started; ///< When its engine began to run it; nothing while it waits there for memory.
		double length = 1;                ///< Its output and duration, in relation to the mean.
		uint32_t generated = 0;
		bool unreachable = false; ///< Its engine is cut off from its instance.
	};
	/** A call that waits. */
	struct WaitingCall {
		size_t node = 0;
		size_t account = 0;
		TimePoint arrived; ///< When it arrived at its instance.
	};

	/** @return Hall of the instance or engine with the index \a index. */
	size_t HallOf(size_t index) const { return index % this->config.halls; }
	/** @return Whether instances of \a from reach the hall \a to. */
	bool Reaches(size_t from, size_t to) const { return from == to || (!this->cut[from] && !this->cut[to]); }
	/** Create or replace the instance \a index. */
	void Create(size_t index);
	/** @return A random length of a call, in relation to the mean. */
	double DrawLength();
	/** Submit the calls of one step. */
	void Arrive();
	/** Advance and end calls at engines. */
	void Progress();
	/** Send load reports of the engines to the instances of their hall. */
	void ReportEngines();
	/** Send updates between instances, and deliver those that are due. */
	void Exchange();
	/** Apply \a decisions of the instance \a node. */
	void Apply(size_t node, const Decisions &decisions);
	/** End the call \a id with \a outcome. */
	void End(uint64_t id, SendOutcome outcome);
	/** @return The update about the call \a id. */
	CallUpdate UpdateOf(uint64_t id, const RunningCall &call) const;
	/** Send updates about calls to the instances of the same hall. */
	void PublishCalls();
	/** Send the sums of each hall to the other halls. */
	void PublishSums();
	/** Apply the sums of another hall at the instance \a index. */
	void ReceiveSums(size_t index, const HallLoadMessage &message);

	ShareSimulationConfig config;
	pcg32 random;
	TimePoint now{std::chrono::seconds(1000)};
	std::vector<std::unique_ptr<Node>> nodes;
	std::vector<bool> cut;                                      ///< Whether each hall is cut off.
	std::vector<ShareStatistics> statistics;                    ///< Statistics by account.
	std::map<uint64_t, WaitingCall> waiting;                    ///< Waiting calls.
	std::map<uint64_t, RunningCall> running;                    ///< Calls at engines.
	std::multimap<TimePoint, std::function<void()>> deliveries; ///< Messages on their way.
	TimePoint next_reports;                                     ///< When engines next report.
	TimePoint next_sums;                                        ///< When sums are next sent.
	TimePoint next_snapshot;                                    ///< When snapshots are next sent.
	uint64_t next_call = 1;                                     ///< Id of the next call.
	uint64_t incarnations = 0;                                  ///< Instances created so far.
};

} // namespace cottonspool
