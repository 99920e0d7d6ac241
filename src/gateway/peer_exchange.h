/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.h Discovers the other instances in the store and exchanges updates of calls, reports and tables with them. */

#pragma once

#include "decision/byte_budget.h"
#include "decision/dispatcher.h"
#include "decision/forward_choice.h"
#include "decision/hall_load.h"
#include "decision/peer_load.h"
#include "decision/pending_signals.h"
#include "net/tcp_stream.h"
#include "peer/peer_links.h"
#include "store/table_sharing.h"

namespace cottonspool {

/** Timeouts and limits of the exchange. */
struct ExchangeLimits {
	Duration heartbeat = std::chrono::milliseconds(500); ///< Shortest interval between heartbeats.
	/** Interval between heartbeats for each live peer, which bounds the number that an instance receives. */
	Duration heartbeat_per_peer = std::chrono::milliseconds(40);
	double missed_heartbeats = 3.6; ///< Missed heartbeats after which a peer is forgotten; a fraction of one is slack.
	Duration max_batch_delay = std::chrono::milliseconds(120); ///< Longest delay for batching updates that are not urgent.
	double link_mbps = 0; ///< Speed of this instance's network link, published to peers, in Mbit/s; 0 if unknown.
	/** Interval between urgent updates for each link; with many peers, batching saves wake-ups. */
	Duration urgent_interval_per_link = std::chrono::microseconds(500);
	bool publish_calls = true;                                  ///< Publish the calls of this instance.
	bool publish_hall_load = true;                              ///< Publish sums of the load of the hall's targets to other halls.
	Duration hall_load_period = std::chrono::milliseconds(150); ///< Shortest interval between such messages.
	/** Interval for each sum in such a message. At 25 bytes a sum, it bounds what a hall sends over one link to some 10 KB a second. */
	Duration hall_load_interval_per_sum = std::chrono::microseconds(2500);
	Duration hall_idle_period = std::chrono::seconds(1); ///< Interval between such messages if they report no load at all.
	bool share_reports = true;                           ///< One instance fetches an engine's reports for all.
	double forward_bytes_per_s = 256e3; ///< Budget for forwarded rows, in bytes a second; beyond it, receivers read the rows themselves.
	double snapshot_bytes_per_s =
	        640e3; ///< Budget for snapshots to instances that start, in bytes a second; beyond it, they turn to others.
	/**
	 * Time after the start in which this instance does not read for others. Instances that start together need it to discover each other;
	 * each would consider itself the only reader until then: 61 instances made 241 store calls for one table in two seconds.
	 */
	Duration settle_time = std::chrono::milliseconds(600);
	Duration table_request_interval =
	        std::chrono::milliseconds(400);               ///< Timeout of a request for tables, after which another instance gets it.
	Duration table_request_ttl = std::chrono::seconds(2); ///< Time for which a request for tables that are not known yet is stored.
	/** Time after the start at which tables are read even if the list of instances is unknown. */
	Duration list_timeout = std::chrono::milliseconds(300);
	/** When the system is bootstrapped: time without new instances after which their list counts as complete. */
	Duration list_settle_time = std::chrono::milliseconds(1500);
	Duration list_max_wait = std::chrono::seconds(8); ///< Longest wait for that.
	Duration table_timeout = std::chrono::seconds(3); ///< Time after which a table that no peer sends is read from the store.
	/** Additional time for each instance that precedes in the order of readers. */
	Duration table_timeout_per_instance = std::chrono::milliseconds(250);
	Duration readers_refresh_interval = std::chrono::milliseconds(200); ///< Interval for updating which instance reads for which.
	DialLimits dial;                                                    ///< Connecting to peers.
	bool bootstrap = false;                                             ///< The system is bootstrapped, so no instance is listed yet.
	/** Timeout for writing this instance's row; a store that gets the rows of all instances at once needs time for them. */
	Duration register_timeout = std::chrono::seconds(4);
	Duration register_retry_delay = std::chrono::seconds(1); ///< Delay after a failed write of the row.
	/** Random delay before the row is written to a restored store or after a failure, as all instances do so. */
	Duration register_jitter = std::chrono::seconds(1);
	/** Following the table of instances, which seldom changes. */
	WatchLimits watch{.wait = std::chrono::seconds(10),
	                  .takeover_delay = std::chrono::seconds(13),
	                  .max_takeover_delay = std::chrono::seconds(15),
	                  .allow_gaps = true,
	                  .max_backoff = std::chrono::seconds(4)};
};

/** Where an instance that starts gets the tables from. */
enum class TableSource : uint8_t {
	Undecided, ///< The other instances are not known yet.
	FromStore, ///< Each instance reads the store, as there are few.
	FromPeers, ///< One instance reads the store, and the others request the tables from peers.
};

/** Exchanges updates with the other instances, for one instance. */
class PeerExchange {
public:
	/** Receives each report that a peer has fetched. */
	using ReportHandler = std::function<void(const ReportUpdate &)>;

	PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, std::string hall, ExchangeLimits limits,
	             ReportHandler on_report);

	std::function<HallLoadMessage(TimePoint)> make_hall_load;  ///< @return The load of the hall's targets; called several times a second.
	std::function<void(const HallLoadMessage &)> on_hall_load; ///< Receives the load of another hall.

	/** @return All signals of targets known here; called when a link opens. */
	std::function<std::vector<TargetSignalUpdate>(TimePoint)> known_signals;
	std::function<void(const TargetSignalUpdate &)> on_signals; ///< Receives a signal that another instance got from a target.

	std::function<uint32_t(const LeaseRequestMessage &)>
	        on_lease_request;                                      ///< @return The part of a share that is lent to another instance.
	std::function<void(const LeaseGrantMessage &)> on_lease_grant; ///< Receives the answer to a lease request.

	/** Send \a request to \a owner if there is a link to it. */
	void RequestLease(const std::string &owner, const LeaseRequestMessage &request);

	/** Share reads of \a watch with the peers. */
	void Share(TableWatch &watch);

	std::function<void(TimePoint)> on_listed; ///< Called when the list of instances is complete, and when the number of cells changes.

	/** Send the division \a own of the targets in \a table among cells along with snapshots of it, and update it from peers. */
	void ShareDivision(TargetDivision &own, const std::string &table)
	{
		this->division = &own;
		this->divided_table = table;
	}

	/** @return Where the tables that all instances need should be read from at the start. */
	TableSource ChooseTableSource(TimePoint now) const;

	/** @return Time after which a table requested from peers is read from the store; zero at the instance that reads for all. */
	Duration TableTimeout() const;

	/** @return Number of cells. */
	uint32_t Cells() const { return this->directory.Cells().cells; }

	/** @return The follower of the table of instances. */
	TableWatch &Watch() { return this->watch; }

	/** The store has been restored from a backup; a snapshot of the list of instances follows. */
	void OnStoreRestored(TimePoint now);

	/** Share reads of \a watch with the peers; the instance that reads \a lead_table for all reads it as well. */
	void ShareWith(TableWatch &watch, TableWatch &lead_table);

	/** While the store is unavailable, probe it only through \a first. */
	void SetRecoveryProbe(const TableWatch &first) { this->watch.SetRecoveryProbe(first); }

	/** Publish that this instance accepts requests from other instances at \a port; to be called before Start(). */
	void SetForwardPort(uint16_t port) { this->forward_port = port; }

	/** @return The listed instances of this cell in each of \a halls that accept requests from other instances. */
	std::vector<HallCandidates> ForwardCandidates(const std::vector<std::string> &halls) const;

	/** @return The address at which \a peer accepts requests from other instances; nothing if it does not. */
	std::optional<Endpoint> ForwardAddressOf(const std::string &peer) const;

	/** Exchange updates only inside the local hall, or with all instances up to a limit. */
	void SetHallOnly(bool only);

	/** @return Whether updates are exchanged only inside the local hall. */
	bool IsHallOnly() const { return this->directory.IsHallOnly(); }

	/** Listen at \a at and start to discover the other instances. */
	Result<void> Start(const Endpoint &at, TimePoint now);

	/** Remove this instance's row from the store, as it stops. */
	void Deregister();

	/**
	 * Publish that a call of this instance runs at a target, or has advanced there.
	 * @param account Client account; nothing if peers need not know it.
	 * @param at_once Don't wait for a batch.
	 */
	void PublishCall(const CallSpec &call, const std::string &pool, std::optional<std::string> account, const std::string &target,
	                 uint32_t generated, bool at_once);

	/** Publish that a call of this instance has ended. */
	void PublishCallEnded(CallId call);

	/** Publish a report that was fetched here. */
	void PublishReport(const std::string &target, const LoadReport &report);

	/** Publish a signal \a update that a target sent with the answer to a request of time \a requested_at, at the next tick. */
	void PublishSignals(const TargetSignalUpdate &update, TimePoint requested_at) { this->pending_signals.Add(update, requested_at); }

