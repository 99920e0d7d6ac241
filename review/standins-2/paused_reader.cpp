/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file paused_reader.cpp Clients with small receive buffers stop reading their stream for some seconds, and then read on.
 *
 * Two instances, three engines, ten streams. Both instances get SIGHUP just before, so that the rule for planned work applies as well.
 */

#include "standins.h"

using namespace standins;

static constexpr int PAUSING = 8;             ///< Clients that stop reading.
static constexpr int CLIENTS = 10;            ///< All clients.
static constexpr double PAUSE_MS = 6000;      ///< Time for which they stop.
static constexpr double PAUSE_AFTER_MS = 600; ///< From the request to the pause.
static constexpr int EVENTS = 236;            ///< Events of a stream, as on the sheet.
static constexpr int EVENT_BYTES = 220;       ///< Their size, as in the site file.
static constexpr double EVENT_MS = 28;        ///< Four steps of 7 ms.
static constexpr int RECEIVE_BUFFER = 2048;   ///< Of all clients.
static constexpr int SEGMENT_BYTES = 536;     ///< Of all clients.
static constexpr double LIMIT_MS = 39000;     ///< Time budget, and the route's timeout.

/** @return Event number \a number of the stream \a id. */
static std::string EventOf(const std::string &id, int number)
{
	std::string text = "id: " + std::to_string(number) + "\ndata: " + id + "." + std::to_string(number) + ".";
	return text + std::string(EVENT_BYTES - 2 - text.size(), 'x') + "\n\n";
}

