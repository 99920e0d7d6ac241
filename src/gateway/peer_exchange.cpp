/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.cpp Discovers the other instances and exchanges updates with them. */

#include "gateway/peer_exchange.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>
#include <sstream>

namespace cottonspool {

/** Burst of the budgets for rows, enough to send one configuration to a whole hall. */
static constexpr Duration BUDGET_BURST = std::chrono::seconds(2);
/** Key for electing the instance of a hall that publishes its load to other halls. */
static const char *const HALL_LOAD_KEY = "hall-load";
static const char *const INSTANCE_TABLE = "cottonspool-instances"; ///< Table in which instances discover each other.

/** @return Milliseconds since the epoch, which grow with each start of an instance of the same name. */
static uint64_t NewIncarnationNumber()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/**
 * @return The value of an instance's row: fields separated by blanks, the hall last, as its name may contain blanks. Instances of older
 * releases read the first line only.
 */
static std::string EncodeLocation(const PeerLocation &row)
{
	std::ostringstream text;
	text << row.address << ' ' << row.link_mbps << ' ' << row.hall << '\n' << row.forward_port;
	return text.str();
}

/** @return The location in \a text; missing fields stay empty. */
static PeerLocation DecodeLocation(const std::string &text)
{
	PeerLocation row;
	std::istringstream in(text);
	in >> row.address >> row.link_mbps >> std::ws;
	std::getline(in, row.hall);
	if (!(in >> row.forward_port)) row.forward_port = 0;
	return row;
}

PeerExchange::PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, std::string hall, ExchangeLimits limits,
                           ReportHandler on_report)
    : store(store), load(load), name(std::move(name)), hall(std::move(hall)), incarnation(NewIncarnationNumber()), limits(limits),
      sharing(this->name, this->hall), on_report(std::move(on_report)),
      links(loop, [this](const PeerMessage &message, const PeerLinks::Reply &reply) { this->OnMessage(message, reply); }),
      watch(store, INSTANCE_TABLE, limits.watch), directory(this->name, this->hall, limits.dial),
      forward_budget(limits.forward_bytes_per_s, BUDGET_BURST), snapshot_budget(limits.snapshot_bytes_per_s, BUDGET_BURST)
{
	this->pending.instance = this->name;
	this->pending.incarnation = this->incarnation;
	this->readers.push_back(this->name);
	this->Share(this->watch);
}

void PeerExchange::Share(TableWatch &to_share)
{
	this->sharing.Share(to_share);
	to_share.on_call = [table = to_share.Table()](ReadReason reason) {
		Log(LogLevel::Info, "store-call", {{"table", table}, {"why", ReadReasonName(reason)}});
	};
	to_share.on_publish = [this](const TableUpdate &update) { this->PublishTables({this->name, this->hall, false, {update}}, {}); };
}

void PeerExchange::ShareWith(TableWatch &watch, TableWatch &lead_table)
{
	watch.SetLeadTable(lead_table);
	this->Share(watch);
	lead_table.on_publish = [this, &watch](const TableUpdate &update) {
		TablesMessage message{this->name, this->hall, false, {update}};
		if (std::optional<TableUpdate> heartbeat = watch.HeartbeatUpdate()) message.tables.push_back(std::move(*heartbeat));
		this->PublishTables(std::move(message), {});
	};
}

void PeerExchange::OnCellsChanged(TimePoint now)
{
	Log(LogLevel::Info, "cells",
	    {{"cells", std::to_string(this->Cells())},
	     {"decided", FormatVersion(this->directory.Cells().decided_at)},
	     {"instances", std::to_string(this->Instances())},
	     {"in_cell", std::to_string(this->directory.CellPeerCount() + 1)}});
	if (this->on_listed) this->on_listed(now);
}

void PeerExchange::RequestLease(const std::string &owner, const LeaseRequestMessage &request)
{
	if (const PeerLocation *location = this->directory.Find(owner)) this->links.SendTo(location->address, request);
}

