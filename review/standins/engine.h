/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file engine.h Stand-in of a model server: streams events, and keeps copies of runs (X-Kv-Backup, Kv-From) as PROTOCOL.md says. */

#pragma once

#include "world.h"

namespace review {

class Engine;

/** A run, as the checks need it. */
struct EngineRun {
	std::string attempt;
	std::string engine;
	uint64_t from = 0;   ///< Number of the first event that it sends.
	bool copied = false; ///< It continues from a copy.
};

/** What is the same for all engines of a case. */
struct EngineSet {
	std::mutex mutex;
	std::vector<EngineRun> runs; ///< Runs that have begun.
	std::map<std::string, Engine *> by_address;
	int event_ms = 28;             ///< Time between events: 4 steps of 7 ms.
	int events = 300;              ///< Events of each stream.
	size_t event_bytes = 1000;     ///< Bytes of each event.
	int prompt_tokens_per_ms = 14; ///< Prompt tokens that are read in a millisecond.
	int copy_ms = 200;             ///< Time that POST /-/kv-move takes.
	int next_handle = 1;
	std::map<std::string, std::map<std::string, int64_t>> worked_at; ///< Last time at which an engine made an event, by run and engine.
	std::map<std::string, std::pair<std::string, int64_t>> resumed;  ///< Engine and time at which a run went on from a copy, by run.
};

/** A model server. */
class Engine {
public:
	void Start(const std::string &name, const std::string &its_zone, Store &to_tell, EngineSet &all)
	{
		this->id = name;
		this->zone = its_zone;
		this->store = &to_tell;
		this->set = &all;
		this->server.Start("127.0.0.1",
		                   [this](Connection &connection, const Message &request) { return this->Handle(connection, request); });
		{
			std::lock_guard<std::mutex> lock(all.mutex);
			all.by_address[this->server.address] = this;
		}
		this->Heartbeat();
		std::thread([this] {
			while (!this->server.crashed) {
				SleepMs(1200);
				if (!this->server.crashed) this->Heartbeat();
			}
		}).detach();
	}

	/** End: reset all channels and accept no more. */
	void End()
	{
		record.Line("engine %s ends", this->id.c_str());
		this->server.Crash();
	}

	/** Leave: say so in the store and in reports; the engine serves on. */
	void Drain(int64_t leaves_in_ms)
	{
		record.Line("engine %s is draining; it leaves in %lld ms", this->id.c_str(), static_cast<long long>(leaves_in_ms));
		this->leaves_at = NowMs() + leaves_in_ms;
		this->Heartbeat();
	}

