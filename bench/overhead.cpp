/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file overhead.cpp Opens many streams and times their tokens, to compare an instance with its engines. */

#include "generation/sse_parser.h"
#include "http/http_client.h"
#include <algorithm>
#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <sstream>
#include <unistd.h>
#include <uv.h>

DEFINE_string(urls, "", "addresses http://IP:PORT to measure, separated by commas; streams go to each in turn");
DEFINE_string(key, "kiosk-key", "API key of the caller");
DEFINE_uint64(streams, 200, "number of concurrent streams");
DEFINE_uint64(tokens, 100, "tokens per stream");
DEFINE_int32(pid, 0, "process whose CPU time and memory are printed");

namespace cottonspool {

/** Measurements of all streams. */
struct Figures {
	std::vector<double> first;     ///< Time to first token of each stream, in seconds.
	std::vector<double> intervals; ///< Times between tokens, in seconds.
	size_t open = 0;               ///< Streams in flight.
	size_t failed = 0;             ///< Streams with a wrong number of tokens.
};

/** A stream in flight. */
struct Stream {
	SseParser parser;    ///< Parser of its events.
	TimePoint started;   ///< Time of the request.
	TimePoint last;      ///< Time of the last token.
	uint64_t tokens = 0; ///< Tokens received so far.
};

static double Quantile(std::vector<double> &values, double part)
{
	if (values.empty()) return 0;
	auto position = values.begin() + static_cast<long>(part * static_cast<double>(values.size() - 1));
	std::nth_element(values.begin(), position, values.end());
	return *position;
}

/** @return CPU seconds and resident megabytes of the process \a pid. */
static std::pair<double, double> ProcessCost(int pid)
{
	std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
	std::string line;
	std::getline(stat, line);
	std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
	std::string skipped;
	double user = 0, system = 0;
	for (int i = 0; i < 11; i++) fields >> skipped;
	fields >> user >> system;
	std::ifstream statm("/proc/" + std::to_string(pid) + "/statm");
	double total = 0, resident = 0;
	statm >> total >> resident;
	return {(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK)), resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6};
}

static void StartStream(HttpClient &client, const std::string &url, Figures &figures)
{
	auto stream = std::make_shared<Stream>();
	stream->started = MonotonicNow();
	HttpCall call;
	call.method = "POST";
	call.url = url + "/v1/completions";
	static uint64_t number = 0;
	std::string name = "overhead-" + std::to_string(getpid()) + "-" + std::to_string(++number);
	call.headers = {{"Authorization", "Bearer " + FLAGS_key}, {"Cottonspool-Class", "stream"}, {"Cottonspool-Generation", name}};
	call.body = R"({"model":"small","stream":true,"prompt":"measured tokens=)" + std::to_string(FLAGS_tokens) + "\"}";
	call.on_data = [stream, &figures](std::string_view data) {
		stream->parser.Add(data);
		TimePoint now = MonotonicNow();
		while (auto event = stream->parser.Next()) {
			if (!event->id) continue;
			if (stream->tokens++ == 0) figures.first.push_back(Seconds(now - stream->started));
			if (stream->tokens > 1) figures.intervals.push_back(Seconds(now - stream->last));
			stream->last = now;
		}
	};
	call.on_end = [stream, &figures](const HttpCallResult &) {
		figures.open--;
		if (stream->tokens != FLAGS_tokens) figures.failed++;
	};
	figures.open++;
	client.Start(std::move(call));
}

static int Run()
{
	std::vector<std::string> urls;
	std::istringstream in(FLAGS_urls);
	for (std::string url; std::getline(in, url, ',');) urls.push_back(url);
	uv_loop_t *loop = uv_default_loop();
	HttpClient client(loop);
	Figures figures;
	auto [cpu_before, memory_before] = ProcessCost(FLAGS_pid);
	TimePoint started = MonotonicNow();
	double memory_peak = memory_before;
	for (uint64_t i = 0; i < FLAGS_streams; i++) {
		StartStream(client, urls[i % urls.size()], figures);
		if (i % 20 == 0) uv_run(loop, UV_RUN_NOWAIT);
	}
	TimePoint last_sample = started;
	while (figures.open > 0) {
		uv_run(loop, UV_RUN_ONCE);
		if (FLAGS_pid == 0 || MonotonicNow() - last_sample < std::chrono::milliseconds(200)) continue;
		last_sample = MonotonicNow();
		memory_peak = std::max(memory_peak, ProcessCost(FLAGS_pid).second);
	}
	double seconds = Seconds(MonotonicNow() - started);
	double cpu = ProcessCost(FLAGS_pid).first - cpu_before;
	std::cout << "streams " << FLAGS_streams << " failed " << figures.failed << " seconds " << seconds << " streams/s "
	          << FLAGS_streams / seconds << " first p50 " << Quantile(figures.first, 0.5) * 1000 << " ms p99 "
	          << Quantile(figures.first, 0.99) * 1000 << " ms; between p50 " << Quantile(figures.intervals, 0.5) * 1000 << " p95 "
	          << Quantile(figures.intervals, 0.95) * 1000 << " p99 " << Quantile(figures.intervals, 0.99) * 1000 << " ms";
	if (FLAGS_pid != 0) {
		std::cout << "; cpu " << cpu << " s, us/token " << cpu * 1e6 / static_cast<double>(FLAGS_streams * FLAGS_tokens)
		          << ", memory before " << memory_before << " MB peak " << memory_peak << " MB";
	}
	std::cout << std::endl;
	return figures.failed == 0 ? 0 : 1;
}

} // namespace cottonspool

int main(int argc, char **argv)
{
	gflags::ParseCommandLineFlags(&argc, &argv, true);
	return cottonspool::Run();
}
