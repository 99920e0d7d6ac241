/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file settings_type.h Settings of one instance, as read from its TOML file. */

#pragma once

#include "core/error_type.h"
#include "decision/dispatcher.h"
#include "http/http_type.h"
#include <variant>

namespace cottonspool {

/** Limits of calls to targets. */
struct CallLimits {
	Duration connect = std::chrono::milliseconds(500); ///< Longest time to connect.
	Duration first_byte = std::chrono::seconds(60);    ///< Longest time from sending to the head of the answer.
	Duration stall = std::chrono::seconds(3);          ///< Silence in a stream after which the link is given up and resumed.
	Duration resume = std::chrono::seconds(8);         ///< Longest time spent on resuming one generation.
	Duration service = std::chrono::seconds(10);       ///< Longest time of a service call.
	int64_t max_service_answer_bytes = 8LL << 20;      ///< Largest answer of a service.
};

/** All settings of one instance. */
struct Settings {
	std::string name;                                    ///< Name of the instance, unique in the system.
	std::string hall;                                    ///< Data hall it stands in.
	std::string ip = "127.0.0.1";                        ///< Address to listen on and to be reached at.
	int64_t http_port = 8080;                            ///< Port for callers and operators.
	int64_t peer_port = 8081;                            ///< Port for other instances.
	std::vector<std::string> seeds;                      ///< Peer addresses to begin with.
	Duration heartbeat = std::chrono::milliseconds(500); ///< Time between heartbeats.
	int64_t peer_bytes_per_second = 2500;                ///< Most that heartbeats may cost on all links together.
	Duration member_timeout = std::chrono::seconds(4);   ///< Silence after which a member counts as gone.
	std::string platform_url;                            ///< Base of the platform's table, objects and instance list.
	Duration platform_call = std::chrono::seconds(2);    ///< Deadline of one platform call.
	Duration head_poll = std::chrono::seconds(2);        ///< Time between looks for newer configuration.
	Duration list_poll = std::chrono::seconds(2);        ///< Time between looks at the instance list.
	Duration configuration_stale =
	        std::chrono::seconds(10);         ///< Age of the last confirmation from which on calls that must not be repeated are refused.
	int64_t snapshot_every = 64;              ///< Entries between snapshots of the configuration.
	Duration lease = std::chrono::seconds(6); ///< Length of the hall's lease for orders.
	Duration report_poll = std::chrono::milliseconds(300); ///< Time between load reports asked of each target.
	int64_t targets_watched = 24;    ///< Targets per model that this instance uses; more are shared out among instances.
	std::string operator_key_sha256; ///< SHA-256 of the operators' key, in hexadecimal.
	HttpLimits http;                 ///< Limits on callers.
	CallLimits call;                 ///< Limits of calls to targets.
	DispatchLimits dispatch;         ///< Decisions.
	std::string router = "headroom"; ///< Choice of a target.
	Duration interactive_wait = std::chrono::seconds(10); ///< Longest wait of an interactive call before it is sent.
	Duration stream_wait = std::chrono::seconds(30);      ///< Longest wait of a stream call.
	Duration background_wait = std::chrono::seconds(120); ///< Longest wait of a background call.
	Duration stop_notice = std::chrono::seconds(3);       ///< Time between failing readiness and taking no more connections.
	Duration stop_limit = std::chrono::minutes(10);       ///< Longest time to finish what is in flight when stopping.
	int64_t account_series = 64;                          ///< Accounts with metrics of their own; the others share one.
	int64_t explain_calls = 4096;                         ///< Finished calls remembered for `explain`.
	std::string log_level = "info";                       ///< Least severe level that is logged.
	std::string log_form = "text";                        ///< "text" (key=value) or "json".
};

/** Where a setting is kept. */
using SettingPointer = std::variant<std::string *, int64_t *, double *, bool *, Duration *, size_t *, std::vector<std::string> *>;

/** Description of one setting: the single source of the parser's checks and of docs/SETTINGS.md. */
struct SettingField {
	std::string key;                  ///< "table.key"; times end in "_ms" and are whole milliseconds.
	SettingPointer pointer;           ///< Where the value goes.
	std::string doc;                  ///< What it is for.
	double min_value = 0;             ///< Least number allowed.
	double max_value = 1e15;          ///< Largest number allowed.
	std::vector<std::string> choices; ///< Texts allowed; empty means any.
	bool required = false;            ///< Must be in the file.
};

/** @return A description of every setting, pointing into \a settings. */
std::vector<SettingField> DescribeSettings(Settings &settings);

/**
 * Read settings from TOML \a text.
 * @param file Name used in errors.
 * @return The settings, or an error naming file, line, key and what is allowed.
 */
Result<Settings> ParseSettings(std::string_view text, const std::string &file);

/** Read settings from the file at \a path. */
Result<Settings> LoadSettings(const std::string &path);

/** @return docs/SETTINGS.md, made from DescribeSettings(). */
std::string SettingsReference();

} // namespace cottonspool
