/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_trace.h What was decided for each of the last calls, for `explain`. */

#pragma once

#include "core/time_type.h"
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cottonspool {

/** One step in the life of a call. */
struct TraceEvent {
	TimePoint at;     ///< When.
	std::string text; ///< What was decided or happened.
};

/** Remembers the steps of a bounded number of calls, oldest forgotten first. */
class CallTraceBuffer {
public:
	explicit CallTraceBuffer(size_t max_calls) : max_calls(max_calls) {}

	/** Add a step to the call named \a request. */
	void Add(const std::string &request, TimePoint at, std::string text);

	/** @return The steps of the call named \a request, in order; empty when it is not remembered. */
	std::vector<TraceEvent> Find(const std::string &request) const;

	static constexpr size_t MAX_EVENTS = 32; ///< Steps remembered of one call.

private:
	size_t max_calls;                                                ///< Calls remembered.
	std::list<std::string> order;                                    ///< Requests, oldest first.
	std::unordered_map<std::string, std::vector<TraceEvent>> events; ///< Steps by request.
};

} // namespace cottonspool
