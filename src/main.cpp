/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Command line of cottonspool. */

#include "gateway/feature_switches.h"
#include "gateway/gateway.h"
#include "instance/instance.h"
#include "metrics/log.h"
#include "operator/operator_func.h"
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <uv.h>

DEFINE_string(settings, "", "serve: TOML file with the settings of the instance");
DEFINE_string(switch, "", "gateway: mechanisms to switch, separated by commas, to measure what they are worth; help lists them");
DEFINE_bool(check, false, "serve: only check the settings");
DEFINE_string(server, "", "operators: instances to ask, http://IP:PORT, separated by commas");
DEFINE_string(key, "", "operators: key; the environment's COTTONSPOOL_OPERATOR_KEY when not given");
DEFINE_bool(json, false, "operators: print JSON for programs");
DEFINE_int32(wait_s, 0, "apply, drain: seconds to wait until it is in force everywhere, or the target empty");
DEFINE_string(author, "", "drain: who asks; the environment's USER when not given");
DEFINE_bool(back, false, "drain: take the target back into use");

namespace cottonspool {

static const char *const USAGE = R"(cottonspool VERB [ARGUMENT ...] [flags]

  serve --settings FILE      run an entry instance; --check only checks the settings
  gateway                    run an instance on the operators' platform, with the settings file that its environment
                             names or --settings FILE; --check only checks the settings; --switch=NAME,... switches
                             mechanisms off for a measurement, --switch=help lists them
  settings                   print the reference of all settings
  check FILE                 check a change file and try its policies
  apply FILE                 have a change accepted; --wait_s waits until it is in force
  show KIND [NAME]           show records: account, model, target, share, policy
  status                     show the state of the instances given with --server; --json
  drain TARGET               give a target no new work; --wait_s waits until it is empty; --back
  explain REQUEST [LOG ...]  show what was decided for a request: by an instance given with --server, or by the logs of gateways

Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change, 4 not known whether done.
All flags: cottonspool --helpfull)";

/** Signals of one instance. */
struct Signals {
	uv_signal_t terminate{}; ///< SIGTERM.
	uv_signal_t interrupt{}; ///< SIGINT.
};

