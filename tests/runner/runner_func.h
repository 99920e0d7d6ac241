/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file runner_func.h Lua functions for scenarios: processes and HTTP calls. */

#pragma once

#include <lua.hpp>
#include <string>

namespace cottonspool {

/** Register spawn, signal, wait_exit, output, sleep_ms, now_ms, write_file and sha256. @param dir Directory for logs and files. */
void RegisterProcesses(lua_State *lua, const std::string &dir);

/** Register http_start, http_wait, json and raw_call. */
void RegisterHttp(lua_State *lua);

/** Kill and reap all spawned processes that still run. */
void KillProcesses();

/** Join the threads of open calls. All processes have to be ended before, so that the calls end. */
void JoinCalls();

/** Print the last lines of all logs in \a dir. */
void PrintLogs(const std::string &dir);

} // namespace cottonspool
