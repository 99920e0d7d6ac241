/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file error_type.h Errors that carry the step and the peer at which they arose. */

#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace cottonspool {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** The step of work during which an error arose. */
enum class Step { Settings, Listen, Connect, Send, FirstByte, Stream, Table, Object, Peer, Configuration, Policy, Operator };

/** @return The name of \a step as written in logs and answers. */
const char *StepName(Step step);

/** One error: where, with whom, what. */
struct Error {
	Step step;           ///< Step of work.
	std::string peer;    ///< Other side: an address, a target's name, or a file with its line.
	std::string message; ///< What was wrong and what would be allowed.
};

/** @return "step=… peer=… error=…", for logs and for operators. */
std::string FormatError(const Error &error);

/** A value, or the error that kept it from being made; reading the wrong one ends the process. */
template <typename T> using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace cottonspool