void PeerExchange::OnMessage(const PeerMessage &message, const PeerLinks::Reply &reply)
{
	TimePoint now = MonotonicNow();
	if (auto load_message = std::get_if<LoadMessage>(&message)) {
		if (load_message->instance == this->name) return;
		this->load.OnMessage(*load_message, now);
		for (const ReportUpdate &report : load_message->reports) this->on_report(report);
	}
	if (auto presence = std::get_if<PresenceMessage>(&message)) {
		this->OnPresence(*presence, now);
		// A sender with another division into cells may believe that this instance is in its cell, which does not connect back to it.
		bool behind = presence->cells.decided_at < this->directory.Cells().decided_at || presence->instances < this->Instances();
		if (behind) reply(this->Presence());
	}
	if (auto tables = std::get_if<TablesMessage>(&message)) this->OnTables(*tables, now);
	if (auto tables_request = std::get_if<TablesRequestMessage>(&message)) this->OnTablesRequest(*tables_request, reply, now);
	if (auto request = std::get_if<LeaseRequestMessage>(&message))
		reply(LeaseGrantMessage{this->name, request->target, request->number,
		                        this->on_lease_request ? this->on_lease_request(*request) : 0});
	if (auto grant = std::get_if<LeaseGrantMessage>(&message)) {
		if (this->on_lease_grant) this->on_lease_grant(*grant);
	}
	if (auto signals = std::get_if<SignalsMessage>(&message)) this->OnSignals(*signals);
	if (auto hall_load = std::get_if<HallLoadMessage>(&message)) this->OnHallLoad(*hall_load);
}

void PeerExchange::OnHallLoad(const HallLoadMessage &message)
{
	if (this->on_hall_load) this->on_hall_load(message);
	if (message.forwarded || message.hall == this->hall) return;
	HallLoadMessage forwarded = message;
	forwarded.forwarded = true;
	this->links.Broadcast(forwarded, this->forwarders);
}

void PeerExchange::FlushSignals(TimePoint now)
{
	SignalsMessage message{this->name, this->hall, false, this->pending_signals.Take(now)};
	if (!message.signals.empty()) this->links.Broadcast(message);
}

void PeerExchange::OnSignals(const SignalsMessage &message)
{
	if (message.instance == this->name) return;
	for (const TargetSignalUpdate &update : message.signals) this->on_signals(update);
	if (!this->directory.IsHallOnly() || message.forwarded) return;
	SignalsMessage forwarded = message;
	bool own = message.hall == this->hall;
	// Signals reach the other halls through the instance that has links there, and the one at the other end of such a link.
	forwarded.forwarded = !own;
	if (!own) this->links.Broadcast(forwarded, this->forwarders);
	if (own) {
		for (const std::string &forwarder : this->forwarders) this->links.SendTo(forwarder, forwarded);
	}
}

void PeerExchange::PublishHallLoad(TimePoint now)
{
	this->next_hall_load_at = now + this->limits.hall_load_period;
	if (this->forwarders.empty()) return;
	HallLoadMessage message = this->make_hall_load(now);
	bool same = message.IsEmpty() && this->sent_empty_load;
	if (same && now - this->hall_load_sent_at < this->limits.hall_idle_period) return;
	this->hall_load_sent_at = now;
	this->sent_empty_load = message.IsEmpty();
	auto sums = static_cast<int>(message.local_targets.size() + message.remote_targets.size());
	this->next_hall_load_at = now + std::max(this->limits.hall_load_period, this->limits.hall_load_interval_per_sum * sums);
	for (const std::string &forwarder : this->forwarders) this->links.SendTo(forwarder, message);
}

Result<void> PeerExchange::Start(const Endpoint &at, TimePoint now)
{
	BOOST_OUTCOME_TRY(port, this->links.Listen(at.ip, at.port));
	this->address = Endpoint{at.ip, port}.Text();
	this->links.on_link_open = [this](const std::string &to) {
		this->links.SendTo(to, this->Presence());
		if (!this->forwarders.contains(to)) this->links.SendTo(to, this->MakeLoadSnapshot());
		std::vector<TargetSignalUpdate> known =
		        this->known_signals ? this->known_signals(MonotonicNow()) : std::vector<TargetSignalUpdate>{};
		if (!known.empty()) this->links.SendTo(to, SignalsMessage{this->name, this->hall, true, std::move(known)});
	};
	this->links.on_link_closed = [](const std::string &to) { Log(LogLevel::Info, "peer-link-closed", {{"peer", to}}); };
	this->watch.on_snapshot = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, true); };
	this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, false); };
	this->exchange_started = now;
	// An instance that writes its row first and then reads sees all rows written before, and later instances see its own. On a restart its
	// row may still be there, so reading first usually saves the write.
	if (this->limits.bootstrap) {
		this->Register(now);
	} else {
		this->BeginReading(now);
	}
	return outcome::success();
}

