/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/**
 * @file doubled_answer.cpp Case: a server sheds a request and, for a few of its answers, sends the answer once more, late, in the spot
 * where the next answer on that channel is due. A request that is not idempotent must not be refused as not run if it runs.
 *
 * The servers of the service "pay" shed when they are full, with the very answer that `fleetbench wire` shows, which has no X-Attempt-Id.
 * The server of "desk" puts the X-Attempt-Id into all of its answers; it sheds a part of its requests while it is not full.
 */

#include "world.h"
#include <random>
#include <utility>

using namespace review;

static constexpr int PAY_SERVERS = 3;        ///< As on the sheet: prenota-app.
static constexpr int SLOTS = 6;              ///< Requests that a server works on at once.
static constexpr int QUEUE = 24;             ///< Requests that a server queues beside them.
static constexpr int WORK_MS = 15;           ///< Mean time of the work.
static constexpr int MAX_WORK_MS = 110;      ///< Longest time of the work.
static constexpr int PAY_CLIENTS = 16;       ///< Clients of "pay", each with a kept channel and one request at a time.
static constexpr int DESK_CLIENTS = 6;       ///< Clients of "desk".
static constexpr int PAUSE_MS = 185;         ///< Mean pause of a client: some 78 requests a second of "pay", as on the sheet.
static constexpr int64_t LENGTH_MS = 95000;  ///< Time of the traffic.
static constexpr int64_t FIRST_MS = 3000;    ///< Time without a disruption at its start.
static constexpr int64_t PERIOD_MS = 7000;   ///< Both disruptions come again after that time.
static constexpr int64_t DOUBLING_MS = 5000; ///< `garble`, `for_s`.
static constexpr int64_t SHEDDING_MS = 6500; ///< `srv_grey`, `for_s`.
static constexpr double SHED_SHARE = 0.45;   ///< Share of its requests that a server sheds then: `srv_grey`, `x`.
static constexpr int DOUBLED_OF = 34;        ///< One in so many answers is sent twice, whatever it says: `garble`, `x` = 0.03.

/** What happened to the requests, by attempt id. */
struct Runs {
	std::mutex mutex;
	std::map<std::string, int> started; ///< Runs that a server has begun.
	std::map<std::string, int> status;  ///< Status that the client got; 0 for a closed channel.
};

static Runs runs;

/** A server of a service. */
class PlainServer {
public:
	void Start(const std::string &its_service, int number, Store &to_tell, bool may_double)
	{
		this->service = its_service;
		this->id = "i-" + its_service + std::to_string(number);
		this->echoes_id = its_service == "desk";
		this->doubles = may_double;
		this->store = &to_tell;
		this->server.Start("127.0.0.1",
		                   [this](Connection &connection, const Message &request) { return this->Handle(connection, request); });
		this->Heartbeat();
		std::thread([this] {
			while (true) {
				SleepMs(1200);
				this->Heartbeat();
			}
		}).detach();
	}

	std::string service;
	int shed = 0;         ///< Requests turned away.
	int doubled = 0;      ///< Answers sent twice.
	int doubled_shed = 0; ///< Those of them that shed a request.
	int answers = 0;      ///< Answers in the time of the disruption.
	std::string id;

private:
	void Heartbeat()
	{
		this->store->Put("servers", this->id,
		                 "{\"service\":\"" + this->service + "\",\"address\":\"" + this->server.address +
		                         "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":" + std::to_string(SLOTS) +
		                         ",\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(++this->sequence) + "}");
	}

	/** @return Whether a disruption that lasts \a length_ms of each period takes place at this server now. */
	bool IsStruck(int64_t length_ms) const
	{
		int64_t at = NowMs() - traffic_since - FIRST_MS;
		return this->doubles && at >= 0 && at % PERIOD_MS < length_ms;
	}

