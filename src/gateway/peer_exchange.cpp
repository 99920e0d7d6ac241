/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_exchange.cpp Discovers the other instances and exchanges updates with them. */

#include "gateway/peer_exchange.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>
#include <sstream>

namespace cottonspool {

/** Burst of the budgets for rows, enough to send one configuration to a whole hall. */
static constexpr Duration PASS_ON_SAVED = std::chrono::seconds(2);
/** Key for electing the instance of a hall that publishes its load to other halls. */
static const char *const HALL_LOAD_KEY = "hall-load";
static const char *const INSTANCE_TABLE = "cottonspool-instances"; ///< Table in which instances discover each other.

/** @return Milliseconds since the epoch, which grow with each start of an instance of the same name. */
static uint64_t StartNumber()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

/** @return The value of an instance's row: fields separated by blanks, the hall last, as its name may contain blanks. */
static std::string EncodePlace(const PeerPlace &row)
{
	std::ostringstream text;
	text << row.address << ' ' << row.link_mbps << ' ' << row.hall;
	return text.str();
}

/** @return The location in \a text; missing fields stay empty. */
static PeerPlace DecodePlace(const std::string &text)
{
	PeerPlace row;
	std::istringstream in(text);
	in >> row.address >> row.link_mbps >> std::ws;
	std::getline(in, row.hall);
	return row;
}

PeerExchange::PeerExchange(uv_loop_s *loop, TableStore &store, PeerLoad &load, std::string name, std::string hall, ExchangeLimits limits,
                           ReportHandler on_report)
    : store(store), load(load), name(std::move(name)), hall(std::move(hall)), incarnation(StartNumber()), limits(limits),
      sharing(this->name, this->hall), on_report(std::move(on_report)),
      links(loop, [this](const PeerMessage &message, const PeerLinks::Reply &reply) { this->OnMessage(message, reply); }),
      watch(store, INSTANCE_TABLE, limits.watch), directory(this->name, this->hall, limits.dial),
      pass_on(limits.pass_on_bytes, PASS_ON_SAVED), hand_over(limits.hand_over_bytes, PASS_ON_SAVED)
{
	this->waiting.instance = this->name;
	this->waiting.incarnation = this->incarnation;
	this->readers.push_back(this->name);
	this->Share(this->watch);
}

void PeerExchange::Share(TableWatch &to_share)
{
	this->sharing.Share(to_share);
	to_share.on_call = [table = to_share.Table()](ReadReason reason) {
		Log(LogLevel::Info, "store-call", {{"table", table}, {"why", ReadReasonName(reason)}});
	};
	to_share.on_read = [this](const TableNews &news) { this->TellTables({this->name, this->hall, false, {news}}, {}); };
}

void PeerExchange::ShareWith(TableWatch &watch, TableWatch &lead)
{
	watch.ReadWith(lead);
	this->Share(watch);
	lead.on_read = [this, &watch](const TableNews &news) {
		TablesMessage message{this->name, this->hall, false, {news}};
		if (std::optional<TableNews> sign = watch.SignOfLife()) message.tables.push_back(std::move(*sign));
		this->TellTables(std::move(message), {});
	};
}

void PeerExchange::OnCellsChanged(TimePoint now)
{
	Log(LogLevel::Info, "cells",
	    {{"cells", std::to_string(this->Cells())},
	     {"decided", FormatVersion(this->directory.Cells().decided)},
	     {"instances", std::to_string(this->Instances())},
	     {"in_cell", std::to_string(this->directory.InCell() + 1)}});
	if (this->on_listed) this->on_listed(now);
}

void PeerExchange::AskLease(const std::string &owner, const LeaseAskMessage &ask)
{
	if (const PeerPlace *place = this->directory.Find(owner)) this->links.SendTo(place->address, ask);
}

void PeerExchange::OnMessage(const PeerMessage &message, const PeerLinks::Reply &reply)
{
	TimePoint now = MonotonicNow();
	if (auto load_news = std::get_if<LoadMessage>(&message)) {
		if (load_news->instance == this->name) return;
		this->load.OnMessage(*load_news, now);
		for (const ReportNews &report : load_news->reports) this->on_report(report);
	}
	if (auto presence = std::get_if<PresenceMessage>(&message)) {
		this->OnPresence(*presence, now);
		// A sender with another division into cells may believe that this instance is in its cell, which does not connect back to it.
		bool behind = presence->cells.decided < this->directory.Cells().decided || presence->instances < this->Instances();
		if (behind) reply(this->Presence());
	}
	if (auto tables = std::get_if<TablesMessage>(&message)) this->OnTables(*tables, now);
	if (auto tables_ask = std::get_if<TablesAskMessage>(&message)) this->OnTablesAsk(*tables_ask, reply, now);
	if (auto ask = std::get_if<LeaseAskMessage>(&message))
		reply(LeaseGrantMessage{this->name, ask->target, ask->number, this->on_lease_ask ? this->on_lease_ask(*ask) : 0});
	if (auto grant = std::get_if<LeaseGrantMessage>(&message)) {
		if (this->on_lease_grant) this->on_lease_grant(*grant);
	}
	if (auto signs = std::get_if<SignsMessage>(&message)) this->OnSigns(*signs);
	if (auto hall_load = std::get_if<HallLoadMessage>(&message)) this->OnHallLoad(*hall_load);
}

void PeerExchange::OnHallLoad(const HallLoadMessage &message)
{
	if (this->on_hall_load) this->on_hall_load(message);
	if (message.relayed || message.hall == this->hall) return;
	HallLoadMessage relayed = message;
	relayed.relayed = true;
	this->links.Broadcast(relayed, this->relays);
}

void PeerExchange::TellSigns(SignNews news, TimePoint asked)
{
	WaitingSigns &waiting = this->waiting_signs[news.target];
	news.leaving = news.leaving || waiting.news.leaving;
	waiting = {std::move(news), asked};
}

void PeerExchange::FlushSigns(TimePoint now)
{
	if (this->waiting_signs.empty()) return;
	SignsMessage message{this->name, this->hall, false, {}};
	for (auto &[target, waiting] : this->waiting_signs) {
		waiting.news.asked_ago = now - waiting.asked;
		message.news.push_back(waiting.news);
	}
	this->waiting_signs.clear();
	this->links.Broadcast(message);
}

void PeerExchange::OnSigns(const SignsMessage &message)
{
	if (message.instance == this->name) return;
	for (const SignNews &news : message.news) this->on_signs(news);
	if (!this->directory.IsHallOnly() || message.relayed) return;
	SignsMessage relayed = message;
	bool own = message.hall == this->hall;
	// Signals reach the other halls through the instance that has links there, and the one at the other end of such a link.
	relayed.relayed = !own;
	if (!own) this->links.Broadcast(relayed, this->relays);
	if (own) {
		for (const std::string &relay : this->relays) this->links.SendTo(relay, relayed);
	}
}

void PeerExchange::TellHalls(TimePoint now)
{
	this->tell_halls_at = now + this->limits.hall_load_period;
	if (this->relays.empty()) return;
	HallLoadMessage message = this->make_hall_load(now);
	bool same = message.IsEmpty() && this->told_empty;
	if (same && now - this->told_halls_at < this->limits.hall_idle_period) return;
	this->told_halls_at = now;
	this->told_empty = message.IsEmpty();
	auto sums = static_cast<int>(message.at_home.size() + message.abroad.size());
	this->tell_halls_at = now + std::max(this->limits.hall_load_period, this->limits.hall_load_each * sums);
	for (const std::string &relay : this->relays) this->links.SendTo(relay, message);
}

Result<void> PeerExchange::Start(const Endpoint &at, TimePoint now)
{
	BOOST_OUTCOME_TRY(port, this->links.Listen(at.ip, at.port));
	this->address = Endpoint{at.ip, port}.Text();
	this->links.on_link_open = [this](const std::string &to) {
		this->links.SendTo(to, this->Presence());
		if (!this->relays.contains(to)) this->links.SendTo(to, this->Whole());
		std::vector<SignNews> known = this->known_signs ? this->known_signs(MonotonicNow()) : std::vector<SignNews>{};
		if (!known.empty()) this->links.SendTo(to, SignsMessage{this->name, this->hall, true, std::move(known)});
	};
	this->links.on_link_closed = [](const std::string &to) { Log(LogLevel::Info, "peer-link-closed", {{"peer", to}}); };
	this->watch.on_all = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, true); };
	this->watch.on_changes = [this](const std::vector<StoredRow> &rows, TimePoint) { this->OnRows(rows, false); };
	this->started = now;
	// An instance that writes its row first and then reads sees all rows written before, and later instances see its own. On a restart its
	// row may still be there, so reading first usually saves the write.
	if (this->limits.first_start) {
		this->Register(now);
	} else {
		this->BeginReading(now);
	}
	return outcome::success();
}

