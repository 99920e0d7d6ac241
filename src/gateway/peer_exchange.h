/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.h Finds the other instances in the store and exchanges news of calls and reports with them. */

#pragma once

#include "decision/dispatcher.h"
#include "decision/peer_load.h"
#include "net/tcp_stream.h"
#include "peer/peer_links.h"
#include "store/table_watch.h"

namespace cottonspool {

/** Times of the exchange. */
struct ExchangeLimits {
	Duration heartbeat = std::chrono::milliseconds(500);  ///< Time between messages when there is no news.
	Duration silence = std::chrono::milliseconds(1800);   ///< Silence after which a peer is forgotten: three heartbeats and a lost packet.
	Duration dial_least = std::chrono::seconds(1);        ///< Pause before a peer that cannot be reached is dialled again; doubles.
	Duration dial_most = std::chrono::seconds(8);         ///< Longest such pause.
	Duration register_pause = std::chrono::seconds(1);    ///< Pause before this instance's row is written again after a failure.
	WatchLimits watch{.wait = std::chrono::seconds(20)};  ///< Following the instances: they change seldom, and each look is paid for.
};

/** The exchange of one instance. */
class PeerExchange {
public:
	/** Called with each report that a peer has read. */
	using ReportHandler = std::function<void(const ReportNews &)>;

	PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, ExchangeLimits limits, ReportHandler on_report);

	/** Listen on \a at and begin to look for the others. */
	Result<void> Start(const Endpoint &at, TimePoint now);

	/** This instance stops: take its row away. */
	void Leave();

	/** A call of this instance is at a target, or is further on there. */
	void TellAt(const CallSpec &call, const std::string &pool, const std::string &target, uint32_t generated, bool at_once);

	/** A call of this instance has ended. */
	void TellEnded(CallId call);

	/** A report was read. */
	void TellReport(const std::string &target, const LoadReport &report);

	/** Time has passed; to be called some times a second. */
	void OnTick(TimePoint now);

	/** Send what is waiting to be told. */
	void Flush();

	/** @return Whether this instance reads the reports of \a target for itself and its peers. */
	bool ReadsReportsOf(const std::string &target) const;

	/** @return Open links to others. */
	size_t Links() const { return this->links.OpenLinks(); }

private:
	/** An instance found in the store. */
	struct Found {
		std::string address;      ///< IP:PORT for peers.
		TimePoint next_dial;      ///< When it is dialled next.
		Duration pause{0};        ///< Pause after the last dial.
	};

	void Register(TimePoint now);
	void OnRows(const std::vector<StoredRow> &rows, bool all);
	void Dial(TimePoint now);
	LoadMessage Whole() const;

	TableStore &store;                        ///< Store.
	PeerLoad &load;                           ///< Calls of others.
	std::string name;                         ///< Name of this instance.
	uint64_t incarnation;                     ///< Its start.
	ExchangeLimits limits;                    ///< Times.
	ReportHandler on_report;                  ///< Gets reports that others read.
	PeerLinks links;                          ///< Links.
	TableWatch watch;                         ///< Follows the instances.
	std::string address;                      ///< Own address for peers.
	std::map<std::string, Found> found;       ///< Other instances by name.
	std::map<uint64_t, CallNews> own;         ///< Own calls at targets.
	LoadMessage waiting;                      ///< News not yet sent.
	TimePoint sent_at;                        ///< When news was last sent.
	TimePoint register_at;                    ///< When the own row is written next.
	bool registered = false;                  ///< The own row is in the store.
	uint64_t register_call = 0;               ///< Call under way that writes it.
	std::vector<std::string> readers;         ///< This instance and its live peers.
};

} // namespace cottonspool
