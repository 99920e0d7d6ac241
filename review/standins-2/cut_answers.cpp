/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file cut_answers.cpp Servers crash while they send long answers, some of them to requests that another server had answered with a
 * failure.
 *
 * Three instances, one plain service with 12 servers, answers of 9 MB.
 */

#include "standins.h"

using namespace standins;

static constexpr int SERVERS = 12;
static constexpr int CRASHING = 2; ///< Servers that crash at the same time: 0.17 of all.
static constexpr int SLOTS = 6;
static constexpr double DOWN_MS = 4500;                       ///< Time for which they are down; then the next two crash.
static constexpr int CRASHES = 16;                            ///< Crashes, one after the other.
static constexpr double ERROR_SHARE = 0.14;                   ///< Share of the requests that a server answers with its own 500.
static constexpr size_t HEAD_BYTES = (8U << 20) + (1U << 18); ///< Part of an answer that is sent at once.
static constexpr int TAIL_PARTS = 30;                         ///< Parts of the rest.
static constexpr size_t TAIL_BYTES = 16384;                   ///< Size of such a part.
static constexpr double TAIL_MS = 100;                        ///< Time between two of them.
static constexpr double LIMIT_MS = 8000;                      ///< The route's timeoutMs.
static constexpr double CLIENT_MS = 12000;                    ///< The clients' time budget.
static constexpr int CLIENTS = 54;

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	std::mutex mutex;
	std::map<std::string, std::string> tries; ///< What the servers did with a request, one word for each try.
	int unanswered_at_limit = 0;              ///< Requests without a final answer at timeoutMs.
	int unanswered_later = 0;                 ///< Those still without one half a second later.
	const std::string filling(1U << 20, 'x');
	{
		Store store("127.0.0.1");
		std::vector<std::unique_ptr<Server>> servers(SERVERS);
		std::vector<std::string> names(SERVERS);
		int boots = 0;
		auto serve = [&](const std::string &name, Server *&own, Connection &connection, const Message &request) {
			thread_local std::mt19937 random(std::random_device{}());
			std::string id = request.Get("x-attempt-id");
			auto note = [&](const char *word) {
				std::lock_guard lock(mutex);
				tries[id] += " " + name + ":" + word;
			};
			if (request.Word(1) == "/healthz") return connection.Write(AnswerText(200, "X-Instance-Id: " + name + "\r\n", ""));
			std::string echo = "X-Attempt-Id: " + id + "\r\n";
			if (request.Get("x-expect-instance") != name)
				return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\n" + echo, ""));
			echo += "X-Server-Stamp: stamp." + id + "\r\n";
			SleepMs(20);
			if (std::uniform_real_distribution<double>(0, 1)(random) < ERROR_SHARE) {
				note("500");
				return connection.Write(AnswerText(500, echo, "failed"));
			}
			size_t length = HEAD_BYTES + TAIL_PARTS * TAIL_BYTES;
			connection.Write("HTTP/1.1 200 OK\r\n" + echo + "Content-Length: " + std::to_string(length) + "\r\n\r\n");
			size_t sent = 0;
			while (sent < HEAD_BYTES && connection.Write(filling.substr(0, std::min(filling.size(), HEAD_BYTES - sent))))
				sent += std::min(filling.size(), HEAD_BYTES - sent);
			for (int i = 0; i < TAIL_PARTS; i++) {
				SleepMs(TAIL_MS);
				if ((own != nullptr && own->stopped) || !connection.Write(filling.substr(0, TAIL_BYTES))) {
					note("cut");
					return false;
				}
			}
			note("whole");
			return true;
		};
		const char *zones[] = {"ghala-a", "ghala-b", "rusayl"};
		std::vector<std::unique_ptr<Server *>> owns;
		auto start = [&](int s) {
			names[static_cast<size_t>(s)] = "i-" + std::to_string(++boots);
			std::string name = names[static_cast<size_t>(s)];
			owns.push_back(std::make_unique<Server *>(nullptr));
			Server **own = owns.back().get();
			servers[static_cast<size_t>(s)] = std::make_unique<Server>(
			        "127.0.0.1", 0, [&, name, own](Connection &c, const Message &m) { return serve(name, *own, c, m); });
			*own = servers[static_cast<size_t>(s)].get();
			store.Write("servers", {{name, ServerRow("audio", servers[static_cast<size_t>(s)]->Address(), zones[s % 3], SLOTS, "ready")}});
		};
		Json route{{"name", "r-audio"},     {"host", "audio.example"}, {"pathPrefix", "/audio/"}, {"routeType", "idempotent"},
		           {"timeoutMs", LIMIT_MS}, {"targetLatencyMs", 5000}, {"priority", 2},           {"service", "audio"},
		           {"maxAttempts", 2},      {"public", true}};
		Json service{{"name", "audio"}, {"healthPath", "/healthz"}, {"maxConnections", 110}, {"protocol", "h1"}, {"tls", false}};
		store.Write("op", {{"config", Configuration(7, Json::array({route}), Json::array({service}))}});
		for (int s = 0; s < SERVERS; s++) start(s);
		std::vector<std::unique_ptr<Instance>> instances;
		for (int i = 0; i < 3; i++) {
			instances.push_back(std::make_unique<Instance>(arguments.binary, arguments.temporary, "edge-" + std::to_string(i),
			                                               "127.0.0." + std::to_string(71 + i), zones[i], store.Address()));
			instances.back()->Start(true);
		}
		for (auto &each : instances) {
			if (!each->AwaitReady()) Finish(arguments, 2);
		}
		SleepMs(3500);
		double traffic_at = NowMs();
		static constexpr double TRAFFIC_MS = 2000 + CRASHES * DOWN_MS;
		std::atomic<int> whole = 0;
		std::atomic<int> failed = 0;
		std::vector<std::thread> clients;
		for (int c = 0; c < CLIENTS; c++) {
			clients.emplace_back([&, c] {
				const Instance &instance = *instances[static_cast<size_t>(c % 3)];
				std::mt19937 pause(static_cast<unsigned>(c));
				SleepMs(40.0 * c);
				for (int n = 0; NowMs() < traffic_at + TRAFFIC_MS; n++) {
					std::string id = "c" + std::to_string(c) + "n" + std::to_string(n);
					auto connection = Connection::To(instance.ip, instance.FrontPort());
					if (!connection) break;
					double sent_at = NowMs();
					connection->Write("GET /audio/" + id + " HTTP/1.1\r\nHost: audio.example\r\nX-Attempt-Id: " + id +
					                  "\r\nX-Deadline-Ms: " + std::to_string(static_cast<int>(CLIENT_MS)) + "\r\n\r\n");
					std::optional<Message> answer = connection->Read(sent_at + CLIENT_MS);
					double took = NowMs() - sent_at;
					bool ended = !connection->timed_out;
					bool is_whole = answer && answer->complete;
					(is_whole && answer->Status() == 200 ? whole : failed)++;
					std::lock_guard lock(mutex);
					if (took > LIMIT_MS) unanswered_at_limit++;
					if (took <= LIMIT_MS + 500) continue;
					unanswered_later++;
					record.Line("%s: %s after %.1f s, %zu bytes had come; servers:%s", id.c_str(), ended ? "ended" : "NO END", took / 1000,
					            answer ? answer->body.size() : 0, tries[id].c_str());
				}
			});
		}
		SleepMs(2000);
		for (int k = 0; k < CRASHES && arguments.trouble; k++) {
			int first = k * CRASHING % SERVERS;
			std::vector<std::string> crashed;
			for (int s = first; s < first + CRASHING; s++) {
				servers[static_cast<size_t>(s)]->Stop(true);
				crashed.push_back(names[static_cast<size_t>(s)]);
			}
			record.Line("%s and %s have crashed", crashed[0].c_str(), crashed[1].c_str());
			SleepMs(DOWN_MS * 0.8);
			// Three reports of silence.
			for (const std::string &name : crashed) store.Write("servers", {{name, std::nullopt}});
			SleepMs(DOWN_MS * 0.2);
			for (int s = first; s < first + CRASHING; s++) start(s);
		}
		for (std::thread &each : clients) each.join();
		for (auto &each : instances) {
			if (each->HasEnded()) record.Line("an instance has ended by itself");
			each->End(SIGKILL);
		}
		record.Line("whole answers %d, others %d", whole.load(), failed.load());
		record.Line("without a final answer at timeoutMs: %d, half a second later: %d", unanswered_at_limit, unanswered_later);
	}
	Finish(arguments, unanswered_later >= 8 && 4 * unanswered_later > unanswered_at_limit ? 1 : 0);
}
