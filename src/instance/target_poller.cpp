/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_poller.cpp Polling of the targets' load reports. */

#include "instance/target_poller.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr size_t MAX_REPORT_BYTES = 64U << 10;                       ///< Largest accepted load report.
static constexpr Duration REPORT_TIMEOUT = std::chrono::milliseconds(1000); ///< Timeout of one poll.

std::string ServiceModelName(const std::string &service)
{
	return "service:" + service;
}

std::optional<LoadReport> ParseLoadReport(const std::string &body, ReportedState *state)
{
	Json object = Json::parse(body, nullptr, false);
	if (!object.is_object()) return std::nullopt;
	// Reject fractions and numbers out of range, whose conversion would be undefined behaviour.
	for (const char *name :
	     {"sequence", "capacity_tokens", "used_tokens", "running", "waiting", "waiting_tokens", "preemptions", "age_ms"}) {
		auto found = object.find(name);
		if (found != object.end() && !found->is_number_integer()) return std::nullopt;
	}
	auto prefixes = object.find("prefixes");
	if (prefixes != object.end() &&
	    !std::all_of(prefixes->begin(), prefixes->end(), [](const Json &each) { return each.is_number_integer(); }))
		return std::nullopt;
	LoadReport report;
	try {
		report.sequence = object.at("sequence").get<uint64_t>();
		report.incarnation = object.value("incarnation", "");
		report.capacity_tokens = object.at("capacity_tokens").get<uint64_t>();
		report.used_tokens = object.at("used_tokens").get<uint64_t>();
		report.running = object.value("running", 0U);
		report.waiting = object.value("waiting", 0U);
		report.waiting_tokens = object.value("waiting_tokens", 0ULL);
		report.preemptions = object.value("preemptions", 0ULL);
		report.draining = object.value("leaving", false);
		report.age = std::chrono::milliseconds(std::clamp<int64_t>(object.value("age_ms", 0LL), 0, 3600000));
		report.prefixes = object.value("prefixes", std::vector<uint64_t>{});
		state->models = object.value("models", std::set<std::string>{});
		state->role = object.value("role", "");
		state->incarnation = report.incarnation;
	} catch (const Json::exception &) {
		return std::nullopt;
	}
	return report;
}

/** @return The targets that \a instance uses: at most \a max_per_model per model, from the local \a hall if it has enough. */
static std::set<std::string> ChooseTargets(const ConfigurationState &configuration, const std::string &instance, const std::string &hall,
                                           size_t max_per_model)
{
	std::map<std::string, std::vector<std::string>> by_model;
	for (const auto &[name, versioned] : configuration.Targets()) {
		for (const std::string &model : versioned.record.serves) by_model[model].push_back(name);
	}
	std::set<std::string> chosen;
	for (const auto &[model, names] : by_model) {
		std::vector<std::string> local_targets;
		if (names.size() > max_per_model) {
			std::copy_if(names.begin(), names.end(), std::back_inserter(local_targets),
			             [&](const std::string &name) { return configuration.Targets().at(name).record.hall == hall; });
		}
		const std::vector<std::string> &candidates = local_targets.size() >= max_per_model ? local_targets : names;
		for (std::string &name : RendezvousChoice(instance + "/" + model, candidates, max_per_model)) chosen.insert(std::move(name));
	}
	return chosen;
}

void TargetPoller::ConfigureModels(const std::string &name, PolledTarget &polled)
{
	std::vector<ModelNumber> numbers;
	for (const std::string &served : polled.record.serves) {
		bool engine = polled.record.kind == TargetKind::Engine;
		if (engine && polled.record.reports && !polled.reported.models.contains(served)) continue;
		numbers.push_back(this->models.Intern(engine ? served : ServiceModelName(served)));
	}
	polled.number = this->targets.Configure(name, polled.record.hall, numbers, polled.record.kind == TargetKind::Engine);
	if (!polled.record.reports) this->targets.SetServiceCapacity(polled.number, polled.record.slots);
}

