/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file call_trace.h Traces of recent calls, shown by `explain`. */

#pragma once

#include "core/time_type.h"
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace cottonspool {

/** One step in the trace of a call. */
struct TraceEvent {
	TimePoint at;     ///< Time of the step.
	std::string text; ///< Description of the step.
};

/** Traces of a bounded number of calls; the oldest call is evicted first. */
class CallTraceBuffer {
public:
	explicit CallTraceBuffer(size_t max_calls) : max_calls(max_calls) {}

	/** Add a step to the call named \a request. */
	void Add(const std::string &request, TimePoint at, std::string text);

	/** @return The steps of the call named \a request, in order; empty if it is unknown or evicted. */
	std::vector<TraceEvent> Find(const std::string &request) const;

	static constexpr size_t MAX_EVENTS = 32; ///< Most steps kept for one call; later ones are dropped.

private:
	size_t max_calls;                                                ///< Most calls kept.
	std::list<std::string> order;                                    ///< Request ids, oldest first.
	std::unordered_map<std::string, std::vector<TraceEvent>> events; ///< Steps by request id.
};

} // namespace cottonspool