void PeerExchange::Register(TimePoint now)
{
	Log(LogLevel::Info, "store-call", {{"table", INSTANCE_TABLE}, {"why", "register"}});
	this->register_at = now + this->limits.register_limit;
	PeerPlace own{this->address, this->hall, this->limits.link_mbps};
	this->register_call = this->store.WriteRow(INSTANCE_TABLE, this->name, EncodePlace(own), [this](StoreWrite result) {
		this->register_call = 0;
		this->OnRegistered(result, MonotonicNow());
	});
}

void PeerExchange::OnRegistered(StoreWrite result, TimePoint now)
{
	this->registered = result == StoreWrite::Done;
	this->register_at = now + this->limits.register_pause;
	// Prevents all instances that a busy store rejected from retrying at the same time.
	auto spread_ms = std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.register_spread).count();
	uint64_t spread = HashText(this->name, ++this->registrations) % static_cast<uint64_t>(spread_ms);
	if (!this->registered) this->register_at += std::chrono::milliseconds(spread);
	if (!this->reading) return this->BeginReading(now);
	// Other rows may have been written between reading and writing.
	if (this->registered) this->watch.CatchUp();
}

void PeerExchange::BeginReading(TimePoint now)
{
	this->reading = true;
	this->watch.Start(now);
}

