/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file log.h Log lines for changes of state; a plain header in front of Boost.Log. */

#pragma once

#include "core/time_type.h"
#include <initializer_list>
#include <string>
#include <utility>

namespace cottonspool {

enum class LogLevel { Debug, Info, Warning, Error };

/** One named value of a log line. */
using LogField = std::pair<const char *, std::string>;

/** Set the least severe \a level ("debug" to "error") and the \a form ("text" or "json") of all lines to come. */
void InitLog(const std::string &level, const std::string &form, const std::string &instance);

/** Hand what is waiting to the reader of the lines as far as it takes it without waiting; to be called some times a second. */
void FlushLog();

/** @return Lines dropped since the start because their reader was too slow. */
uint64_t DroppedLogLines();

/** @return \a duration in milliseconds with two places. */
std::string FormatMilliseconds(Duration duration);

/** @return \a number with three places. */
std::string FormatNumber(double number);

/** Write one line: what changed, and the values that matter. */
void Log(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace cottonspool
