/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.h Finds the other instances in the store and exchanges news of calls and reports with them. */

#pragma once

#include "decision/byte_budget.h"
#include "decision/dispatcher.h"
#include "decision/hall_load.h"
#include "decision/peer_load.h"
#include "net/tcp_stream.h"
#include "peer/peer_links.h"
#include "store/table_sharing.h"

namespace cottonspool {

/** Times of the exchange. */
struct ExchangeLimits {
	Duration heartbeat = std::chrono::milliseconds(500); ///< Least time between heartbeats.
	Duration heartbeat_per_peer =
	        std::chrono::milliseconds(40); ///< Time between heartbeats for each live peer: their number stays bounded.
	double missed_heartbeats = 3.6;        ///< Heartbeats missed after which a peer is forgotten: three and a lost packet.
	Duration max_batch_delay = std::chrono::milliseconds(120); ///< Longest time for which news that is not urgent waits for company.
	double link_mbps = 0; ///< Speed of this instance's link, told to the others, in Mbit/s; 0 if unknown.
	Duration urgent_interval_per_link = std::chrono::microseconds(500); ///< Pause between urgent news for each link: with many peers
	                                                                    ///< several go out together, as each costs each of them a wake-up.
	bool publish_calls = true;                                          ///< Tell the others where own calls run.
	bool publish_hall_load = true;                                      ///< Halls tell each other sums of their targets' load.
	Duration hall_load_period = std::chrono::milliseconds(150);         ///< Least time between such sums.
	/** Time between sums for each of them: some 10 KB a second from each hall at most, of 25 bytes a sum. With 1,000 engines a hall and
	 *  100 instances that a relay passes them on to, 8 Mbit/s from each hall (by arithmetic). */
	Duration hall_load_interval_per_sum = std::chrono::microseconds(2500);
	Duration hall_idle_period = std::chrono::seconds(1); ///< Time between messages that tell of no load at all.
	bool share_reports = true;                           ///< One instance reads an engine's reports for all.
	double forward_bytes_per_s = 256e3;  ///< Bytes of rows that may be passed on in a second; beyond, each one reads them itself.
	double snapshot_bytes_per_s = 640e3; ///< The same for whole tables handed to instances that start; those turn to others beyond.
	Duration settle_time =
	        std::chrono::milliseconds(600); ///< Time after the start in which this instance doesn't read for others: those that
	                                        ///< start together need it to hear of each other, and each would take itself for the
	                                        ///< first until then (61 instances: 241 calls that follow a table in two seconds).
	Duration table_request_interval =
	        std::chrono::milliseconds(400); ///< Time for tables that were asked for to come, after which another instance is asked.
	Duration table_request_ttl = std::chrono::seconds(2);        ///< Time for which an instance that asked too early is remembered.
	Duration list_timeout = std::chrono::milliseconds(300);      ///< Time after the start at which tables are read though nobody is known.
	Duration list_settle_time = std::chrono::milliseconds(1500); ///< At the first start of all: time without a new instance after which
	                                                             ///< they are taken for complete.
	Duration list_max_wait = std::chrono::seconds(8);            ///< Longest wait for that.
	Duration table_timeout = std::chrono::seconds(3);            ///< Time after which a table that nobody tells is read here.
	Duration table_timeout_per_instance =
	        std::chrono::milliseconds(250); ///< Further time for each instance that comes before in the order of readers.
	Duration readers_refresh_interval = std::chrono::milliseconds(200); ///< Time between looks at who reads for whom.
	DialLimits dial;                                                    ///< Dialling of peers.
	bool bootstrap = false;                              ///< The whole system starts for the first time: nobody is listed yet.
	Duration register_timeout = std::chrono::seconds(4); ///< Time after which a write of this instance's row is given up: a store that is
	                                                     ///< asked by all at once works them off one after another.
	Duration register_retry_delay = std::chrono::seconds(1); ///< Pause before it is written again after a failure.
	Duration register_jitter = std::chrono::seconds(1); ///< Time over which the instances write theirs again that a store has forgotten.
	WatchLimits watch{.wait = std::chrono::seconds(10),
	                  .takeover_delay = std::chrono::seconds(13),
	                  .max_takeover_delay = std::chrono::seconds(15),
	                  .allow_gaps = true,
	                  .max_backoff = std::chrono::seconds(4)}; ///< Following the instances: they change seldom, and each look is paid for.
};

/** How tables are taken in at the start. */
enum class TableSource : uint8_t {
	Undecided, ///< The other instances are not known yet.
	Read,      ///< Each instance reads them: there are few.
	Ask,       ///< They are asked of the others, and read by one of them.
};

/** The exchange of one instance. */
class PeerExchange {
public:
	/** Called with each report that a peer has read. */
	using ReportHandler = std::function<void(const ReportUpdate &)>;

	PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, std::string hall, ExchangeLimits limits,
	             ReportHandler on_report);

	std::function<HallLoadMessage(TimePoint)> make_hall_load;  ///< Tells the load of the own hall's targets; asked some times a second.
	std::function<void(const HallLoadMessage &)> on_hall_load; ///< Called with what another hall tells.

	std::function<std::vector<TargetSignalUpdate>(TimePoint)>
	        known_signals;                                      ///< Tells what targets say of themselves now; asked when a link opens.
	std::function<void(const TargetSignalUpdate &)> on_signals; ///< Called with what another instance has heard of a target.

	std::function<uint32_t(const LeaseRequestMessage &)> on_lease_request; ///< Answers an ask for a part of a share.
	std::function<void(const LeaseGrantMessage &)> on_lease_grant;         ///< Called with such an answer of another instance.

	/** Send \a ask to \a owner, if there is a link to it. */
	void RequestLease(const std::string &owner, const LeaseRequestMessage &ask);

	/** Share the reading of \a watch with the others. */
	void Share(TableWatch &watch);

	std::function<void(TimePoint)>
	        on_listed; ///< Called when the list of instances was read whole, and when the number of cells has changed.

	/** The targets in \a table are divided among cells as \a own tells: told with the whole table, and set by others. */
	void ShareDivision(TargetDivision &own, const std::string &table)
	{
		this->division = &own;
		this->divided_table = table;
	}

	/** @return How tables that all instances need are to be taken in at the start. */
	TableSource ChooseTableSource(TimePoint now) const;

	/** @return Time after which a table that this instance asks others for is to be read here: none at the one that reads for all. */
	Duration TableTimeout() const;

	/** @return Number of cells. */
	uint32_t Cells() const { return this->directory.Cells().cells; }

	/** @return Follows the instances. */
	TableWatch &Watch() { return this->watch; }

	/** The store has come back from a copy; the whole list of instances follows. */
	void OnStoreRestored(TimePoint now);

	/** Share the reading of \a watch with the others: whoever reads \a lead_table for all reads it too. */
	void ShareWith(TableWatch &watch, TableWatch &lead_table);

	/** While \a first has lost the store, leave finding out that it is back to it. */
	void SetRecoveryProbe(const TableWatch &first) { this->watch.SetRecoveryProbe(first); }

	/** Exchange news with the instances of the own hall only, or with all unless they are too many. */
	void SetHallOnly(bool only);

	/** @return Whether news are exchanged inside the own hall only. */
	bool IsHallOnly() const { return this->directory.IsHallOnly(); }

	/** Listen on \a at and begin to look for the others. */
	Result<void> Start(const Endpoint &at, TimePoint now);

	/** This instance stops: take its row away. */
	void Deregister();

	/** A call of this instance is at a target, or is further on there. */
	void PublishCall(const CallSpec &call, const std::string &pool, const std::string &target, uint32_t generated, bool at_once);