void PeerExchange::Leave()
{
	this->leaving = true;
	this->store.RemoveRow(INSTANCE_TABLE, this->name, [](StoreWrite) {});
}

void PeerExchange::OnOtherStore(TimePoint now)
{
	this->list_forgotten = true;
	// A write in progress may have gone to the store before it was restored.
	if (this->register_call != 0) this->store.Cancel(this->register_call);
	this->register_call = 0;
	auto spread_ms = std::chrono::duration_cast<std::chrono::milliseconds>(this->limits.register_spread).count();
	this->register_at = now + std::chrono::milliseconds(HashText(this->name, this->incarnation) % static_cast<uint64_t>(spread_ms));
}

void PeerExchange::ForgetPeers()
{
	if (!this->list_forgotten) return this->directory.Clear();
	this->list_forgotten = false;
	for (const std::string &peer : this->directory.Names()) {
		const PeerPlace *place = this->directory.Find(peer);
		if (this->links.StateOf(place->address) != LinkState::Open) this->directory.Remove(peer);
	}
}

void PeerExchange::OnRows(const std::vector<StoredRow> &rows, bool all)
{
	size_t before = this->directory.Size();
	if (all) this->ForgetPeers();
	if (all) this->registered = false;
	for (const StoredRow &row : rows) {
		PeerPlace place = DecodePlace(row.value);
		bool own = row.key == this->name;
		// A delayed removal by the previous incarnation may delete the new row; it is then written again at the next tick, or after the
		// retry delay.
		if (own) this->registered = !row.deleted && place.address == this->address && place.hall == this->hall;
		// The row belongs to another writer and has no usable address.
		if (row.deleted || !ParseEndpoint(place.address)) {
			this->directory.Remove(row.key);
		} else {
			this->directory.Note(row.key, place);
		}
	}
	TimePoint now = MonotonicNow();
	if (this->directory.Size() != before) this->list_changed = now;
	bool growing = this->limits.first_start && now - this->started < this->limits.list_most;
	bool divided = this->directory.Divide(all, this->watch.Version(), growing);
	this->instances_told = std::max<uint32_t>(this->instances_told, static_cast<uint32_t>(this->directory.Size() + 1));
	this->Dial(now);
	if (divided) {
		this->OnCellsChanged(now);
	} else if (all && this->on_listed) {
		this->on_listed(now);
	}
}

