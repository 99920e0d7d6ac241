/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_engine.h Calls to engines beside the requests themselves: reports of their state, moves of runs. */

#pragma once

#include "decision/target_incarnation.h"
#include "net/http_upstream.h"

namespace cottonspool {

/** An engine's own report of its state; some hundred milliseconds old when it arrives. */
struct EngineReport {
	uint32_t running = 0;                ///< Generations being decoded.
	uint32_t waiting = 0;                ///< Generations accepted and not yet decoded.
	uint64_t used_tokens = 0;            ///< Memory that cannot give way.
	uint64_t memory_tokens = 0;          ///< Memory in all.
	uint64_t waiting_tokens = 0;         ///< Prompt tokens of the first that waits.
	bool draining = false;               ///< It leaves.
	uint64_t started_ms = 0;             ///< Start of its life, in milliseconds since the epoch by its own clock; 0 if it tells none.
	std::optional<Duration> shutdown_in; ///< How soon, if it knows.
};

/** Result of asking an engine to copy a run's memory to another one. */
struct MigrationAnswer {
	enum class Kind : uint8_t {
		Copied,     ///< The copy is done and named.
		NoRun,      ///< No such run there: not begun, or ended.
		Busy,       ///< A copy of this run is under way.
		NoCapacity, ///< The other engine has no room, or cannot be reached.
		NoAnswer,   ///< The call ended without a usable answer.
	};
	Kind kind = Kind::NoAnswer; ///< What came of it.
	std::string handle;         ///< Name of the copy, at the source; may be given with NoCapacity too, once the run has stopped.
	uint64_t events = 0;        ///< Events made so far.
};

/** @return The call that asks the engine \a peer at \a to for its report; \a done gets it, or nothing. */
UpstreamCall MakeReportCall(const Endpoint &to, const std::string &peer, std::function<void(std::optional<EngineReport>)> done);

/**
 * @return The call that has the engine \a peer at \a to copy the memory of the run of \a attempt to the engine at \a copy_to.
 * @param stop The run stops first, so that the copy is whole; otherwise it goes on meanwhile.
 */
UpstreamCall MakeMigrationCall(const Endpoint &to, const std::string &peer, const std::string &attempt, const std::string &copy_to,
                               bool stop, std::function<void(const MigrationAnswer &)> done);

/** @return The call that frees the copy \a handle at its source and at the other end. */
UpstreamCall MakeReleaseCall(const Endpoint &to, const std::string &peer, const std::string &handle);

/** What came of asking whether a target still lives. */
enum class ProbeResult : uint8_t {
	Answered,         ///< It answers.
	OtherIncarnation, ///< Another target has the address, or this one has started again.
	Refused,          ///< Nobody listens there any more.
	Broken,           ///< The connection broke, or did not come up although somebody may listen.
};

/** @return The name of \a result for logs. */
const char *ProbeResultName(ProbeResult result);

/**
 * @return The call that asks, on a fresh connection, whether \a incarnation of a target, which was at \a to, still lasts.
 * @param path What it answers without doing work: a report, or the health check of a plain service.
 */
UpstreamCall MakeProbeCall(const Endpoint &to, const TargetIncarnation &incarnation, const std::string &path,
                           std::function<void(ProbeResult)> done);

/** Path of an engine's report. */
extern const char *const REPORT_PATH;

/** Decode a report. */
std::optional<EngineReport> DecodeReport(const std::string &text);

/** Decode the answer to a move. */
MigrationAnswer DecodeMigrationAnswer(int status, const std::string &text);

} // namespace cottonspool
