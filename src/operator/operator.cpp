/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file operator.cpp Operator commands of the command line. */

#include "configuration/json_text.h"
#include "configuration/record_type.h"
#include "http/curl_answer.h"
#include "operator/explain_log.h"
#include "operator/operator_func.h"
#include "policy/policy_engine.h"
#include <fstream>
#include <iomanip>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>
#include <set>
#include <sstream>
#include <thread>

namespace cottonspool {

using Json = nlohmann::json;

static constexpr long REQUEST_TIMEOUT_MS = 30000; ///< Timeout of one request.
static constexpr int MAX_APPLY_ATTEMPTS = 5;      ///< Maximum number of attempts to apply a change; its id makes retries idempotent.
static constexpr auto POLL_INTERVAL = std::chrono::milliseconds(200); ///< Interval between polls and retries.

/** Answer of an instance. */
struct Answer {
	long status = 0; ///< HTTP status; 0 without an answer.
	std::string body;
	std::string error; ///< Error message if there was no answer.
};

/** Send a request to one instance: a POST with \a body, or a GET if it is null. */
static Answer SendRequest(const OperatorOptions &options, const std::string &server, const std::string &path, const std::string *body)
{
	Answer answer;
	AnswerReader reader;
	long status = 0;
	reader.on_head = [&](HttpHead &&head) { status = head.status; };
	reader.on_body = [&](std::string_view bytes) { answer.body.append(bytes); };
	reader.on_complete = [&] {
		if (status < FIRST_FINAL_STATUS) reader.Resume();
	};
	CURL *easy = curl_easy_init();
	curl_slist *headers = curl_slist_append(nullptr, ("Authorization: Bearer " + options.key).c_str());
	curl_easy_setopt(easy, CURLOPT_URL, (server + path).c_str());
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
	ReadAnswerWith(easy, reader);
	if (body != nullptr) curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body->c_str());
	CURLcode code = curl_easy_perform(easy);
	if (code == CURLE_OK) reader.AddEof();
	if (code == CURLE_OK && reader.IsPaused()) {
		answer.status = status;
	} else {
		answer.body.clear();
		answer.error = server + ": " + (reader.Fault().empty() ? curl_easy_strerror(code) : reader.Fault());
	}
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
	return answer;
}

/** Send a GET request to the instances in turn until one answers. */
static Answer SendToAny(const OperatorOptions &options, const std::string &path)
{
	Answer answer;
	answer.error = "no --server given";
	for (const std::string &server : options.servers) {
		answer = SendRequest(options, server, path, nullptr);
		if (answer.status != 0) return answer;
	}
	return answer;
}

/** Print an error message. @return \a code, as the exit code. */
static int PrintError(const std::string &what, int code = EXIT_FAILED)
{
	std::cerr << "cottonspool: " << what << std::endl;
	return code;
}

/** @return The error message in \a answer. */
static std::string DescribeFailure(const Answer &answer)
{
	if (answer.status == 0) return answer.error;
	Json body = Json::parse(answer.body, nullptr, false);
	if (!body.is_object() || !body.contains("error")) return "status " + std::to_string(answer.status);
	const Json &error = body["error"];
	return error.is_string() ? error.get<std::string>() : error.value("message", "status " + std::to_string(answer.status));
}

/** Read a change from \a file and generate an id if it has none. */
static Result<Change> ReadChangeFile(const std::string &file)
{
	std::ifstream in(file);
	if (!in) return Error{Step::Operator, file, "cannot be read"};
	std::stringstream text;
	text << in.rdbuf();
	BOOST_OUTCOME_TRY(change, ParseChangeFile(text.str(), file));
	if (!change.id.empty()) return change;
	std::random_device device;
	std::ostringstream id;
	id << std::hex << device() << device() << device();
	change.id = id.str();
	return change;
}

/** Run the policy in \a record on sample input and print its decisions. */
static Result<void> TestPolicy(const RecordChange &record)
{
	PolicyEngine engine({});
	BOOST_OUTCOME_TRYV(engine.Load(ParsePolicy(record.name, record.content).value().program));
	BOOST_OUTCOME_TRY(lines, engine.DryRun());
	std::cout << "policy " << record.name << " would decide:\n";
	for (const std::string &line : lines) std::cout << "  " << line << "\n";
	return outcome::success();
}

/** Check the schema of every record and test the policies. */
static Result<void> CheckRecords(const Change &change)
{
	for (const RecordChange &record : change.records) {
		if (record.removed) continue;
		BOOST_OUTCOME_TRYV(CheckRecordSchema(record));
		if (record.kind != RecordKind::Policy) continue;
		BOOST_OUTCOME_TRYV(TestPolicy(record));
	}
	return outcome::success();
}

