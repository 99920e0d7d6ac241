/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file sharing_simulation.h Simulation of hundreds of instances that share a table, in simulated time and without a network. */

#pragma once

#include "decision/peer_directory.h"
#include "gateway/gateway_type.h"
#include "peer/peer_message.h"
#include "store/table_sharing.h"
#include <memory>
#include <set>

namespace cottonspool {

/** Size of the simulation. */
struct SharingSimulationLayout {
	size_t halls = 5;     ///< Data halls.
	size_t per_hall = 59; ///< Instances per data hall.
};

/** Simulates instances, the store that they read, and the links between them. */
class SharingSimulation {
public:
	explicit SharingSimulation(SharingSimulationLayout layout);
	~SharingSimulation();

	/** Advance the simulated time by \a time. */
	void Advance(Duration time);

	/** Change the content of the table. @return The new content. */
	uint64_t Write();

	/** Advance the version of the store by \a times writes to other tables. */
	void WriteElsewhere(uint64_t times) { this->state.version += times; }

	/** Take a backup of the store. */
	void TakeBackup() { this->backup = this->state; }

	/** Make the store unavailable to all instances. */
	void StopStore() { this->store_unavailable = true; }

	/**
	 * Restore the store from its backup, in the next epoch, and make it available.
	 * @param late Pending long polls are answered with the state before the restore, after different delays up to this one; nothing to
	 * leave them unanswered.
	 */
	void RestoreBackup(std::optional<Duration> late);

	/** Write the last content again, as a restore may have lost it. @return The content. */
	uint64_t RewriteLast();

	/** Crash an instance. */
	void Kill(size_t instance);

	/** Restart an instance without any state. */
	void Restart(size_t instance);

	/** Partition a data hall from the other ones, and from the store if \a from_store. */
	void Partition(size_t hall, bool from_store);

	/** End the partition of a data hall. */
	void HealPartition(size_t hall);

	/** Set whether the store answers an instance. */
	void SetStoreReachable(size_t instance, bool reachable);

	/** @return Number of instances that have been able to reach the store since \a since, but don't have \a content or newer. */
	size_t CountBehind(uint64_t content, TimePoint since) const;

	/** @return Number of times that an instance took in changes older than its state. */
	uint64_t Reverts() const { return this->reverts; }

	/** @return Number of instances. */
	size_t Size() const;

	/** @return Number of calls to the store. */
	uint64_t Calls() const { return this->calls; }

	/** @return The simulated time. */
	TimePoint Now() const { return this->now; }

	/** @return The instance that reads the table from the store; -1 if there is not exactly one. */
	int OnlyReader() const;

	/** @return Time limit for a change to arrive at all instances. */
	Duration MaxPropagationDelay() const;

	/** @return Data hall of \a instance. */
	size_t HallOf(size_t instance) const { return instance / this->layout.per_hall; }

private:
	struct Instance;
	class StoreClient;

	/** A scheduled event. */
	struct Event {
		TimePoint at;                 ///< Time of the event.
		uint64_t order;               ///< Order among events of the same time.
		std::function<void()> action; ///< What happens.
		bool operator<(const Event &other) const { return std::tie(this->at, this->order) < std::tie(other.at, other.order); }
	};

	void Schedule(Duration time, std::function<void()> action);
	/** @return Bandwidth of the network link of \a instance, in Mbit/s. */
	double LinkMbps(size_t instance) const;
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

	SharingSimulationLayout layout;                      ///< Size of the simulation.
	GatewayLimits limits;                                ///< Limits as in production.
	std::vector<std::unique_ptr<Instance>> instances;    ///< Instances, ordered by data hall.
	std::map<std::string, Instance *> by_address;        ///< Instances by address.
	std::set<size_t> partitioned_halls;                  ///< Data halls partitioned from the others.
	std::set<size_t> halls_without_store;                ///< Data halls partitioned from the store.
	std::set<Event> events;                              ///< Scheduled events.
	std::map<uint64_t, TableStore::RowsDone> open_calls; ///< Unanswered calls by call number.
	std::map<uint64_t, uint64_t>
	        waiting_calls;                 ///< Pending long polls: the version number after which changes are requested, by call number.
	std::map<uint64_t, Instance *> caller; ///< Caller by call number.
	/** State of the store. */
	struct State {
		uint64_t version = 1; ///< Version number: counts all writes.
		uint64_t written = 1; ///< Version number of the last write to the table.
		uint64_t content = 1; ///< Content of the table.
	};

	State state;                                         ///< Current state.
	State backup;                                        ///< State in the backup.
	uint64_t epoch = 1;                                  ///< Store epoch.
	uint64_t newest = 1;                                 ///< Content that was written last, even if a restore lost it.
	uint64_t reverts = 0;                                ///< Number of times that an instance took in changes older than its state.
	bool store_unavailable = false;                      ///< The store is unavailable to all instances.
	uint64_t next_call = 1;                              ///< Next call number.
	uint64_t next_order = 1;                             ///< Order number of the next event.
	uint64_t calls = 0;                                  ///< Number of calls.
	TimePoint now = TimePoint{} + std::chrono::hours(1); ///< Simulated time.
};

} // namespace cottonspool
