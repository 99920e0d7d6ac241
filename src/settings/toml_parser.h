/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file toml_parser.h Keeps text away from toml++ that it cannot take. */

#pragma once

#include "core/error_type.h"
#include <string_view>
#include <toml++/toml.h>

namespace cottonspool {

/**
 * Check that \a text has letters beyond ASCII only inside quotes and comments, that quotes and brackets are closed, and that each table
 * header begins with a name. TOML allows nothing else, and toml++ 3.3 runs into undefined behaviour on some of it instead of reporting an
 * error.
 * @param file Name used in the error, which carries the line.
 */
Result<void> CheckPlainToml(std::string_view text, const std::string &file);

/** Read \a text, which may be anything. @param file Name used in the error, which carries the line. */
Result<toml::table> ParseToml(std::string_view text, const std::string &file);

} // namespace cottonspool
