/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_simulation.h Hundreds of instances that share the reading of one table, in simulated time and without a network. */

#pragma once

#include "decision/peer_directory.h"
#include "gateway/gateway_type.h"
#include "peer/peer_message.h"
#include "store/table_sharing.h"
#include <memory>
#include <set>

namespace cottonspool {

/** How the simulated world is laid out. */
struct SharingSimulationLayout {
	size_t halls = 5;     ///< Data halls.
	size_t per_hall = 59; ///< Instances in each.
};

/** Instances, the store that they read and the links between them. */
class SharingSimulation {
public:
	explicit SharingSimulation(SharingSimulationLayout layout);
	~SharingSimulation();

	/** Let \a time pass. */
	void Advance(Duration time);

	/** Change the table. @return Its content, which the instances are to know. */
	uint64_t Write();

	/** Write to other tables \a times, which the store's versions count too. */
	void WriteElsewhere(uint64_t times) { this->state.version += times; }

	/** The store keeps a copy of itself. */
	void TakeBackup() { this->copy = this->state; }

	/** The store is away: it answers nobody. */
	void StopStore() { this->store_unavailable = true; }

	/**
	 * It comes back from its copy, in its next era.
	 * @param late Calls that wait are answered as of before, each after a time of its own up to this one; otherwise they hang on.
	 */
	void RestoreBackup(std::optional<Duration> late);

	/** What was written last is written again, as the store may have lost it. @return Its content. */
	uint64_t RewriteLast();

	/** An instance ends without a word. */
	void Kill(size_t instance);

	/** It starts again and knows nothing. */
	void Restart(size_t instance);

	/** A hall is cut off from the other halls, and from the store too if \a from_store. */
	void Partition(size_t hall, bool from_store);

	/** It is no longer cut off. */
	void HealPartition(size_t hall);

	/** The store says nothing to an instance any more, or does again. */
	void SetStoreReachable(size_t instance, bool reachable);

	/** @return Instances that run, can reach the store and have done so since \a since, but don't know \a content or a later one. */
	size_t CountBehind(uint64_t content, TimePoint since) const;

	/** @return Times that an instance was told, as news, of content older than it had. */
	uint64_t Reverts() const { return this->reverts; }

	/** @return Number of instances. */
	size_t Size() const;

	/** @return Calls to the store so far. */
	uint64_t Calls() const { return this->calls; }

	/** @return The time. */
	TimePoint Now() const { return this->now; }

	/** @return The instance that reads the table for all; -1 if it is not exactly one. */
	int OnlyReader() const;

	/** @return Time within which a change has to be known everywhere. */
	Duration MaxPropagationDelay() const;

	/** @return The hall of \a instance. */
	size_t HallOf(size_t instance) const { return instance / this->layout.per_hall; }

private:
	struct Instance;
	class View;

	/** Something that happens at a time. */
	struct Event {
		TimePoint at;                 ///< When.
		uint64_t order;               ///< Order among those of the same time.
		std::function<void()> action; ///< What.
		bool operator<(const Event &other) const { return std::tie(this->at, this->order) < std::tie(other.at, other.order); }
	};

	void Schedule(Duration time, std::function<void()> action);
	/** @return Speed of the link of \a instance, in Mbit/s. */
	double LinkOf(size_t instance) const;
	void Tick(Instance &instance);
	void Dial(Instance &instance);
	void Send(Instance &instance, const TablesMessage &message, const std::set<std::string> &except);
	void Receive(Instance &instance, const TablesMessage &message);
	bool IsLinked(const Instance &a, const Instance &b) const;
	bool CanReachStore(const Instance &instance) const;
	void Answer(uint64_t call, RowsAnswer answer);
	RowsAnswer Snapshot() const;
	RowsAnswer Changes(uint64_t since) const;
	void OnRows(Instance &instance, const std::vector<StoredRow> &rows, bool all);
	void AnswerWaitingCalls();
	Instance &Find(const std::string &address) { return *this->by_address.at(address); }

	SharingSimulationLayout layout;                      ///< Layout.
	GatewayLimits limits;                                ///< Limits as on the platform.
	std::vector<std::unique_ptr<Instance>> instances;    ///< Instances; those of a hall side by side.
	std::map<std::string, Instance *> by_address;        ///< The same by address.
	std::set<size_t> partitioned_halls;                  ///< Halls cut off from the others.
	std::set<size_t> cut_from_store;                     ///< Halls cut off from the store.
	std::set<Event> events;                              ///< What is to come.
	std::map<uint64_t, TableStore::RowsDone> open_calls; ///< Calls that wait for an answer.
	std::map<uint64_t, uint64_t> waiting_calls;          ///< Those that wait for a change, with the version since which.
	std::map<uint64_t, Instance *> caller;               ///< Who made each.
	/** What the store holds. */
	struct State {
		uint64_t version = 1; ///< Counter of all its writes.
		uint64_t written = 1; ///< Version at which the table was written.
		uint64_t content = 1; ///< What was written.
	};

	State state;                                         ///< Store.
	State copy;                                          ///< Copy that it keeps.
	uint64_t epoch = 1;                                  ///< Which life of the store it is.
	uint64_t newest = 1;                                 ///< Content that was written last, also if the store has lost it.
	uint64_t reverts = 0;                                ///< Changes told that took an instance back within one era.
	bool store_unavailable = false;                      ///< It answers nobody.
	uint64_t next_call = 1;                              ///< Number of the next call.
	uint64_t next_order = 1;                             ///< Order of the next event.
	uint64_t calls = 0;                                  ///< Calls made.
	TimePoint now = TimePoint{} + std::chrono::hours(1); ///< Clock.
};

} // namespace cottonspool
