/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_signals.h What a target says of itself with an answer. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>

namespace cottonspool {

/** A word that an answer may carry. */
enum class SignalState : uint8_t {
	Absent,     ///< The answer does not carry it.
	Present,    ///< It does.
	Unreadable, ///< It does, in a form that means nothing: neither said nor taken back.
};

/** What a target says of itself with one answer. */
struct TargetSignals {
	SignalState limit = SignalState::Absent; ///< Whether it names a limit.
	double limit_per_s = 0;                  ///< Requests a second that it takes from all instances together.
	bool draining = false;                   ///< It leaves: it wants nothing new.
	Duration pause{0};       ///< It turned this request away and wants nothing from this instance for so long; zero for no pause.
	bool unreadable = false; ///< Some word could not be read.

	bool operator==(const TargetSignals &) const = default;
};

/** What a target has said of itself, as one instance tells it to the others. Pauses are not told: each is for one instance. */
struct TargetSignalUpdate {
	std::string target;                          ///< Life of a target, by name.
	bool draining = false;                       ///< It has said that it leaves.
	SignalState limit = SignalState::Unreadable; ///< Whether it names a limit; Unreadable where nothing is told of it.
	double limit_per_s = 0;                      ///< The limit, in requests a second.
	Duration request_age{0};                     ///< Age of the request whose answer said so.
};

} // namespace cottonspool
