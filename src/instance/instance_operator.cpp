/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance_operator.cpp An entry instance: HTTP requests of operators, and metrics. */

#include "configuration/json_text.h"
#include "instance/instance.h"
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

/** Answer with a JSON body. */
static void AnswerJson(const std::shared_ptr<HttpExchange> &exchange, int status, const Json &body)
{
	exchange->Respond(status, {{"content-type", "application/json"}}, body.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
}

/** @return \a duration in milliseconds. */
static int64_t ToMs(Duration duration)
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

/** @return Records by name, each with the sequence of its last change. @param name Only this record; empty for all. */
template <typename Records, typename Format> static Json ShowRecords(const Records &records, const std::string &name, Format format)
{
	Json shown = Json::object();
	for (const auto &[key, versioned] : records) {
		if (!name.empty() && key != name) continue;
		shown[key] = {{"changed", versioned.changed}, {"content", format(versioned.record)}};
	}
	return shown;
}

/** @return The records of \a kind, or null if there is no such kind. @param name Only this record; empty for all. */
static Json ShowKind(const ConfigurationState &state, const std::string &kind, const std::string &name)
{
	auto parse = [](const std::string &text) { return Json::parse(text, nullptr, false); };
	if (kind == "account")
		return ShowRecords(state.Accounts(), name, [&](const AccountRecord &record) { return parse(FormatAccount(record)); });
	if (kind == "target")
		return ShowRecords(state.Targets(), name, [&](const TargetRecord &record) { return parse(FormatTarget(record)); });
	if (kind == "model") {
		return ShowRecords(state.Models(), name, [](const ModelRecord &record) { return Json{{"context_tokens", record.context_tokens}}; });
	}
	if (kind == "policy")
		return ShowRecords(state.Policies(), name, [](const PolicyRecord &record) { return Json{{"program", record.program}}; });
	if (kind != "share") return nullptr;
	return ShowRecords(state.Shares(), name, [](const ShareRecord &record) {
		Json halls = Json::object();
		for (const HallPreference &hall : record.halls) halls[hall.hall] = hall.weight;
		return halls;
	});
}

/** @return The status of one target as this instance sees it. */
static Json TargetStatus(const TargetTable &targets, const TargetState &target, TimePoint now)
{
	return Json{{"name", target.name},
	            {"hall", target.hall},
	            {"ready", target.restrictions.ready},
	            {"leaving", target.restrictions.draining},
	            {"slow", target.slow},
	            {"ejected", now < target.restrictions.ejected_until},
	            {"in_flight", target.in_flight.size()},
	            {"pressure", targets.Pressure(target, MonotonicNow())},
	            {"preemptions", target.report.preemptions},
	            {"report_age_ms", target.report.sequence == 0 ? -1 : ToMs(now - target.report_at)}};
}

std::string Instance::StatusJson() const
{
	TimePoint now = MonotonicNow();
	TimePoint confirmed = this->configuration.ConfirmedAt();
	Json status{{"instance", this->settings.name},
	            {"hall", this->settings.hall},
	            {"sequence", this->configuration.State().Sequence()},
	            {"confirmed_age_ms", confirmed == TimePoint{} ? -1 : ToMs(now - confirmed)},
	            {"fresh", this->IsConfigurationFresh()},
	            {"stopping", this->stopping},
	            {"calls", this->calls.size()},
	            {"queued", this->dispatcher.Queue().Size()},
	            {"in_flight", this->dispatcher.InFlight()},
	            {"links", this->peers.OpenLinks()},
	            {"lease",
	             {{"held", this->orders.CurrentLease().Held(now)},
	              {"holder", this->orders.CurrentLease().Holder()},
	              {"epoch", this->orders.CurrentLease().Epoch()}}},
	            {"orders", {{"sent", this->orders.Counters().sent}, {"refused", this->orders.Counters().refused}}},
	            {"policy",
	             {{"runs", this->policy.Counters().runs},
	              {"fallbacks", this->policy.Counters().fallbacks},
	              {"error", this->policy.LastError()}}},
	            {"unsettled_claims", this->claims.Unsettled()}};
	status["members"] = Json::array();
	for (const MemberInfo &member : this->membership.Live(now)) {
		status["members"].push_back(
		        {{"name", member.name}, {"hall", member.hall}, {"sequence", member.sequence}, {"stopping", member.stopping}});
	}
	status["targets"] = Json::array();
	const TargetTable &targets = this->dispatcher.Targets();
	for (uint32_t i = 0; i < targets.Size(); i++) {
		const TargetState &target = targets.Get(TargetNumber{i});
		if (target.restrictions.known || !target.in_flight.empty()) status["targets"].push_back(TargetStatus(targets, target, now));
	}
	return ToJsonText(status);
}

std::string Instance::RenderMetrics()
{
	TimePoint now = MonotonicNow();
	const DispatchCounters &dispatch = this->dispatcher.Counters();
	this->metrics.Gauge("cottonspool_calls", static_cast<double>(this->calls.size()));
	this->metrics.Gauge("cottonspool_queued", static_cast<double>(this->dispatcher.Queue().Size()));
	this->metrics.Gauge("cottonspool_connections", this->server.Connections());
	this->metrics.Gauge("cottonspool_configuration_sequence", static_cast<double>(this->configuration.State().Sequence()));
	this->metrics.Gauge("cottonspool_members", static_cast<double>(this->membership.Live(now).size()));
	this->metrics.Gauge("cottonspool_sends", static_cast<double>(dispatch.sends));
	this->metrics.Gauge("cottonspool_retries", static_cast<double>(dispatch.retries));
	this->metrics.Gauge("cottonspool_platform_reads", static_cast<double>(this->platform.Counters().reads));
	this->metrics.Gauge("cottonspool_platform_writes", static_cast<double>(this->platform.Counters().writes));
	this->metrics.Gauge("cottonspool_platform_failures", static_cast<double>(this->platform.Counters().failures));
	this->metrics.Gauge("cottonspool_peer_bytes_out", static_cast<double>(this->peers.Counters().bytes_out));
	this->metrics.Gauge("cottonspool_peer_bytes_in", static_cast<double>(this->peers.Counters().bytes_in));
	this->metrics.Gauge("cottonspool_load_reports", static_cast<double>(this->poller.Reports()));
	TargetTable &targets = this->dispatcher.Targets();
	for (uint32_t i = 0; i < targets.Size(); i++) {
		const TargetState &target = targets.Get(TargetNumber{i});
		std::string label = "{target=\"" + target.name + "\"}";
		this->metrics.Gauge("cottonspool_target_preemptions" + label, static_cast<double>(target.report.preemptions));
		this->metrics.Gauge("cottonspool_target_pressure" + label, targets.Pressure(target, MonotonicNow()));
	}
	return this->metrics.Render();
}

void Instance::HandleOperator(const std::shared_ptr<HttpExchange> &exchange)
{
	const HttpRequest &request = exchange->request;
	std::string_view header = FindHeader(request.headers, "authorization");
	constexpr std::string_view bearer = "Bearer ";
	bool authorised =
	        header.starts_with(bearer) && FormatDigest(DigestKey(header.substr(bearer.size()))) == this->settings.operator_key_sha256;
	if (!authorised) return this->Reject(exchange, 401, "operator-key", "authorization: must be a Bearer token with the operators' key");
	if (request.path == "/metrics") return exchange->Respond(200, {{"content-type", "text/plain; version=0.0.4"}}, this->RenderMetrics());
	if (request.path == "/operator/status")
		return exchange->Respond(200, {{"content-type", "application/json"}}, this->StatusJson() + "\n");
	if (request.path == "/operator/apply" && request.method == "POST") return this->HandleApply(exchange);
	if (request.path == "/operator/show") {
		Json shown = ShowKind(this->configuration.State(), QueryValue(request.query, "kind"), QueryValue(request.query, "name"));
		if (shown.is_null()) return this->Reject(exchange, 400, "kind", "kind: must be account, model, target, share or policy");
		return AnswerJson(exchange, 200, shown);
	}
	if (request.path == "/operator/explain") {
		std::vector<TraceEvent> events = this->traces.Find(QueryValue(request.query, "request"));
		if (events.empty()) return this->Reject(exchange, 404, "request", "request: unknown, or no longer kept by this instance");
		Json lines = Json::array();
		for (const TraceEvent &event : events) lines.push_back({{"ms", ToMs(event.at - events.front().at)}, {"text", event.text}});
		return AnswerJson(exchange, 200, lines);
	}
	this->Reject(exchange, 404, "path", "path: not found; available are status, apply, show and explain");
}

void Instance::HandleApply(const std::shared_ptr<HttpExchange> &exchange)
{
	Result<Change> change = ParseChange(exchange->request.body);
	if (!change) return this->Reject(exchange, 422, "change", change.error().peer + ": " + change.error().message);
	this->configuration.Accept(change.value(), [exchange](const ApplyResult &result) {
		switch (result.end) {
		case ApplyOutcome::Accepted:
			return AnswerJson(exchange, 200, {{"accepted", true}, {"sequence", result.sequence}, {"repeated", result.repeated}});
		case ApplyOutcome::Conflict:
			return AnswerJson(
			        exchange, 409,
			        {{"accepted", false},
			         {"conflict", {{"change", result.other.id}, {"author", result.other.author}, {"sequence", result.other.sequence}}}});
		case ApplyOutcome::Invalid:
			return AnswerJson(exchange, 422, {{"accepted", false}, {"error", result.message}});
		case ApplyOutcome::Failed:
			return AnswerJson(exchange, 503, {{"accepted", false}, {"error", result.message}});
		case ApplyOutcome::Unknown:
			return AnswerJson(exchange, 504, {{"accepted", nullptr}, {"error", result.message}});
		}
	});
}

} // namespace cottonspool
