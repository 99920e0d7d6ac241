/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file error_type.h Error type that names the failed step and the other side. */

#pragma once

#include <boost/outcome.hpp>
#include <string>

namespace cottonspool {

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/** Step during which an error occurred. */
enum class Step { Settings, Listen, Connect, Send, FirstByte, Stream, Table, Object, Peer, Configuration, Policy, Operator };

/** @return The name of \a step in logs and answers. */
const char *StepName(Step step);

/** Error with the step that failed, the other side and a message. */
struct Error {
	Step step;           ///< Step that failed.
	std::string peer;    ///< The other side: an address, the name of a target, or a file with a line number.
	std::string message; ///< What is wrong, and what is allowed instead.
};

/** @return "step=… peer=… error=…", for logs and operators. */
std::string FormatError(const Error &error);

/** Value or error; accessing the one that is not there terminates the process. */
template <typename T> using Result = outcome::basic_result<T, Error, outcome::policy::terminate>;

} // namespace cottonspool