	std::string id;
	Server server;
	std::atomic<int64_t> leaves_at = 0; ///< When it leaves; 0 if it does not.
	bool drops_on_close = true;         ///< It drops a request when its channel closes, as most servers do.
	std::atomic<int> running = 0;       ///< Requests that hold a place.

private:
	void Heartbeat()
	{
		this->store->Put("servers", this->id,
		                 "{\"service\":\"llm\",\"address\":\"" + this->server.address + "\",\"zone\":\"" + this->zone +
		                         "\",\"version\":\"v1\",\"capacity\":24,\"state\":\"" + this->State() +
		                         "\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":[{\"name\":"
		                         "\"m\",\"version\":1,\"adapters\":[]}],\"sequence\":" +
		                         std::to_string(++this->sequence) + "}");
	}

	bool Handle(Connection &connection, const Message &request)
	{
		if (request.target == "/healthz") return connection.Write(Answer(200, {{"X-Instance-Id", this->id}}, ""));
		if (request.target == "/-/report") {
			int used = this->running * 3500;
			return connection.Write(Answer(
			        200, {{"Content-Type", "application/json"}},
			        "{\"stage\":\"both\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"busy\":false,\"sequence\":0,"
			        "\"queued\":0,\"running\":" +
			                std::to_string(this->running) + ",\"kvUsed\":" + std::to_string(used) +
			                ",\"kvTotal\":26892,\"handles\":0,\"state\":\"" + this->State() + "\"" +
			                (this->leaves_at > 0 ? ",\"leaves_ms\":" + std::to_string(std::max<int64_t>(0, this->leaves_at - NowMs()))
			                                     : "") +
			                ",\"runs\":[]}"));
		}
		if (request.target == "/-/kv-move") return this->Copy(connection, request);
		if (request.target.rfind("/-/kv-handle/", 0) == 0) return connection.Write(Answer(200, {}, ""));
		std::string attempt = Field(request.headers, "X-Attempt-Id");
		if (Field(request.headers, "X-Expect-Instance") != this->id)
			return connection.Write(Answer(421, {{"X-Instance-Id", this->id}}, ""));
		this->running++;
		bool keep = this->Stream(connection, request, attempt);
		this->running--;
		return keep;
	}

	std::string State() const { return this->leaves_at > 0 ? "draining" : "ready"; }

	/** Handle POST /-/kv-move. */
	bool Copy(Connection &connection, const Message &request)
	{
		std::string attempt = JsonText(request.body, "id");
		std::string to = JsonText(request.body, "targetVersion");
		bool last = request.body.find("\"last\":true") != std::string::npos;
		uint64_t made = 0;
		{
			std::lock_guard<std::mutex> lock(this->set->mutex);
			auto found = this->made.find(attempt);
			if (found != this->made.end()) made = found->second;
			if (made > 0 && last) this->stopped.insert(attempt);
		}
		record.Line("engine %s is asked for a copy of %s at %s, last: %s", this->id.c_str(), attempt.c_str(), to.c_str(),
		            last ? "true" : "false");
		if (made == 0) return connection.Write(Answer(404, {}, ""));
		SleepMs(this->set->copy_ms);
		std::lock_guard<std::mutex> lock(this->set->mutex);
		auto target = this->set->by_address.find(to);
		if (target == this->set->by_address.end() || target->second->server.crashed) return connection.Write(Answer(503, {}, ""));
		std::string handle = "h" + std::to_string(this->set->next_handle++);
		target->second->copies.insert(handle);
		return connection.Write(Answer(200, {{"Content-Type", "application/json"}},
		                               "{\"handle\":\"" + handle + "\",\"createdRev\":" + std::to_string(this->made[attempt]) + "}"));
	}

	/** Make a copy of \a attempt known to the engine at \a address, as its prompt is read. */
	void CopyTo(const std::string &address, const std::string &attempt)
	{
		std::lock_guard<std::mutex> lock(this->set->mutex);
		auto found = this->set->by_address.find(address);
		if (found == this->set->by_address.end() || found->second->server.crashed) return;
		if (found->second->copies.insert(attempt).second)
			record.Line("engine %s sends a copy of run %s to %s", this->id.c_str(), attempt.c_str(), found->second->id.c_str());
	}

	bool Stream(Connection &connection, const Message &request, const std::string &attempt)
	{
		uint64_t next = strtoull(Field(request.headers, "Last-Event-Id").c_str(), nullptr, 10) + 1;
		std::string from = Field(request.headers, "Kv-From");
		if (!from.empty()) {
			std::lock_guard<std::mutex> lock(this->set->mutex);
			if (this->copies.erase(from.substr(from.find('/') + 1)) == 0) {
				record.Line("engine %s has no copy %s", this->id.c_str(), from.c_str());
				return connection.Write(Answer(503, {{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}}, ""));
			}
		}
		record.Line("engine %s accepts %s, Last-Event-Id '%s', Kv-From '%s', X-Kv-Backup '%s'", this->id.c_str(), attempt.c_str(),
		            Field(request.headers, "Last-Event-Id").c_str(), from.c_str(), Field(request.headers, "X-Kv-Backup").c_str());
		// The prompt is read, and what has been read goes to the backup, some times a second.
		int tokens = atoi(Field(request.headers, "X-Token-Count").c_str());
		int64_t read_ms = from.empty() ? tokens / this->set->prompt_tokens_per_ms : 30;
		std::string backup = Field(request.headers, "X-Kv-Backup");
		for (int64_t stop = NowMs() + read_ms; NowMs() < stop;) {
			SleepMs(std::min<int64_t>(20, stop - NowMs()));
			if (!backup.empty() && NowMs() > stop - read_ms + 60) this->CopyTo(backup, attempt);
			if (this->server.crashed || connection.IsClosedByPeer()) return false;
		}
		{
			std::lock_guard<std::mutex> lock(this->set->mutex);
			this->set->runs.push_back({attempt, this->id, next, !from.empty()});
			if (!from.empty()) this->set->resumed[attempt] = {this->id, NowMs()};
		}
		if (!connection.Write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Stamp: stamp-" + attempt +
		                      "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
			return false;
		int64_t due = NowMs();
		// The most tokens out, 4 to an event.
		std::string count = Field(request.headers, "X-Token-Count");
		uint64_t last = std::min<uint64_t>(this->set->events, strtoull(count.c_str() + count.find(',') + 1, nullptr, 10) / 4);
		for (; next <= last; next++) {
			due += this->set->event_ms;
			SleepMs(due - NowMs());
			if (this->server.crashed || (this->drops_on_close && connection.IsClosedByPeer())) break;
			{
				std::lock_guard<std::mutex> lock(this->set->mutex);
				if (this->stopped.contains(attempt)) break;
				this->made[attempt] = next;
				this->set->worked_at[attempt][this->id] = NowMs();
			}
			std::string event = "id: " + std::to_string(next) + "\ndata: " + attempt + "-" + std::to_string(next) + " ";
			event += std::string(this->set->event_bytes - std::min(this->set->event_bytes, event.size() + 2), 'x') + "\n\n";
			char size[16];
			snprintf(size, sizeof(size), "%zx\r\n", event.size());
			bool written = connection.Write(size + event + "\r\n");
			if (!written && this->drops_on_close) break;
			if (!backup.empty()) this->CopyTo(backup, attempt);
		}
		{
			std::lock_guard<std::mutex> lock(this->set->mutex);
			this->made.erase(attempt);
		}
		if (next <= last) return false;
		record.Line("engine %s has sent all of %s", this->id.c_str(), attempt.c_str());
		return connection.Write("0\r\n\r\n");
	}

	std::string zone;
	Store *store = nullptr;
	EngineSet *set = nullptr;
	std::set<std::string> copies;         ///< Copies that this engine has, by handle or run; guarded by the set's mutex.
	std::set<std::string> stopped;        ///< Runs that were stopped by a copy with "last"; guarded by the set's mutex.
	std::map<std::string, uint64_t> made; ///< Events of each run in progress; guarded by the set's mutex.
	int sequence = 0;
};

/** @return The text of a request for a stream. */
inline std::string StreamRequest(const std::string &attempt, int prompt_tokens, int output_tokens, const std::string &more = {})
{
	std::string body = "the deeds of parcel " + attempt + std::string(860, 'p');
	return "POST /deed/summary HTTP/1.1\r\nHost: map.example\r\nX-Attempt-Id: " + attempt +
	       "\r\nX-Model: m\r\nX-Token-Count: " + std::to_string(prompt_tokens) + "," + std::to_string(output_tokens) +
	       "\r\nX-Prompt-Prefix: 5c1e07a2:79," + attempt + ":" + std::to_string(prompt_tokens - 79) +
	       "\r\nX-Deadline-Ms: 39000\r\nAuthorization: Bearer key-one\r\n" + more + "Content-Length: " + std::to_string(body.size()) +
	       "\r\n\r\n" + body;
}

/** @return A configuration with one route for streams. */
inline std::string StreamConfiguration(bool resumable, bool backups)
{
	return std::string(
	               "{\"version\":7,\"routes\":[{\"name\":\"r-summary\",\"host\":\"map.example\",\"pathPrefix\":\"/deed/\",\"routeType\":"
	               "\"streaming\",\"timeoutMs\":39000,\"targetLatencyMs\":1800,\"priority\":0,\"service\":\"llm\",\"maxAttempts\":1,"
	               "\"public\":false,"
	               "\"sessionAffinity\":true,\"resumable\":") +
	       (resumable ? "true" : "false") +
	       ",\"gapAimMs\":180}],\"services\":[{\"name\":\"llm\",\"healthPath\":\"/"
	       "healthz\",\"maxConnections\":522,\"protocol\":\"h1\",\"tls\":false,"
	       "\"engine\":{\"capacity\":24,\"kvTokenCapacity\":26892,\"kvTokenBytes\":131072,\"linkMbps\":19000.0,\"moves\":" +
	       (backups ? "true" : "false") + ",\"backups\":" + (backups ? "true" : "false") +
	       ",\"stride\":4,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}],"
	       "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},"
	       "\"tenants\":[{\"name\":\"tenant-one\",\"apiKeys\":[\"key-one\"],\"priority\":1}]}";
}

/** @return The numbers of the complete events in \a body, in their order. */
inline std::vector<uint64_t> EventNumbers(const std::string &body)
{
	std::vector<uint64_t> numbers;
	for (size_t at = 0; (at = body.find("id: ", at)) != std::string::npos;) {
		size_t end = body.find("\n\n", at);
		if (end == std::string::npos) break;
		numbers.push_back(strtoull(body.c_str() + at + 4, nullptr, 10));
		at = end + 2;
	}
	return numbers;
}

} // namespace review
