/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file log.h Structured log lines, without exposing Boost.Log. */

#pragma once

#include "core/time_type.h"
#include <initializer_list>
#include <string>
#include <utility>

namespace cottonspool {

/** Severity of a log line. */
enum class LogLevel { Debug, Info, Warning, Error };

/** Name and value of a field of a log line. */
using LogField = std::pair<const char *, std::string>;

/**
 * Initialise logging.
 * @param level Minimum severity: "debug", "info", "warning" or "error".
 * @param form Format of the lines: "text" or "json".
 * @param instance Name of this instance, which is part of each line.
 */
void InitLog(const std::string &level, const std::string &form, const std::string &instance);

/** Write buffered lines as far as possible without blocking; to be called several times a second. */
void FlushLog();

/** @return Number of lines dropped because the reader of the log was too slow. */
uint64_t DroppedLogLines();

/** @return \a duration in milliseconds with two decimals. */
std::string FormatMilliseconds(Duration duration);

/** @return \a number with three decimals. */
std::string FormatNumber(double number);

/** Log \a event with \a fields. */
void Log(LogLevel level, const char *event, std::initializer_list<LogField> fields = {});

} // namespace cottonspool
