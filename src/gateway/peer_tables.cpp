/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file peer_tables.cpp Distribution of the store's tables between instances: updates as they are read, snapshots to instances that start.
 */

#include "gateway/peer_exchange.h"
#include "metrics/log.h"
#include <algorithm>

namespace cottonspool {

void PeerExchange::TellTables(TablesMessage message, const std::set<std::string> &except)
{
	this->AddParts(message);
	this->asks_at = TimePoint{};
	std::string bytes = EncodePeerMessage(message);
	bool has_rows = std::any_of(message.tables.begin(), message.tables.end(), [](const TableNews &news) { return !news.rows.empty(); });
	if (has_rows && !this->pass_on.Take(static_cast<double>(bytes.size() * this->links.OpenLinks()), MonotonicNow())) {
		// Too many bytes to forward: a heartbeat that advertises the new version makes the receivers read the rows themselves.
		for (TableNews &news : message.tables) news = {news.table, news.to, news.to, false, true, {}, news.read};
		bytes = EncodePeerMessage(message);
	}
	this->links.BroadcastBytes(bytes, except);
}

std::vector<Reader> PeerExchange::Listed() const
{
	std::vector<Reader> all{{this->name, this->limits.link_mbps}};
	for (const std::string &peer : this->directory.Names()) all.push_back({peer, this->directory.Find(peer)->link_mbps});
	return all;
}

TableStart PeerExchange::StartOfTables(TimePoint now) const
{
	// Without a listener for peers, other instances never become known.
	if (this->started == TimePoint{}) return TableStart::Read;
	Duration since = now - this->started;
	if (!this->watch.IsKnown()) return since < this->limits.list_wait || this->limits.first_start ? TableStart::NotYet : TableStart::Read;
	// When all instances start together they appear one by one; the list is complete when no more appear.
	bool complete = now - this->list_changed >= this->limits.list_quiet || since >= this->limits.list_most;
	if (this->limits.first_start && !complete) return TableStart::NotYet;
	// A short list is read faster than transferred. In a system with cells, each instance would read much more than it needs.
	return this->Cells() > 1 ? TableStart::Ask : TableStart::Read;
}

Duration PeerExchange::WaitForTable() const
{
	// The first instance in this order is the one that other halls connect to for tables.
	std::vector<std::string> order = ReaderOrder(RELAY_KEY, this->Listed());
	auto place = std::find(order.begin(), order.end(), this->name) - order.begin();
	return place == 0 ? Duration(0) : this->limits.table_wait + this->limits.table_wait_each * place;
}

std::vector<std::string> PeerExchange::HallOrder() const
{
	std::vector<Reader> of_hall{{this->name, this->limits.link_mbps}};
	for (const Reader &reader : this->Listed()) {
		const PeerPlace *place = this->directory.Find(reader.name);
		if (place != nullptr && place->hall == this->hall) of_hall.push_back(reader);
	}
	return ReaderOrder(RELAY_KEY, of_hall);
}

std::vector<std::string> PeerExchange::Askable(const std::vector<std::string> &order) const
{
	std::vector<std::string> askable;
	auto add = [&](const std::string &address) {
		if (this->links.StateOf(address) == LinkState::Open) askable.push_back(address);
	};
	// The first instance of a hall requests tables from another hall, the rest of the hall from the first one.
	if (order.front() == this->name) std::for_each(this->relays.begin(), this->relays.end(), add);
	for (const std::string &peer : order) {
		if (peer != this->name) add(this->directory.Find(peer)->address);
	}
	return askable;
}

void PeerExchange::AskTables(TimePoint now)
{
	std::vector<std::string> wanted = this->sharing.Wanted();
	std::erase(wanted, this->watch.Table());
	this->asks_halls = false;
	if (wanted.empty()) return;
	std::vector<std::string> order = this->HallOrder();
	this->asks_halls = order.front() == this->name;
	if (this->asks_halls) this->Dial(now);
	std::vector<std::string> askable = this->Askable(order);
	if (askable.empty()) return;
	// The first candidate is used as soon as it is connected, the others in turn until one answers.
	bool again = now >= this->ask_at;
	bool first = askable.front() != this->asked_first;
	if (!first && !again) return;
	if (first) this->asked_first = askable.front();
	const std::string &to = first ? askable.front() : askable[++this->asked % askable.size()];
	this->ask_at = now + this->limits.ask_pause;
	this->links.SendTo(to, TablesAskMessage{this->name, wanted});
	Log(LogLevel::Info, "tables-asked", {{"tables", std::to_string(wanted.size())}, {"peer", to}});
}

void PeerExchange::OnTablesAsk(const TablesAskMessage &ask, const PeerLinks::Reply &reply, TimePoint now)
{
	std::erase_if(this->asks, [&](const TablesAsk &each) { return each.ask.instance == ask.instance; });
	this->asks.push_back({ask, reply, now + this->limits.ask_kept});
	this->asks_at = now;
}

void PeerExchange::AnswerAsks(TimePoint now)
{
	static constexpr Duration PAUSE =
	        std::chrono::milliseconds(100); // Answering is pointless at each tick, as usually nothing has changed.
	std::erase_if(this->asks, [&](const TablesAsk &each) { return now >= each.until; });
	if (this->asks.empty() || now < this->asks_at) return;
	this->asks_at = now + PAUSE;
	for (TablesAsk &each : this->asks) this->AnswerAsk(each, now);
	std::erase_if(this->asks, [](const TablesAsk &each) { return each.ask.tables.empty(); });
}

void PeerExchange::AnswerAsk(TablesAsk &ask, TimePoint now)
{
	// Each table is sent as soon as it is known: the instance that reads one table may wait for another one itself.
	for (auto table = ask.ask.tables.begin(); table != ask.ask.tables.end();) {
		const std::string *answer = this->WholeTable(*table);
		// Beyond the budget, the requesting instance turns to another one, which has the tables by then.
		if (answer == nullptr || !this->hand_over.Take(static_cast<double>(answer->size()), now)) {
			++table;
			continue;
		}
		ask.reply.Bytes(*answer);
		Log(LogLevel::Info, "table-told", {{"instance", ask.ask.instance}, {"table", *table}, {"bytes", std::to_string(answer->size())}});
		table = ask.ask.tables.erase(table);
	}
}

const std::string *PeerExchange::WholeTable(const std::string &table)
{
	std::optional<StoreVersion> version = this->sharing.WholeVersion(table);
	if (!version) return nullptr;
	auto [found, added] = this->whole_tables.try_emplace(table);
	if (added || found->second.version != *version) {
		TablesMessage message{this->name, this->hall, true, this->sharing.Whole({table}), {}};
		this->AddParts(message);
		found->second = {*version, EncodePeerMessage(message)};
	}
	return &found->second.bytes;
}

bool PeerExchange::TellsTargets(const TablesMessage &message) const
{
	auto tells = [this](const TableNews &news) { return news.whole && news.table == this->divided_table; };
	return this->division != nullptr && std::any_of(message.tables.begin(), message.tables.end(), tells);
}

void PeerExchange::AddParts(TablesMessage &message) const
{
	if (this->TellsTargets(message)) message.parts = this->division->Parts();
}

void PeerExchange::NoteParts(const TablesMessage &message)
{
	if (!this->TellsTargets(message) || !this->division->Set(message.parts)) return;
	Log(LogLevel::Info, "targets-divided", {{"source", message.instance}, {"pools", std::to_string(message.parts.size())}});
}

void PeerExchange::OnTables(const TablesMessage &message, TimePoint now)
{
	this->NoteParts(message);
	for (const TableNews &news : message.tables) this->sharing.OnNews(message.instance, message.hall, news, now);
	this->asks_at = now;
	if (!this->sharing.PassesOn(message.hall, message.relayed)) return;
	TablesMessage relayed = message;
	relayed.relayed = true;
	this->TellTables(std::move(relayed), this->relays);
}

} // namespace cottonspool
