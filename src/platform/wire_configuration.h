/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_configuration.h Decodes what operators and targets write into the platform's store. */

#pragma once

#include "core/error_type.h"
#include "decision/target_registry.h"
#include "store/table_store_base.h"

namespace cottonspool {

extern const char *const CONFIGURATION_TABLE; ///< Table in which the operator keeps the configuration.
extern const char *const TARGET_TABLE;        ///< Table in which targets keep their heartbeats.

/** @return Whether \a key of CONFIGURATION_TABLE holds the configuration. */
bool IsConfigurationKey(std::string_view key);

/** @return The data hall that the operators ask to empty as long as the row \a key of CONFIGURATION_TABLE stands; nothing for other rows.
 */
std::optional<std::string> EvacuatedHallOf(std::string_view key);

/** Decode a whole configuration. */
Result<ServingConfiguration> DecodeConfiguration(const std::string &text);

/** Decode one target's heartbeat. A row that cannot be read says nothing: an error. */
Result<TargetRow> DecodeTargetRow(const StoredRow &row);

} // namespace cottonspool
