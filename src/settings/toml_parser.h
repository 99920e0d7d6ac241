/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file toml_parser.h TOML parser for untrusted input, using toml++. */

#pragma once

#include "core/error_type.h"
#include <string_view>
#include <toml++/toml.h>

namespace cottonspool {

/**
 * Check that \a text has non-ASCII characters only in strings and comments, that quotes and brackets are balanced, and that each table
 * header has a name. TOML requires all of this, but toml++ 3.3 has undefined behaviour on some violations instead of reporting them.
 * @param file File name for the error, which also has the line.
 */
Result<void> CheckPlainToml(std::string_view text, const std::string &file);

/** Parse \a text, which may be malformed in any way. @param file File name for the error, which also has the line. */
Result<toml::table> ParseToml(std::string_view text, const std::string &file);

} // namespace cottonspool
