/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file target_signals.h What a target says of itself with an answer. */

#pragma once

#include "core/time_type.h"
#include <cstdint>
#include <string>

namespace cottonspool {

/** A word that an answer may carry. */
enum class SignState : uint8_t {
	Absent,     ///< The answer does not carry it.
	Said,       ///< It does.
	Unreadable, ///< It does, in a form that means nothing: neither said nor taken back.
};

/** What a target says of itself with one answer. */
struct TargetSigns {
	SignState limit = SignState::Absent; ///< Whether it names a limit.
	double limit_per_s = 0;              ///< Requests a second that it takes from all instances together.
	bool leaving = false;                ///< It leaves: it wants nothing new.
	Duration pause{0};       ///< It turned this request away and wants nothing from this instance for so long; zero for no pause.
	bool unreadable = false; ///< Some word could not be read.

	bool operator==(const TargetSigns &) const = default;
};

/** What a target has said of itself, as one instance tells it to the others. Pauses are not told: each is for one instance. */
struct SignNews {
	std::string target;                      ///< Life of a target, by name.
	bool leaving = false;                    ///< It has said that it leaves.
	SignState limit = SignState::Unreadable; ///< Whether it names a limit; Unreadable where nothing is told of it.
	double limit_per_s = 0;                  ///< The limit, in requests a second.
	Duration asked_ago{0};                   ///< Age of the request whose answer said so.
};

} // namespace cottonspool
