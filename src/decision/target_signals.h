/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_signals.h Signals of a target about itself in the headers of an answer: rate limit, drain notice, pause. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <optional>
#include <string>

namespace cottonspool {

/** Presence of a header in an answer. */
enum class SignalState : uint8_t {
	Absent,     ///< The header is missing.
	Present,    ///< The header is present and valid.
	Unreadable, ///< The header is malformed: its former value stays in force.
};

/** The signals in one answer. */
struct TargetSignals {
	SignalState limit = SignalState::Absent; ///< Whether the answer advertises a rate limit.
	double limit_per_s = 0;                  ///< Requests per second that the target accepts from all instances together.
	bool draining = false;                   ///< Whether the target is draining.
	Duration pause{0}; ///< Time for which the target, which rejected the request, wants none from this instance; zero for no pause.
	SignalState brittle = SignalState::Absent; ///< Whether the target says that it crashes if it has to refuse too much.
	double refusals_per_s = 0;                 ///< Requests that it bears to refuse in a second, from all instances together.
	bool refused = false;                      ///< Whether it refused this request for want of room.
	bool unreadable = false;                   ///< Whether any of the headers is malformed.

	bool operator==(const TargetSignals &) const = default;
};

/** Signals of a target as shared between instances. Pauses are left out, as they apply to a single instance. */
struct TargetSignalUpdate {
	std::string target;    ///< Name of the target incarnation.
	bool draining = false; ///< Whether the target is draining.
	SignalState limit =
	        SignalState::Unreadable;   ///< Whether the target advertises a rate limit; Unreadable if the update does not concern it.
	double limit_per_s = 0;            ///< The rate limit, in requests per second.
	Duration request_age{0};           ///< Time since the request was sent whose answer had the drain notice or rate limit.
	std::optional<double> time_factor; ///< Estimated base factor of the target; see TargetSpeed.
	Duration factor_age{0};            ///< Time since the latest sample of that estimate.
};

} // namespace cottonspool
