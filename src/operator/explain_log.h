/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file explain_log.h Explains the outcome of a request from the logs of one or more gateways. */

#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** One line of a gateway's log. */
struct LogLine {
	double at_ms = 0;                          ///< Steady clock of the instance, in milliseconds; not comparable between instances.
	std::string instance;                      ///< Name of the instance that wrote the line.
	std::string event;                         ///< Name of the event.
	std::map<std::string, std::string> fields; ///< All other fields.

	/** @return The value of the field \a name, or an empty string if it is missing. */
	std::string Field(const std::string &name) const;
};

/** @return The log line in \a text, ignoring anything before its JSON object; nothing if there is none. */
std::optional<LogLine> ParseLogLine(const std::string &text);

/** Trace of one request, collected from the logs of several instances. */
class RequestTrace {
public:
	explicit RequestTrace(std::string request) : request(std::move(request)) {}

	/** Add the lines of \a log. */
	void Add(std::istream &log);

	/** @return Whether any line concerns the request. */
	bool IsKnown() const { return !this->lines.empty(); }

	/** @return The cause of the request's outcome, in one sentence. */
	std::string Cause() const;

	/** @return The cause, followed by the related log lines in order. */
	std::string Text() const;

private:
	/** @return The last line of the request with the given event; null if there is none. */
	const LogLine *Last(const std::string &event) const;
	/** @return The lines of the request and those on its targets, the store and the configuration, by instance and time. */
	std::vector<LogLine> Related() const;
	/** @return The drain notice of \a target that the request's instance received before \a before_ms; null if there is none. */
	const LogLine *FindDrainNotice(const std::string &target, double before_ms) const;
	/** @return Why the request was quarantined. */
	std::string ExplainQuarantine() const;
	/** @return The cause of an outcome that follows from the loss of a target. */
	std::string ExplainLoss(const LogLine &finished) const;

	std::string request;                ///< Id of the request.
	std::vector<LogLine> lines;         ///< Lines of the request.
	std::vector<LogLine> context_lines; ///< Lines on targets, the store and the configuration, from all instances.
};

} // namespace cottonspool
