/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file describe_settings.cpp The list of all settings. */

#include "settings/settings_type.h"
#include <sstream>

namespace cottonspool {

static constexpr double MAX_PORT = 65535;
static constexpr double MAX_MS = 86400000;

/** Settings of the instance itself and of what it talks to. */
static void DescribeInstance(Settings &s, std::vector<SettingField> &fields)
{
	fields.push_back({"instance.name", &s.name, "Name of the instance, unique in the system.", 0, 0, {}, true});
	fields.push_back({"instance.hall", &s.hall, "Data hall it stands in.", 0, 0, {}, true});
	fields.push_back({"instance.ip", &s.ip, "IPv4 number to listen on and to be reached at."});
	fields.push_back({"instance.http_port", &s.http_port, "Port for callers and operators; 0 takes a free one.", 0, MAX_PORT});
	fields.push_back({"instance.peer_port", &s.peer_port, "Port for other instances; 0 takes a free one.", 0, MAX_PORT});
	fields.push_back({"peers.seeds", &s.seeds, "Peer addresses (IP:PORT) to begin with; further ones are learned."});
	fields.push_back({"peers.heartbeat_ms", &s.heartbeat, "Least time between heartbeats.", 50, 60000});
	fields.push_back({"peers.bytes_per_second", &s.peer_bytes_per_second,
	                  "Most that heartbeats may cost on all links together; their time grows with the system.", 100, 1e9});
	fields.push_back({"peers.member_timeout_ms", &s.member_timeout, "Least silence after which an instance counts as gone.", 200, MAX_MS});
	fields.push_back({"platform.url", &s.platform_url, "http://IP:PORT of table, objects and instance list.", 0, 0, {}, true});
	fields.push_back({"platform.call_ms", &s.platform_call, "Deadline of one platform call.", 50, 60000});
	fields.push_back({"platform.head_poll_ms", &s.head_poll, "Time between looks for newer configuration.", 100, 60000});
	fields.push_back({"platform.list_poll_ms", &s.list_poll, "Time between looks at the instance list.", 100, 60000});
	fields.push_back({"configuration.stale_ms", &s.configuration_stale,
	                  "Age of the last confirmation from which on calls that must not be repeated are refused.", 1000, MAX_MS});
	fields.push_back({"configuration.snapshot_every", &s.snapshot_every, "Entries between snapshots in the object store.", 1, 100000});
	fields.push_back({"orders.lease_ms", &s.lease, "Length of the hall's lease for orders to targets.", 500, 600000});
	fields.push_back({"targets.report_poll_ms", &s.report_poll, "Time between load reports asked of each target.", 50, 60000});
	fields.push_back({"targets.watched", &s.targets_watched, "Targets per model that this instance uses when there are more.", 1, 10000});
	fields.push_back({"operator.key_sha256", &s.operator_key_sha256, "SHA-256 of the operators' key, in hexadecimal.", 0, 0, {}, true});
	fields.push_back({"log.level", &s.log_level, "Least severe level that is logged.", 0, 0, {"debug", "info", "warning", "error"}});
	fields.push_back({"log.form", &s.log_form, "Form of a log line.", 0, 0, {"text", "json"}});
	fields.push_back({"metrics.account_series", &s.account_series, "Client accounts with metrics of their own.", 0, 10000});
	fields.push_back({"metrics.explain_calls", &s.explain_calls, "Finished calls remembered for `explain`.", 0, 1000000});
}

/** Limits on callers and of calls. */
static void DescribeCalls(Settings &s, std::vector<SettingField> &fields)
{
	fields.push_back({"callers.max_body_bytes", &s.http.max_body_bytes, "Largest request body; a larger one gets 413.", 1024, 1e9});
	fields.push_back({"callers.request_ms", &s.http.request_timeout, "Longest time for a request to come in whole.", 100, MAX_MS});
	fields.push_back({"callers.max_backlog_bytes", &s.http.max_backlog_bytes, "Unsent bytes from which a stream is paused.", 4096, 1e9});
	fields.push_back({"callers.interactive_wait_ms", &s.interactive_wait, "Longest wait of an interactive call.", 1, MAX_MS});
	fields.push_back({"callers.stream_wait_ms", &s.stream_wait, "Longest wait of a stream call.", 1, MAX_MS});
	fields.push_back({"callers.background_wait_ms", &s.background_wait, "Longest wait of a background call.", 1, MAX_MS});
	fields.push_back({"calls.connect_ms", &s.call.connect, "Longest time to connect to a target.", 10, 60000});
	fields.push_back({"calls.first_byte_ms", &s.call.first_byte, "Longest time from sending to the head of the answer.", 10, MAX_MS});
	fields.push_back(
	        {"calls.stall_ms", &s.call.stall, "Silence after which a stream's link is given up and the generation resumed.", 10, MAX_MS});
	fields.push_back({"calls.resume_ms", &s.call.resume, "Longest time spent on resuming one generation.", 0, MAX_MS});
	fields.push_back({"calls.service_ms", &s.call.service, "Longest time of a service call.", 10, MAX_MS});
	fields.push_back({"calls.max_service_answer_bytes", &s.call.max_service_answer_bytes, "Largest answer of a service.", 1024, 1e9});
	fields.push_back({"stop.notice_ms", &s.stop_notice, "Time between failing readiness and taking no more connections.", 0, MAX_MS});
	fields.push_back({"stop.limit_ms", &s.stop_limit, "Longest time to finish what is in flight when stopping.", 0, MAX_MS});
}

/** Bounds and defaults of the decisions. */
static void DescribeDispatch(Settings &s, std::vector<SettingField> &fields)
{
	DispatchLimits &d = s.dispatch;
	fields.push_back({"dispatch.router",
	                  &s.router,
	                  "Choice of a target; the others are baselines to compare with.",
	                  0,
	                  0,
	                  {"headroom", "round-robin", "least-load", "two-choices", "rank-weighted"}});
	fields.push_back({"dispatch.fill_interactive", &d.targets.fill[0], "Part of a target's memory that interactive calls may plan to fill.",
	                  0.05, 1});
	fields.push_back({"dispatch.fill_stream", &d.targets.fill[1], "The same for stream calls.", 0.05, 1});
	fields.push_back({"dispatch.fill_background", &d.targets.fill[2], "The same for background calls.", 0.05, 1});
	fields.push_back(
	        {"dispatch.report_stale_ms", &d.targets.report_stale, "Age at which a load report says nothing any more.", 100, MAX_MS});
	fields.push_back({"dispatch.growth_start", &d.targets.growth_start, "Part of the expected growth that is reserved, at first.", 0, 4});
	fields.push_back({"dispatch.growth_min", &d.targets.growth_min, "Least part reserved.", 0, 4});
	fields.push_back({"dispatch.growth_max", &d.targets.growth_max, "Largest part reserved.", 0, 8});
	fields.push_back({"dispatch.share_max", &d.targets.share_max,
	                  "Most times its equal share that an instance may take of reported headroom.", 1, 100});
	fields.push_back({"dispatch.eject_base_ms", &d.targets.eject_base, "First ejection of a failing target; doubles.", 10, MAX_MS});
	fields.push_back({"dispatch.eject_max_ms", &d.targets.eject_max, "Longest ejection.", 10, MAX_MS});
	fields.push_back({"dispatch.slow_factor", &d.targets.slow_factor,
	                  "Time between tokens against the median from which a target is shown as slow.", 1.1, 100});
	fields.push_back({"dispatch.max_queue", &d.queue.max_calls, "Most calls waiting.", 1, 1e7});
	fields.push_back(
	        {"dispatch.max_queue_per_account", &d.queue.max_calls_per_account, "Most calls of one client account waiting.", 1, 1e7});
	fields.push_back({"dispatch.refuse_early", &d.refuse_early, "Give up at once when the expected wait passes the deadline."});
	fields.push_back({"dispatch.retry_ratio", &d.retry.ratio, "Retries earned by each first attempt.", 0, 1});
	fields.push_back({"dispatch.retry_burst", &d.retry.burst, "Most retries saved up per target and per account.", 0, 1000});
	fields.push_back({"dispatch.retry_base_ms", &d.retry.backoff_base, "Longest first pause before a retry; doubles.", 0, 60000});
	fields.push_back({"dispatch.retry_after_min_ms", &d.retry_after_min, "Least time a refused caller is told to wait.", 0, 600000});
	fields.push_back({"dispatch.retry_after_max_ms", &d.retry_after_max, "Largest time a refused caller is told to wait.", 0, MAX_MS});
}

std::vector<SettingField> DescribeSettings(Settings &settings)
{
	std::vector<SettingField> fields;
	DescribeInstance(settings, fields);
	DescribeCalls(settings, fields);
	DescribeDispatch(settings, fields);
	return fields;
}

/** @return The value behind \a pointer as the reference writes it. */
static std::string DefaultText(const SettingPointer &pointer)
{
	std::ostringstream out;
	if (auto text = std::get_if<std::string *>(&pointer)) out << (**text).substr(0, 60);
	if (auto number = std::get_if<int64_t *>(&pointer)) out << **number;
	if (auto number = std::get_if<double *>(&pointer)) out << **number;
	if (auto number = std::get_if<size_t *>(&pointer)) out << **number;
	if (auto flag = std::get_if<bool *>(&pointer)) out << (**flag ? "true" : "false");
	if (auto time = std::get_if<Duration *>(&pointer)) out << std::chrono::duration_cast<std::chrono::milliseconds>(**time).count();
	if (std::holds_alternative<std::vector<std::string> *>(pointer)) out << "[]";
	return out.str();
}

/** @return What \a field allows, in words. */
static std::string AllowedText(const SettingField &field)
{
	std::ostringstream out;
	for (const std::string &choice : field.choices) out << (out.tellp() > 0 ? ", " : "") << choice;
	bool is_text =
	        std::holds_alternative<std::string *>(field.pointer) || std::holds_alternative<std::vector<std::string> *>(field.pointer);
	if (std::holds_alternative<bool *>(field.pointer)) out << "true, false";
	if (!is_text && !std::holds_alternative<bool *>(field.pointer)) out << field.min_value << " to " << field.max_value;
	return out.str();
}

std::string SettingsReference()
{
	Settings settings;
	std::ostringstream out;
	out << "# Settings\n\nMade from the code by `cottonspool settings`; a test fails when this page differs.\n"
	    << "Unknown keys are errors. Times are whole milliseconds.\n\n"
	    << "| key | default | allowed | what it is for |\n| --- | --- | --- | --- |\n";
	for (const SettingField &field : DescribeSettings(settings)) {
		std::string initial = field.required ? "(required)" : DefaultText(field.pointer);
		out << "| `" << field.key << "` | " << initial << " | " << AllowedText(field) << " | " << field.doc << " |\n";
	}
	return out.str();
}

} // namespace cottonspool
