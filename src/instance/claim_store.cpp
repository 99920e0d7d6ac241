/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file claim_store.cpp Claims of calls with an idempotency key. */

#include "instance/claim_store.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

std::string FormatClaim(const ClaimRow &row)
{
	Json object{{"state", static_cast<int>(row.state)}, {"nonce", row.nonce}, {"request", row.request_hash}};
	if (row.state == ClaimState::Done) {
		object["status"] = row.status;
		object["type"] = row.content_type;
		object["body"] = row.body;
	}
	return object.dump(-1, ' ', false, Json::error_handler_t::replace);
}

ClaimRow ParseClaim(const std::string &text, const std::string &version)
{
	ClaimRow row;
	row.version = version;
	Json object = Json::parse(text, nullptr, false);
	if (!object.is_object()) return row;
	try {
		int state = object.value("state", 0);
		if (state >= 0 && state <= static_cast<int>(ClaimState::Released)) row.state = static_cast<ClaimState>(state);
		row.nonce = object.value("nonce", "");
		row.request_hash = object.value("request", 0ULL);
		row.status = object.value("status", 0);
		row.content_type = object.value("type", "");
		row.body = object.value("body", "");
	} catch (const Json::exception &) {
		row.state = ClaimState::Taken;
	}
	return row;
}

void ClaimStore::Acquire(const std::string &key, const std::string &nonce, uint64_t request_hash, ClaimDone done)
{
	this->Advance(key, std::make_shared<Claim>(nonce, request_hash), done);
}

void ClaimStore::Advance(const std::string &key, const std::shared_ptr<Claim> &claim, const ClaimDone &done)
{
	auto written = [this, key, claim, done](const WriteOutcome &outcome) {
		claim->OnWritten(outcome.result, outcome.version);
		this->Advance(key, claim, done);
	};
	switch (claim->Step()) {
	case ClaimStep::Insert:
		return this->platform.InsertRow(key, FormatClaim(claim->Proposal()), written);
	case ClaimStep::Replace:
		return this->platform.ReplaceRow(key, FormatClaim(claim->Proposal()), claim->Row().version, written);
	case ClaimStep::Read:
		return this->platform.ReadRow(key, [this, key, claim, done](Result<PlatformRow> row) {
			claim->OnRead(row ? std::optional<ClaimRow>(ParseClaim(row.value().value, row.value().version)) : std::nullopt);
			this->Advance(key, claim, done);
		});
	default:
		break;
	}
	if (claim->NeedsRelease()) {
		ClaimRow released = claim->Proposal();
		released.state = ClaimState::Released;
		this->Settle(key, std::move(released));
	}
	done(claim->Step(), claim->Row());
}

void ClaimStore::Settle(const std::string &key, ClaimRow row)
{
	if (row.body.size() > MAX_RECORDED_BODY_BYTES) row.body.clear();
	this->TrySettle({key, std::move(row)});
}

void ClaimStore::TrySettle(Settlement settlement)
{
	this->settles_in_flight++;
	if (!settlement.row.version.empty()) {
		std::string version = settlement.row.version;
		return this->WriteSettlement(std::move(settlement), version);
	}
	std::string key = settlement.key;
	this->platform.ReadRow(key, [this, settlement = std::move(settlement)](Result<PlatformRow> found) mutable {
		if (!found) {
			this->settles_in_flight--;
			this->unsettled.push_back(std::move(settlement));
			return;
		}
		ClaimRow row = ParseClaim(found.value().value, found.value().version);
		bool ours = !row.version.empty() && row.nonce == settlement.row.nonce && row.state == ClaimState::Taken;
		if (ours) return this->WriteSettlement(std::move(settlement), row.version);
		this->settles_in_flight--;
		// A write whose answer was lost may still create the row: retry for a while.
		bool retry = row.version.empty() && settlement.row.state == ClaimState::Released && settlement.tries < 10;
		if (retry) this->unsettled.push_back(std::move(settlement));
	});
}

void ClaimStore::WriteSettlement(Settlement settlement, const std::string &version)
{
	std::string text = FormatClaim(settlement.row);
	std::string key = settlement.key;
	this->platform.ReplaceRow(key, text, version, [this, settlement = std::move(settlement)](const WriteOutcome &outcome) mutable {
		this->settles_in_flight--;
		if (outcome.result == WriteResult::Done) return;
		settlement.row.version.clear();
		this->unsettled.push_back(std::move(settlement));
		if (this->unsettled.size() > MAX_UNSETTLED) this->unsettled.pop_front();
	});
}

void ClaimStore::OnTick()
{
	std::deque<Settlement> retries;
	retries.swap(this->unsettled);
	for (Settlement &settlement : retries) {
		if (++settlement.tries > MAX_TRIES) continue;
		this->TrySettle(std::move(settlement));
	}
}

} // namespace cottonspool