PresenceMessage PeerExchange::Presence() const
{
	PeerPlace own{this->address, this->hall, this->limits.link_mbps};
	return {this->name, own, static_cast<uint32_t>(this->Instances()), this->directory.Cells()};
}

void PeerExchange::OnPresence(const PresenceMessage &message, TimePoint now)
{
	if (message.instance == this->name) return;
	this->instances_told = std::max(this->instances_told, message.instances);
	bool divided = this->directory.OnToldCells(message.cells);
	if (!divided && this->links.StateOf(message.place.address) == LinkState::Open) return;
	size_t before = this->directory.Size();
	this->directory.NoteAlive(message.instance, message.place);
	if (this->directory.Size() != before) this->list_changed = now;
	if (divided) this->OnCellsChanged(now);
	this->Dial(now);
}

size_t PeerExchange::Instances() const
{
	if (!this->watch.IsKnown()) return 0;
	return std::max<size_t>(this->directory.Size() + 1, this->instances_told);
}

bool PeerExchange::HearsMost() const
{
	// Unlike the list of peers, the readers include this instance.
	return 2 * (this->readers.size() - 1) >= this->directory.Exchanging();
}

std::vector<std::string> PeerExchange::KnownInstances() const
{
	// An instance that has just started knows few others, and would take too large a share of the limits that all divide.
	static constexpr double MOST_OF_THEM = 0.9;
	bool knows = this->watch.IsKnown() && static_cast<double>(this->directory.Size() + 1) >= MOST_OF_THEM * this->instances_told;
	std::vector<std::string> names = this->directory.Names();
	names.push_back(this->name);
	return knows ? names : std::vector<std::string>{};
}

