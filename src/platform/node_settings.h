/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file node_settings.h Settings that the platform writes into a file for each instance. */

#pragma once

#include "core/error_type.h"
#include "net/tcp_stream.h"
#include <map>

namespace cottonspool {

/** Time limits and retry limits that the platform requires of the instances. */
struct PlatformBounds {
	Duration drain{std::chrono::seconds(2)};         ///< Time from a target's drain notice until it must get no new requests.
	Duration config_apply{std::chrono::seconds(2)};  ///< Time within which a new configuration has to be in force.
	Duration empty{std::chrono::seconds(2)};         ///< Time until an evacuated hall must get no new requests.
	Duration recovery{std::chrono::seconds(3)};      ///< Time after an outage until the limits apply again, also to changes made during it.
	Duration stop_grace{std::chrono::seconds(8)};    ///< Time between SIGTERM and SIGKILL.
	double retry_ratio = 0.2;                        ///< Retries per request that all instances together may send.
	Duration retry_window{std::chrono::seconds(10)}; ///< Time window for that ratio.
	double retry_slack = 50;                         ///< Retries allowed beyond that ratio, for all instances together.
};

/** Settings of one instance. */
struct NodeSettings {
	std::string name;                                    ///< Name of the instance.
	std::string hall;                                    ///< Data hall of the instance.
	std::map<std::string, std::string> halls;            ///< Region by data hall, for all halls.
	Endpoint front;                                      ///< Address for requests of callers.
	Endpoint ready;                                      ///< Address for readiness checks.
	std::string ip;                                      ///< IP address of the instance.
	uint16_t first_port = 0;                             ///< First port for connections between instances; 0 if there is none.
	uint16_t last_port = 0;                              ///< Last such port.
	Endpoint store;                                      ///< Address of the platform's store.
	Duration heartbeat{std::chrono::milliseconds(1200)}; ///< Interval of the targets' heartbeats.
	double link_mbps = 0;                                ///< Bandwidth of the instance's network link, in Mbit/s; 0 if unknown.
	uint64_t memory_mb = 0;                              ///< Memory limit of the process, in MB; 0 if unknown.
	bool bootstrap = false;                              ///< The entire system starts for the first time.
	PlatformBounds platform_bounds;                      ///< Required limits.
};

/** Parse settings from JSON \a text. @param file File name for error messages. */
Result<NodeSettings> ParseNodeSettings(const std::string &text, const std::string &file);

/** @return Path of the settings file as named by the environment variable COTTONSPOOL_NODE_FILE, or an empty string. */
std::string NodeSettingsPath();

/** Load settings from the file at \a path. */
Result<NodeSettings> LoadNodeSettings(const std::string &path);

} // namespace cottonspool