	bool Handle(Connection &connection, const Message &request)
	{
		// The extra answer comes in the spot where the answer to this request is due.
		std::string late = std::exchange(connection.late, {});
		std::string attempt = Field(request.headers, "X-Attempt-Id");
		if (!late.empty()) {
			record.Line("server %s: the extra answer is sent, then request %s is handled", this->id.c_str(), attempt.c_str());
			if (!connection.Write(late)) return false;
		}
		if (request.target == "/healthz")
			return connection.Write(Answer(200, {{"X-Instance-Id", this->id}, {"X-Server-Load", this->Load()}}, ""));
		if (Field(request.headers, "X-Expect-Instance") != this->id)
			return connection.Write(Answer(421, {{"X-Instance-Id", this->id}}, ""));
		thread_local std::mt19937 random(static_cast<unsigned>(connection.fd) + 7);
		bool grey = this->IsStruck(SHEDDING_MS) && std::uniform_real_distribution<>(0, 1)(random) < SHED_SHARE;
		bool run = !grey && this->Take();
		if (!run) {
			Headers shed_fields{{"X-Not-Executed", "1"}};
			if (this->echoes_id) shed_fields.push_back({"X-Attempt-Id", attempt});
			return this->Send(connection, Answer(503, shed_fields, ""), attempt, true);
		}
		{
			std::lock_guard<std::mutex> lock(runs.mutex);
			runs.started[attempt]++;
		}
		SleepMs(std::min<int64_t>(MAX_WORK_MS, 5 + static_cast<int64_t>(std::exponential_distribution<>(1.0 / (WORK_MS - 5))(random))));
		std::string load = this->Load();
		this->Leave();
		Headers headers{{"X-Attempt-Id", attempt}, {"X-Server-Stamp", "stamp-" + attempt}, {"X-Server-Load", load}};
		return this->Send(connection, Answer(200, headers, "paid " + attempt + std::string(780, '.')), attempt, false);
	}

	/** Send an answer, and keep a few of them to be sent once more. */
	bool Send(Connection &connection, const std::string &answer, const std::string &attempt, bool is_shed)
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		if (is_shed) this->shed++;
		if (this->IsStruck(DOUBLING_MS) && ++this->answers % DOUBLED_OF == 0) {
			connection.late = answer;
			this->doubled++;
			if (is_shed) this->doubled_shed++;
			record.Line("server %s: the answer to %s (%s) will be sent once more", this->id.c_str(), attempt.c_str(),
			            is_shed ? "503" : "200");
		}
		return connection.Write(answer);
	}

	/** Take a slot, or wait for one. @return False if the server is full. */
	bool Take()
	{
		std::unique_lock<std::mutex> lock(this->mutex);
		if (this->running >= SLOTS && this->waiting >= QUEUE) return false;
		this->waiting++;
		this->free.wait(lock, [this] { return this->running < SLOTS; });
		this->waiting--;
		this->running++;
		return true;
	}

	void Leave()
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		this->running--;
		this->free.notify_one();
	}

	std::string Load()
	{
		std::lock_guard<std::mutex> lock(this->mutex);
		return std::to_string(this->running) + "," + std::to_string(this->waiting) + "," + std::to_string(SLOTS) + ",100";
	}

public:
	static inline std::atomic<int64_t> traffic_since = 1LL << 40; ///< Start of the traffic.

private:
	Server server;
	Store *store = nullptr;
	bool doubles = false;
	bool echoes_id = false; ///< Answers that shed a request have its id, too.
	int sequence = 0;
	std::mutex mutex;
	std::condition_variable free;
	int running = 0;
	int waiting = 0;
};

/** One client: a kept channel, one request at a time. */
static void RunClient(const std::string &service, int number, const std::string &front)
{
	std::mt19937 random(static_cast<unsigned>(number));
	std::shared_ptr<Connection> channel;
	for (int i = 0; NowMs() - PlainServer::traffic_since < LENGTH_MS; i++) {
		char attempt[32];
		snprintf(attempt, sizeof(attempt), "%04x%012x", number + (service == "pay" ? 0x1000 : 0x2000), i + 1);
		if (!channel) channel = Dial(front);
		int status = 0;
		Message answer;
		std::string body = "session of kiosk " + std::to_string(number);
		bool sent = channel && channel->Write("POST /" + service + "/check HTTP/1.1\r\nHost: kiosk.example\r\nX-Attempt-Id: " + attempt +
		                                      "\r\nX-Deadline-Ms: 1000\r\nAuthorization: Bearer key-one\r\nContent-Length: " +
		                                      std::to_string(body.size()) + "\r\n\r\n" + body);
		if (sent && ReadHead(*channel, answer, 4000) && ReadBody(*channel, answer, 4000)) status = answer.status;
		if (status == 0 || strcasecmp(Field(answer.headers, "Connection").c_str(), "close") == 0) channel.reset();
		{
			std::lock_guard<std::mutex> lock(runs.mutex);
			runs.status[attempt] = status;
		}
		SleepMs(std::uniform_int_distribution<>(PAUSE_MS / 2, PAUSE_MS * 3 / 2)(random));
	}
}

