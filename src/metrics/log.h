/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file log.h Log lines for changes of state; a plain header in front of Boost.Log. */

#pragma once

#include <initializer_list>
#include <string>
#include <utility>

namespace cottonspool {

enum class LogLevel { Debug, Info, Warning, Error };

/** One named value of a log line. */
using LogField = std::pair<const char *, std::string>;

/** Set the least severe \a level ("debug" to "error") and the \a form ("text" or "json") of all lines to come. */
void InitLog(const std::string &level, const std::string &form, const std::string &instance);

/** Write one line: what changed, and the values that matter. */
void Log(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace cottonspool