int main(int argc, char **argv)
{
	CaseArguments arguments = CaseArguments::Read(argc, argv);
	Record record(arguments.folder + "/record.txt");
	std::mutex mutex;
	std::map<std::string, int> made; ///< Events that an engine has made and sent, by request.
	int lost = 0;
	int lost_at_once = 0;
	{
		Store store("127.0.0.1");
		auto serve = [&](const std::string &name, Connection &connection, const Message &request) {
			if (request.Word(1) == "/-/report") {
				Json report{{"stage", "both"}, {"models", Json::array()}, {"busy", false}, {"sequence", 2}, {"queued", 0}, {"running", 0},
				            {"kvUsed", 0},     {"kvTotal", 34545},        {"handles", 0}};
				return connection.Write(AnswerText(200, "Content-Type: application/json\r\n", report.dump()));
			}
			std::string id = request.Get("x-attempt-id");
			if (request.Get("x-expect-instance") != name)
				return connection.Write(AnswerText(421, "X-Instance-Id: " + name + "\r\nX-Attempt-Id: " + id + "\r\n", ""));
			SleepMs(220);
			if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id + "\r\nX-Server-Stamp: stamp." + id +
			                      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
				return false;
			for (int n = 1; n <= EVENTS; n++) {
				SleepMs(EVENT_MS);
				std::string event = EventOf(id, n);
				char size[16];
				snprintf(size, sizeof(size), "%zx\r\n", event.size());
				if (!connection.Write(size + event + "\r\n")) return false;
				std::lock_guard lock(mutex);
				made[id] = n;
			}
			return connection.Write("0\r\n\r\n");
		};
		std::vector<std::unique_ptr<Server>> engines;
		const char *zones[] = {"ghala-a", "ghala-b", "rusayl"};
		for (int e = 0; e < 3; e++) {
			std::string name = "e-" + std::to_string(e);
			engines.push_back(
			        std::make_unique<Server>("127.0.0.1", 0, [&, name](Connection &c, const Message &m) { return serve(name, c, m); }));
			store.Write("servers", {{name, ServerRow("spool-fleet", engines.back()->Address(), zones[e], 64, "ready")}});
		}
		Json engine{{"capacity", 64}, {"kvTokenCapacity", 34545}, {"kvTokenBytes", 18432}, {"linkMbps", 2700.0},
		            {"moves", true},  {"backups", true},          {"stride", 4},           {"handleS", 5.0}};
		Json route{{"name", "r-summary"},
		           {"host", "summary.example"},
		           {"pathPrefix", "/summary/"},
		           {"routeType", "streaming"},
		           {"timeoutMs", LIMIT_MS},
		           {"targetLatencyMs", 1800},
		           {"priority", 0},
		           {"service", "spool-fleet"},
		           {"maxAttempts", 1},
		           {"public", true},
		           {"sessionAffinity", true},
		           {"resumable", false},
		           {"gapAimMs", 180}};
		Json service{{"name", "spool-fleet"}, {"healthPath", "/healthz"}, {"maxConnections", 442}, {"protocol", "h1"},
		             {"tls", false},          {"engine", engine}};
		store.Write("op", {{"config", Configuration(7, Json::array({route}), Json::array({service}))}});
		std::vector<std::unique_ptr<Instance>> instances;
		for (int i = 0; i < 2; i++) {
			instances.push_back(std::make_unique<Instance>(arguments.binary, arguments.temporary, "edge-" + std::to_string(i),
			                                               "127.0.0." + std::to_string(61 + i), zones[i], store.Address()));
			instances.back()->Start(true);
		}
		for (auto &each : instances) {
			if (!each->AwaitReady()) Finish(arguments, 2);
		}
		SleepMs(5000);
		for (auto &each : instances) kill(each->Pid(), SIGHUP);
		record.Line("SIGHUP to both instances");
		SleepMs(500);
		std::vector<std::thread> clients;
		for (int c = 0; c < CLIENTS; c++) {
			clients.emplace_back([&, c] {
				const Instance &instance = *instances[static_cast<size_t>(c % 2)];
				bool pauses = arguments.trouble && c < PAUSING;
				std::string id = "stream" + std::to_string(c);
				auto connection = Connection::To(instance.ip, instance.FrontPort(), RECEIVE_BUFFER, SEGMENT_BYTES);
				std::string body = std::string(3000, 'p');
				bool sent = connection &&
				            connection->Write("POST /summary/one HTTP/1.1\r\nHost: summary.example\r\nX-Attempt-Id: " + id +
				                              "\r\nX-Model: m\r\nX-Token-Count: 3079,944\r\nX-Prompt-Prefix: 5c1e07a2:79,91bd3f0" +
				                              std::to_string(c) + ":3000\r\nX-Deadline-Ms: 39000\r\nContent-Length: 3000\r\n\r\n" + body);
				double started = NowMs();
				bool paused = false;
				while (sent && connection->buffer.find("\r\n0\r\n\r\n") == std::string::npos && NowMs() < started + LIMIT_MS) {
					if (pauses && !paused && NowMs() > started + PAUSE_AFTER_MS) {
						paused = true;
						record.Line("%s: stops reading at event %d for %.0f ms", id.c_str(), CountEvents(connection->buffer), PAUSE_MS);
						SleepMs(PAUSE_MS);
						record.Line("%s: reads on", id.c_str());
					}
					if (!connection->Fill(1000) && !connection->timed_out) break;
				}
				int events = connection ? CountEvents(connection->buffer) : 0;
				bool whole = connection && connection->buffer.find("\r\n0\r\n\r\n") != std::string::npos;
				std::lock_guard lock(mutex);
				record.Line("%s: %s, %d of %d events, the engine had made %d; %.1f s after the request%s", id.c_str(),
				            whole ? "complete" : "CUT", events, EVENTS, made[id], (NowMs() - started) / 1000,
				            connection && connection->was_reset ? ", reset" : "");
				if (!whole) (c < PAUSING ? lost : lost_at_once)++;
			});
		}
		for (std::thread &each : clients) each.join();
		for (auto &each : instances) {
			if (each->HasEnded()) record.Line("an instance has ended by itself");
			each->End(SIGKILL);
		}
		record.Line("LOST: %d of %d clients that stopped reading, %d of %d others", lost, PAUSING, lost_at_once, CLIENTS - PAUSING);
	}
	Finish(arguments, lost > 3 || lost_at_once > 0 ? 1 : 0);
}
