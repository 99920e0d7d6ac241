/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_configuration.h Decodes the rows that operators and targets write into the platform's store. */

#pragma once

#include "core/error_type.h"
#include "decision/target_registry.h"
#include "store/table_store_base.h"

namespace cottonspool {

extern const char *const CONFIGURATION_TABLE; ///< Table with the operator's configuration.
extern const char *const TARGET_TABLE;        ///< Table with the targets' heartbeats.

/** @return Whether \a key is the row of CONFIGURATION_TABLE that holds the configuration. */
bool IsConfigurationKey(std::string_view key);

/** @return The data hall that is evacuated while the row \a key of CONFIGURATION_TABLE exists; nothing if it is a row of another kind. */
std::optional<std::string> EvacuatedHallOf(std::string_view key);

/** Decode a configuration. */
Result<ServingConfiguration> DecodeConfiguration(const std::string &text);

/** Decode a target's heartbeat; an invalid row is an error. */
Result<TargetRow> DecodeTargetRow(const StoredRow &row);

} // namespace cottonspool