/** Run an entry instance until it is stopped. */
static int RunServe()
{
	if (FLAGS_settings.empty()) {
		std::cerr << "cottonspool: serve needs --settings FILE" << std::endl;
		return EXIT_USAGE;
	}
	Result<Settings> settings = LoadSettings(FLAGS_settings);
	if (!settings) {
		std::cerr << "cottonspool: " << FormatError(settings.error()) << std::endl;
		return EXIT_USAGE;
	}
	if (FLAGS_check) {
		std::cout << FLAGS_settings << ": all right" << std::endl;
		return EXIT_OK;
	}
	InitLog(settings.value().log_level, settings.value().log_form, settings.value().name);
	uv_loop_t *loop = uv_default_loop();
	Instance instance(loop, settings.value());
	Result<void> started = instance.Start();
	if (!started) {
		std::cerr << "cottonspool: " << FormatError(started.error()) << std::endl;
		return EXIT_FAILED;
	}
	Signals signals;
	for (auto [handle, number] : {std::pair(&signals.terminate, SIGTERM), std::pair(&signals.interrupt, SIGINT)}) {
		uv_signal_init(loop, handle);
		handle->data = &instance;
		uv_signal_start(
		        handle, [](uv_signal_t *signal, int) { static_cast<Instance *>(signal->data)->Stop(); }, number);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	return instance.AbortedCalls() == 0 ? EXIT_OK : EXIT_FAILED;
}

/** Run an instance on the operators' platform until it is stopped. */
static int RunGateway()
{
	if (FLAGS_switch == "help") {
		for (const FeatureSwitch &rule : FeatureSwitches()) std::cout << rule.name << ": " << rule.effect << std::endl;
		return EXIT_OK;
	}
	std::string path = FLAGS_settings.empty() ? NodeSettingsPath() : FLAGS_settings;
	if (path.empty()) {
		std::cerr << "cottonspool: gateway needs the platform's environment or --settings FILE" << std::endl;
		return EXIT_USAGE;
	}
	Result<NodeSettings> settings = LoadNodeSettings(path);
	if (!settings) {
		std::cerr << "cottonspool: " << FormatError(settings.error()) << std::endl;
		return EXIT_USAGE;
	}
	if (FLAGS_check) {
		std::cout << path << ": all right" << std::endl;
		return EXIT_OK;
	}
	GatewayLimits limits = GatewayLimitsFor(settings.value());
	if (Result<void> switched = ApplySwitches(FLAGS_switch, limits); !switched) {
		std::cerr << "cottonspool: " << FormatError(switched.error()) << std::endl;
		return EXIT_USAGE;
	}
	InitLog("info", "json", settings.value().name);
	uv_loop_t *loop = uv_default_loop();
	Gateway gateway(loop, settings.value(), path, limits);
	Result<void> started = gateway.Start();
	if (!started) {
		std::cerr << "cottonspool: " << FormatError(started.error()) << std::endl;
		return EXIT_FAILED;
	}
	uv_signal_t terminate{};
	uv_signal_t interrupt{};
	uv_signal_t reload{};
	auto stop = [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->Stop(); };
	auto read_again = [](uv_signal_t *signal, int) { static_cast<Gateway *>(signal->data)->Reload(); };
	for (auto [handle, number] : {std::pair(&terminate, SIGTERM), std::pair(&interrupt, SIGINT), std::pair(&reload, SIGHUP)}) {
		uv_signal_init(loop, handle);
		handle->data = &gateway;
		uv_signal_start(handle, number == SIGHUP ? +read_again : +stop, number);
	}
	uv_run(loop, UV_RUN_DEFAULT);
	return gateway.AbortedCalls() == 0 ? EXIT_OK : EXIT_FAILED;
}

/** @return The flags of the operators' verbs. */
static OperatorOptions ReadOptions()
{
	OperatorOptions options;
	std::string server;
	for (char c : FLAGS_server + ",") {
		if (c != ',') {
			server += c;
		} else if (!server.empty()) {
			options.servers.push_back(server);
			server.clear();
		}
	}
	const char *key = getenv("COTTONSPOOL_OPERATOR_KEY");
	options.key = FLAGS_key.empty() && key != nullptr ? key : FLAGS_key;
	options.json = FLAGS_json;
	options.wait = std::chrono::seconds(FLAGS_wait_s);
	return options;
}

/** Run the verb in \a words. */
static int RunVerb(const std::vector<std::string> &words)
{
	std::string verb = words.empty() ? "" : words[0];
	std::string first = words.size() > 1 ? words[1] : "";
	const char *user = getenv("USER");
	std::string author = FLAGS_author.empty() && user != nullptr ? user : FLAGS_author;
	if (verb == "serve") return RunServe();
	if (verb == "gateway") return RunGateway();
	if (verb == "settings") {
		std::cout << SettingsReference();
		return EXIT_OK;
	}
	if (verb == "status") return RunStatus(ReadOptions());
	bool needs_argument = verb == "check" || verb == "apply" || verb == "show" || verb == "drain" || verb == "explain";
	if (!needs_argument || first.empty()) {
		std::cerr << USAGE << std::endl;
		return EXIT_USAGE;
	}
	if (verb == "check") return RunCheck(first);
	if (verb == "apply") return RunApply(ReadOptions(), first);
	if (verb == "show") return RunShow(ReadOptions(), first, words.size() > 2 ? words[2] : "");
	if (verb == "drain") return RunDrain(ReadOptions(), first, author.empty() ? "operator" : author, FLAGS_back);
	if (words.size() > 2) return RunExplainLogs(first, {words.begin() + 2, words.end()});
	return RunExplain(ReadOptions(), first);
}

} // namespace cottonspool

int main(int argc, char **argv)
{
	gflags::SetUsageMessage(cottonspool::USAGE);
	gflags::SetVersionString("0.1.0");
	std::signal(SIGPIPE, SIG_IGN);
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	return cottonspool::RunVerb(std::vector<std::string>(argv + 1, argv + argc));
}
