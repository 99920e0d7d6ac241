/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file explain_log.cpp Explains the outcome of a request from log lines. */

#include "operator/explain_log.h"
#include "configuration/json_text.h"
#include <algorithm>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace cottonspool {

static constexpr double CONTEXT_BEFORE_MS = 5000; ///< Time before the arrival of the request from which context lines are shown.

/** Events that affect requests without naming one. */
static const std::set<std::string> CONTEXT_EVENTS{"target-leaving", "store-lost", "store-regained", "store-other",
                                                  "configuration",  "stopping",   "scope",          "target-check"};

/** Descriptions of the outcomes that don't depend on other lines. */
static const std::map<std::string, std::string> OUTCOME_TEXTS{
        {"caller-gone", "the caller disconnected before the answer was complete"},
        {"no-target", "no target could be reached; it was not executed, unless an earlier attempt has sent=maybe"},
        {"deadline-passed", "no target had capacity within its wait limit"},
        {"wait-too-long", "the expected wait in the queue exceeded its wait limit"},
        {"queue-full", "the queue was full"},
        {"account-share", "the pool was full, and its account used more than its share and would not fall below it within the wait limit"},
        {"retry-budget", "a retry was needed, but the retry budget was exhausted"},
        {"time-limit", "no complete answer arrived within its time limit"},
        {"instance-stops", "the instance shut down before the answer was complete"},
        {"no-configuration", "the instance had no configuration yet"},
        {"no-route", "the current configuration has no such route"},
        {"unknown-key", "the current configuration does not contain the API key"},
        {"held-memory", "the instance held too much memory for callers and targets that read slowly"},
        {"stopping", "the instance was shutting down, and a new stream could not have finished in time"}};

std::string LogLine::Field(const std::string &name) const
{
	auto found = this->fields.find(name);
	return found == this->fields.end() ? "" : found->second;
}

std::optional<LogLine> ParseLogLine(const std::string &text)
{
	size_t start = text.find('{');
	if (start == std::string::npos) return std::nullopt;
	nlohmann::json object = nlohmann::json::parse(text.substr(start), nullptr, false);
	if (!object.is_object() || !object.contains("event")) return std::nullopt;
	LogLine line;
	for (const auto &[name, value] : object.items()) line.fields[name] = value.is_string() ? value.get<std::string>() : ToJsonText(value);
	line.event = line.Field("event");
	line.instance = line.Field("instance");
	line.at_ms = std::strtod(line.Field("at_ms").c_str(), nullptr);
	for (const char *name : {"event", "instance", "at_ms", "level"}) line.fields.erase(name);
	return line;
}

void RequestTrace::Add(std::istream &log)
{
	for (std::string text; std::getline(log, text);) {
		std::optional<LogLine> line = ParseLogLine(text);
		if (!line) continue;
		if (line->Field("request") == this->request) {
			this->lines.push_back(std::move(*line));
		} else if (CONTEXT_EVENTS.contains(line->event)) {
			this->context_lines.push_back(std::move(*line));
		}
	}
}

const LogLine *RequestTrace::Last(const std::string &event) const
{
	auto found = std::find_if(this->lines.rbegin(), this->lines.rend(), [&](const LogLine &line) { return line.event == event; });
	return found == this->lines.rend() ? nullptr : &*found;
}

const LogLine *RequestTrace::FindDrainNotice(const std::string &target, double before_ms) const
{
	const std::string &instance = this->lines.front().instance;
	auto found = std::find_if(this->context_lines.begin(), this->context_lines.end(), [&](const LogLine &line) {
		return line.event == "target-leaving" && line.instance == instance && line.Field("target") == target && line.at_ms <= before_ms;
	});
	return found == this->context_lines.end() ? nullptr : &*found;
}

std::string RequestTrace::ExplainLoss(const LogLine &finished) const
{
	const LogLine *lost = this->Last("run-lost");
	const LogLine *ended = lost != nullptr ? lost : this->Last("send-ended");
	if (ended == nullptr) return finished.Field("outcome");
	std::string target = ended->Field("target");
	std::string text = target + " was lost (" + ended->Field("cause") + ")";
	if (const LogLine *notice = this->FindDrainNotice(target, ended->at_ms)) {
		std::ostringstream notice_text;
		notice_text << " " << std::fixed << std::setprecision(1) << (ended->at_ms - notice->at_ms) / 1000 << " s after its drain notice ("
		            << notice->Field("source") << ")";
		const LogLine *move = this->Last("move");
		text += notice_text.str();
		text += move == nullptr ? ", and its run was not migrated"
		                        : ", and the migration did not finish in time (" + move->Field("step") + ": " + move->Field("result") + ")";
	} else {
		text += lost != nullptr ? " without notice" : " before its answer was complete: the request may have been executed";
	}
	return text;
}