int RunCheck(const std::string &file)
{
	Result<Change> change = ReadChangeFile(file);
	if (!change) return PrintError(FormatError(change.error()));
	Result<void> checked = CheckRecords(change.value());
	if (!checked) return PrintError(FormatError(checked.error()));
	std::cout << file << ": " << change.value().records.size() << " records are valid, as far as can be checked without the instances"
	          << std::endl;
	return EXIT_OK;
}

/** @return The names of the instances in \a options, and of their members, that have not applied \a sequence yet. */
static std::set<std::string> InstancesBehind(const OperatorOptions &options, uint64_t sequence)
{
	std::set<std::string> behind;
	for (const std::string &server : options.servers) {
		Json status = Json::parse(SendRequest(options, server, "/operator/status", nullptr).body, nullptr, false);
		if (!status.is_object()) {
			behind.insert(server);
			continue;
		}
		if (status["sequence"].get<uint64_t>() < sequence) behind.insert(status["instance"].get<std::string>());
		for (const Json &member : status["members"]) {
			if (member["sequence"].get<uint64_t>() < sequence) behind.insert(member["name"].get<std::string>());
		}
	}
	return behind;
}

/** Wait until all instances have applied \a sequence. @return False if the wait limit expired. */
static bool WaitUntilInForce(const OperatorOptions &options, uint64_t sequence)
{
	auto end = std::chrono::steady_clock::now() + options.wait;
	std::set<std::string> behind = InstancesBehind(options, sequence);
	while (!behind.empty() && std::chrono::steady_clock::now() < end) {
		std::this_thread::sleep_for(POLL_INTERVAL);
		behind = InstancesBehind(options, sequence);
	}
	if (behind.empty()) return true;
	std::string names;
	for (const std::string &name : behind) names += " " + name;
	PrintError("sequence " + std::to_string(sequence) + " was accepted but is not confirmed as applied by:" + names);
	return false;
}

/** Apply \a change, retrying until the outcome is known. @return The exit code. */
static int SendChange(const OperatorOptions &options, Change change)
{
	if (change.base == 0) {
		Answer status = SendToAny(options, "/operator/status");
		if (status.status != 200) return PrintError(DescribeFailure(status));
		change.base = Json::parse(status.body, nullptr, false).value("sequence", 0ULL);
	}
	std::string body = FormatChange(change);
	bool outcome_unknown = false;
	std::string last = "no --server given";
	for (int i = 0; i < MAX_APPLY_ATTEMPTS && !options.servers.empty(); i++) {
		Answer answer = SendRequest(options, options.servers[static_cast<size_t>(i) % options.servers.size()], "/operator/apply", &body);
		Json reply = Json::parse(answer.body, nullptr, false);
		if (answer.status == 200) {
			uint64_t sequence = reply.value("sequence", 0ULL);
			std::cout << "accepted as sequence " << sequence << (reply.value("repeated", false) ? " (before)" : "") << ", change "
			          << change.id << std::endl;
			if (options.wait > Duration{0} && !WaitUntilInForce(options, sequence)) return EXIT_FAILED;
			return EXIT_OK;
		}
		if (answer.status == 409) {
			const Json &other = reply["conflict"];
			return PrintError("conflict: sequence " + std::to_string(other.value("sequence", 0ULL)) + ", change " +
			                          other.value("change", "") + " by " + other.value("author", "") +
			                          " modified the same records after your base " + std::to_string(change.base),
			                  EXIT_CONFLICT);
		}
		if (answer.status >= 400 && answer.status < 500) return PrintError(DescribeFailure(answer));
		outcome_unknown = outcome_unknown || answer.status != 503;
		last = DescribeFailure(answer);
		std::this_thread::sleep_for(POLL_INTERVAL);
	}
	if (!outcome_unknown) return PrintError("not accepted: " + last);
	return PrintError("outcome unknown: the change may have been accepted; retry with id = \"" + change.id + "\": " + last, EXIT_UNKNOWN);
}

int RunApply(const OperatorOptions &options, const std::string &file)
{
	Result<Change> change = ReadChangeFile(file);
	if (!change) return PrintError(FormatError(change.error()));
	return SendChange(options, change.value());
}

int RunShow(const OperatorOptions &options, const std::string &kind, const std::string &name)
{
	Answer answer = SendToAny(options, "/operator/show?kind=" + kind + "&name=" + name);
	if (answer.status != 200) return PrintError(DescribeFailure(answer));
	std::cout << ToJsonText(Json::parse(answer.body, nullptr, false), 2) << std::endl;
	return EXIT_OK;
}

