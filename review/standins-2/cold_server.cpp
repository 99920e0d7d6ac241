/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file cold_server.cpp All processes of the system are killed at once while a server is cold, and start again after a short delay.
 *
 * Three instances, one plain service with two servers, one of which has just started.
 */

#include "standins.h"

using namespace standins;

static constexpr double COLD_PER_S = 32;     ///< coldPerS.
static constexpr double COLD_OVER = 1.5;     ///< coldOver.
static constexpr double COLD_SLACK = 5;      ///< coldSlack.
static constexpr double COLD_MS = 1000;      ///< coldStartS.
static constexpr double KILL_AFTER_MS = 300; ///< From the start of the cold server.
static constexpr double START_DELAY_MS = 200;
static constexpr double WORK_MS = 40;
static constexpr int SLOTS = 6;
static constexpr int CLIENTS = 90;

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	std::mutex mutex;
	std::vector<double> cold_arrivals;
	std::atomic<int> arrivals[2]{};
	bool broken = false;
	{
		Store store("127.0.0.1");
		std::atomic<double> cold_from = 1e18;
		auto serve = [&](int s, Connection &connection, const Message &request) {
			std::string name = "s-" + std::to_string(s);
			std::string id = request.Get("x-attempt-id");
			if (request.Word(1) == "/healthz") return connection.Write(AnswerText(200, "X-Instance-Id: " + name + "\r\n", ""));
			if (request.Get("x-expect-instance") != name)
				return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\nX-Attempt-Id: " + id + "\r\n", ""));
			double now = NowMs();
			arrivals[s]++;
			if (s == 1 && now >= cold_from && now < cold_from + COLD_MS) {
				std::lock_guard lock(mutex);
				cold_arrivals.push_back(now);
			}
			SleepMs(WORK_MS);
			return connection.Write(
			        AnswerText(200, "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp." + id + "\r\n", "whole body of " + id));
		};
		std::unique_ptr<Server> servers[2];
		servers[0] = std::make_unique<Server>("127.0.0.1", 0, [&](Connection &c, const Message &m) { return serve(0, c, m); });
		Json route{{"name", "r-pay"},   {"host", "pay.example"},  {"pathPrefix", "/pay/"}, {"routeType", "idempotent"},
		           {"timeoutMs", 1500}, {"targetLatencyMs", 300}, {"priority", 2},         {"service", "pay-api"},
		           {"maxAttempts", 2},  {"public", true}};
		Json service{{"name", "pay-api"}, {"healthPath", "/healthz"},     {"maxConnections", 110}, {"protocol", "h1"},
		             {"tls", false},      {"coldStartS", COLD_MS / 1000}, {"coldPerS", COLD_PER_S}};
		store.Write("op", {{"config", Configuration(7, Json::array({route}), Json::array({service}))}});
		store.Write("servers", {{"s-0", ServerRow("pay-api", servers[0]->Address(), "ghala-a", SLOTS, "ready")}});
		std::vector<std::unique_ptr<Instance>> instances;
		const char *zones[] = {"ghala-a", "ghala-b", "rusayl"};
		for (int i = 0; i < 3; i++) {
			instances.push_back(std::make_unique<Instance>(arguments.binary, arguments.temporary, "edge-" + std::to_string(i),
			                                               "127.0.0." + std::to_string(51 + i), zones[i], store.Address()));
			instances.back()->more_bounds = {{"contactMs", 4000}, {"drainMs", 3000},       {"configApplyMs", 3000},
			                                 {"retrySlack", 180}, {"coldOver", COLD_OVER}, {"coldSlack", COLD_SLACK},
			                                 {"evacuateMs", 5000}};
			instances.back()->Start(true);
		}
		for (auto &each : instances) {
			if (!each->AwaitReady()) Finish(arguments, 2);
		}
		SleepMs(3000);
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
					std::string id = "c" + std::to_string(c) + "n" + std::to_string(n);
					bool sent = connection && connection->Write("GET /pay/" + id + " HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + id +
					                                            "\r\nX-Deadline-Ms: 3000\r\n\r\n");
					std::optional<Message> answer = sent ? connection->Read(NowMs() + 3500) : std::nullopt;
					statuses[answer && answer->complete ? answer->Status() : 0]++;
					if (!answer || !answer->complete || answer->Get("connection") == "close") connection.reset();
					SleepMs(std::uniform_real_distribution<double>(30, 120)(pause));
				}
			});
		}
		SleepMs(2500);
		servers[1] = std::make_unique<Server>("127.0.0.1", 0, [&](Connection &c, const Message &m) { return serve(1, c, m); });
		Json row = ServerRow("pay-api", servers[1]->Address(), "ghala-b", SLOTS, "ready");
		row["coldRemainingMs"] = COLD_MS;
		cold_from = NowMs();
		store.Write("servers", {{"s-1", row}});
		record.Line("s-1 has started; it is cold for %.0f ms", COLD_MS);
		SleepMs(KILL_AFTER_MS);
		if (arguments.trouble) {
			record.Line("all instances are killed");
			for (auto &each : instances) each->End(SIGKILL);
			SleepMs(START_DELAY_MS);
			for (auto &each : instances) each->Start(false);
			record.Line("they start again");
		}
		for (std::thread &each : clients) each.join();
		for (auto &each : instances) each->End(SIGKILL);
		std::lock_guard lock(mutex);
		size_t most = 0;
		double most_at = 0;
		for (size_t i = 0, from = 0; i < cold_arrivals.size(); i++) {
			while (cold_arrivals[i] - cold_arrivals[from] >= 1000) from++;
			if (i - from + 1 <= most) continue;
			most = i - from + 1;
			most_at = cold_arrivals[i];
		}
		record.Line("answered 200: %d, 503: %d, 502: %d, 504: %d, none: %d; arrivals at s-0 %d, s-1 %d", statuses[200].load(),
		            statuses[503].load(), statuses[502].load(), statuses[504].load(), statuses[0].load(), arrivals[0].load(),
		            arrivals[1].load());
		double bound = COLD_PER_S * COLD_OVER + COLD_SLACK;
		record.Line("most arrivals at the cold server in one second: %zu, until %.1f; coldPerS x coldOver + coldSlack: %.0f", most, most_at,
		            bound);
		broken = static_cast<double>(most) > bound;
	}
	Finish(arguments, broken ? 1 : 0);
}
