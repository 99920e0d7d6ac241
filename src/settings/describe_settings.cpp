/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file describe_settings.cpp Descriptions of all settings, and the settings reference. */

#include "settings/settings_type.h"
#include <sstream>

namespace cottonspool {

static constexpr double MAX_PORT = 65535;
static constexpr double MAX_MS = 86400000; ///< One day, in milliseconds.

/** Settings of the instance, its peers, the platform, logs and metrics. */
static void DescribeInstance(Settings &s, std::vector<SettingField> &fields)
{
	fields.push_back({"instance.name", &s.name, "Unique name of the instance.", 0, 0, {}, true});
	fields.push_back({"instance.hall", &s.hall, "Data hall of the instance.", 0, 0, {}, true});
	fields.push_back({"instance.ip", &s.ip, "IPv4 address to listen on, which peers and callers use to connect."});
	fields.push_back({"instance.http_port", &s.http_port, "Port for callers and operators; 0 selects a free port.", 0, MAX_PORT});
	fields.push_back({"instance.peer_port", &s.peer_port, "Port for other instances; 0 selects a free port.", 0, MAX_PORT});
	fields.push_back({"peers.seeds", &s.seeds, "Addresses (IP:PORT) of the first peers; others are discovered."});
	fields.push_back({"peers.heartbeat_ms", &s.heartbeat, "Least interval between heartbeats.", 50, 60000});
	fields.push_back({"peers.bytes_per_second", &s.peer_bytes_per_second,
	                  "Bandwidth limit of heartbeats over all connections; a larger system sends them less often.", 100, 1e9});
	fields.push_back({"peers.member_timeout_ms", &s.member_timeout,
	                  "Least time without heartbeats after which an instance counts as failed.", 200, MAX_MS});
	fields.push_back({"platform.url",
	                  &s.platform_url,
	                  "Base URL (http://IP:PORT) of the platform's table, objects and instance list.",
	                  0,
	                  0,
	                  {},
	                  true});
	fields.push_back({"platform.call_ms", &s.platform_call, "Timeout of a call to the platform.", 50, 60000});
	fields.push_back({"platform.head_poll_ms", &s.head_poll, "Interval of polls for newer configuration.", 100, 60000});
	fields.push_back({"platform.list_poll_ms", &s.list_poll, "Interval of polls of the instance list.", 100, 60000});
	fields.push_back({"configuration.stale_ms", &s.configuration_stale,
	                  "Age of the last confirmation above which calls that must not be repeated are rejected.", 1000, MAX_MS});
	fields.push_back({"configuration.snapshot_every", &s.snapshot_every,
	                  "Number of configuration entries between snapshots in the object store.", 1, 100000});
	fields.push_back({"orders.lease_ms", &s.lease, "Duration of the hall's lease for orders to targets.", 500, 600000});
	fields.push_back({"targets.report_poll_ms", &s.report_poll, "Interval of load report polls of each target.", 50, 60000});
	fields.push_back({"targets.watched", &s.targets_watched, "Most targets per model that this instance uses.", 1, 10000});
	fields.push_back(
	        {"operator.key_sha256", &s.operator_key_sha256, "SHA-256 of the operators' key, as hexadecimal digits.", 0, 0, {}, true});
	fields.push_back({"log.level", &s.log_level, "Least severe level that is logged.", 0, 0, {"debug", "info", "warning", "error"}});
	fields.push_back({"log.form", &s.log_form, "Format of a log line.", 0, 0, {"text", "json"}});
	fields.push_back({"metrics.account_series", &s.account_series,
	                  "Most client accounts with metrics of their own; all others share one series.", 0, 10000});
	fields.push_back({"metrics.explain_calls", &s.explain_calls, "Calls whose traces are kept for `explain`.", 0, 1000000});
}

/** Limits on callers' requests and on calls to targets. */
static void DescribeCalls(Settings &s, std::vector<SettingField> &fields)
{
	fields.push_back(
	        {"callers.max_body_bytes", &s.http.max_body_bytes, "Largest request body; a larger one is rejected with 413.", 1024, 1e9});
	fields.push_back({"callers.request_ms", &s.http.request_timeout, "Timeout for receiving a complete request.", 100, MAX_MS});
	fields.push_back({"callers.max_backlog_bytes", &s.http.max_backlog_bytes,
	                  "Unsent bytes from which reading the engine's stream is paused.", 4096, 1e9});
	fields.push_back({"callers.interactive_wait_ms", &s.interactive_wait, "Longest queueing time of an interactive call.", 1, MAX_MS});
	fields.push_back({"callers.stream_wait_ms", &s.stream_wait, "Longest queueing time of a stream call.", 1, MAX_MS});
	fields.push_back({"callers.background_wait_ms", &s.background_wait, "Longest queueing time of a background call.", 1, MAX_MS});
	fields.push_back({"calls.connect_ms", &s.call.connect, "Timeout for connecting to a target.", 10, 60000});
	fields.push_back({"calls.first_byte_ms", &s.call.first_byte, "Timeout from sending a request to the head of the answer.", 10, MAX_MS});
	fields.push_back(
	        {"calls.stall_ms", &s.call.stall, "Longest time without data before a stream is reconnected and resumed.", 10, MAX_MS});
	fields.push_back({"calls.resume_ms", &s.call.resume, "Longest time spent on resuming a generation.", 0, MAX_MS});
	fields.push_back({"calls.service_ms", &s.call.service, "Timeout of a service call.", 10, MAX_MS});
	fields.push_back(
	        {"calls.max_service_answer_bytes", &s.call.max_service_answer_bytes, "Largest answer of a service, in bytes.", 1024, 1e9});
	fields.push_back(
	        {"stop.notice_ms", &s.stop_notice, "Time from failing the readiness probe to accepting no more connections.", 0, MAX_MS});
	fields.push_back({"stop.limit_ms", &s.stop_limit, "Longest time to finish open calls when stopping.", 0, MAX_MS});
}

/** Settings of routing, admission, queueing and retries. */
static void DescribeDispatch(Settings &s, std::vector<SettingField> &fields)
{
	DispatchLimits &d = s.dispatch;
	fields.push_back({"dispatch.router",
	                  &s.router,
	                  "Routing policy; those other than headroom are baselines for comparison.",
	                  0,
	                  0,
	                  {"headroom", "round-robin", "least-load", "two-choices", "rank-weighted"}});
	fields.push_back({"dispatch.fill_interactive", &d.targets.fill[0],
	                  "Fraction of a target's memory up to which interactive calls are admitted.", 0.05, 1});
	fields.push_back(
	        {"dispatch.fill_stream", &d.targets.fill[1], "Fraction of a target's memory up to which stream calls are admitted.", 0.05, 1});
	fields.push_back({"dispatch.fill_background", &d.targets.fill[2],
	                  "Fraction of a target's memory up to which background calls are admitted.", 0.05, 1});
	fields.push_back({"dispatch.report_stale_ms", &d.targets.report_stale, "Age from which a load report is ignored.", 100, MAX_MS});
	fields.push_back(
	        {"dispatch.growth_start", &d.targets.growth_start, "Initial fraction of the expected memory growth that is reserved.", 0, 4});
	fields.push_back({"dispatch.growth_min", &d.targets.growth_min, "Smallest fraction of the expected growth that is reserved.", 0, 4});
	fields.push_back({"dispatch.growth_max", &d.targets.growth_max, "Largest fraction of the expected growth that is reserved.", 0, 8});
	fields.push_back({"dispatch.share_max", &d.targets.share_max,
	                  "Largest multiple of its equal share of reported headroom that an instance may use.", 1, 100});
	fields.push_back({"dispatch.eject_base_ms", &d.targets.eject_base,
	                  "Duration of the first ejection of a failing target; doubles with each further one.", 10, MAX_MS});
	fields.push_back({"dispatch.eject_max_ms", &d.targets.eject_max, "Longest ejection of a target.", 10, MAX_MS});
	fields.push_back({"dispatch.slow_factor", &d.targets.slow_factor,
	                  "Ratio of a target's token interval to the median from which its status is slow.", 1.1, 100});
	fields.push_back({"dispatch.max_queue", &d.queue.max_calls, "Most queued calls.", 1, 1e7});
	fields.push_back(
	        {"dispatch.max_queue_per_account", &d.queue.max_calls_per_account, "Most queued calls of one client account.", 1, 1e7});
	fields.push_back({"dispatch.refuse_early", &d.refuse_early, "Reject a call immediately if its expected wait exceeds its deadline."});
	fields.push_back({"dispatch.retry_ratio", &d.retry.ratio, "Retries that each first attempt adds to the retry budget.", 0, 1});
	fields.push_back({"dispatch.retry_burst", &d.retry.burst, "Largest retry budget per target and per account.", 0, 1000});
	fields.push_back({"dispatch.retry_base_ms", &d.retry.backoff_base,
	                  "Longest backoff before the first retry; doubles with each further one.", 0, 60000});
	fields.push_back({"dispatch.retry_after_min_ms", &d.retry_after_min, "Smallest Retry-After of a rejected call.", 0, 600000});
	fields.push_back({"dispatch.retry_after_max_ms", &d.retry_after_max, "Largest Retry-After of a rejected call.", 0, MAX_MS});
}

std::vector<SettingField> DescribeSettings(Settings &settings)
{
	std::vector<SettingField> fields;
	DescribeInstance(settings, fields);
	DescribeCalls(settings, fields);
	DescribeDispatch(settings, fields);
	return fields;
}

/** @return The value at \a pointer, formatted for the reference. */
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

/** @return The allowed values of \a field, formatted for the reference. */
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
	out << "# Settings\n\nGenerated by `cottonspool settings`; a unit test fails if this page is outdated.\n"
	    << "Unknown keys are errors. Durations are integers in milliseconds.\n\n"
	    << "| key | default | allowed | description |\n| --- | --- | --- | --- |\n";
	for (const SettingField &field : DescribeSettings(settings)) {
		std::string initial = field.required ? "(required)" : DefaultText(field.pointer);
		out << "| `" << field.key << "` | " << initial << " | " << AllowedText(field) << " | " << field.doc << " |\n";
	}
	return out.str();
}

} // namespace cottonspool