void PeerExchange::Register(TimePoint now)
{
	Log(LogLevel::Info, "store-call", {{"table", INSTANCE_TABLE}, {"why", "register"}});
	this->next_register_at = now + this->limits.register_timeout;
	PeerLocation own = this->OwnLocation();
	this->register_call = this->store.WriteRow(INSTANCE_TABLE, this->name, EncodeLocation(own), [this](StoreWriteResult result) {
		this->register_call = 0;
		this->OnRegistered(result, MonotonicNow());
	});
}

void PeerExchange::OnRegistered(StoreWriteResult result, TimePoint now)
{
	this->registered = result == StoreWriteResult::Done;
	this->next_register_at = now + this->limits.register_retry_delay;
	// Prevents all instances that a busy store rejected from retrying at the same time.
	auto spread_ms = std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.register_jitter).count();
	uint64_t spread = HashText(this->name, ++this->registrations) % static_cast<uint64_t>(spread_ms);
	if (!this->registered) this->next_register_at += std::chrono::milliseconds(spread);
	if (!this->reading) return this->BeginReading(now);
	// Other rows may have been written between reading and writing.
	if (this->registered) this->watch.CatchUp();
}

void PeerExchange::BeginReading(TimePoint now)
{
	this->reading = true;
	this->watch.Start(now);
}

void PeerExchange::Deregister()
{
	this->stopping = true;
	this->store.RemoveRow(INSTANCE_TABLE, this->name, [](StoreWriteResult) {});
}

void PeerExchange::OnStoreRestored(TimePoint now)
{
	this->verify_list = true;
	// A write in progress may have gone to the store before it was restored.
	if (this->register_call != 0) this->store.Cancel(this->register_call);
	this->register_call = 0;
	auto spread_ms = std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.register_jitter).count();
	this->next_register_at = now + std::chrono::milliseconds(HashText(this->name, this->incarnation) % static_cast<uint64_t>(spread_ms));
}

void PeerExchange::ResetPeers()
{
	if (!this->verify_list) return this->directory.Clear();
	this->verify_list = false;
	for (const std::string &peer : this->directory.Names()) {
		const PeerLocation *location = this->directory.Find(peer);
		if (this->links.LinkStateOf(location->address) != LinkState::Open) this->directory.Remove(peer);
	}
}

void PeerExchange::OnRows(const std::vector<StoredRow> &rows, bool is_snapshot)
{
	size_t before = this->directory.Size();
	if (is_snapshot) this->ResetPeers();
	if (is_snapshot) this->registered = false;
	for (const StoredRow &row : rows) {
		PeerLocation location = DecodeLocation(row.value);
		bool own = row.key == this->name;
		// A delayed removal by the previous incarnation may delete the new row; it is then written again at the next tick, or after the
		// retry delay.
		if (own) this->registered = !row.deleted && EncodeLocation(location) == EncodeLocation(this->OwnLocation());
		// The row belongs to another writer and has no usable address.
		if (row.deleted || !ParseEndpoint(location.address)) {
			this->directory.Remove(row.key);
		} else {
			this->directory.Update(row.key, location);
		}
	}
	TimePoint now = MonotonicNow();
	if (this->directory.Size() != before) this->list_changed_at = now;
	bool bootstrapping = this->limits.bootstrap && now - this->exchange_started < this->limits.list_max_wait;
	bool divided = this->directory.Divide(is_snapshot, this->watch.Version(), bootstrapping);
	this->max_known_instances = std::max<uint32_t>(this->max_known_instances, static_cast<uint32_t>(this->directory.Size() + 1));
	this->Dial(now);
	if (divided) {
		this->OnCellsChanged(now);
	} else if (is_snapshot && this->on_listed) {
		this->on_listed(now);
	}
}

PresenceMessage PeerExchange::Presence() const
{
	return {this->name, this->OwnLocation(), static_cast<uint32_t>(this->Instances()), this->directory.Cells()};
}

