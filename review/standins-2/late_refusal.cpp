/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file late_refusal.cpp A busy server gives some of its refusals twice; the second copy arrives where the next answer is due.
 *
 * Three instances, five plain services with one server of 6 slots each, and routes whose requests may run once. More callers press than
 * the servers bear, so that each server refuses some requests. Three of the five servers give 3 in 100 of their answers twice.
 */

#include "standins.h"

using namespace standins;

static constexpr int SLOTS = 6;
static constexpr int QUEUE = 3;
static constexpr int SERVICES = 5;
static constexpr int GARBLING = 3; ///< Servers that garble: 0.6 of all.
static constexpr int MAX_ATTEMPTS = 3;
static constexpr double WORK_MS = 10;
static constexpr double GARBLE_SHARE = 0.03;   ///< Share of the answers that are given twice.
static constexpr double GARBLE_FROM_MS = 3000; ///< From the start of the traffic.
static constexpr double GARBLE_FOR_MS = 5000;
static constexpr double TRAFFIC_MS = 12000;
static constexpr int CLIENTS = 60; ///< Of each service.

struct Outcome {
	int status = 0;
	int runs = 0;
	int refusals = 0;
};

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	std::mutex mutex;
	std::condition_variable freed[SERVICES];
	std::map<std::string, Outcome> outcomes;
	int running[SERVICES] = {};
	int waiting[SERVICES] = {};
	int copies = 0;
	std::atomic<double> traffic_at = 1e18;
	std::mt19937 random(7);

	auto serve = [&](int s, Connection &connection, const Message &request) {
		std::string name = "s-" + std::to_string(s);
		thread_local std::string late_copy;
		thread_local std::string late_id;
		if (request.Word(1) == "/healthz") return connection.Write(AnswerText(200, "X-Instance-Id: " + name + "\r\n", ""));
		std::string id = request.Get("x-attempt-id");
		if (request.Get("x-expect-instance") != name)
			return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\nX-Attempt-Id: " + id + "\r\n", ""));
		if (!late_copy.empty()) {
			if (late_id == id)
				record.Line("%s: second copy of the refusal of %s sent where the answer to its next try is due", name.c_str(), id.c_str());
			if (!connection.Write(std::exchange(late_copy, ""))) return false;
		}
		std::unique_lock lock(mutex);
		bool garbles = arguments.trouble && s < GARBLING && NowMs() > traffic_at + GARBLE_FROM_MS &&
		               NowMs() < traffic_at + GARBLE_FROM_MS + GARBLE_FOR_MS;
		if (running[s] + waiting[s] >= SLOTS + QUEUE) {
			outcomes[id].refusals++;
			std::string refusal =
			        AnswerText(503,
			                   "X-Attempt-Id: " + id + "\r\nX-Not-Executed: 1\r\nX-Server-Load: " + std::to_string(running[s]) + "," +
			                           std::to_string(waiting[s]) + ",6\r\n",
			                   "");
			if (garbles && std::uniform_real_distribution<double>(0, 1)(random) < GARBLE_SHARE) {
				late_copy = refusal;
				late_id = id;
				copies++;
			}
			lock.unlock();
			return connection.Write(refusal);
		}
		waiting[s]++;
		freed[s].wait(lock, [&] { return running[s] < SLOTS; });
		waiting[s]--;
		running[s]++;
		int run = ++outcomes[id].runs;
		lock.unlock();
		if (run > 1) record.Line("%s: run %d of %s", name.c_str(), run, id.c_str());
		SleepMs(WORK_MS);
		lock.lock();
		running[s]--;
		std::string load = std::to_string(running[s]) + "," + std::to_string(waiting[s]) + ",6";
		lock.unlock();
		freed[s].notify_one();
		return connection.Write(
		        AnswerText(200, "X-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp." + id + "\r\nX-Server-Load: " + load + "\r\n",
		                   "whole body of " + id));
	};

	bool broken = false;
	{
		Store store("127.0.0.1");
		std::vector<std::unique_ptr<Server>> servers;
		Json routes = Json::array();
		Json services = Json::array();
		for (int s = 0; s < SERVICES; s++) {
			servers.push_back(std::make_unique<Server>("127.0.0.1", 0, [&, s](Connection &c, const Message &m) { return serve(s, c, m); }));
			std::string service = "service-" + std::to_string(s);
			routes.push_back({{"name", "r-" + service},
			                  {"host", "pay.example"},
			                  {"pathPrefix", "/" + service + "/"},
			                  {"routeType", "non_idempotent"},
			                  {"timeoutMs", 1500},
			                  {"targetLatencyMs", 300},
			                  {"priority", 2},
			                  {"service", service},
			                  {"maxAttempts", MAX_ATTEMPTS},
			                  {"public", true}});
			services.push_back(
			        {{"name", service}, {"healthPath", "/healthz"}, {"maxConnections", 110}, {"protocol", "h1"}, {"tls", false}});
			store.Write("servers", {{"s-" + std::to_string(s), ServerRow(service, servers.back()->Address(), "ghala-a", SLOTS, "ready")}});
		}
		store.Write("op", {{"config", Configuration(7, routes, services)}});
		std::vector<std::unique_ptr<Instance>> instances;
		const char *zones[] = {"ghala-a", "ghala-b", "rusayl"};
		for (int i = 0; i < 3; i++) {
			instances.push_back(std::make_unique<Instance>(arguments.binary, arguments.temporary, "edge-" + std::to_string(i),
			                                               "127.0.0." + std::to_string(21 + i), zones[i], store.Address()));
			instances.back()->Start(true);
		}
		for (auto &each : instances) {
			if (!each->AwaitReady()) Finish(arguments, 2);
		}
		SleepMs(1500);
		traffic_at = NowMs();
		std::atomic<int> statuses[600]{};
		std::vector<std::thread> clients;
		for (int c = 0; c < CLIENTS * SERVICES; c++) {
			clients.emplace_back([&, c] {
				const Instance &instance = *instances[static_cast<size_t>(c % 3)];
				std::unique_ptr<Connection> connection;
				std::mt19937 pause(static_cast<unsigned>(c));
				for (int n = 0; NowMs() < traffic_at + TRAFFIC_MS; n++) {
					if (!connection) connection = Connection::To(instance.ip, instance.FrontPort());
					if (!connection) break;
					std::string id = "c" + std::to_string(c) + "n" + std::to_string(n);
					std::string body = "pay " + id;
					bool sent = connection->Write("POST /service-" + std::to_string(c / 3 % SERVICES) +
					                              "/once HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + id +
					                              "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
					                              body);
					std::optional<Message> answer = sent ? connection->Read(NowMs() + 3500) : std::nullopt;
					int status = answer && answer->complete ? answer->Status() : 0;
					{
						std::lock_guard lock(mutex);
						outcomes[id].status = status;
					}
					statuses[status]++;
					if (!answer || !answer->complete || answer->Get("connection") == "close") connection.reset();
					double wait = status == 503 && answer ? 1000 * atof(answer->Get("retry-after").c_str()) : 0;
					SleepMs(std::min(wait, 1000.0) + std::uniform_real_distribution<double>(5, 50)(pause));
				}
			});
		}
		for (std::thread &each : clients) each.join();
		SleepMs(1500);
		for (auto &each : instances) {
			if (each->HasEnded()) record.Line("an instance has ended by itself");
			each->End(SIGKILL);
		}
		std::lock_guard lock(mutex);
		int refused_but_run = 0;
		int twice = 0;
		int refusals = 0;
		for (const auto &[id, outcome] : outcomes) {
			refusals += outcome.refusals;
			if (outcome.runs > 1) {
				twice++;
				record.Line("TWICE: %s was run %d times", id.c_str(), outcome.runs);
			}
			if ((outcome.status == 503 || outcome.status == 429) && outcome.runs > 0) {
				refused_but_run++;
				record.Line("REFUSED: %s got %d, and the server ran it", id.c_str(), outcome.status);
			}
		}
		record.Line("requests %zu, answered 200: %d, 503: %d, 502: %d, 504: %d, none: %d; refusals of the server %d, given twice %d",
		            outcomes.size(), statuses[200].load(), statuses[503].load(), statuses[502].load(), statuses[504].load(),
		            statuses[0].load(), refusals, copies);
		record.Line("refused but run: %d, run twice: %d", refused_but_run, twice);
		broken = refused_but_run + twice > 0;
	}
	Finish(arguments, broken ? 1 : 0);
}
