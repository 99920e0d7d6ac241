/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file operator_func.h Operator commands of the command line. */

#pragma once

#include "core/time_type.h"
#include <string>
#include <vector>

namespace cottonspool {

/** Options common to all commands. */
struct OperatorOptions {
	std::vector<std::string> servers; ///< Instances to contact, as "http://IP:PORT".
	std::string key;                  ///< Operator key.
	bool json = false;                ///< Print JSON.
	Duration wait{0};                 ///< Maximum time to wait until a change is applied everywhere, or a target has no calls in flight.
};

/** Exit codes of all commands. */
enum ExitCode { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2, EXIT_CONFLICT = 3, EXIT_UNKNOWN = 4 };

int RunCheck(const std::string &file);                                 ///< Check a change file and test its policies. @return Exit code.
int RunApply(const OperatorOptions &options, const std::string &file); ///< Apply a change. @return Exit code.
int RunShow(const OperatorOptions &options, const std::string &kind, const std::string &name); ///< Show records. @return Exit code.
int RunStatus(const OperatorOptions &options); ///< Show the state of the instances. @return Exit code.
int RunDrain(const OperatorOptions &options, const std::string &target, const std::string &author,
             bool back);                                                    ///< Drain a target, or put it back into use. @return Exit code.
int RunExplain(const OperatorOptions &options, const std::string &request); ///< Show the decisions for a request. @return Exit code.
int RunExplainLogs(
        const std::string &request,
        const std::vector<std::string> &logs); ///< Explain a request from log files of gateways; "-" is standard input. @return Exit code.

} // namespace cottonspool
