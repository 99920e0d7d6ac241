/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file node_settings.h The platform's settings file of one process, decoded. */

#pragma once

#include "core/error_type.h"
#include "net/tcp_stream.h"
#include <map>

namespace cottonspool {

/** Times and shares within which the operator's rules hold. */
struct PlatformBounds {
	Duration drain{std::chrono::seconds(2)};        ///< Time after a target's notice from which nothing new may reach it.
	Duration config_apply{std::chrono::seconds(2)}; ///< Time after which a configuration has to be in force.
	Duration empty{std::chrono::seconds(2)};        ///< Time after which nothing new may reach a hall that is emptied.
	Duration recovery{std::chrono::seconds(3)};   ///< Calm time after which the bounds hold again, also for what the store told meanwhile.
	Duration stop_grace{std::chrono::seconds(8)}; ///< Time between SIGTERM and SIGKILL.
	double retry_ratio = 0.2;                     ///< Second sends allowed for each request, all instances together.
	Duration retry_window{std::chrono::seconds(10)}; ///< Window of that share.
	double retry_slack = 50;                         ///< Second sends allowed beyond the share, all instances together.
};

/** What the platform tells a process about itself. */
struct NodeSettings {
	std::string name;                                    ///< Name of the instance.
	std::string hall;                                    ///< Data hall it stands in.
	std::map<std::string, std::string> halls;            ///< All data halls, each with its region.
	Endpoint front;                                      ///< Where callers connect.
	Endpoint ready;                                      ///< Where readiness is asked.
	std::string ip;                                      ///< Its address.
	uint16_t first_port = 0;                             ///< First port that is free for the instances' own use; 0 if there is none.
	uint16_t last_port = 0;                              ///< Last one.
	Endpoint store;                                      ///< The platform's store.
	Duration heartbeat{std::chrono::milliseconds(1200)}; ///< Time between a target's heartbeats.
	double link_mbps = 0;                                ///< Speed of its link, in Mbit/s; 0 if unknown.
	uint64_t memory_mb = 0;                              ///< Memory that the process may use, in MB; 0 if unknown.
	bool bootstrap = false;                              ///< The whole system starts for the first time.
	PlatformBounds platform_bounds;                      ///< Bounds.
};

/** Read the settings from JSON \a text. @param file Name used in errors. */
Result<NodeSettings> ParseNodeSettings(const std::string &text, const std::string &file);

/** @return The path of the settings file that the platform's environment names, or an empty text. */
std::string NodeSettingsPath();

/** Read the settings from the file at \a path. */
Result<NodeSettings> LoadNodeSettings(const std::string &path);

} // namespace cottonspool