std::vector<std::string> PeerExchange::SharersOf(const std::string &of) const
{
	std::vector<std::string> all = this->KnownInstances();
	std::vector<std::string> there;
	for (const std::string &instance : all) {
		const PeerPlace *place = this->directory.Find(instance);
		if ((instance == this->name ? this->hall : place->hall) == of) there.push_back(instance);
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
	auto state_of = [this](const std::string &to) { return this->links.StateOf(to); };
	bool links_halls = this->sharing.ReadsForHall() || this->tells_halls || this->asks_halls;
	WantedLinks wanted = this->directory.Wanted(state_of, links_halls, now);
	this->relays = {wanted.relays.begin(), wanted.relays.end()};
	wanted.peers.insert(wanted.peers.end(), wanted.relays.begin(), wanted.relays.end());
	this->links.SetWanted(wanted.peers);
}

LoadMessage PeerExchange::Whole() const
{
	LoadMessage message;
	message.instance = this->name;
	message.incarnation = this->incarnation;
	message.whole = true;
	for (const auto &[call, news] : this->own) message.calls.push_back(news);
	return message;
}

void PeerExchange::TellAt(const CallSpec &call, const std::string &pool, const std::string &target, uint32_t generated, bool at_once)
{
	if (!this->limits.tell_calls) return;
	CallNews &news = this->own[call.id.value];
	news = CallNews{CallNews::Kind::At, call.id.value, target, call.prompt_tokens, generated, call.max_tokens, pool, call.service_class};
	if (!at_once) return;
	this->waiting.calls.push_back(news);
	this->urgent = true;
	if (this->MayTellAtOnce(MonotonicNow())) this->Flush();
}

void PeerExchange::TellEnded(CallId call)
{
	if (this->own.erase(call.value) == 0) return;
	CallNews news;
	news.kind = CallNews::Kind::Ended;
	news.call = call.value;
	this->waiting.calls.push_back(std::move(news));
}

void PeerExchange::TellReport(const std::string &target, const LoadReport &report)
{
	this->waiting.reports.push_back({target, report});
}

bool PeerExchange::MayTellAtOnce(TimePoint now) const
{
	return now - this->flushed_at >= this->limits.urgent_each * static_cast<int>(this->links.OpenLinks());
}

void PeerExchange::Flush()
{
	this->urgent = false;
	if (this->waiting.calls.empty() && this->waiting.reports.empty()) return;
	this->flushed_at = MonotonicNow();
	this->links.Broadcast(this->waiting, this->relays);
	this->waiting.calls.clear();
	this->waiting.reports.clear();
	this->waiting_since = TimePoint{};
}

Duration PeerExchange::HeartbeatPeriod() const
{
	return std::max(this->limits.heartbeat, this->limits.heartbeat_each * static_cast<int>(this->readers.size()));
}

void PeerExchange::OnTick(TimePoint now)
{
	this->sharing.OnTick(now);
	this->AskTables(now);
	this->AnswerAsks(now);
	this->load.OnTick(now);
	bool may_register = !this->leaving && (this->watch.IsKnown() || this->limits.first_start);
	if (!this->registered && may_register && this->register_call == 0 && now >= this->register_at) this->Register(now);
	if (this->register_call != 0 && now >= this->register_at) {
		this->store.Cancel(this->register_call);
		this->register_call = 0;
		this->OnRegistered(StoreWrite::Unknown, now);
	}
	this->FlushSigns(now);
	bool any = !this->waiting.calls.empty() || !this->waiting.reports.empty();
	if (any && this->waiting_since == TimePoint{}) this->waiting_since = now;
	bool due = (this->urgent && this->MayTellAtOnce(now)) || now - this->waiting_since >= this->limits.news_wait;
	if (any && due) this->Flush();
	if (now - this->readers_at >= this->limits.readers_look) this->RefreshReaders(now);
	if (now - this->sent_at >= this->HeartbeatPeriod()) this->Heartbeat(now);
	if (this->tells_halls && this->make_hall_load && now >= this->tell_halls_at) this->TellHalls(now);
}

void PeerExchange::Heartbeat(TimePoint now)
{
	this->sent_at = now;
	this->load.SetSilence(FromSeconds(Seconds(this->HeartbeatPeriod()) * this->limits.silences));
	this->links.Broadcast(this->Whole(), this->relays);
}

void PeerExchange::RefreshReaders(TimePoint now)
{
	this->readers_at = now;
	this->readers = this->load.Live();
	this->readers.push_back(this->name);
	std::vector<std::string> halls = this->directory.IsHallOnly() ? this->directory.Halls() : std::vector<std::string>{};
	this->sharing.SetReaders(this->Readers(), halls, now - this->started < this->limits.settle);
	this->tells_halls = this->limits.tell_halls && ReaderOrder(HALL_LOAD_KEY, this->Readers()).front() == this->name;
	this->Dial(now);
}

std::vector<Reader> PeerExchange::Readers() const
{
	std::vector<Reader> all;
	for (const std::string &reader : this->readers) {
		const PeerPlace *place = this->directory.Find(reader);
		double link = place != nullptr ? place->link_mbps : reader == this->name ? this->limits.link_mbps : 0;
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
