/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file log.cpp Log lines, by Boost.Log, through a non-blocking buffer. */

#include "metrics/log.h"
#include "metrics/line_buffer.h"
#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace cottonspool {

namespace trivial = boost::log::trivial;

static constexpr size_t MAX_BUFFERED_BYTES = 256U << 10; ///< Size of the buffer, enough for a few seconds of a busy instance.
static constexpr size_t FLUSH_BYTES = 32U << 10;         ///< Number of buffered bytes at which the buffer is flushed at once.

static bool json_form = false;                              ///< Whether lines are JSON objects.
static std::string instance_name;                           ///< Name of this instance on each line.
static LineBuffer lines(STDOUT_FILENO, MAX_BUFFERED_BYTES); ///< Buffer of standard output.

/** Boost.Log backend that writes to the buffer. Not locked, as only the event loop's thread logs. */
class BufferBackend : public boost::log::sinks::basic_formatted_sink_backend<char, boost::log::sinks::concurrent_feeding> {
public:
	/** Handle one formatted line. */
	void consume(const boost::log::record_view &, const string_type &line)
	{
		lines.Add(line);
		if (lines.Waiting() >= FLUSH_BYTES) lines.Flush();
	}
};

/** @return The Boost.Log severity for \a level. */
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
	using Sink = boost::log::sinks::unlocked_sink<BufferBackend>;
	json_form = form == "json";
	instance_name = instance;
	trivial::severity_level min_severity = trivial::info;
	trivial::from_string(level.c_str(), level.size(), min_severity);
	auto sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>());
	boost::log::add_common_attributes();
	if (json_form) {
		sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
	} else {
		auto stamp = boost::log::expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%d %H:%M:%S.%f");
		sink->set_formatter(boost::log::expressions::stream << stamp << " " << trivial::severity << " "
		                                                    << boost::log::expressions::smessage);
	}
	boost::log::core::get()->add_sink(sink);
	boost::log::core::get()->set_filter(trivial::severity >= min_severity);
	std::atexit(FlushLog);
}

void FlushLog()
{
	lines.Flush();
}

uint64_t DroppedLogLines()
{
	return lines.Dropped();
}

std::string FormatMilliseconds(Duration duration)
{
	char text[32];
	snprintf(text, sizeof(text), "%.2f", Seconds(duration) * 1000);
	return text;
}

std::string FormatNumber(double number)
{
	char text[32];
	snprintf(text, sizeof(text), "%.3f", number);
	return text;
}

/** @return \a value, quoted and escaped if it contains special characters, as some logged values come from outside. */
static std::string Quoted(const std::string &value)
{
	auto plain = [](unsigned char c) { return c > ' ' && c < 0x7f && c != '=' && c != '"' && c != '\\'; };
	if (std::all_of(value.begin(), value.end(), plain)) return value;
	return nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void Log(LogLevel level, const char *event, std::initializer_list<LogField> fields)
{
	static boost::log::sources::severity_logger<trivial::severity_level> logger;
	std::string line;
	if (json_form) {
		nlohmann::ordered_json object;
		object["at_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow().time_since_epoch()).count();
		object["event"] = event;
		object["instance"] = instance_name;
		object["level"] = trivial::to_string(ToSeverity(level));
		for (const LogField &field : fields) object[field.first] = field.second;
		line = object.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
	} else {
		line = std::string("event=") + event + " instance=" + instance_name;
		for (const LogField &field : fields) line += std::string(" ") + field.first + "=" + Quoted(field.second);
	}
	BOOST_LOG_SEV(logger, ToSeverity(level)) << line;
}

} // namespace cottonspool