/** Print the state of one instance and its targets; \a head is the newest known sequence. */
static void PrintStatus(const Json &status, uint64_t head)
{
	uint64_t sequence = status.value("sequence", 0ULL);
	std::cout << std::left << std::setw(16) << status.value("instance", "") << std::setw(12) << status.value("hall", "") << "sequence "
	          << sequence << (sequence < head ? " (behind)" : "") << (status.value("fresh", false) ? "" : " (not confirmed)")
	          << (status.value("stopping", false) ? " (stopping)" : "") << ", calls " << status.value("calls", 0) << ", queued "
	          << status.value("queued", 0) << ", links " << status.value("links", 0)
	          << (status["lease"].value("held", false) ? ", holds the lease" : "") << "\n";
	for (const Json &target : status["targets"]) {
		std::cout << "    " << std::setw(14) << target.value("name", "") << std::setw(12) << target.value("hall", "") << "in flight "
		          << std::setw(6) << target.value("in_flight", 0) << "pressure " << std::fixed << std::setprecision(2)
		          << target.value("pressure", 0.0) << (target.value("ready", false) ? "" : " not ready")
		          << (target.value("leaving", false) ? " leaving" : "") << (target.value("ejected", false) ? " ejected" : "")
		          << (target.value("slow", false) ? " slow" : "") << "\n";
	}
}

int RunStatus(const OperatorOptions &options)
{
	Json all = Json::array();
	int code = options.servers.empty() ? EXIT_USAGE : EXIT_OK;
	uint64_t head = 0;
	for (const std::string &server : options.servers) {
		Answer answer = SendRequest(options, server, "/operator/status", nullptr);
		if (answer.status != 200) {
			code = PrintError(server + ": " + DescribeFailure(answer));
			continue;
		}
		all.push_back(Json::parse(answer.body, nullptr, false));
		head = std::max<uint64_t>(head, all.back().value("sequence", 0ULL));
	}
	if (options.json) std::cout << ToJsonText(all, 2) << std::endl;
	for (const Json &status : all) {
		if (!options.json) PrintStatus(status, head);
	}
	return code;
}

/** @return Number of calls in flight at \a target from all given instances, or -1 if one does not answer. */
static int64_t InFlightAt(const OperatorOptions &options, const std::string &target)
{
	int64_t in_flight = 0;
	for (const std::string &server : options.servers) {
		Json status = Json::parse(SendRequest(options, server, "/operator/status", nullptr).body, nullptr, false);
		if (!status.is_object()) return -1;
		for (const Json &item : status["targets"]) {
			if (item.value("name", "") == target) in_flight += item.value("in_flight", 0);
		}
	}
	return in_flight;
}

int RunDrain(const OperatorOptions &options, const std::string &target, const std::string &author, bool back)
{
	Answer shown = SendToAny(options, "/operator/show?kind=target&name=" + target);
	Json records = Json::parse(shown.body, nullptr, false);
	if (shown.status != 200) return PrintError(DescribeFailure(shown));
	if (!records.is_object() || !records.contains(target)) return PrintError("no such target: " + target);
	Json content = records[target]["content"];
	content["wish"] = back ? "live" : "leaving";
	Change change;
	std::random_device device;
	change.id = "drain-" + target + "-" + std::to_string(device());
	change.author = author;
	change.note = back ? "taken back" : "drained";
	change.base = records[target].value("changed", 0ULL);
	change.records.push_back({RecordKind::Target, target, false, ToJsonText(content)});
	int code = SendChange(options, change);
	if (code != EXIT_OK || back || options.wait == Duration{0}) return code;
	auto end = std::chrono::steady_clock::now() + options.wait;
	int64_t in_flight = InFlightAt(options, target);
	while (in_flight != 0 && std::chrono::steady_clock::now() < end) {
		std::this_thread::sleep_for(POLL_INTERVAL);
		in_flight = InFlightAt(options, target);
	}
	if (in_flight != 0) return PrintError(target + " still has calls in flight: " + std::to_string(in_flight));
	std::cout << target << " is empty" << std::endl;
	return EXIT_OK;
}

int RunExplainLogs(const std::string &request, const std::vector<std::string> &logs)
{
	RequestTrace trace(request);
	for (const std::string &path : logs) {
		std::ifstream file(path);
		if (path != "-" && !file) return PrintError(path + ": cannot be read");
		trace.Add(path == "-" ? std::cin : file);
	}
	if (!trace.IsKnown()) return PrintError("request not found in the logs: " + request);
	std::cout << trace.Text();
	return EXIT_OK;
}

int RunExplain(const OperatorOptions &options, const std::string &request)
{
	for (const std::string &server : options.servers) {
		Answer answer = SendRequest(options, server, "/operator/explain?request=" + request, nullptr);
		if (answer.status != 200) continue;
		for (const Json &line : Json::parse(answer.body, nullptr, false)) {
			std::cout << std::right << std::setw(8) << line.value("ms", 0) << " ms  " << line.value("text", "") << "\n";
		}
		return EXIT_OK;
	}
	return PrintError("request not found on the given instances: " + request);
}

} // namespace cottonspool
