/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file settings_type.h Settings of an instance, read from its TOML file. */

#pragma once

#include "core/error_type.h"
#include "decision/dispatcher.h"
#include "http/http_type.h"
#include <variant>

namespace cottonspool {

/** Timeouts and limits of calls to targets. */
struct CallLimits {
	Duration connect = std::chrono::milliseconds(500); ///< Timeout for establishing a connection.
	Duration first_byte = std::chrono::seconds(60);    ///< Timeout from sending to the head of the answer.
	Duration stall = std::chrono::seconds(3);          ///< Longest time without data before a stream is reconnected and resumed.
	Duration resume = std::chrono::seconds(8);         ///< Longest time spent on resuming a generation.
	Duration service = std::chrono::seconds(10);       ///< Timeout of a service call.
	int64_t max_service_answer_bytes = 8LL << 20;      ///< Largest answer of a service, in bytes.
};

/** All settings of an instance; DescribeSettings() has their names in the file. */
struct Settings {
	std::string name;                                    ///< Unique name of the instance.
	std::string hall;                                    ///< Data hall of the instance.
	std::string ip = "127.0.0.1";                        ///< IPv4 address to listen on, which others use to connect.
	int64_t http_port = 8080;                            ///< Port for callers and operators.
	int64_t peer_port = 8081;                            ///< Port for peers.
	std::vector<std::string> seeds;                      ///< Addresses of the first peers; gossip yields the others.
	Duration heartbeat = std::chrono::milliseconds(500); ///< Least interval between heartbeats.
	int64_t peer_bytes_per_second = 2500; ///< Bandwidth limit of heartbeats over all connections; a larger system sends them less often.
	Duration member_timeout = std::chrono::seconds(4); ///< Least time without heartbeats after which a peer counts as failed.
	std::string platform_url;                          ///< Base URL of the platform's table, objects and instance list.
	Duration platform_call = std::chrono::seconds(2);  ///< Timeout of a call to the platform.
	Duration head_poll = std::chrono::seconds(2);      ///< Interval of polls for newer configuration.
	Duration list_poll = std::chrono::seconds(2);      ///< Interval of polls of the instance list.
	Duration configuration_stale =
	        std::chrono::seconds(10);         ///< Age of the last confirmation above which calls that must not be repeated are rejected.
	int64_t snapshot_every = 64;              ///< Number of entries between snapshots of the configuration.
	Duration lease = std::chrono::seconds(6); ///< Duration of the hall's lease for orders.
	Duration report_poll = std::chrono::milliseconds(300); ///< Interval of load report polls of each target.
	int64_t targets_watched = 24;    ///< Most targets per model that this instance uses; a larger set is divided among the instances.
	std::string operator_key_sha256; ///< SHA-256 of the operators' key, as hexadecimal digits.
	HttpLimits http;                 ///< Limits on callers' requests and connections.
	CallLimits call;                 ///< Limits of calls to targets.
	DispatchLimits dispatch;         ///< Admission, queueing and retries.
	std::string router = "headroom"; ///< Routing policy.
	Duration interactive_wait = std::chrono::seconds(10); ///< Longest queueing time of an interactive call.
	Duration stream_wait = std::chrono::seconds(30);      ///< Longest queueing time of a stream call.
	Duration background_wait = std::chrono::seconds(120); ///< Longest queueing time of a background call.
	Duration stop_notice = std::chrono::seconds(3);       ///< Time from failing the readiness probe to closing the listener.
	Duration stop_limit = std::chrono::minutes(10);       ///< Longest time to finish open calls when stopping.
	int64_t account_series = 64;                          ///< Most accounts with metrics of their own; all others share one series.
	int64_t explain_calls = 4096;                         ///< Calls whose traces are kept for `explain`.
	std::string log_level = "info";                       ///< Least severe level that is logged: "debug", "info", "warning" or "error".
	std::string log_form = "text";                        ///< Format of a log line: "text" (key=value) or "json".
};

/** Pointer to the member that holds a setting. */
using SettingPointer = std::variant<std::string *, int64_t *, double *, bool *, Duration *, size_t *, std::vector<std::string> *>;

/** Description of one setting, from which the parser's checks and docs/SETTINGS.md are derived. */
struct SettingField {
	std::string key;                  ///< "table.key"; durations end in "_ms" and are integers.
	SettingPointer pointer;           ///< Member that holds the value.
	std::string doc;                  ///< Description for the reference.
	double min_value = 0;             ///< Smallest allowed number.
	double max_value = 1e15;          ///< Largest allowed number.
	std::vector<std::string> choices; ///< Allowed strings; empty allows any.
	bool required = false;            ///< The setting must be present in the file.
};

/** @return The descriptions of all settings, with pointers into \a settings. */
std::vector<SettingField> DescribeSettings(Settings &settings);

/**
 * Parse and validate settings in TOML.
 * @param file File name for errors.
 * @return The settings, or an error with file, line, key and allowed values.
 */
Result<Settings> ParseSettings(std::string_view text, const std::string &file);

/** Load settings from the file \a path. */
Result<Settings> LoadSettings(const std::string &path);

/** @return The content of docs/SETTINGS.md. */
std::string SettingsReference();

} // namespace cottonspool
