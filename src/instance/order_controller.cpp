/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file order_controller.cpp Orders with fencing tokens to the engines of the local hall. */

#include "instance/order_controller.h"
#include "configuration/json_text.h"
#include "metrics/log.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

/** Parse the lease's row. */
static LeaseRow ParseLeaseRow(const PlatformRow &row)
{
	LeaseRow lease;
	lease.version = row.version;
	Json object = Json::parse(row.value, nullptr, false);
	if (!object.is_object()) return lease;
	if (object.contains("holder") && object["holder"].is_string()) lease.holder = object["holder"].get<std::string>();
	if (object.contains("epoch") && object["epoch"].is_number_unsigned()) lease.epoch = object["epoch"].get<uint64_t>();
	if (object.contains("nonce") && object["nonce"].is_number_unsigned()) lease.nonce = object["nonce"].get<uint64_t>();
	return lease;
}

void OrderController::WriteLease(uint64_t nonce)
{
	LeaseRow proposal = this->lease.Proposal(nonce);
	std::string text = ToJsonText(Json{{"holder", proposal.holder}, {"epoch", proposal.epoch}, {"nonce", proposal.nonce}});
	TimePoint sent_at = MonotonicNow();
	auto done = [this, proposal, sent_at](const WriteOutcome &outcome) {
		this->lease_request_pending = false;
		this->lease.OnWritten(proposal, outcome.result, outcome.version, sent_at, MonotonicNow());
	};
	this->lease_request_pending = true;
	if (proposal.version.empty()) return this->platform.InsertRow(this->RowKey(), text, done);
	this->platform.ReplaceRow(this->RowKey(), text, proposal.version, done);
}

void OrderController::AdvanceLease(uint64_t nonce, TimePoint now)
{
	if (this->lease_request_pending) return;
	LeaseStep step = this->lease.Next(now);
	if (step == LeaseStep::Write) return this->WriteLease(nonce);
	if (step != LeaseStep::Read) return;
	this->lease_request_pending = true;
	this->platform.ReadRow(this->RowKey(), [this](Result<PlatformRow> row) {
		this->lease_request_pending = false;
		if (row) this->lease.OnRead(ParseLeaseRow(row.value()), MonotonicNow());
	});
}

void OrderController::SendOrderIfDue(const std::string &name, const TargetRecord &record, TimePoint now)
{
	const ReportedState *reported = this->poller.Reported(name);
	if (reported == nullptr || reported->incarnation.empty()) return;
	std::set<std::string> wanted(record.serves.begin(), record.serves.end());
	bool in_wanted_state = reported->models == wanted && (record.role.empty() || record.role == reported->role);
	if (in_wanted_state || this->orders_in_flight >= MAX_ORDERS) return;
	auto last = this->ordered_at.find(name);
	if (last != this->ordered_at.end() && now - last->second < ORDER_TIMEOUT) return;
	// Without fencing at the engine, wait until an order of the previous holder can no longer arrive.
	if (!record.checks_fences && now - this->lease.Since() < ORDER_TIMEOUT) return;
	Json order{{"epoch", this->lease.Epoch()}, {"models", wanted}};
	if (!record.role.empty()) order["role"] = record.role;
	HttpCall call;
	call.method = "POST";
	call.url = "http://" + record.address + "/orders";
	call.headers = {{"content-type", "application/json"}};
	call.body = ToJsonText(order);
	call.total_timeout = ORDER_TIMEOUT;
	call.connect_timeout = ORDER_TIMEOUT / 4;
	call.fresh_connection = true;
	call.on_end = [this, name](const HttpCallResult &end) {
		this->orders_in_flight--;
		if (end.status != 409) return;
		this->counters.refused++;
		Log(LogLevel::Warning, "order-refused", {{"target", name}, {"why", "old fence"}});
	};
	if (!this->lease.Held(MonotonicNow())) {
		this->counters.withheld++;
		return;
	}
	this->ordered_at[name] = now;
	this->orders_in_flight++;
	this->counters.sent++;
	Log(LogLevel::Info, "order-sent", {{"target", name}, {"epoch", std::to_string(this->lease.Epoch())}});
	this->client.Start(std::move(call));
}

void OrderController::OnTick(const ConfigurationState &configuration, uint64_t nonce, TimePoint now)
{
	this->AdvanceLease(nonce, now);
	bool held = this->lease.Held(now);
	if (held != this->was_held)
		Log(LogLevel::Info, held ? "lease-won" : "lease-lost", {{"hall", this->hall}, {"epoch", std::to_string(this->lease.Epoch())}});
	this->was_held = held;
	if (!held) return;
	for (const auto &[name, versioned] : configuration.Targets()) {
		const TargetRecord &record = versioned.record;
		bool managed_here = record.kind == TargetKind::Engine && record.hall == this->hall && record.reports &&
		                    record.desired_state == DesiredState::Live;
		if (managed_here) this->SendOrderIfDue(name, record, now);
	}
}

} // namespace cottonspool