void TargetPoller::Configure(const ConfigurationState &configuration, const std::string &instance, const std::string &hall,
                             size_t max_per_model)
{
	std::set<std::string> chosen = ChooseTargets(configuration, instance, hall, max_per_model);
	for (auto it = this->targets_by_name.begin(); it != this->targets_by_name.end();) {
		if (chosen.contains(it->first)) {
			++it;
			continue;
		}
		this->targets.Forget(it->second.number);
		it = this->targets_by_name.erase(it);
	}
	for (const std::string &name : chosen) {
		const Versioned<TargetRecord> &versioned = configuration.Targets().at(name);
		bool was_draining =
		        this->targets_by_name.contains(name) && this->targets_by_name[name].record.desired_state == DesiredState::Draining;
		PolledTarget &polled = this->targets_by_name[name];
		if (polled.record.address != versioned.record.address) polled.reported = {};
		polled.record = versioned.record;
		this->ConfigureModels(name, polled);
		if (polled.record.desired_state == DesiredState::Draining) this->targets.MarkDraining(polled.number);
		if (polled.record.desired_state == DesiredState::Live && was_draining) this->targets.ClearDraining(polled.number);
	}
}

void TargetPoller::RequestReport(const std::string &name, PolledTarget &polled, Duration period)
{
	polled.request_pending = true;
	auto body = std::make_shared<std::string>();
	HttpCall call;
	call.url = "http://" + polled.record.address + "/load";
	call.connect_timeout = std::min<Duration>(REPORT_TIMEOUT, 2 * period);
	call.first_byte_timeout = REPORT_TIMEOUT;
	call.total_timeout = REPORT_TIMEOUT;
	call.on_data = [body](std::string_view data) {
		if (body->size() + data.size() <= MAX_REPORT_BYTES) body->append(data);
	};
	call.on_end = [this, name, body](const HttpCallResult &end) {
		auto found = this->targets_by_name.find(name);
		if (found == this->targets_by_name.end()) return;
		found->second.request_pending = false;
		found->second.polled_once = true;
		if (end.kind == HttpCallOutcome::Answered && end.status == 200) this->OnReportBody(name, *body);
	};
	this->client.Start(std::move(call));
}

void TargetPoller::OnReportBody(const std::string &name, const std::string &body)
{
	PolledTarget &polled = this->targets_by_name.at(name);
	ReportedState state;
	std::optional<LoadReport> report = ParseLoadReport(body, &state);
	if (!report) return;
	this->reports++;
	bool changed = state.models != polled.reported.models;
	if (changed) Log(LogLevel::Info, "target-models", {{"target", name}, {"models", std::to_string(state.models.size())}});
	polled.reported = std::move(state);
	if (changed) this->ConfigureModels(name, polled);
	this->handler(polled.number, *report);
}

void TargetPoller::OnTick(TimePoint now, Duration period)
{
	for (auto &[name, polled] : this->targets_by_name) {
		if (!polled.record.reports || polled.request_pending || now < polled.next_poll) continue;
		polled.next_poll = now + period;
		this->RequestReport(name, polled, period);
	}
}

bool TargetPoller::AllPolledOnce() const
{
	return std::all_of(this->targets_by_name.begin(), this->targets_by_name.end(),
	                   [](const auto &entry) { return entry.second.polled_once || !entry.second.record.reports; });
}

const TargetRecord *TargetPoller::Record(TargetNumber target) const
{
	auto found = this->targets_by_name.find(this->targets.Get(target).name);
	return found == this->targets_by_name.end() ? nullptr : &found->second.record;
}

const ReportedState *TargetPoller::Reported(const std::string &name) const
{
	auto found = this->targets_by_name.find(name);
	return found == this->targets_by_name.end() ? nullptr : &found->second.reported;
}

} // namespace cottonspool
