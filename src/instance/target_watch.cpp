/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_watch.cpp Polling of the targets' load reports. */

#include "instance/target_watch.h"
#include "core/hash_func.h"
#include "metrics/log.h"
#include <algorithm>
#include <nlohmann/json.hpp>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr size_t MAX_REPORT_BYTES = 64U << 10;                     ///< Largest accepted load report.
static constexpr Duration REPORT_LIMIT = std::chrono::milliseconds(1000); ///< Timeout of one poll.

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
		report.leaving = object.value("leaving", false);
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

/** @return The targets that \a instance uses: at most \a watched per model, from the local \a hall if it has enough. */
static std::set<std::string> ChooseTargets(const ConfigurationState &configuration, const std::string &instance, const std::string &hall,
                                           size_t watched)
{
	std::map<std::string, std::vector<std::string>> by_model;
	for (const auto &[name, versioned] : configuration.Targets()) {
		for (const std::string &model : versioned.record.serves) by_model[model].push_back(name);
	}
	std::set<std::string> chosen;
	for (const auto &[model, names] : by_model) {
		std::vector<std::string> own;
		if (names.size() > watched) {
			std::copy_if(names.begin(), names.end(), std::back_inserter(own),
			             [&](const std::string &name) { return configuration.Targets().at(name).record.hall == hall; });
		}
		const std::vector<std::string> &candidates = own.size() >= watched ? own : names;
		for (std::string &name : RendezvousChoice(instance + "/" + model, candidates, watched)) chosen.insert(std::move(name));
	}
	return chosen;
}

void TargetWatch::ConfigureModels(const std::string &name, Watch &watch)
{
	std::vector<ModelNumber> numbers;
	for (const std::string &served : watch.record.serves) {
		bool engine = watch.record.kind == TargetKind::Engine;
		if (engine && watch.record.reports && !watch.reported.models.contains(served)) continue;
		numbers.push_back(this->models.Intern(engine ? served : ServiceModelName(served)));
	}
	watch.number = this->targets.Configure(name, watch.record.hall, numbers, watch.record.kind == TargetKind::Engine);
	if (!watch.record.reports) this->targets.SetUnreported(watch.number, watch.record.slots);
}

void TargetWatch::Configure(const ConfigurationState &configuration, const std::string &instance, const std::string &hall, size_t watched)
{
	std::set<std::string> chosen = ChooseTargets(configuration, instance, hall, watched);
	for (auto it = this->watches.begin(); it != this->watches.end();) {
		if (chosen.contains(it->first)) {
			++it;
			continue;
		}
		this->targets.Forget(it->second.number);
		it = this->watches.erase(it);
	}
	for (const std::string &name : chosen) {
		const Versioned<TargetRecord> &versioned = configuration.Targets().at(name);
		bool was_leaving = this->watches.contains(name) && this->watches[name].record.wish == TargetWish::Leaving;
		Watch &watch = this->watches[name];
		if (watch.record.address != versioned.record.address) watch.reported = {};
		watch.record = versioned.record;
		this->ConfigureModels(name, watch);
		if (watch.record.wish == TargetWish::Leaving) this->targets.MarkLeaving(watch.number);
		if (watch.record.wish == TargetWish::Live && was_leaving) this->targets.ClearLeaving(watch.number);
	}
}

void TargetWatch::Ask(const std::string &name, Watch &watch, Duration period)
{
	watch.asking = true;
	auto body = std::make_shared<std::string>();
	HttpCall call;
	call.url = "http://" + watch.record.address + "/load";
	call.connect_limit = std::min<Duration>(REPORT_LIMIT, 2 * period);
	call.first_byte_limit = REPORT_LIMIT;
	call.total_limit = REPORT_LIMIT;
	call.on_data = [body](std::string_view data) {
		if (body->size() + data.size() <= MAX_REPORT_BYTES) body->append(data);
	};
	call.on_end = [this, name, body](const HttpEnd &end) {
		auto found = this->watches.find(name);
		if (found == this->watches.end()) return;
		found->second.asking = false;
		found->second.asked = true;
		if (end.kind == HttpEndKind::Answered && end.status == 200) this->OnAnswer(name, *body);
	};
	this->client.Start(std::move(call));
}

void TargetWatch::OnAnswer(const std::string &name, const std::string &body)
{
	Watch &watch = this->watches.at(name);
	ReportedState state;
	std::optional<LoadReport> report = ParseLoadReport(body, &state);
	if (!report) return;
	this->reports++;
	bool changed = state.models != watch.reported.models;
	if (changed) Log(LogLevel::Info, "target-models", {{"target", name}, {"models", std::to_string(state.models.size())}});
	watch.reported = std::move(state);
	if (changed) this->ConfigureModels(name, watch);
	this->handler(watch.number, *report);
}

void TargetWatch::OnTick(TimePoint now, Duration period)
{
	for (auto &[name, watch] : this->watches) {
		if (!watch.record.reports || watch.asking || now < watch.due) continue;
		watch.due = now + period;
		this->Ask(name, watch, period);
	}
}

bool TargetWatch::IsSettled() const
{
	return std::all_of(this->watches.begin(), this->watches.end(),
	                   [](const auto &entry) { return entry.second.asked || !entry.second.record.reports; });
}

const TargetRecord *TargetWatch::Record(TargetNumber target) const
{
	auto found = this->watches.find(this->targets.Get(target).name);
	return found == this->watches.end() ? nullptr : &found->second.record;
}

const ReportedState *TargetWatch::Reported(const std::string &name) const
{
	auto found = this->watches.find(name);
	return found == this->watches.end() ? nullptr : &found->second.reported;
}

} // namespace cottonspool
