/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file peer_tables.cpp Tables of the store that instances tell each other: changes as they are read, whole ones to those that start. */

#include "gateway/peer_exchange.h"
#include "metrics/log.h"
#include <algorithm>

namespace cottonspool {

void PeerExchange::PublishTables(TablesMessage message, const std::set<std::string> &except)
{
	this->AddParts(message);
	this->next_answer_at = TimePoint{};
	std::string bytes = EncodePeerMessage(message);
	bool has_rows = std::any_of(message.tables.begin(), message.tables.end(), [](const TableUpdate &news) { return !news.rows.empty(); });
	if (has_rows && !this->forward_budget.Take(static_cast<double>(bytes.size() * this->links.OpenLinks()), MonotonicNow())) {
		// Too much to pass on: a sign of life that is ahead of the others makes each of them read the change itself.
		for (TableUpdate &news : message.tables) news = {news.table, news.to, news.to, false, true, {}, news.read};
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

TableSource PeerExchange::ChooseTableSource(TimePoint now) const
{
	// One that exchanges nothing with others never learns of them.
	if (this->started == TimePoint{}) return TableSource::Read;
	Duration since = now - this->started;
	if (!this->watch.IsKnown())
		return since < this->limits.list_timeout || this->limits.bootstrap ? TableSource::Undecided : TableSource::Read;
	// Who starts with all others sees them come one by one: how many there will be shows when no more do.
	bool complete = now - this->list_changed >= this->limits.list_settle_time || since >= this->limits.list_max_wait;
	if (this->limits.bootstrap && !complete) return TableSource::Undecided;
	// A list of few targets is read faster than handed over; of a divided fleet's list each would read many times what it needs.
	return this->Cells() > 1 ? TableSource::Ask : TableSource::Read;
}

Duration PeerExchange::TableTimeout() const
{
	// The first of all is the one that the other halls dial to be told of tables.
	std::vector<std::string> order = ReaderOrder(FORWARDER_KEY, this->Listed());
	auto location = std::find(order.begin(), order.end(), this->name) - order.begin();
	return location == 0 ? Duration(0) : this->limits.table_timeout + this->limits.table_timeout_per_instance * location;
}

std::vector<std::string> PeerExchange::HallOrder() const
{
	std::vector<Reader> of_hall{{this->name, this->limits.link_mbps}};
	for (const Reader &reader : this->Listed()) {
		const PeerLocation *location = this->directory.Find(reader.name);
		if (location != nullptr && location->hall == this->hall) of_hall.push_back(reader);
	}
	return ReaderOrder(FORWARDER_KEY, of_hall);
}

std::vector<std::string> PeerExchange::RequestCandidates(const std::vector<std::string> &order) const
{
	std::vector<std::string> candidates;
	auto add = [&](const std::string &address) {
		if (this->links.LinkStateOf(address) == LinkState::Open) candidates.push_back(address);
	};
	// The first of a hall has it from another hall, and the others of the hall from it.
	if (order.front() == this->name) std::for_each(this->forwarders.begin(), this->forwarders.end(), add);
	for (const std::string &peer : order) {
		if (peer != this->name) add(this->directory.Find(peer)->address);
	}
	return candidates;
}

void PeerExchange::RequestTables(TimePoint now)
{
	std::vector<std::string> wanted = this->sharing.MissingSnapshots();
	std::erase(wanted, this->watch.Table());
	this->requests_from_halls = false;
	if (wanted.empty()) return;
	std::vector<std::string> order = this->HallOrder();
	this->requests_from_halls = order.front() == this->name;
	if (this->requests_from_halls) this->Dial(now);
	std::vector<std::string> candidates = this->RequestCandidates(order);
	if (candidates.empty()) return;
	// The first in the order is asked as soon as it is linked; the others in turn, as long as nobody has answered.
	bool again = now >= this->next_tables_request_at;
	bool first = candidates.front() != this->first_requested;
	if (!first && !again) return;
	if (first) this->first_requested = candidates.front();
	const std::string &to = first ? candidates.front() : candidates[++this->tables_requests_sent % candidates.size()];
	this->next_tables_request_at = now + this->limits.table_request_interval;
	this->links.SendTo(to, TablesRequestMessage{this->name, wanted});
	Log(LogLevel::Info, "tables-asked", {{"tables", std::to_string(wanted.size())}, {"peer", to}});
}

void PeerExchange::OnTablesRequest(const TablesRequestMessage &ask, const PeerLinks::Reply &reply, TimePoint now)
{
	std::erase_if(this->tables_requests, [&](const PendingTablesRequest &each) { return each.ask.instance == ask.instance; });
	this->tables_requests.push_back({ask, reply, now + this->limits.table_request_ttl});
	this->next_answer_at = now;
}

void PeerExchange::AnswerTablesRequests(TimePoint now)
{
	static constexpr Duration PAUSE = std::chrono::milliseconds(100); // Many ask while nothing has changed here.
	std::erase_if(this->tables_requests, [&](const PendingTablesRequest &each) { return now >= each.until; });
	if (this->tables_requests.empty() || now < this->next_answer_at) return;
	this->next_answer_at = now + PAUSE;
	for (PendingTablesRequest &each : this->tables_requests) this->AnswerTablesRequest(each, now);
	std::erase_if(this->tables_requests, [](const PendingTablesRequest &each) { return each.ask.tables.empty(); });
}

void PeerExchange::AnswerTablesRequest(PendingTablesRequest &ask, TimePoint now)
{
	// What is known is told at once: who reads one table may wait for another one itself.
	for (auto table = ask.ask.tables.begin(); table != ask.ask.tables.end();) {
		const std::string *answer = this->TableSnapshot(*table);
		// Beyond what the link bears the asker turns to another one, which has them by then.
		if (answer == nullptr || !this->snapshot_budget.Take(static_cast<double>(answer->size()), now)) {
			++table;
			continue;
		}
		ask.reply.Bytes(*answer);
		Log(LogLevel::Info, "table-told", {{"instance", ask.ask.instance}, {"table", *table}, {"bytes", std::to_string(answer->size())}});
		table = ask.ask.tables.erase(table);
	}
}

const std::string *PeerExchange::TableSnapshot(const std::string &table)
{
	std::optional<StoreVersion> version = this->sharing.SnapshotVersion(table);
	if (!version) return nullptr;
	auto [found, added] = this->encoded_snapshots.try_emplace(table);
	if (added || found->second.version != *version) {
		TablesMessage message{this->name, this->hall, true, this->sharing.Snapshot({table}), {}};
		this->AddParts(message);
		found->second = {*version, EncodePeerMessage(message)};
	}
	return &found->second.bytes;
}

bool PeerExchange::HasAllTargets(const TablesMessage &message) const
{
	auto tells = [this](const TableUpdate &news) { return news.full && news.table == this->divided_table; };
	return this->division != nullptr && std::any_of(message.tables.begin(), message.tables.end(), tells);
}

void PeerExchange::AddParts(TablesMessage &message) const
{
	if (this->HasAllTargets(message)) message.shards = this->division->Shards();
}

void PeerExchange::AdoptParts(const TablesMessage &message)
{
	if (!this->HasAllTargets(message) || !this->division->Set(message.shards)) return;
	Log(LogLevel::Info, "targets-divided", {{"source", message.instance}, {"pools", std::to_string(message.shards.size())}});
}

void PeerExchange::OnTables(const TablesMessage &message, TimePoint now)
{
	this->AdoptParts(message);
	for (const TableUpdate &news : message.tables) this->sharing.OnUpdate(message.instance, message.hall, news, now);
	this->next_answer_at = now;
	if (!this->sharing.ShouldForward(message.hall, message.forwarded)) return;
	TablesMessage forwarded = message;
	forwarded.forwarded = true;
	this->PublishTables(std::move(forwarded), this->forwarders);
}

} // namespace cottonspool
