/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file late_health.cpp Servers spoil some of their answers, those to health checks too: they break them off or give them twice.
 *
 * Three instances, eight plain services with one server of 6 slots each, and routes whose requests may run once and are sent once. The
 * callers press a little beyond what the servers bear, so that each server refuses some requests and some health checks.
 */

#include "standins.h"

using namespace standins;

static constexpr int SERVICES = 8;
static constexpr int GARBLING = 4; ///< Servers that garble: at most 0.6 of all.
static constexpr int SLOTS = 6;
static constexpr int QUEUE = 3;
static constexpr double WORK_MS = 10;
static constexpr double GARBLE_SHARE = 0.03;    ///< Share of the answers that are spoiled: half of them broken off, half given twice.
static constexpr double GARBLE_FOR_MS = 5000;   ///< Length of one period.
static constexpr double GARBLE_EVERY_MS = 6000; ///< From the start of one period to the next.
static constexpr double TRAFFIC_MS = 86000;
static constexpr int CLIENTS = 80; ///< Of each service.

struct Outcome {
	int status = 0;
	int runs = 0;
};

/** A server, and what it does at present. */
struct Load {
	std::mutex mutex;
	std::condition_variable freed;
	int running = 0;
	int waiting = 0;
	std::mt19937 random{7};
	std::map<std::string, Outcome> outcomes; ///< Of the requests for this service, by id.
	int refused_checks = 0;
	int broken_off = 0;
	int given_twice = 0;
	int checks_given_twice = 0;
	int late_before_request = 0; ///< Second copies of answers to health checks that arrived where the answer to a request was due.
};

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	Load loads[SERVICES];
	std::atomic<double> traffic_at = 1e18;

	auto serve = [&](int s, Connection &connection, const Message &request) {
		thread_local std::string late_copy;
		thread_local bool late_check = false;
		Load &load = loads[s];
		std::string name = "s-" + std::to_string(s);
		bool check = request.Word(1) == "/healthz";
		std::string id = request.Get("x-attempt-id");
		if (!check && request.Get("x-expect-instance") != name)
			return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\nX-Attempt-Id: " + id + "\r\n", ""));
		bool after_late_check = !late_copy.empty() && late_check && !check;
		if (!late_copy.empty() && !connection.Write(std::exchange(late_copy, ""))) return false;
		std::unique_lock lock(load.mutex);
		if (after_late_check) {
			load.late_before_request++;
			record.Line("%s: second copy of the refusal of a health check sent where the answer to %s is due", name.c_str(), id.c_str());
		}
		double since = NowMs() - traffic_at;
		bool garbles = arguments.trouble && s < GARBLING && since > 2000 && std::fmod(since - 2000, GARBLE_EVERY_MS) < GARBLE_FOR_MS;
		bool spoils = garbles && std::uniform_real_distribution<double>(0, 1)(load.random) < GARBLE_SHARE;
		bool breaks_off = spoils && load.random() % 2 == 0;
		// A check waits for a slot, or is rejected, as a request is; it has no id that the answer could repeat.
		std::string own = check ? "X-Instance-Id: " + name + "\r\n" : "X-Attempt-Id: " + id + "\r\n";
		std::string answer;
		if (load.running + load.waiting >= SLOTS + QUEUE) {
			if (check) load.refused_checks++;
			if (check && spoils && !breaks_off) load.checks_given_twice++;
			answer = AnswerText(503, own + "X-Not-Executed: 1\r\n", "");
		} else {
			load.waiting++;
			load.freed.wait(lock, [&] { return load.running < SLOTS; });
			load.waiting--;
			load.running++;
			if (!check) load.outcomes[id].runs++;
			lock.unlock();
			SleepMs(check ? 1 : WORK_MS);
			lock.lock();
			load.running--;
			load.freed.notify_one();
			answer =
			        check ? AnswerText(200, own, "") : AnswerText(200, own + "X-Server-Stamp: stamp." + id + "\r\n", "whole body of " + id);
		}
		load.broken_off += breaks_off ? 1 : 0;
		load.given_twice += spoils && !breaks_off ? 1 : 0;
		lock.unlock();
		if (breaks_off) {
			connection.Write(answer.substr(0, answer.size() / 2));
			connection.ResetOnClose();
			return false;
		}
		if (spoils) {
			late_copy = answer;
			late_check = check;
		}
		return connection.Write(answer);
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
			                  {"maxAttempts", 1},
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
			                                               "127.0.0." + std::to_string(41 + i), zones[i], store.Address()));
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
				int s = c / 3 % SERVICES;
				std::unique_ptr<Connection> connection;
				std::mt19937 pause(static_cast<unsigned>(c));
				for (int n = 0; NowMs() < traffic_at + TRAFFIC_MS; n++) {
					if (!connection) connection = Connection::To(instance.ip, instance.FrontPort());
					if (!connection) break;
					std::string id = "c" + std::to_string(c) + "n" + std::to_string(n);
					std::string body = "pay " + id;
					bool sent = connection->Write(
					        "POST /service-" + std::to_string(s) + "/once HTTP/1.1\r\nHost: pay.example\r\nX-Attempt-Id: " + id +
					        "\r\nX-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
					std::optional<Message> answer = sent ? connection->Read(NowMs() + 3500) : std::nullopt;
					int status = answer && answer->complete ? answer->Status() : 0;
					{
						std::lock_guard lock(loads[s].mutex);
						loads[s].outcomes[id].status = status;
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
		int refused_but_run = 0;
		int twice = 0;
		Load sum;
		for (Load &load : loads) {
			std::lock_guard lock(load.mutex);
			for (const auto &[id, outcome] : load.outcomes) {
				if (outcome.runs > 1) {
					twice++;
					record.Line("TWICE: %s was run %d times", id.c_str(), outcome.runs);
				}
				if ((outcome.status == 503 || outcome.status == 429) && outcome.runs > 0) {
					refused_but_run++;
					record.Line("REFUSED: %s got %d, and the server ran it", id.c_str(), outcome.status);
				}
			}
			sum.refused_checks += load.refused_checks;
			sum.broken_off += load.broken_off;
			sum.given_twice += load.given_twice;
			sum.checks_given_twice += load.checks_given_twice;
			sum.late_before_request += load.late_before_request;
		}
		record.Line("answered 200: %d, 503: %d, 502: %d, 504: %d, none: %d", statuses[200].load(), statuses[503].load(),
		            statuses[502].load(), statuses[504].load(), statuses[0].load());
		record.Line("answers broken off %d, given twice %d; health checks refused %d, their refusals given twice %d, before a request %d",
		            sum.broken_off, sum.given_twice, sum.refused_checks, sum.checks_given_twice, sum.late_before_request);
		record.Line("refused but run: %d, run twice: %d", refused_but_run, twice);
		broken = refused_but_run + twice > 0;
	}
	Finish(arguments, broken ? 1 : 0);
}
