/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file log.cpp Log lines, by Boost.Log. */

#include "metrics/log.h"
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

namespace cottonspool {

namespace trivial = boost::log::trivial;

static bool json_form = false;    ///< Lines are JSON objects.
static std::string instance_name; ///< Name on each line.

/** @return Boost.Log's level for \a level. */
static trivial::severity_level ToSeverity(LogLevel level)
{
	switch (level) {
	case LogLevel::Debug:
		return trivial::debug;
	case LogLevel::Info:
		return trivial::info;
	case LogLevel::Warning:
		return trivial::warning;
	case LogLevel::Error:
		return trivial::error;
	}
	return trivial::info;
}

void InitLog(const std::string &level, const std::string &form, const std::string &instance)
{
	json_form = form == "json";
	instance_name = instance;
	trivial::severity_level least = trivial::info;
	trivial::from_string(level.c_str(), level.size(), least);
	boost::log::add_common_attributes();
	auto format = json_form ? "%Message%" : "%TimeStamp% %Severity% %Message%";
	boost::log::add_console_log(std::clog, boost::log::keywords::format = format, boost::log::keywords::auto_flush = true);
	boost::log::core::get()->set_filter(trivial::severity >= least);
}

/** @return \a value, in quotes when it has spaces. */
static std::string Quoted(const std::string &value)
{
	return value.find_first_of(" =\"") == std::string::npos ? value : nlohmann::json(value).dump();
}

void Log(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
	static boost::log::sources::severity_logger<trivial::severity_level> logger;
	std::string line;
	if (json_form) {
		nlohmann::json object{{"event", event}, {"instance", instance_name}, {"level", trivial::to_string(ToSeverity(level))}};
		for (const LogField &field : fields) object[field.first] = field.second;
		line = object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
	} else {
		line = std::string("event=") + event + " instance=" + instance_name;
		for (const LogField &field : fields) line += std::string(" ") + field.first + "=" + Quoted(field.second);
	}
	BOOST_LOG_SEV(logger, ToSeverity(level)) << line;
}

} // namespace cottonspool
