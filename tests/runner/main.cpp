/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Scenario runner: runs a Lua script that tests real processes. */

#include "runner_func.h"
#include <csignal>
#include <curl/curl.h>
#include <filesystem>
#include <gflags/gflags.h>
#include <iostream>

DEFINE_string(bin, "build", "directory with the programs");
DEFINE_uint64(seed, 1, "seed of the scenario's random numbers");
DEFINE_double(scale, 1, "factor on the duration of scenarios with a variable duration");
DEFINE_bool(keep, false, "keep the directory with the logs");

int main(int argc, char **argv)
{
	gflags::SetUsageMessage("cottonspool-scenario [flags] SCRIPT.lua");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	if (argc < 2) {
		std::cerr << gflags::ProgramUsage() << std::endl;
		return 2;
	}
	std::signal(SIGPIPE, SIG_IGN);
	curl_global_init(CURL_GLOBAL_ALL);
	std::string dir = (std::filesystem::temp_directory_path() / "cottonspool-XXXXXX").string();
	if (mkdtemp(dir.data()) == nullptr) return 1;
	lua_State *lua = luaL_newstate();
	luaL_openlibs(lua);
	cottonspool::RegisterProcesses(lua, dir);
	cottonspool::RegisterHttp(lua);
	std::filesystem::path script(argv[1]);
	lua_pushstring(lua, std::filesystem::absolute(FLAGS_bin).c_str());
	lua_setglobal(lua, "BIN");
	lua_pushstring(lua, dir.c_str());
	lua_setglobal(lua, "DIR");
	lua_pushnumber(lua, FLAGS_scale);
	lua_setglobal(lua, "SCALE");
	lua_pushinteger(lua, static_cast<lua_Integer>(FLAGS_seed));
	lua_setglobal(lua, "SEED");
	std::string path = "package.path = '" + std::filesystem::absolute(script).parent_path().string() + "/?.lua'; math.randomseed(SEED)";
	bool good = luaL_dostring(lua, path.c_str()) == LUA_OK && luaL_dofile(lua, argv[1]) == LUA_OK;
	if (!good) std::cerr << "FAILED: " << lua_tostring(lua, -1) << std::endl;
	cottonspool::KillProcesses();
	cottonspool::JoinCalls();
	lua_close(lua);
	if (!good) cottonspool::PrintLogs(dir);
	if (FLAGS_keep) std::cout << "logs: " << dir << std::endl;
	if (!FLAGS_keep) std::filesystem::remove_all(dir);
	std::cout << script.stem().string() << (good ? ": passed" : ": failed") << std::endl;
	return good ? 0 : 1;
}