	/** A call of this instance has ended. */
	void PublishCallEnded(CallId call);

	/** A report was read. */
	void PublishReport(const std::string &target, const LoadReport &report);

	/** A target has said \a news of itself with the answer to a request that was asked at \a tables_requests_sent: told with the next tick.
	 */
	void PublishSignals(TargetSignalUpdate news, TimePoint tables_requests_sent);

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

	/** Send what is waiting to be told. */
	void Flush();

	/** @return Whether this instance reads the reports of \a target for itself and its peers. */
	bool ReadsReportsOf(const std::string &target) const;

	/** @return Instances that the store lists, this one included; zero before the list was read. */
	size_t Instances() const;

	/** @return Names of the instances of the own cell that the store lists, this one included; none while most of all are not known here.
	 */
	std::vector<std::string> KnownInstances() const;

	/**
	 * @return Names of the instances that share what a target in \a hall takes from all instances: those of that hall, as most of what
	 *         it gets comes from them, or all where that hall has none; none while most instances are not known here.
	 */
	std::vector<std::string> SharersOf(const std::string &hall) const;

	/** @return Whether most of those that are listed in the own cell and exchange news with this instance were heard lately. */
	bool HearsMost() const;

	/** @return Open links to others. */
	size_t Links() const { return this->links.OpenLinks(); }

private:
	struct PendingTablesRequest;
	void OnMessage(const PeerMessage &message, const PeerLinks::Reply &reply);
	void Heartbeat(TimePoint now);
	void RefreshReaders(TimePoint now);
	void OnTables(const TablesMessage &message, TimePoint now);
	void RequestTables(TimePoint now);
	void OnTablesRequest(const TablesRequestMessage &ask, const PeerLinks::Reply &reply, TimePoint now);
	void AnswerTablesRequests(TimePoint now);
	/** Tell those tables that \a ask wants which are known here, as far as the link bears it now, and take them off it. */
	void AnswerTablesRequest(PendingTablesRequest &ask, TimePoint now);
	/** @return The message that tells \a table whole; null while it is not known here. */
	const std::string *TableSnapshot(const std::string &table);
	/** @return Whether \a message tells all targets. */
	bool HasAllTargets(const TablesMessage &message) const;
	/** Take over how the teller of \a message divides the targets, if it tells all of them. */
	void AdoptParts(const TablesMessage &message);
	/** Add to \a message how the targets are divided, if it tells all of them. */
	void AddParts(TablesMessage &message) const;
	/** @return Names of the instances of the own hall and cell, this one included, in the order in which tables go from one to others. */
	std::vector<std::string> HallOrder() const;
	/** @return Addresses of those that are linked, in the order in which they are asked; \a order is that of the hall. */
	std::vector<std::string> RequestCandidates(const std::vector<std::string> &order) const;
	/** @return This instance and all that are listed in its cell, with the speed of their links. */
	std::vector<Reader> Listed() const;
	void OnCellsChanged(TimePoint now);
	void PublishTables(TablesMessage message, const std::set<std::string> &except);
	Duration HeartbeatInterval() const;
	bool MaySendNow(TimePoint now) const;
	void OnPresence(const PresenceMessage &message, TimePoint now);
	PresenceMessage Presence() const;
	void PublishHallLoad(TimePoint now);
	void OnHallLoad(const HallLoadMessage &message);
	void OnSignals(const SignalsMessage &message);
	void FlushSignals(TimePoint now);
	void Register(TimePoint now);
	void OnRegistered(StoreWriteResult result, TimePoint now);
	void BeginReading(TimePoint now);
	void OnRows(const std::vector<StoredRow> &rows, bool all);
	void ResetPeers();
	void Dial(TimePoint now);
	/** @return This instance and its live peers, with the speed of their links. */
	std::vector<Reader> Readers() const;
	LoadMessage MakeLoadSnapshot() const;

