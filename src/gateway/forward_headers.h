/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file forward_headers.h Header fields between instances for requests that one passes on to another. */

#pragma once

#include "http/http_type.h"
#include <cstdint>
#include <optional>

namespace cottonspool {

inline constexpr const char *PASSED_BY_FIELD = "Cottonspool-Passed-By"; ///< Request: instance that passes it on.
inline constexpr const char *CONFIGURATION_FIELD =
        "Cottonspool-Configuration";                                  ///< Request: oldest configuration that may be applied to it.
inline constexpr const char *ATTEMPTS_FIELD = "Cottonspool-Attempts"; ///< Request: targets that it may still be sent to.
/**
 * Request: how often the instance has sent it to targets that got it. Answer of an instance that refuses it: how often it has done so
 * itself, without it being run.
 */
inline constexpr const char *SENT_FIELD = "Cottonspool-Sent";
/** Answer: "no" if the instance has not sent the request to any target, and never will. Targets' answers are passed without this field. */
inline constexpr const char *RAN_FIELD = "Cottonspool-Ran";
inline constexpr const char *REASON_FIELD = "Cottonspool-Reason"; ///< Answer: why the instance refused the request.
inline constexpr const char *POOL_LOST_REASON = "pool-lost";      ///< Reason: the instance does not reach the pool either.

/** Remove the fields \a name from \a headers. @return The value of the first one; empty if there is none. */
std::string TakeHeader(HttpHeaders &headers, std::string_view name);

/** Add to the header fields of a refusal that the request has not been run, because of \a reason, although \a sent targets got it. */
void MarkNotRun(HttpHeaders &headers, const char *reason, uint32_t sent);

/** @return The number in \a text; nothing if it is none. */
std::optional<uint64_t> WholeNumber(std::string_view text);

} // namespace cottonspool