void PeerExchange::OnPresence(const PresenceMessage &message, TimePoint now)
{
	if (message.instance == this->name) return;
	this->max_known_instances = std::max(this->max_known_instances, message.instances);
	bool divided = this->directory.OnPeerCellCount(message.cells);
	if (!divided && this->links.LinkStateOf(message.location.address) == LinkState::Open) return;
	size_t before = this->directory.Size();
	this->directory.OnPeerAlive(message.instance, message.location);
	if (this->directory.Size() != before) this->list_changed_at = now;
	if (divided) this->OnCellsChanged(now);
	this->Dial(now);
}

std::vector<HallCandidates> PeerExchange::ForwardCandidates(const std::vector<std::string> &halls) const
{
	std::vector<HallCandidates> candidates(halls.size());
	for (const std::string &peer : this->directory.Names()) {
		const PeerLocation *location = this->directory.Find(peer);
		auto found = std::find(halls.begin(), halls.end(), location->hall);
		if (location->forward_port != 0 && found != halls.end()) candidates[static_cast<size_t>(found - halls.begin())].push_back(peer);
	}
	return candidates;
}

std::optional<Endpoint> PeerExchange::ForwardAddressOf(const std::string &peer) const
{
	const PeerLocation *location = this->directory.Find(peer);
	if (location == nullptr || location->forward_port == 0) return std::nullopt;
	Result<Endpoint> address = ParseEndpoint(location->address);
	if (!address) return std::nullopt;
	return Endpoint{address.value().ip, location->forward_port};
}

size_t PeerExchange::Instances() const
{
	if (!this->watch.IsKnown()) return 0;
	return std::max<size_t>(this->directory.Size() + 1, this->max_known_instances);
}

bool PeerExchange::HearsMost() const
{
	// Unlike the list of peers, the readers include this instance.
	return 2 * (this->readers.size() - 1) >= this->directory.ExchangePeerCount();
}

std::vector<std::string> PeerExchange::KnownInstances() const
{
	// An instance that has just started knows few others, and would take too large a share of the limits that all divide.
	static constexpr double MIN_KNOWN_FRACTION = 0.9;
	bool knows = this->watch.IsKnown() && static_cast<double>(this->directory.Size() + 1) >= MIN_KNOWN_FRACTION * this->max_known_instances;
	std::vector<std::string> names = this->directory.Names();
	names.push_back(this->name);
	return knows ? names : std::vector<std::string>{};
}

std::vector<std::string> PeerExchange::SharersOf(const std::string &target_hall) const
{
	std::vector<std::string> all = this->KnownInstances();
	std::vector<std::string> there;
	for (const std::string &instance : all) {
		const PeerLocation *location = this->directory.Find(instance);
		if ((instance == this->name ? this->hall : location->hall) == target_hall) there.push_back(instance);
	}
	return there.empty() ? all : there;
}

void PeerExchange::SetHallOnly(bool only)
{
	this->directory.SetHallOnly(only);
	this->Dial(MonotonicNow());
}

void PeerExchange::Dial(TimePoint now)
{
	auto link_state_of = [this](const std::string &to) { return this->links.LinkStateOf(to); };
	bool links_halls = this->sharing.IsHallReader() || this->publishes_hall_load || this->requests_from_halls;
	WantedLinks wanted = this->directory.Wanted(link_state_of, links_halls, now);
	this->forwarders = {wanted.forwarders.begin(), wanted.forwarders.end()};
	wanted.peers.insert(wanted.peers.end(), wanted.forwarders.begin(), wanted.forwarders.end());
	this->links.SetWanted(wanted.peers);
}

LoadMessage PeerExchange::MakeLoadSnapshot() const
{
	LoadMessage message;
	message.instance = this->name;
	message.incarnation = this->incarnation;
	message.full = true;
	for (const auto &[call, update] : this->own_calls) message.calls.push_back(update);
	return message;
}

void PeerExchange::PublishCall(const CallSpec &call, const std::string &pool, std::optional<std::string> account, const std::string &target,
                               uint32_t generated, bool at_once)
{
	if (!this->limits.publish_calls) return;
	CallUpdate &update = this->own_calls[call.id.value];
	update = CallUpdate{CallUpdate::Kind::Active, call.id.value,     target, call.prompt_tokens, generated, call.max_tokens, pool,
	                    call.service_class,       std::move(account)};
	if (!at_once) return;
	this->pending.calls.push_back(update);
	this->urgent = true;
	if (this->MaySendNow(MonotonicNow())) this->Flush();
}

