/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file toml_guard.h Keeps text away from toml++ that it cannot take. */

#pragma once

#include "core/error_type.h"
#include <string_view>

namespace cottonspool {

/**
 * Check that \a text has letters beyond ASCII only inside quotes and comments. Outside of them TOML allows none, and toml++ 3.3
 * runs into undefined behaviour on some instead of reporting an error.
 * @param file Name used in the error, which carries the line.
 */
Result<void> CheckPlainToml(std::string_view text, const std::string &file);

} // namespace cottonspool
