/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file moved_run.cpp Case: an engine is emptied and taken away, and its runs go on at other engines. It is one that does not drop a
 * request when its channel closes. 400 ms after a run has gone on elsewhere, it must not be at work on it any more.
 */

#include "engine.h"

using namespace review;

static constexpr int ENGINES = 9;            ///< One of them leaves: a share of 0.11.
static constexpr int CLIENTS = 27;           ///< Streams.
static constexpr int64_t DRAIN_AT_MS = 2500; ///< Time from the first request until an engine leaves.
static constexpr int64_t DRAIN_MS = 4000;    ///< It serves on that long: drainMs, and a little longer.
static constexpr int64_t BOUND_MS = 400;     ///< The bound of the rule.

static std::atomic<int> complete = 0;

static void RunClient(int number, const std::string &front, int events)
{
	char attempt[32];
	snprintf(attempt, sizeof(attempt), "%016x", 0x5000 + number);
	std::shared_ptr<Connection> channel = Dial(front);
	Message answer;
	bool whole = channel && channel->Write(StreamRequest(attempt, 3000, 4 * events)) && ReadHead(*channel, answer, 20000) &&
	             ReadBody(*channel, answer, 39000);
	std::vector<uint64_t> numbers = EventNumbers(answer.body);
	if (whole && answer.status == 200) complete++;
	record.Line("client: request %s, status %d, %zu of %d events, answer %s", attempt, answer.status, numbers.size(), events,
	            whole ? "complete" : "NOT complete");
}

int main(int argc, char **argv)
{
	Case run(argc, argv);
	Store store;
	store.Start("127.0.0.1");
	store.Put("op", "config", StreamConfiguration(false, true));
	static EngineSet set;
	set.events = 188;
	set.event_bytes = 400;
	static Engine engines[ENGINES];
	for (int i = 0; i < ENGINES; i++) {
		// "Most drop a request when its channel closes": all but one.
		engines[i].drops_on_close = i != 0;
		engines[i].Start("i-llm" + std::to_string(i), std::string("zone-") + static_cast<char>('a' + i % 3), store, set);
	}
	Gateway gateways[2];
	for (int i = 0; i < 2; i++) {
		gateways[i].name = "edge-" + std::to_string(i);
		gateways[i].zone = i == 0 ? "zone-a" : "zone-b";
		gateways[i].ip = InstanceIp(i);
		gateways[i].folder = run.temporary;
		gateways[i].Start(store.server.address);
	}
	for (const Gateway &gateway : gateways) gateway.AwaitReady();
	// All machines are in touch: contactMs and a little longer.
	SleepMs(5000);
	int64_t since = NowMs();
	std::vector<std::thread> clients;
	for (int i = 0; i < CLIENTS; i++) {
		clients.emplace_back(RunClient, i, gateways[i % 2].front, set.events);
		SleepMs(40);
	}
	SleepMs(since + DRAIN_AT_MS - NowMs());
	if (run.trouble) engines[0].Drain(DRAIN_MS);
	std::thread([&] {
		SleepMs(since + DRAIN_AT_MS + DRAIN_MS - NowMs());
		if (run.trouble) engines[0].End();
		if (run.trouble) store.Remove("servers", engines[0].id);
	}).detach();
	for (std::thread &client : clients) client.join();
	SleepMs(1000);
	int moved = 0;
	int broken = 0;
	std::lock_guard<std::mutex> lock(set.mutex);
	for (const auto &[attempt, resumed] : set.resumed) {
		moved++;
		for (const auto &[engine, at] : set.worked_at[attempt]) {
			if (engine == resumed.first || at <= resumed.second + BOUND_MS) continue;
			broken++;
			record.Line("TWICE broken: request %s went on at %s, and %lld ms later %s still worked on it", attempt.c_str(),
			            resumed.first.c_str(), static_cast<long long>(at - resumed.second), engine.c_str());
		}
	}
	record.Line("answers complete: %d of %d, runs that went on elsewhere: %d, TWICE broken for %d", complete.load(), CLIENTS, moved,
	            broken);
	if (run.trouble && moved == 0) Case::Exit(2);
	Case::Exit(broken > 0 ? 1 : 0);
}