	/** Send what is due; to be called several times a second. */
	void OnTick(TimePoint now);

	/** Send all pending updates of calls and reports. */
	void Flush();

	/** @return Whether this instance fetches the reports of \a target for itself and its peers. */
	bool ReadsReportsOf(const std::string &target) const;

	/** @return Number of instances in the store, including this one; zero before the list was read. */
	size_t Instances() const;

	/** @return Names of the listed instances of the local cell, including this one; none while most of them are unknown. */
	std::vector<std::string> KnownInstances() const;

	/**
	 * @return Names of the instances that share a rate limit of a target in \a hall: those of that hall, which send it most requests, or
	 *         all if the hall has none; none while most instances are unknown.
	 */
	std::vector<std::string> SharersOf(const std::string &hall) const;

	/** @return Whether most peers with which this instance exchanges updates are alive. */
	bool HearsMost() const;

	/** @return Number of open links to peers. */
	size_t Links() const { return this->links.OpenLinks(); }

private:
	struct PendingTablesRequest;
	/** Handle a message of a peer. */
	void OnMessage(const PeerMessage &message, const PeerLinks::Reply &reply);
	/** Send a heartbeat, a snapshot of the own calls, to all peers. */
	void Heartbeat(TimePoint now);
	/** Update the live peers, and which instance reads or publishes for which. */
	void RefreshReaders(TimePoint now);
	/** Apply updates of tables, and forward them to the hall if this instance is in charge of that. */
	void OnTables(const TablesMessage &message, TimePoint now);
	/** Request missing tables from a peer, if it is time to. */
	void RequestTables(TimePoint now);
	/** Store a peer's request for tables. */
	void OnTablesRequest(const TablesRequestMessage &request, const PeerLinks::Reply &reply, TimePoint now);
	/** Answer stored requests with the tables that are known by now. */
	void AnswerTablesRequests(TimePoint now);
	/** Answer \a request with the requested tables that are known here, within the budget, and remove them from it. */
	void AnswerTablesRequest(PendingTablesRequest &request, TimePoint now);
	/** @return The encoded snapshot of \a table; null while the table is unknown. */
	const std::string *TableSnapshot(const std::string &table);
	/** @return Whether \a message contains a snapshot of the targets. */
	bool HasAllTargets(const TablesMessage &message) const;
	/** Adopt the division of the targets in \a message, if it contains a snapshot of them. */
	void AdoptShards(const TablesMessage &message);
	/** Add the division of the targets to \a message, if it contains a snapshot of them. */
	void AddShards(TablesMessage &message) const;
	/** @return Names of the instances of the local hall and cell, including this one, in the order in which tables are forwarded. */
	std::vector<std::string> HallOrder() const;
	/** @return Addresses of connected instances from which tables can be requested. @param order Order of the hall. */
	std::vector<std::string> RequestCandidates(const std::vector<std::string> &order) const;
	/** @return This instance and all listed ones of its cell, with the speed of their network links. */
	std::vector<Reader> ListedInstances() const;
	/** Handle a change of the number of cells. */
	void OnCellsChanged(TimePoint now);
	/** Send \a message to all peers except \a except, within the budget for rows. */
	void PublishTables(TablesMessage message, const std::set<std::string> &except);
	/** @return The time between two heartbeats. */
	Duration HeartbeatInterval() const;
	/** @return Whether an urgent update may be sent without a batch. */
	bool MaySendNow(TimePoint now) const;
	/** Add a peer that has announced itself. */
	void OnPresence(const PresenceMessage &message, TimePoint now);
	/** @return The location of this instance. */
	PeerLocation OwnLocation() const { return {this->address, this->hall, this->limits.link_mbps, this->forward_port}; }
	/** @return The location and view of this instance. */
	PresenceMessage Presence() const;
	/** Send the load of the hall's targets to other halls. */
	void PublishHallLoad(TimePoint now);
	/** Apply the load of another hall, and forward it inside the hall. */
	void OnHallLoad(const HallLoadMessage &message);
	/** Apply signals that a peer got from targets, and forward them between halls. */
	void OnSignals(const SignalsMessage &message);
	/** Send the pending signals. */
	void FlushSignals(TimePoint now);
	/** Write this instance's row. */
	void Register(TimePoint now);
	/** The write of the row has ended. */
	void OnRegistered(StoreWriteResult result, TimePoint now);
	/** Start to follow the table of instances. */
	void BeginReading(TimePoint now);
	/** Apply rows of the table of instances. @param is_snapshot Whether they are all rows, rather than changes. */
	void OnRows(const std::vector<StoredRow> &rows, bool is_snapshot);
	/** Forget the peers before a snapshot, except connected ones after a restore of the store. */
	void ResetPeers();
	/** Update which peers this instance keeps links to. */
	void Dial(TimePoint now);
	/** @return This instance and its live peers, with the speed of their network links. */
	std::vector<Reader> Readers() const;
	/** @return All own calls at targets. */
	LoadMessage MakeLoadSnapshot() const;

