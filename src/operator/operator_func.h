/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file operator_func.h The operators' verbs of the command line. */

#pragma once

#include "core/time_type.h"
#include <string>
#include <vector>

namespace cottonspool {

/** What the verbs have in common. */
struct OperatorOptions {
	std::vector<std::string> servers; ///< Instances to ask, "http://IP:PORT", tried in turn.
	std::string key;                  ///< Operators' key.
	bool json = false;                ///< Print JSON for programs.
	Duration wait{0};                 ///< Longest wait for a change to be in force, or a target to be empty.
};

/** Exit codes of all verbs. */
enum ExitCode { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2, EXIT_CONFLICT = 3, EXIT_UNKNOWN = 4 };

int RunCheck(const std::string &file);                                 ///< Check a change file and its policies. @return Exit code.
int RunApply(const OperatorOptions &options, const std::string &file); ///< Have a change accepted. @return Exit code.
int RunShow(const OperatorOptions &options, const std::string &kind, const std::string &name); ///< Show records. @return Exit code.
int RunStatus(const OperatorOptions &options); ///< Show the state of the instances. @return Exit code.
int RunDrain(const OperatorOptions &options, const std::string &target, const std::string &author,
             bool back);                                                    ///< Drain a target, or take it back. @return Exit code.
int RunExplain(const OperatorOptions &options, const std::string &request); ///< Show what was decided for a request. @return Exit code.
int RunExplainLogs(
        const std::string &request,
        const std::vector<std::string> &logs); ///< The same from log files of gateways; "-" is standard input. @return Exit code.

} // namespace cottonspool