/** @return Whether the request that \a check is about had all features that \a held_back names. */
static bool HasFeaturesOf(const LogLine &check, const LogLine &held_back)
{
	std::string own = "w" + check.Field("print") + "," + check.Field("features") + ",";
	std::istringstream features(held_back.Field("features"));
	for (std::string feature; std::getline(features, feature, ',');) {
		if (own.find(feature + ",") == std::string::npos) return false;
	}
	return true;
}

std::string RequestTrace::ExplainQuarantine() const
{
	const LogLine *held_back = this->Last("held-back");
	if (held_back == nullptr) return "targets crashed during it, or during requests like it";
	return held_back->Field("ends") + " targets crashed during requests that have all of " + held_back->Field("features");
}

std::string RequestTrace::Cause() const
{
	if (this->lines.empty()) return "not found in the logs";
	if (const LogLine *refused = this->Last("refused")) {
		auto known = OUTCOME_TEXTS.find(refused->Field("reason"));
		return "rejected with " + refused->Field("status") + ": " +
		       (known != OUTCOME_TEXTS.end() ? known->second : refused->Field("reason"));
	}
	const LogLine *finished = this->Last("finished");
	if (finished == nullptr) return "not answered by the end of the logs: the instance crashed, or the request is still being served";
	std::string outcome = finished->Field("outcome");
	std::string status = finished->Field("status");
	const LogLine *sent = this->Last("sent");
	std::string after = " after " + finished->Field("ms") + " ms";
	if (outcome == "answered") return "answered with " + status + " by " + (sent != nullptr ? sent->Field("target") : "a target") + after;
	std::string how = status == "0" ? "broken off" : "answered with " + status;
	if (outcome == "quarantined") return how + after + ": " + this->ExplainQuarantine();
	auto known = OUTCOME_TEXTS.find(outcome);
	return how + after + ": " + (known != OUTCOME_TEXTS.end() ? known->second : this->ExplainLoss(*finished));
}

std::vector<LogLine> RequestTrace::Related() const
{
	std::set<std::string> targets;
	std::set<std::string> instances;
	for (const LogLine &line : this->lines) {
		instances.insert(line.instance);
		for (const char *field : {"target", "from", "to"}) targets.insert(line.Field(field));
	}
	double first = this->lines.front().at_ms - CONTEXT_BEFORE_MS;
	double last = this->lines.back().at_ms;
	std::vector<LogLine> related = this->lines;
	for (const LogLine &line : this->context_lines) {
		const LogLine *held_back = line.event == "target-check" ? this->Last("held-back") : nullptr;
		// Crashes may have happened long before, at any instance.
		if (held_back != nullptr && line.Field("ended") == "yes" && HasFeaturesOf(line, *held_back)) related.push_back(line);
		if (line.event == "target-check") continue;
		bool in_range = instances.contains(line.instance) && line.at_ms >= first && line.at_ms <= last;
		bool relevant = line.event != "target-leaving" || targets.contains(line.Field("target"));
		if (in_range && relevant) related.push_back(line);
	}
	std::stable_sort(related.begin(), related.end(), [](const LogLine &a, const LogLine &b) {
		return a.instance != b.instance ? a.instance < b.instance : a.at_ms < b.at_ms;
	});
	return related;
}

std::string RequestTrace::Text() const
{
	std::ostringstream text;
	text << this->request << ": " << this->Cause() << "\n";
	if (this->lines.empty()) return text.str();
	double start_ms = this->lines.front().at_ms;
	for (const LogLine &line : this->Related()) {
		text << std::setw(9) << std::fixed << std::setprecision(0) << line.at_ms - start_ms << " ms  " << line.instance << "  "
		     << line.event;
		for (const auto &[name, value] : line.fields) {
			bool is_own = name == "request" && value == this->request;
			if (!is_own && !value.empty()) text << "  " << name << "=" << value;
		}
		text << "\n";
	}
	return text.str();
}

} // namespace cottonspool