int main(int argc, char **argv)
{
	Case run(argc, argv);
	Store store;
	store.Start("127.0.0.1");
	std::string routes;
	std::string services;
	for (const auto &[service, attempts] : {std::pair("pay", 1), std::pair("desk", 2)}) {
		routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"r-" + service + "\",\"host\":\"kiosk.example\",\"pathPrefix\":\"/" +
		          service +
		          "/\",\"routeType\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":2,\"service\":\"" +
		          service + "\",\"maxAttempts\":" + std::to_string(attempts) + ",\"public\":false}";
		services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" + service +
		            "\",\"healthPath\":\"/healthz\",\"maxConnections\":410,\"protocol\":\"h1\",\"tls\":false}";
	}
	store.Put("op", "config",
	          "{\"version\":7,\"routes\":[" + routes + "],\"services\":[" + services +
	                  "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	                  "\"tenants\":[{\"name\":\"tenant-one\",\"apiKeys\":[\"key-one\"],\"priority\":1}]}");
	// Two of four servers double answers: a share of 0.5.
	static PlainServer servers[PAY_SERVERS + 1];
	for (int i = 0; i < PAY_SERVERS; i++) servers[i].Start("pay", i, store, run.trouble && i == 0);
	servers[PAY_SERVERS].Start("desk", 0, store, run.trouble);
	Gateway gateways[2];
	for (int i = 0; i < 2; i++) {
		gateways[i].name = "edge-" + std::to_string(i);
		gateways[i].zone = i == 0 ? "zone-a" : "zone-b";
		gateways[i].ip = InstanceIp(i);
		gateways[i].folder = run.temporary;
		gateways[i].Start(store.server.address);
	}
	for (const Gateway &gateway : gateways) gateway.AwaitReady();
	SleepMs(5000);
	PlainServer::traffic_since = NowMs();
	std::vector<std::thread> clients;
	for (int i = 0; i < PAY_CLIENTS; i++) clients.emplace_back(RunClient, "pay", i, gateways[i % 2].front);
	for (int i = 0; i < DESK_CLIENTS; i++) clients.emplace_back(RunClient, "desk", i, gateways[i % 2].front);
	for (std::thread &client : clients) client.join();
	SleepMs(1000);
	int broken = 0;
	int broken_pay = 0;
	int broken_desk = 0;
	std::lock_guard<std::mutex> lock(runs.mutex);
	for (const auto &[attempt, status] : runs.status) {
		bool promised = status == 429 || status == 503 || status == 408 || status == 421;
		auto started = runs.started.find(attempt);
		if (!promised || started == runs.started.end()) continue;
		broken++;
		(attempt[0] == '1' ? broken_pay : broken_desk)++;
		record.Line("REFUSED broken: request %s got %d, and a server ran it", attempt.c_str(), status);
	}
	std::map<std::pair<int, int>, int> ends;
	for (const auto &[attempt, status] : runs.status) {
		auto started = runs.started.find(attempt);
		ends[{status, started == runs.started.end() ? 0 : started->second}]++;
	}
	for (const auto &[end, count] : ends)
		record.Line("requests that got status %d and that servers ran %d times: %d (status 0: channel closed)", end.first, end.second,
		            count);
	for (const PlainServer &server : servers)
		record.Line("server %s: %d shed, %d of %d answers in the time of the disruption sent twice, %d of these shed a request",
		            server.id.c_str(), server.shed, server.doubled, server.answers, server.doubled_shed);
	record.Line("requests refused although they ran: %d of pay (shed answers without an id), %d of desk (with the id)", broken_pay,
	            broken_desk);
	Case::Exit(broken > 0 ? 1 : 0);
}
