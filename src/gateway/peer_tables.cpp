/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file peer_tables.cpp Distribution of the store's tables between instances: updates as they are read, snapshots to instances that start.
 */

#include "gateway/peer_exchange.h"
#include "metrics/log.h"
#include <algorithm>

namespace cottonspool {

void PeerExchange::PublishTables(TablesMessage message, const std::set<std::string> &except)
{
	this->AddShards(message);
	this->next_answer_at = TimePoint{};
	std::string bytes = EncodePeerMessage(message);
	bool has_rows =
	        std::any_of(message.tables.begin(), message.tables.end(), [](const TableUpdate &update) { return !update.rows.empty(); });
	if (has_rows && !this->forward_budget.Take(static_cast<double>(bytes.size() * this->links.OpenLinks()), MonotonicNow())) {
		// Too many bytes to forward: a heartbeat that advertises the new version makes the receivers read the rows themselves.
		for (TableUpdate &update : message.tables) update = {update.table, update.to, update.to, false, true, {}, update.read};
		bytes = EncodePeerMessage(message);
	}
	this->links.BroadcastBytes(bytes, except);
}

std::vector<Reader> PeerExchange::ListedInstances() const
{
	std::vector<Reader> all{{this->name, this->limits.link_mbps}};
	for (const std::string &peer : this->directory.Names()) all.push_back({peer, this->directory.Find(peer)->link_mbps});
	return all;
}

TableSource PeerExchange::ChooseTableSource(TimePoint now) const
{
	// Without a listener for peers, other instances never become known.
	if (this->exchange_started == TimePoint{}) return TableSource::FromStore;
	Duration since = now - this->exchange_started;
	if (!this->watch.IsKnown())
		return since < this->limits.list_timeout || this->limits.bootstrap ? TableSource::Undecided : TableSource::FromStore;
	// When all instances start together they appear one by one; the list is complete when no more appear.
	bool complete = now - this->list_changed_at >= this->limits.list_settle_time || since >= this->limits.list_max_wait;
	if (this->limits.bootstrap && !complete) return TableSource::Undecided;
	// A short list is read faster than transferred. In a system with cells, each instance would read much more than it needs.
	return this->Cells() > 1 ? TableSource::FromPeers : TableSource::FromStore;
}

Duration PeerExchange::TableTimeout() const
{
	// The first instance in this order is the one that other halls connect to for tables.
	std::vector<std::string> order = ReaderOrder(FORWARDER_KEY, this->ListedInstances());
	auto position = std::find(order.begin(), order.end(), this->name) - order.begin();
	return position == 0 ? Duration(0) : this->limits.table_timeout + this->limits.table_timeout_per_instance * position;
}

std::vector<std::string> PeerExchange::HallOrder() const
{
	std::vector<Reader> of_hall{{this->name, this->limits.link_mbps}};
	for (const Reader &reader : this->ListedInstances()) {
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
	// The first instance of a hall requests tables from another hall, the rest of the hall from the first one.
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
	// The first candidate is used as soon as it is connected, the others in turn until one answers.
	bool retry_due = now >= this->next_tables_request_at;
	bool first = candidates.front() != this->first_requested;
	if (!first && !retry_due) return;
	if (first) this->first_requested = candidates.front();
	const std::string &to = first ? candidates.front() : candidates[++this->tables_requests_sent % candidates.size()];
	this->next_tables_request_at = now + this->limits.table_request_interval;
	this->links.SendTo(to, TablesRequestMessage{this->name, wanted});
	Log(LogLevel::Info, "tables-asked", {{"tables", std::to_string(wanted.size())}, {"peer", to}});
}

void PeerExchange::OnTablesRequest(const TablesRequestMessage &request, const PeerLinks::Reply &reply, TimePoint now)
{
	std::erase_if(this->tables_requests, [&](const PendingTablesRequest &each) { return each.request.instance == request.instance; });
	this->tables_requests.push_back({request, reply, now + this->limits.table_request_ttl});
	this->next_answer_at = now;
}

void PeerExchange::AnswerTablesRequests(TimePoint now)
{
	// Answering is pointless at each tick, as usually nothing has changed.
	static constexpr Duration ANSWER_INTERVAL = std::chrono::milliseconds(100);
	std::erase_if(this->tables_requests, [&](const PendingTablesRequest &each) { return now >= each.until; });
	if (this->tables_requests.empty() || now < this->next_answer_at) return;
	this->next_answer_at = now + ANSWER_INTERVAL;
	for (PendingTablesRequest &each : this->tables_requests) this->AnswerTablesRequest(each, now);
	std::erase_if(this->tables_requests, [](const PendingTablesRequest &each) { return each.request.tables.empty(); });
}

void PeerExchange::AnswerTablesRequest(PendingTablesRequest &request, TimePoint now)
{
	// Each table is sent as soon as it is known: the instance that reads one table may wait for another one itself.
	for (auto table = request.request.tables.begin(); table != request.request.tables.end();) {
		const std::string *answer = this->TableSnapshot(*table);
		// Beyond the budget, the requesting instance turns to another one, which has the tables by then.
		if (answer == nullptr || !this->snapshot_budget.Take(static_cast<double>(answer->size()), now)) {
			++table;
			continue;
		}
		request.reply.Bytes(*answer);
		Log(LogLevel::Info, "table-told",
		    {{"instance", request.request.instance}, {"table", *table}, {"bytes", std::to_string(answer->size())}});
		table = request.request.tables.erase(table);
	}
}

const std::string *PeerExchange::TableSnapshot(const std::string &table)
{
	std::optional<StoreVersion> version = this->sharing.SnapshotVersion(table);
	if (!version) return nullptr;
	auto [found, added] = this->encoded_snapshots.try_emplace(table);
	if (added || found->second.version != *version) {
		TablesMessage message{this->name, this->hall, true, this->sharing.Snapshot({table}), {}};
		this->AddShards(message);
		found->second = {*version, EncodePeerMessage(message)};
	}
	return &found->second.bytes;
}

bool PeerExchange::HasAllTargets(const TablesMessage &message) const
{
	auto is_all_targets = [this](const TableUpdate &update) { return update.full && update.table == this->divided_table; };
	return this->division != nullptr && std::any_of(message.tables.begin(), message.tables.end(), is_all_targets);
}

void PeerExchange::AddShards(TablesMessage &message) const
{
	if (this->HasAllTargets(message)) message.shards = this->division->Shards();
}

void PeerExchange::AdoptShards(const TablesMessage &message)
{
	if (!this->HasAllTargets(message) || !this->division->Set(message.shards)) return;
	Log(LogLevel::Info, "targets-divided", {{"source", message.instance}, {"pools", std::to_string(message.shards.size())}});
}

void PeerExchange::OnTables(const TablesMessage &message, TimePoint now)
{
	this->AdoptShards(message);
	for (const TableUpdate &update : message.tables) this->sharing.OnUpdate(message.instance, message.hall, update, now);
	this->next_answer_at = now;
	if (!this->sharing.ShouldForward(message.hall, message.forwarded)) return;
	TablesMessage forwarded = message;
	forwarded.forwarded = true;
	this->PublishTables(std::move(forwarded), this->forwarders);
}

} // namespace cottonspool
