/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file slow_reader.cpp Case: an instance gets SIGTERM while some clients are slow to read, and the engines send the last events of their
 * streams in graceS. These requests have been read and passed on, so their channels must not end without a complete answer.
 */

#include "engine.h"

using namespace review;

static constexpr int CLIENTS = 8;              ///< Clients that are slow to read.
static constexpr int QUICK_CLIENTS = 2;        ///< Clients that read at once all the time.
static constexpr int SEGMENT_BYTES = 536;      ///< Largest segment of the slow clients, small devices; the loopback interface has 64 KB.
static constexpr int WINDOW_BYTES = 2144;      ///< Their receive buffer, four segments.
static constexpr int64_t SIGTERM_AT_MS = 400;  ///< SIGTERM, after the requests.
static constexpr int64_t SLOW_UNTIL_MS = 3600; ///< When the slow clients begin to read their answers, after the requests; then at once.
static constexpr int64_t GRACE_MS = 8000;      ///< graceS.
static constexpr int64_t BUDGET_MS = 39000;    ///< The client's time budget and the route's timeout.

/** What a client got. */
struct Outcome {
	int status = 0;
	bool complete = false;
	size_t events = 0;
	int64_t sent_at = 0;
	int64_t ended_at = 0;
};

static Outcome outcomes[CLIENTS + QUICK_CLIENTS];

static void RunClient(int number, const std::string &front, int events)
{
	Outcome &outcome = outcomes[number];
	bool slow = number < CLIENTS;
	char attempt[32];
	snprintf(attempt, sizeof(attempt), "%016x", 0x1000 + number);
	std::shared_ptr<Connection> channel = Dial(front, slow ? SEGMENT_BYTES : 0, slow ? WINDOW_BYTES : 0);
	outcome.sent_at = NowMs();
	Message answer;
	if (!channel || !channel->Write(StreamRequest(attempt, 1000, 4 * events))) return;
	if (slow) SleepMs(outcome.sent_at + SLOW_UNTIL_MS - NowMs());
	if (!ReadHead(*channel, answer, 10000)) return;
	outcome.status = answer.status;
	outcome.complete = ReadBody(*channel, answer, BUDGET_MS);
	outcome.events = EventNumbers(answer.body).size();
	outcome.ended_at = NowMs();
	record.Line("client %d (%s): request %s, status %d, %zu of %d events, answer %s", number, slow ? "slow" : "quick", attempt,
	            answer.status, outcome.events, events, outcome.complete ? "complete" : "NOT complete");
}

int main(int argc, char **argv)
{
	Case run(argc, argv);
	Store store;
	store.Start("127.0.0.1");
	store.Put("op", "config", StreamConfiguration(false, false));
	static EngineSet set;
	set.events = 110;
	set.event_bytes = 400;
	static Engine engines[3];
	for (int i = 0; i < 3; i++)
		engines[i].Start("i-llm" + std::to_string(i), std::string("zone-") + static_cast<char>('a' + i), store, set);
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
	for (int i = 0; i < CLIENTS + QUICK_CLIENTS; i++) clients.emplace_back(RunClient, i, gateways[0].front, set.events);
	SleepMs(since + SIGTERM_AT_MS - NowMs());
	int64_t stopped_at = NowMs();
	if (run.trouble) gateways[0].Signal(SIGTERM);
	std::thread watcher([&] {
		while (run.trouble && !gateways[0].HasEnded()) {
			SleepMs(20);
			// The platform sends SIGKILL after graceS.
			if (NowMs() - stopped_at > GRACE_MS && gateways[0].pid != 0) {
				gateways[0].Signal(SIGKILL);
				SleepMs(100);
			}
		}
	});
	for (std::thread &client : clients) client.join();
	watcher.join();
	int lost = 0;
	int served = 0;
	for (int i = 0; i < CLIENTS + QUICK_CLIENTS; i++) {
		const Outcome &outcome = outcomes[i];
		if (outcome.complete) served++;
		if (outcome.complete || outcome.status != 200) continue;
		bool in_time = outcome.ended_at - outcome.sent_at < BUDGET_MS;
		bool in_window = run.trouble && outcome.ended_at <= stopped_at + GRACE_MS + 1000;
		record.Line("client %d: channel ended %lld ms after SIGTERM, %lld ms after the request", i,
		            static_cast<long long>(outcome.ended_at - stopped_at), static_cast<long long>(outcome.ended_at - outcome.sent_at));
		if (in_time && in_window) lost++;
	}
	record.Line("answers complete: %d of %d, LOST broken for %d requests", served, CLIENTS + QUICK_CLIENTS, lost);
	if (!run.trouble && served < CLIENTS + QUICK_CLIENTS) Case::Exit(1);
	Case::Exit(lost > 0 ? 1 : 0);
}
