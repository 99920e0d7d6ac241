/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file simulated_store.cpp Simulated store of the users' platform. */

#include "simulation_base.h"
#include <openssl/evp.h>

namespace cottonspool {

static constexpr uint64_t WAIT_TICK_MS = 20; ///< Interval at which waiting feed requests are checked.

/** @return \a bytes in base64. */
static std::string Encode64(const std::string &bytes)
{
	std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
	int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()), reinterpret_cast<const unsigned char *>(bytes.data()),
	                             static_cast<int>(bytes.size()));
	text.resize(static_cast<size_t>(length));
	return text;
}

/** @return The bytes that \a text encodes in base64. */
static std::string Decode64(const std::string &text)
{
	std::string bytes(text.size() / 4 * 3, '\0');
	int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()), reinterpret_cast<const unsigned char *>(text.data()),
	                             static_cast<int>(text.size()));
	size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
	bytes.resize(static_cast<size_t>(std::max(length, 0)) - padding);
	return bytes;
}

HttpHeaders SimulatedStore::Headers() const
{
	return {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->epoch)}};
}

void SimulatedStore::Reply(const Exchange &exchange, int status, const Json &body) const
{
	exchange->Respond(status, this->Headers(), body.dump());
}

void SimulatedStore::TakeBackup()
{
	this->backup = {this->tables, this->version};
}

void SimulatedStore::RestoreBackup()
{
	for (const Waiting &each : this->waiting) each.exchange->Abort();
	this->waiting.clear();
	this->tables = this->backup.tables;
	this->version = this->backup.version;
	this->epoch++;
}

void SimulatedStore::RewriteRows(const std::string &table)
{
	std::map<std::string, Row> newest = this->newest[table];
	for (const auto &[key, row] : newest) {
		const Row &there = this->tables[table][key];
		bool same = there.version > 0 && there.deleted == row.deleted && there.value == row.value;
		if (!same && row.deleted) this->Remove(table, key);
		if (!same && !row.deleted) this->Put(table, key, row.value);
	}
}

void SimulatedStore::Put(const std::string &table, const std::string &key, const std::string &value)
{
	this->tables[table][key] = this->newest[table][key] = {value, ++this->version, false};
	this->AnswerWaiting();
}

void SimulatedStore::Remove(const std::string &table, const std::string &key)
{
	this->tables[table][key] = this->newest[table][key] = {"", ++this->version, true};
	this->AnswerWaiting();
}

std::string SimulatedStore::WithAddressOverrides(const std::string &value) const
{
	std::string text = value;
	for (const auto &[address, shown] : this->address_overrides) {
		size_t at = text.find(address);
		bool full_match = at != std::string::npos && (at + address.size() == text.size() || isdigit(text[at + address.size()]) == 0);
		if (full_match) return text.replace(at, address.size(), shown);
	}
	return text;
}

Json SimulatedStore::RowsOf(const std::string &table, uint64_t since, bool with_deleted) const
{
	Json rows = Json::array();
	auto found = this->tables.find(table);
	if (found == this->tables.end()) return rows;
	std::vector<std::pair<uint64_t, Json>> changed;
	for (const auto &[key, row] : found->second) {
		if (row.version <= since || (row.deleted && !with_deleted)) continue;
		Json out{{"table", table}, {"part", ""}, {"tlsKey", key}, {"ver", row.version}};
		if (row.deleted) out["deleted"] = true;
		if (!row.deleted) out["value"] = Encode64(this->WithAddressOverrides(row.value));
		changed.emplace_back(with_deleted ? row.version : 0, std::move(out));
	}
	std::stable_sort(changed.begin(), changed.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
	for (auto &[at, row] : changed) rows.push_back(std::move(row));
	return rows;
}

void SimulatedStore::Get(const Exchange &exchange, const std::string &query)
{
	Json rows = this->RowsOf(std::string(QueryValue(query, "table")), 0, false);
	this->Reply(exchange, 200, {{"rows", rows}, {"hasMore", false}, {"ver", this->version}, {"nowMs", NowMs()}});
}

void SimulatedStore::Feed(const Exchange &exchange, const std::string &query)
{
	if (this->mode == "compact") {
		this->mode = "up";
		return this->Reply(exchange, 410, Json::object());
	}
	uint64_t since = strtoull(QueryValue(query, "sinceRev").c_str(), nullptr, 10);
	if (since > this->version) return this->Reply(exchange, 410, Json::object());
	int64_t wait = strtoll(QueryValue(query, "waitMs").c_str(), nullptr, 10);
	this->waiting.push_back({exchange, std::string(QueryValue(query, "table")), since, NowMs() + wait});
	this->AnswerWaiting();
	if (this->timer_running) return;
	this->timer_running = true;
	Every(this->loop, WAIT_TICK_MS, [this] { this->AnswerWaiting(); });
}

void SimulatedStore::AnswerWaiting()
{
	if (this->mode == "silent") return;
	for (auto it = this->waiting.begin(); it != this->waiting.end();) {
		Json rows = this->RowsOf(it->table, it->since, true);
		bool due = !rows.empty() || NowMs() >= it->until;
		if (!due && !it->exchange->IsOver()) {
			++it;
			continue;
		}
		if (!it->exchange->IsOver()) this->Reply(it->exchange, 200, {{"rows", rows}, {"ver", this->version}, {"nowMs", NowMs()}});
		it = this->waiting.erase(it);
	}
}

void SimulatedStore::Transact(const Exchange &exchange)
{
	Json body = Json::parse(exchange->body, nullptr, false);
	for (const Json &row : body.value("setKeys", Json::array())) this->Put(row["table"], row["tlsKey"], Decode64(row["value"]));
	for (const Json &row : body.value("remove", Json::array())) this->Remove(row["table"], row["tlsKey"]);
	if (this->mode == "lose") return this->waiting.push_back({exchange, "", UINT64_MAX, INT64_MAX});
	this->Reply(exchange, 200, {{"ver", this->version}, {"nowMs", NowMs()}});
}

bool SimulatedStore::Handle(const Exchange &exchange)
{
	if (!exchange->head.target.starts_with("/-/rows-")) return false;
	this->calls++;
	if (this->slow_ms == 0) {
		this->Answer(exchange);
	} else {
		After(this->loop, static_cast<uint64_t>(this->slow_ms), [this, exchange] {
			if (!exchange->IsOver()) this->Answer(exchange);
		});
	}
	return true;
}

void SimulatedStore::Answer(const Exchange &exchange)
{
	const std::string &target = exchange->head.target;
	std::string query = target.substr(std::min(target.size(), target.find('?') + 1));
	if (this->mode == "busy") {
		exchange->Respond(503, this->Headers(), {});
	} else if (this->mode == "away") {
		exchange->Abort();
	} else if (this->mode == "silent") {
		this->waiting.push_back({exchange, "", UINT64_MAX, INT64_MAX});
	} else if (target.starts_with("/-/rows-get")) {
		this->Get(exchange, query);
	} else if (target.starts_with("/-/rows-feed")) {
		this->Feed(exchange, query);
	} else {
		this->Transact(exchange);
	}
}

} // namespace cottonspool