	TableStore &store;
	PeerLoad &load;       ///< Calls of the peers.
	std::string name;     ///< Name of this instance.
	std::string hall;     ///< Hall of this instance.
	uint64_t incarnation; ///< Incarnation of this instance.
	ExchangeLimits limits;
	TableSharing sharing; ///< Tables whose reads are shared.
	ReportHandler on_report;
	PeerLinks links;
	TableWatch watch;                         ///< Follows the table of instances.
	std::string address;                      ///< Address of this instance for peers.
	uint16_t forward_port = 0;                ///< Port for requests from other instances; 0 for none.
	PeerDirectory directory;                  ///< Other instances.
	std::set<std::string> forwarders;         ///< Addresses in other halls that only get updates of tables, signals and load sums.
	uint32_t max_known_instances = 0;         ///< Largest number of instances known at a time, here or at a peer.
	std::map<uint64_t, CallUpdate> own_calls; ///< Own calls at targets by number.
	LoadMessage pending;                      ///< Pending updates of calls and reports.
	PendingSignals pending_signals;           ///< Pending signals of targets.
	/** A stored request for tables. */
	struct PendingTablesRequest {
		TablesRequestMessage request;
		PeerLinks::Reply reply;
		TimePoint until; ///< When it expires.
	};
	/** An encoded message with the snapshot of a table. */
	struct EncodedSnapshot {
		StoreVersion version; ///< Version of the table.
		std::string bytes;
	};
	std::vector<PendingTablesRequest> tables_requests;        ///< Stored requests for tables.
	std::map<std::string, EncodedSnapshot> encoded_snapshots; ///< Latest snapshot sent of each table.
	std::string first_requested;                              ///< Address of the first candidate that has got a request.
	bool requests_from_halls = false;                         ///< Whether this instance requests tables from other halls, for its own hall.
	TimePoint next_answer_at;                                 ///< When stored requests are next handled.
	TargetDivision *division = nullptr;                       ///< Division of the targets among cells; null for none.
	std::string divided_table;                                ///< Name of the table of targets.
	TimePoint next_tables_request_at;                         ///< When tables are next requested.
	size_t tables_requests_sent = 0;                          ///< Requests sent so far.
	TimePoint list_changed_at;                                ///< When the list of instances last changed.
	ByteBudget forward_budget;                                ///< Budget for forwarded rows.
	ByteBudget snapshot_budget;                               ///< Budget for snapshots.
	TimePoint pending_since;                                  ///< When the first pending update was added.
	TimePoint flushed_at;                                     ///< When updates were last sent.
	bool urgent = false;                                      ///< Whether a pending update is urgent.
	TimePoint exchange_started;                               ///< When the exchange started.
	TimePoint heartbeat_sent_at;                              ///< When the last heartbeat was sent.
	bool publishes_hall_load = false;                         ///< Whether this instance publishes the load of its hall to other halls.
	TimePoint next_hall_load_at;                              ///< When it does so next.
	TimePoint hall_load_sent_at;                              ///< When it did so last.
	bool sent_empty_load = false;                             ///< Whether that reported no load.
	TimePoint readers_updated_at;                             ///< When the readers were last updated.
	TimePoint next_register_at;                               ///< When this instance's row is written next, or its write times out.
	uint64_t registrations = 0;                               ///< Finished writes of the row.
	bool registered = false;                                  ///< Whether the row is in the store.
	bool stopping = false;                                    ///< This instance stops, so its row is not written any more.
	bool reading = false;                                     ///< Reading the table of instances has started.
	bool verify_list = false;         ///< The store may have lost rows, so connected instances missing from the next snapshot are kept.
	uint64_t register_call = 0;       ///< Write of the row in progress; 0 for none.
	std::vector<std::string> readers; ///< This instance and its live peers.
};

} // namespace cottonspool