void PeerExchange::PublishCallEnded(CallId call)
{
	if (this->own_calls.erase(call.value) == 0) return;
	CallUpdate update;
	update.kind = CallUpdate::Kind::Ended;
	update.call = call.value;
	this->pending.calls.push_back(std::move(update));
}

void PeerExchange::PublishReport(const std::string &target, const LoadReport &report)
{
	this->pending.reports.push_back({target, report});
}

bool PeerExchange::MaySendNow(TimePoint now) const
{
	return now - this->flushed_at >= this->limits.urgent_interval_per_link * static_cast<int>(this->links.OpenLinks());
}

void PeerExchange::Flush()
{
	this->urgent = false;
	if (this->pending.calls.empty() && this->pending.reports.empty()) return;
	this->flushed_at = MonotonicNow();
	this->links.Broadcast(this->pending, this->forwarders);
	this->pending.calls.clear();
	this->pending.reports.clear();
	this->pending_since = TimePoint{};
}

Duration PeerExchange::HeartbeatInterval() const
{
	return std::max(this->limits.heartbeat, this->limits.heartbeat_per_peer * static_cast<int>(this->readers.size()));
}

void PeerExchange::OnTick(TimePoint now)
{
	this->sharing.OnTick(now);
	this->RequestTables(now);
	this->AnswerTablesRequests(now);
	this->load.OnTick(now);
	bool may_register = !this->stopping && (this->watch.IsKnown() || this->limits.bootstrap);
	if (!this->registered && may_register && this->register_call == 0 && now >= this->next_register_at) this->Register(now);
	if (this->register_call != 0 && now >= this->next_register_at) {
		this->store.Cancel(this->register_call);
		this->register_call = 0;
		this->OnRegistered(StoreWriteResult::Unknown, now);
	}
	this->FlushSignals(now);
	bool any = !this->pending.calls.empty() || !this->pending.reports.empty();
	if (any && this->pending_since == TimePoint{}) this->pending_since = now;
	bool due = (this->urgent && this->MaySendNow(now)) || now - this->pending_since >= this->limits.max_batch_delay;
	if (any && due) this->Flush();
	if (now - this->readers_updated_at >= this->limits.readers_refresh_interval) this->RefreshReaders(now);
	if (now - this->heartbeat_sent_at >= this->HeartbeatInterval()) this->Heartbeat(now);
	if (this->publishes_hall_load && this->make_hall_load && now >= this->next_hall_load_at) this->PublishHallLoad(now);
}

void PeerExchange::Heartbeat(TimePoint now)
{
	this->heartbeat_sent_at = now;
	this->load.SetTimeout(FromSeconds(Seconds(this->HeartbeatInterval()) * this->limits.missed_heartbeats));
	this->links.Broadcast(this->MakeLoadSnapshot(), this->forwarders);
}

void PeerExchange::RefreshReaders(TimePoint now)
{
	this->readers_updated_at = now;
	this->readers = this->load.Live();
	this->readers.push_back(this->name);
	std::vector<std::string> halls = this->directory.IsHallOnly() ? this->directory.Halls() : std::vector<std::string>{};
	this->sharing.SetReaders(this->Readers(), halls, now - this->exchange_started < this->limits.settle_time);
	this->publishes_hall_load = this->limits.publish_hall_load && ReaderOrder(HALL_LOAD_KEY, this->Readers()).front() == this->name;
	this->Dial(now);
}

std::vector<Reader> PeerExchange::Readers() const
{
	std::vector<Reader> all;
	for (const std::string &reader : this->readers) {
		const PeerLocation *location = this->directory.Find(reader);
		double link = location != nullptr ? location->link_mbps : reader == this->name ? this->limits.link_mbps : 0;
		all.push_back({reader, link});
	}
	return all;
}

bool PeerExchange::ReadsReportsOf(const std::string &target) const
{
	if (!this->limits.share_reports) return true;
	return RendezvousChoice(target, this->readers, 1).front() == this->name;
}

} // namespace cottonspool
