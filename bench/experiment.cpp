/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file experiment.cpp Compares routers on the same simulated workloads; prints a table and writes a CSV file and a plot. */

#include "experiment_world.h"
#include <algorithm>
#include <atomic>
#include <cmath>
#include <fstream>
#include <functional>
#include <gflags/gflags.h>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>
#include <toml++/toml.h>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 5, "number of seeds; each contender runs with each");
DEFINE_uint64(threads, 6, "number of parallel runs");
DEFINE_string(csv, "", "CSV file for all figures");
DEFINE_string(svg, "", "SVG file for a plot of the p99 stall of the short class against the load");
DEFINE_string(loads, "", "loads to run instead of the workload's own, separated by commas");
DEFINE_bool(ablations, false, "also run the headroom router without each of its rules");
DEFINE_double(scale, 1, "factor applied to the length of the runs");

namespace cottonspool {

/** Name and value of each figure of one run. */
using Figures = std::vector<std::pair<std::string, double>>;

static double Quantile(std::vector<float> values, double part)
{
	if (values.empty()) return 0;
	auto position = values.begin() + static_cast<long>(part * static_cast<double>(values.size() - 1));
	std::nth_element(values.begin(), position, values.end());
	return *position;
}

/** @return Jain's fairness index of the accounts' shares of requested tokens that were served. */
static double Fairness(const RunFigures &run)
{
	double sum = 0, squares = 0, count = 0;
	for (size_t i = 0; i < run.requested.size(); i++) {
		if (run.requested[i] == 0) continue;
		double part = run.served[i] / run.requested[i];
		sum += part;
		squares += part * part;
		count++;
	}
	return squares == 0 ? 0 : sum * sum / (count * squares);
}

static Figures Summarize(const RunFigures &run, double seconds)
{
	double refused = 0;
	for (uint64_t count : run.refused) refused += static_cast<double>(count);
	double calls = static_cast<double>(run.calls);
	return {{"short_stall_p50", Quantile(run.stalls[0], 0.5)},
	        {"short_stall_p99", Quantile(run.stalls[0], 0.99)},
	        {"short_stall_max", Quantile(run.stalls[0], 1)},
	        {"stream_stall_p99", Quantile(run.stalls[1], 0.99)},
	        {"preempt_per_1000", run.preemptions / calls * 1000},
	        {"token_p95", Quantile(run.intervals, 0.95)},
	        {"token_p99", Quantile(run.intervals, 0.99)},
	        {"token_p999", Quantile(run.intervals, 0.999)},
	        {"first_p99", Quantile(run.first[0], 0.99)},
	        {"first_p95_stream", Quantile(run.first[1], 0.95)},
	        {"refused_pct", refused / calls * 100},
	        {"refused_early_pct", run.refused[1] / calls * 100},
	        {"lost_pct", run.lost / calls * 100},
	        {"jain", Fairness(run)},
	        {"small_p99", Quantile(run.small_stalls, 0.99)},
	        {"small_stream_p95", Quantile(run.small_streams, 0.95)},
	        {"useful_tok_s", static_cast<double>(run.useful_tokens) / seconds}};
}

static Workload LoadWorkload(const std::string &path)
{
	toml::table file = toml::parse_file(path);
	Workload workload;
	workload.name = file["name"].value_or("workload");
	workload.seconds = file["seconds"].value_or(60.0) * FLAGS_scale;
	workload.load = file["load"].value_or(0.85);
	workload.accounts = static_cast<size_t>(file["accounts"].value_or(10));
	workload.engines = static_cast<size_t>(file["engines"].value_or(10));
	workload.instances = static_cast<size_t>(file["instances"].value_or(8));
	workload.memory_tokens = file["memory_tokens"].value_or(80000.0);
	workload.lag_ms = file["lag_ms"].value_or(300.0);
	for (const toml::node &node : *file["class"].as_array()) {
		const toml::table &table = *node.as_table();
		WorkloadClass kind;
		kind.service_class = ParseServiceClass(table["name"].value_or("")).value_or(ServiceClass::Interactive);
		kind.share = table["share"].value_or(1.0);
		kind.prompt = table["prompt"].value_or(100.0);
		kind.length = table["length"].value_or(20.0);
		kind.sigma = table["sigma"].value_or(0.8);
		kind.wait = FromSeconds(table["wait_s"].value_or(10.0));
		workload.classes.push_back(kind);
	}
	if (const toml::array *events = file["event"].as_array()) {
		for (const toml::node &node : *events) {
			const toml::table &table = *node.as_table();
			workload.events.push_back({table["kind"].value_or(""), table["at"].value_or(0.0) * FLAGS_scale,
			                           table["seconds"].value_or(0.0) * FLAGS_scale, table["factor"].value_or(1.0),
			                           static_cast<size_t>(table["number"].value_or(0))});
		}
	}
	return workload;
}

static std::vector<Contender> Contenders()
{
	std::vector<Contender> all;
	for (const char *router : {"round-robin", "least-load", "two-choices", "rank-weighted"}) all.push_back({router, router, {}, {}, true});
	for (Contender &baseline : all) baseline.limits.refuse_early = false;
	Contender ours{"ours", "headroom", {}, {}, true};
	all.push_back(ours);
	if (!FLAGS_ablations) return all;
	auto without = [&](const char *name, const std::function<void(Contender &)> &change) {
		Contender ablation = ours;
		ablation.name = std::string("ours-no-") + name;
		change(ablation);
		all.push_back(ablation);
	};
	without("headroom", [](Contender &c) { c.rules.use_headroom = false; });
	without("prefix", [](Contender &c) { c.rules.use_prefix = false; });
	without("press", [](Contender &c) { c.rules.use_overcommit = false; });
	without("shares", [](Contender &c) { c.limits.targets.use_shares = false; });
	without("feedback", [](Contender &c) { c.limits.targets.use_growth_feedback = false; });
	without("lengths", [](Contender &c) { c.limits.lengths.max_groups = 2; });
	without("fairness", [](Contender &c) { c.limits.queue.fair = false; });
	without("refusal", [](Contender &c) { c.limits.refuse_early = false; });
	without("interval", [](Contender &c) { c.rules.use_interval = false; });
	without("priority", [](Contender &c) { c.priorities = false; });
	return all;
}

/** For each contender and figure, one value for each seed. */
using Table = std::map<std::string, std::map<std::string, std::vector<double>>>;

static Table RunAll(const Workload &workload, const std::vector<Contender> &contenders)
{
	std::vector<std::vector<Figures>> results(contenders.size(), std::vector<Figures>(FLAGS_seeds));
	std::atomic<size_t> next{0};
	std::vector<std::thread> threads;
	for (size_t t = 0; t < FLAGS_threads; t++) {
		threads.emplace_back([&] {
			for (size_t job = next++; job < contenders.size() * FLAGS_seeds; job = next++) {
				size_t c = job % contenders.size(), s = job / contenders.size();
				results[c][s] = Summarize(RunWorkload(workload, contenders[c], FLAGS_seed + s), workload.seconds);
			}
		});
	}
	for (std::thread &thread : threads) thread.join();
	Table table;
	for (size_t c = 0; c < contenders.size(); c++) {
		for (const Figures &figures : results[c]) {
			for (const auto &[name, value] : figures) table[contenders[c].name][name].push_back(value);
		}
	}
	return table;
}

static double Median(std::vector<double> values)
{
	std::sort(values.begin(), values.end());
	return values[values.size() / 2];
}

static void Print(const Workload &workload, const std::vector<Contender> &contenders, const Table &table)
{
	static const std::vector<std::string> columns{
	        "short_stall_p50", "short_stall_p99", "short_stall_max", "preempt_per_1000", "token_p95", "token_p99",
	        "token_p999",      "first_p99",       "refused_pct",     "lost_pct",         "jain",      "small_p99",
	        "useful_tok_s"};
	std::cout << "\n"
	          << workload.name << ", load " << workload.load << ", " << FLAGS_seeds << " seeds from " << FLAGS_seed
	          << ": median (minimum .. maximum)\n";
	std::cout << std::left << std::setw(20) << "";
	for (const std::string &figure : columns) std::cout << std::setw(25) << figure;
	std::cout << "\n";
	for (const Contender &contender : contenders) {
		std::cout << std::left << std::setw(20) << contender.name;
		for (const std::string &figure : columns) {
			std::vector<double> values = table.at(contender.name).at(figure);
			auto [least, most] = std::minmax_element(values.begin(), values.end());
			std::ostringstream cell;
			cell << std::setprecision(3) << Median(values) << " (" << *least << ".." << *most << ")";
			std::cout << std::setw(25) << cell.str();
		}
		std::cout << "\n";
	}
}

static void WriteCsv(std::ofstream &csv, const Workload &workload, const Table &table)
{
	for (const auto &[contender, figures] : table) {
		for (const auto &[figure, values] : figures) {
			for (size_t i = 0; i < values.size(); i++) {
				csv << workload.name << "," << workload.load << "," << contender << "," << figure << "," << FLAGS_seed + i << ","
				    << values[i] << "\n";
			}
		}
	}
}

/** Plot the p99 stall of the short class against the load, one line for each contender, on a logarithmic scale. */
static void WriteSvg(const std::vector<std::pair<double, Table>> &sweep, const std::vector<Contender> &contenders)
{
	constexpr double left = 60, width = 560, top = 20, height = 300;
	static const std::vector<std::string> colours{"#888", "#c60", "#06c", "#693", "#c03", "#909"};
	std::ofstream svg(FLAGS_svg);
	double first = sweep.front().first, last = sweep.back().first;
	auto x = [&](double load) { return left + width * (load - first) / std::max(last - first, 1e-9); };
	auto y = [&](double seconds) { return top + height * (1 - (std::log10(std::clamp(seconds, 0.01, 100.0)) + 2) / 4); };
	svg << "<svg xmlns='http://www.w3.org/2000/svg' width='800' height='370' font-family='sans-serif' font-size='12'>\n";
	for (double seconds : {0.01, 0.1, 1.0, 10.0, 100.0}) {
		svg << "<line x1='" << left << "' x2='" << left + width << "' y1='" << y(seconds) << "' y2='" << y(seconds) << "' stroke='#ddd'/>"
		    << "<text x='8' y='" << y(seconds) + 4 << "'>" << seconds << " s</text>\n";
	}
	for (const auto &[load, table] : sweep) svg << "<text x='" << x(load) - 8 << "' y='340'>" << load << "</text>\n";
	svg << "<text x='230' y='362'>load, as part of the engines' capacity; p99 stall of the short class</text>\n";
	for (size_t c = 0; c < contenders.size(); c++) {
		const std::string &colour = colours[c % colours.size()];
		svg << "<polyline fill='none' stroke-width='2' stroke='" << colour << "' points='";
		for (const auto &[load, table] : sweep)
			svg << x(load) << "," << y(Median(table.at(contenders[c].name).at("short_stall_p99"))) << " ";
		svg << "'/><text x='" << left + width + 10 << "' y='" << 40 + 18 * c << "' fill='" << colour << "'>" << contenders[c].name
		    << "</text>\n";
	}
	svg << "</svg>\n";
}

static int RunExperiment(const std::vector<std::string> &files)
{
	std::ofstream csv;
	if (!FLAGS_csv.empty()) csv.open(FLAGS_csv);
	if (csv.is_open()) csv << "workload,load,contender,figure,seed,value\n";
	std::vector<Contender> contenders = Contenders();
	for (const std::string &file : files) {
		Workload workload = LoadWorkload(file);
		std::vector<double> loads{workload.load};
		if (!FLAGS_loads.empty()) {
			loads.clear();
			std::istringstream in(FLAGS_loads);
			for (std::string part; std::getline(in, part, ',');) loads.push_back(std::stod(part));
		}
		std::vector<std::pair<double, Table>> sweep;
		for (double load : loads) {
			workload.load = load;
			sweep.emplace_back(load, RunAll(workload, contenders));
			Print(workload, contenders, sweep.back().second);
			if (csv.is_open()) WriteCsv(csv, workload, sweep.back().second);
		}
		if (!FLAGS_svg.empty()) WriteSvg(sweep, contenders);
	}
	return 0;
}

} // namespace cottonspool

int main(int argc, char **argv)
{
	gflags::SetUsageMessage("cottonspool-experiment [flags] WORKLOAD.toml ...");
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	return cottonspool::RunExperiment(std::vector<std::string>(argv + 1, argv + argc));
}
