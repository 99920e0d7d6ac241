/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file zone_reclaimed.cpp All servers of one zone are taken away, and none of them says that it drains.
 *
 * Three instances, one plain service with 14 servers, 6 of them in the zone that is taken away.
 */

#include "standins.h"

using namespace standins;

static constexpr int SERVERS = 14;
static constexpr int IN_ZONE = 6;
static constexpr double TX_MS = 3; ///< txMs.
static constexpr int SLOTS = 6;
static constexpr double WORK_MS = 20;
static constexpr double DRAIN_MS = 2000;    ///< drainMs.
static constexpr double SERVE_ON_MS = 2500; ///< Time after which a server ends whose row has gone.
static constexpr int CLIENTS = 60;

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	std::mutex mutex;
	std::vector<double> gone_at(SERVERS, 1e18); ///< When the store had taken the removal of the row.
	std::vector<int> running(SERVERS, 0);
	std::vector<int> arrivals(SERVERS, 0);
	int late = 0;
	double latest = 0;
	bool broken = false;
	{
		Store store("127.0.0.1");
		std::vector<std::unique_ptr<Server>> servers;
		for (int s = 0; s < SERVERS; s++) {
			std::string name = "s-" + std::to_string(s);
			servers.push_back(std::make_unique<Server>("127.0.0.1", 0, [&, s, name](Connection &connection, const Message &request) {
				double now = NowMs();
				std::string id = request.Get("x-attempt-id");
				if (request.Word(1) == "/healthz") return connection.Write(AnswerText(200, "X-Instance-Id: " + name + "\r\n", ""));
				if (request.Get("x-expect-instance") != name)
					return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\nX-Attempt-Id: " + id + "\r\n", ""));
				int mine = 0;
				bool leaves = false;
				{
					std::lock_guard lock(mutex);
					arrivals[static_cast<size_t>(s)]++;
					leaves = gone_at[static_cast<size_t>(s)] < now;
					double after = now - gone_at[static_cast<size_t>(s)];
					if (after > DRAIN_MS) {
						late++;
						latest = std::max(latest, after);
						record.Line("DRAIN: %s reached %s %.1f ms after the store had acknowledged that it is gone", id.c_str(),
						            name.c_str(), after);
					}
					mine = ++running[static_cast<size_t>(s)];
				}
				if (mine <= SLOTS) SleepMs(WORK_MS);
				{
					std::lock_guard lock(mutex);
					running[static_cast<size_t>(s)]--;
				}
				std::string close = leaves ? "Connection: close\r\n" : "";
				std::string load = "X-Server-Load: " + std::to_string(mine - 1) + ",0,6\r\n";
				if (mine > SLOTS)
					return connection.Write(AnswerText(503, "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\n" + load + close, "")) &&
					       !leaves;
				return connection.Write(AnswerText(200, "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp." + id + "\r\n" + load + close,
				                                   "whole body of " + id)) &&
				       !leaves;
			}));
		}
		Json route{{"name", "r-pay"},   {"host", "pay.example"},  {"pathPrefix", "/pay/"}, {"routeType", "non_idempotent"},
		           {"timeoutMs", 1500}, {"targetLatencyMs", 300}, {"priority", 2},         {"service", "pay-api"},
		           {"maxAttempts", 1},  {"public", true}};
		Json service{{"name", "pay-api"}, {"healthPath", "/healthz"}, {"maxConnections", 110}, {"protocol", "h1"}, {"tls", false}};
		store.Write("op", {{"config", Configuration(7, Json::array({route}), Json::array({service}))}});
		const char *zones[] = {"ghala-a", "ghala-b", "rusayl"};
		for (int s = 0; s < SERVERS; s++) {
			const char *zone = s < IN_ZONE ? zones[0] : zones[1 + s % 2];
			store.Write("servers", {{"s-" + std::to_string(s),
			                         ServerRow("pay-api", servers[static_cast<size_t>(s)]->Address(), zone, SLOTS, "ready")}});
		}
		std::vector<std::unique_ptr<Instance>> instances;
		for (int i = 0; i < 3; i++) {
			instances.push_back(std::make_unique<Instance>(arguments.binary, arguments.temporary, "edge-" + std::to_string(i),
			                                               "127.0.0." + std::to_string(31 + i), zones[i], store.Address()));
			instances.back()->Start(true);
		}
		for (auto &each : instances) {
			if (!each->AwaitReady()) Finish(arguments, 2);
		}
		SleepMs(4000);
		double traffic_at = NowMs();
		static constexpr double TRAFFIC_MS = 9000;
		std::atomic<int> statuses[600]{};
		std::vector<std::thread> clients;
		for (int c = 0; c < CLIENTS; c++) {
			clients.emplace_back([&, c] {
				const Instance &instance = *instances[static_cast<size_t>(c % 3)];
				std::unique_ptr<Connection> connection;
				std::mt19937 pause(static_cast<unsigned>(c));
				for (int n = 0; NowMs() < traffic_at + TRAFFIC_MS; n++) {
					if (!connection) connection = Connection::To(instance.ip, instance.FrontPort());
					if (!connection) break;
					std::string id = "c" + std::to_string(c) + "n" + std::to_string(n);
					bool sent = connection->Write("POST /pay/once HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + id +
					                              "\r\nX-Deadline-Ms: 3000\r\nContent-Length: 3\r\n\r\npay");
					std::optional<Message> answer = sent ? connection->Read(NowMs() + 3500) : std::nullopt;
					statuses[answer && answer->complete ? answer->Status() : 0]++;
					if (!answer || !answer->complete || answer->Get("connection") == "close") connection.reset();
					SleepMs(std::uniform_real_distribution<double>(50, 250)(pause));
				}
			});
		}
		SleepMs(3000);
		if (arguments.trouble) {
			// One after the other, as the store takes a transaction in txMs.
			for (int s = 0; s < IN_ZONE; s++) {
				store.Write("servers", {{"s-" + std::to_string(s), std::nullopt}});
				{
					std::lock_guard lock(mutex);
					gone_at[static_cast<size_t>(s)] = NowMs();
					record.Line("store: the row of s-%d (ghala-a) has been removed", s);
				}
				SleepMs(TX_MS);
			}
			SleepMs(SERVE_ON_MS);
			for (int s = 0; s < IN_ZONE; s++) servers[static_cast<size_t>(s)]->Stop(false);
			record.Line("the servers of ghala-a have ended");
		}
		for (std::thread &each : clients) each.join();
		for (auto &each : instances) {
			if (each->HasEnded()) record.Line("an instance has ended by itself");
			each->End(SIGKILL);
		}
		std::lock_guard lock(mutex);
		for (int s = 0; s < SERVERS; s++) record.Line("s-%d: %d arrivals", s, arrivals[static_cast<size_t>(s)]);
		record.Line("answered 200: %d, 503: %d, 502: %d, 504: %d, none: %d", statuses[200].load(), statuses[503].load(),
		            statuses[502].load(), statuses[504].load(), statuses[0].load());
		record.Line("arrivals later than drainMs: %d, the latest after %.1f ms", late, latest);
		broken = late > 0;
	}
	Finish(arguments, broken ? 1 : 0);
}