	TableStore &store;                  ///< Store.
	PeerLoad &load;                     ///< Calls of others.
	std::string name;                   ///< Name of this instance.
	std::string hall;                   ///< Data hall it stands in.
	uint64_t incarnation;               ///< Its start.
	ExchangeLimits limits;              ///< Times.
	TableSharing sharing;               ///< Tables whose reading is shared.
	ReportHandler on_report;            ///< Gets reports that others read.
	PeerLinks links;                    ///< Links.
	TableWatch watch;                   ///< Follows the instances.
	std::string address;                ///< Own address for peers.
	PeerDirectory directory;            ///< Other instances.
	std::set<std::string> forwarders;   ///< Addresses in other halls to which only news of tables go.
	uint32_t max_known_instances = 0;   ///< Most instances that were known at once, here or to a peer.
	std::map<uint64_t, CallUpdate> own; ///< Own calls at targets.
	LoadMessage waiting;                ///< News not yet sent.
	/** News of what a target says of itself, not yet sent. */
	struct PendingSignals {
		TargetSignalUpdate news;        ///< News.
		TimePoint tables_requests_sent; ///< When the request was asked whose answer said so.
	};
	std::map<std::string, PendingSignals> pending_signals; ///< By target.
	/** An instance that asked for tables before they were known here. */
	struct PendingTablesRequest {
		TablesRequestMessage ask; ///< What it asked.
		PeerLinks::Reply reply;   ///< Answers it.
		TimePoint until;          ///< It is forgotten then.
	};
	/** A message that tells a table whole. */
	struct EncodedSnapshot {
		StoreVersion version; ///< Version of the table.
		std::string bytes;    ///< Message, encoded.
	};
	std::vector<PendingTablesRequest> tables_requests;        ///< Those that wait for an answer.
	std::map<std::string, EncodedSnapshot> encoded_snapshots; ///< By table, as it was last told to one of them.
	std::string first_requested;                              ///< Address of the first in the order that was asked.
	bool requests_from_halls = false;                         ///< This instance asks other halls for tables, for its own.
	TimePoint next_answer_at;                                 ///< When they are next looked at.
	TargetDivision *division = nullptr;                       ///< How targets are divided among cells; null if they are not.
	std::string divided_table;                                ///< Table of the targets.
	TimePoint next_tables_request_at;                         ///< When tables are next asked for.
	size_t tables_requests_sent = 0;                          ///< Asks so far.
	TimePoint list_changed;                                   ///< When an instance last became known.
	ByteBudget forward_budget;                                ///< Rows that may be passed on.
	ByteBudget snapshot_budget;                               ///< Whole tables that may be handed over.
	TimePoint waiting_since;                                  ///< When the first of them came up.
	TimePoint flushed_at;                                     ///< When news last went out.
	bool urgent = false;                                      ///< Some of what waits is urgent.
	TimePoint started;                                        ///< When the exchange began.
	TimePoint sent_at;                                        ///< When news was last sent.
	bool publishes_hall_load = false;                         ///< This instance tells other halls for its own.
	TimePoint next_hall_load_at;                              ///< When it does next.
	TimePoint hall_load_sent_at;                              ///< When it last did.
	bool sent_empty_load = false;                             ///< It told of no load then.
	TimePoint readers_at;                                     ///< When it was last looked who reads for whom.
	TimePoint register_at;                                    ///< When the own row is written next.
	uint64_t registrations = 0;                               ///< Writes of the own row that have ended.
	bool registered = false;                                  ///< The own row is in the store.
	bool draining = false;                                    ///< This instance stops: its row is not written any more.
	bool reading = false;                                     ///< Reading of the other instances' rows has begun.
	bool verify_list = false;         ///< The store may have lost rows of instances: those that are linked live all the same.
	uint64_t register_call = 0;       ///< Call under way that writes it.
	std::vector<std::string> readers; ///< This instance and its live peers.
};

} // namespace cottonspool
