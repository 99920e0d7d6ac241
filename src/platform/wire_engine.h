/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file wire_engine.h Auxiliary calls to targets: load reports, live migration of runs, and liveness probes. */

#pragma once

#include "decision/target_incarnation.h"
#include "net/http_upstream.h"

namespace cottonspool {

/** An engine's report of its load; a few hundred milliseconds old when it arrives. */
struct EngineReport {
	uint32_t running = 0;        ///< Generations being decoded.
	uint32_t waiting = 0;        ///< Generations accepted and not yet decoded.
	uint64_t used_tokens = 0;    ///< Size of the KV cache in use that cannot be evicted, in tokens.
	uint64_t memory_tokens = 0;  ///< Total size of the KV cache, in tokens.
	uint64_t waiting_tokens = 0; ///< Prompt tokens of the first waiting generation.
	bool draining = false;       ///< The engine is draining.
	uint64_t started_ms = 0;     ///< When the engine was started, in milliseconds since the Unix epoch by its own clock; 0 if unknown.
	std::optional<Duration> shutdown_in; ///< Time until it shuts down, if announced.
};

/** Answer of an engine to the request to copy a run's KV cache to another engine. */
struct MigrationAnswer {
	enum class Kind : uint8_t {
		Copied,     ///< The copy is complete.
		NoRun,      ///< The engine has no such run: not started yet, or finished.
		Busy,       ///< Another copy of this run is in progress.
		NoCapacity, ///< The receiving engine has no capacity or is unreachable.
		NoAnswer,   ///< The call failed or its answer was invalid.
	};
	Kind kind = Kind::NoAnswer; ///< Result.
	std::string handle;         ///< Handle of the copy at the source engine; may also be set with NoCapacity if the run was stopped.
	uint64_t events = 0;        ///< Number of events that the run has produced.
};

/** @return A call that requests the report of the engine \a peer at \a to; \a done gets nothing if that fails. */
UpstreamCall MakeReportCall(const Endpoint &to, const std::string &peer, std::function<void(std::optional<EngineReport>)> done);

/**
 * @return A call that makes the engine \a peer, at \a to, copy the KV cache of the run of \a attempt to the engine at \a copy_to.
 * @param stop Stop the run before it is copied, so that the copy is complete; otherwise it continues meanwhile.
 */
UpstreamCall MakeMigrationCall(const Endpoint &to, const std::string &peer, const std::string &attempt, const std::string &copy_to,
                               bool stop, std::function<void(const MigrationAnswer &)> done);

/** @return Whether such a call can name the run of \a attempt: its body is JSON, which cannot hold every id. */
bool CanNameRun(const std::string &attempt);

/** @return A call that releases the copy \a handle at the source and at the receiving engine. */
UpstreamCall MakeReleaseCall(const Endpoint &to, const std::string &peer, const std::string &handle);

/** Result of a liveness probe of a target. */
enum class ProbeResult : uint8_t {
	Answered,         ///< The target answered.
	OtherIncarnation, ///< Another target answered at the address, or a later incarnation of this one.
	Refused,          ///< Connection refused: no process listens at the address.
	Broken,           ///< The connection failed in another way, so that the target may be alive.
};

/** @return The name of \a result for logs. */
const char *ProbeResultName(ProbeResult result);

/**
 * @return A call that probes, on a new connection, whether the incarnation \a incarnation of a target is still alive at \a to.
 * @param path Path that is cheap to answer: the report of an engine, or the health check of a service.
 */
UpstreamCall MakeProbeCall(const Endpoint &to, const TargetIncarnation &incarnation, const std::string &path,
                           std::function<void(ProbeResult)> done);

/**
 * @return A call that asks the incarnation \a incarnation of a target at \a to for its speed; \a done gets its time factor, or nothing if
 *         it is not stated, another target answers, or the call fails.
 * @param path Path of the health check.
 */
UpstreamCall MakeSpeedCall(const Endpoint &to, const TargetIncarnation &incarnation, const std::string &path,
                           std::function<void(std::optional<double>)> done);

/** Path of an engine's load report. */
extern const char *const REPORT_PATH;

/** Decode a load report. */
std::optional<EngineReport> DecodeReport(const std::string &text);

/** Decode the answer to a copy request. */
MigrationAnswer DecodeMigrationAnswer(int status, const std::string &text);

} // namespace cottonspool
