/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file runner_func.h What scenarios can do: processes and HTTP calls. */

#pragma once

#include <lua.hpp>
#include <string>

namespace cottonspool {

/** Give scenarios spawn, signal, wait_exit, output, sleep_ms, now_ms, write_file and sha256. */
void RegisterProcesses(lua_State *lua, const std::string &dir);

/** Give scenarios http, http_start, http_wait and json. */
void RegisterHttp(lua_State *lua);

/** Kill every process that was spawned and is still there. */
void KillProcesses();

/** Wait for the calls that nobody has waited for; every process must have ended before. */
void JoinCalls();

/** Print the last lines of every log in \a dir. */
void PrintLogs(const std::string &dir);

} // namespace cottonspool
