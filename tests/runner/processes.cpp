/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file processes.cpp Processes of scenarios. */

#include "runner_func.h"
#include <chrono>
#include <csignal>
#include <deque>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <openssl/evp.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace cottonspool {

/** A spawned process. */
struct Process {
	pid_t pid = 0;       ///< Process id.
	bool running = true; ///< It was not reaped yet.
	int code = -1;       ///< Exit code, or the negative number of the signal that ended it.
};

static std::map<std::string, Process> processes; ///< Spawned processes by name.
static std::string log_dir;                      ///< Directory for logs and files.

/** @return The path of the log of process \a name. */
static std::string LogPath(const std::string &name)
{
	return log_dir + "/" + name + ".log";
}

/** spawn(name, {program, argument, ...}): starts a process with its output in a log, and returns its id. */
static int Spawn(lua_State *lua)
{
	std::string name = luaL_checkstring(lua, 1);
	std::vector<std::string> words;
	for (lua_Integer i = 1; lua_geti(lua, 2, i) != LUA_TNIL; i++) {
		words.emplace_back(luaL_checkstring(lua, -1));
		lua_pop(lua, 1);
	}
	std::vector<char *> argv;
	for (std::string &word : words) argv.push_back(word.data());
	argv.push_back(nullptr);
	int log = open(LogPath(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
	pid_t pid = fork();
	if (pid == 0) {
		dup2(log, 1);
		dup2(log, 2);
		execv(argv[0], argv.data());
		_exit(127);
	}
	close(log);
	processes[name] = Process{pid};
	lua_pushinteger(lua, pid);
	return 1;
}

/** Reap \a process if it has ended. @param block Wait until it ends. */
static void Reap(Process &process, bool block)
{
	int status = 0;
	if (!process.running || waitpid(process.pid, &status, block ? 0 : WNOHANG) != process.pid) return;
	process.running = false;
	process.code = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

/** signal(name, "TERM"|"KILL"|"STOP"|"CONT"|"HUP"): sends a signal to a process, if it still runs. */
static int SendSignal(lua_State *lua)
{
	static const std::map<std::string, int> signals{
	        {"TERM", SIGTERM}, {"KILL", SIGKILL}, {"STOP", SIGSTOP}, {"CONT", SIGCONT}, {"HUP", SIGHUP}};
	auto found = processes.find(luaL_checkstring(lua, 1));
	auto number = signals.find(luaL_checkstring(lua, 2));
	if (found == processes.end() || number == signals.end()) return luaL_error(lua, "no such process or signal");
	Reap(found->second, false);
	if (found->second.running) kill(found->second.pid, number->second);
	return 0;
}

/** wait_exit(name, limit_ms): returns the exit code, the negative number of a signal, or nil if the process still runs. */
static int WaitExit(lua_State *lua)
{
	auto found = processes.find(luaL_checkstring(lua, 1));
	if (found == processes.end()) return luaL_error(lua, "no such process");
	auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(luaL_checkinteger(lua, 2));
	Reap(found->second, false);
	while (found->second.running && std::chrono::steady_clock::now() < end) {
		std::this_thread::sleep_for(std::chrono::milliseconds(10));
		Reap(found->second, false);
	}
	if (found->second.running) return 0;
	lua_pushinteger(lua, found->second.code);
	return 1;
}

/** output(name): returns everything that the process has written. */
static int Output(lua_State *lua)
{
	std::ifstream in(LogPath(luaL_checkstring(lua, 1)));
	std::stringstream text;
	text << in.rdbuf();
	lua_pushstring(lua, text.str().c_str());
	return 1;
}

/** sleep_ms(ms): sleeps. */
static int SleepMs(lua_State *lua)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(static_cast<int64_t>(luaL_checknumber(lua, 1))));
	return 0;
}

/** now_ms(): returns the monotonic clock in milliseconds. */
static int NowMs(lua_State *lua)
{
	auto now = std::chrono::steady_clock::now().time_since_epoch();
	lua_pushinteger(lua, std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
	return 1;
}

/** write_file(name, text): writes a file into the scenario's directory and returns its path. */
static int WriteFile(lua_State *lua)
{
	std::string path = log_dir + "/" + luaL_checkstring(lua, 1);
	std::ofstream(path) << luaL_checkstring(lua, 2);
	lua_pushstring(lua, path.c_str());
	return 1;
}

/** sha256(text): returns the digest as hexadecimal digits. */
static int Sha256(lua_State *lua)
{
	size_t size = 0;
	const char *text = luaL_checklstring(lua, 1, &size);
	unsigned char digest[EVP_MAX_MD_SIZE];
	unsigned length = 0;
	EVP_Digest(text, size, digest, &length, EVP_sha256(), nullptr);
	std::string hex;
	for (unsigned i = 0; i < length; i++) {
		char two[3];
		snprintf(two, sizeof(two), "%02x", digest[i]);
		hex += two;
	}
	lua_pushstring(lua, hex.c_str());
	return 1;
}

void RegisterProcesses(lua_State *lua, const std::string &dir)
{
	log_dir = dir;
	lua_register(lua, "spawn", Spawn);
	lua_register(lua, "signal", SendSignal);
	lua_register(lua, "wait_exit", WaitExit);
	lua_register(lua, "output", Output);
	lua_register(lua, "sleep_ms", SleepMs);
	lua_register(lua, "now_ms", NowMs);
	lua_register(lua, "write_file", WriteFile);
	lua_register(lua, "sha256", Sha256);
}

void KillProcesses()
{
	for (auto &[name, process] : processes) {
		Reap(process, false);
		if (!process.running) continue;
		kill(process.pid, SIGKILL);
		Reap(process, true);
	}
}

void PrintLogs(const std::string &dir)
{
	constexpr size_t lines_shown = 25;
	for (const auto &file : std::filesystem::directory_iterator(dir)) {
		std::ifstream in(file.path());
		std::deque<std::string> last;
		for (std::string line; std::getline(in, line);) {
			last.push_back(line);
			if (last.size() > lines_shown) last.pop_front();
		}
		if (file.path().extension() != ".log" || last.empty()) continue;
		std::cerr << "---- " << file.path().filename().string() << "\n";
		for (const std::string &line : last) std::cerr << line << "\n";
	}
}

} // namespace cottonspool
