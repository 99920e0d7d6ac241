/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file main.cpp Command line. */

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
DEFINE_string(switch, "", "gateway: mechanisms to switch off or on, separated by commas, to measure their effect; help lists them");
DEFINE_bool(check, false, "serve, gateway: only check the settings");
DEFINE_string(server, "", "operator commands: instances to contact, http://IP:PORT, separated by commas");
DEFINE_string(key, "", "operator commands: operator key; default is the environment variable COTTONSPOOL_OPERATOR_KEY");
DEFINE_bool(json, false, "status: print JSON");
DEFINE_int32(wait_s, 0, "apply, drain: seconds to wait until the change is applied everywhere, or the target has no calls in flight");
DEFINE_string(author, "", "drain: author of the change; default is the environment variable USER");
DEFINE_bool(back, false, "drain: put the target back into use");

namespace cottonspool {

/** Usage message. */
static const char *const USAGE = R"(cottonspool COMMAND [ARGUMENT ...] [flags]

  serve --settings FILE      run an entry instance; --check only checks the settings
  gateway                    run an instance on the operators' platform, with the settings file named by its environment
                             or by --settings FILE; --check only checks the settings; --switch=NAME,... switches
                             mechanisms for a measurement, --switch=help lists them
  settings                   print the reference of all settings
  check FILE                 check a change file and test its policies
  apply FILE                 apply a change; --wait_s waits until it is applied everywhere
  show KIND [NAME]           show records: account, model, target, share, policy
  status                     show the state of the instances given with --server; --json
  drain TARGET               send a target no new calls; --wait_s waits until none are in flight; --back puts it back into use
  explain REQUEST [LOG ...]  show the decisions for a request, from an instance given with --server or from logs of gateways

Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another change, 4 outcome unknown.
All flags: cottonspool --helpfull)";

/** Signal handles of one instance. */
struct Signals {
	uv_signal_t terminate{}; ///< SIGTERM.
	uv_signal_t interrupt{}; ///< SIGINT.
};

/** @return The signals that an instance handles. */
static sigset_t InstanceSignals()
{
	sigset_t signals;
	sigemptyset(&signals);
	for (int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&signals, number);
	return signals;
}

/** Hold back the signals that an instance handles, as they would end a process that has no handlers for them yet. */
static void HoldSignals()
{
	sigset_t signals = InstanceSignals();
	sigprocmask(SIG_BLOCK, &signals, nullptr);
}

/** Let the signals through that were held back; those that came meanwhile arrive now. */
static void ReleaseSignals()
{
	sigset_t signals = InstanceSignals();
	sigprocmask(SIG_UNBLOCK, &signals, nullptr);
}

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
		std::cout << FLAGS_settings << ": settings are valid" << std::endl;
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
	// Its settings are read at the start only.
	std::signal(SIGHUP, SIG_IGN);
	ReleaseSignals();
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
		std::cerr << "cottonspool: gateway needs COTTONSPOOL_NODE_FILE in the environment or --settings FILE" << std::endl;
		return EXIT_USAGE;
	}
	Result<NodeSettings> settings = LoadNodeSettings(path);
	if (!settings) {
		std::cerr << "cottonspool: " << FormatError(settings.error()) << std::endl;
		return EXIT_USAGE;
	}
	if (FLAGS_check) {
		std::cout << path << ": settings are valid" << std::endl;
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
	ReleaseSignals();
	uv_run(loop, UV_RUN_DEFAULT);
	return gateway.AbortedCalls() == 0 ? EXIT_OK : EXIT_FAILED;
}

/** @return The options of the operator commands. */
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

/** Run the command in \a words. @return Exit code. */
static int RunVerb(const std::vector<std::string> &words)
{
	std::string verb = words.empty() ? "" : words[0];
	std::string first = words.size() > 1 ? words[1] : "";
	const char *user = getenv("USER");
	std::string author = FLAGS_author.empty() && user != nullptr ? user : FLAGS_author;
	if (verb == "serve") return RunServe();
	if (verb == "gateway") return RunGateway();
	ReleaseSignals();
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
	cottonspool::HoldSignals();
	gflags::SetUsageMessage(cottonspool::USAGE);
	gflags::SetVersionString("0.1.0");
	std::signal(SIGPIPE, SIG_IGN);
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	return cottonspool::RunVerb(std::vector<std::string>(argv + 1, argv + argc));
}
