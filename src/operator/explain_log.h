/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file explain_log.h What became of a request and why, from the log lines of one or more gateways. */

#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace cottonspool {

/** One line of a gateway's log. */
struct LogLine {
	double at_ms = 0;                          ///< Milliseconds on its instance's steady clock: not comparable between instances.
	std::string instance;                      ///< Instance that wrote it.
	std::string event;                         ///< What happened.
	std::map<std::string, std::string> fields; ///< The other fields.

	/** @return The field \a name; an empty text if there is none. */
	std::string Field(const std::string &name) const;
};

/** @return The line in \a text, whatever stands before its JSON object; nothing if there is none. */
std::optional<LogLine> ParseLogLine(const std::string &text);

/** Collects what the logs of several instances tell about one request. */
class RequestTrace {
public:
	explicit RequestTrace(std::string request) : request(std::move(request)) {}

	/** Take in a log. */
	void Add(std::istream &log);

	/** @return Whether any line tells of the request. */
	bool IsKnown() const { return !this->lines.empty(); }

	/** @return The cause of its outcome, in one sentence. */
	std::string Cause() const;

	/** @return The cause, and below it what happened in order; lines on targets and on the store that bear on it included. */
	std::string Text() const;

private:
	/** @return The last line of the request with \a event; null if there is none. */
	const LogLine *Last(const std::string &event) const;
	/** @return Lines that bear on the request, in order. */
	std::vector<LogLine> Related() const;
	/** @return The notice that \a target leaves, as its instance learned it by \a before_ms; null if there is none. */
	const LogLine *FindDrainNotice(const std::string &target, double before_ms) const;
	std::string ExplainLoss(const LogLine &finished) const;

	std::string request;                ///< Id of the request.
	std::vector<LogLine> lines;         ///< Lines with its id.
	std::vector<LogLine> context_lines; ///< Lines on targets, the store and the configuration, of all instances.
};

} // namespace cottonspool
