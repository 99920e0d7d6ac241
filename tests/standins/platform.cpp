/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file platform.cpp Stand-in for the platform: table, object store and instance list, with outages and lost answers. */

#include "standin_func.h"
#include <map>

namespace cottonspool {

/** A row or an object with its version. */
struct PlatformRow {
	std::string value;    ///< Content.
	uint64_t version = 0; ///< Version, for If-Match.
};

/** Table, object store and instance list, in memory. */
class PlatformStandin {
public:
	explicit PlatformStandin(uv_loop_t *loop) : loop(loop) {}

	/** Handle one request. */
	void Handle(const std::shared_ptr<HttpExchange> &exchange)
	{
		const HttpRequest &request = exchange->request;
		if (request.path == "/control") return this->HandleControl(exchange);
		if (request.path == "/counters") return Answer(exchange, 200, {{"reads", this->reads}, {"writes", this->writes}});
		if (this->down) {
			this->unanswered.push_back(exchange);
			return;
		}
		After(this->loop, this->slow_ms, [this, exchange] { this->Execute(exchange); });
	}

private:
	void Execute(const std::shared_ptr<HttpExchange> &exchange)
	{
		const HttpRequest &request = exchange->request;
		if (request.method == "GET") this->reads++;
		if (request.method != "GET") this->writes++;
		if (request.path == "/instances") return Answer(exchange, 200, this->instances);
		if (request.path == "/table") return this->Scan(exchange);
		if (request.path.starts_with("/table/")) return this->HandleRow(exchange, this->table);
		if (request.path.starts_with("/objects/")) return this->HandleRow(exchange, this->objects);
		Answer(exchange, 404, {{"error", "no such path"}});
	}

	void Scan(const std::shared_ptr<HttpExchange> &exchange)
	{
		std::string prefix = "/table/" + QueryValue(exchange->request.query, "prefix");
		std::string after = "/table/" + QueryValue(exchange->request.query, "after");
		Json rows = Json::array();
		for (auto it = this->table.upper_bound(std::max(prefix, after)); it != this->table.end() && rows.size() < 500; ++it) {
			if (!it->first.starts_with(prefix)) break;
			rows.push_back({{"key", it->first.substr(7)}, {"value", it->second.value}, {"version", it->second.version}});
		}
		Answer(exchange, 200, rows);
	}

	void HandleRow(const std::shared_ptr<HttpExchange> &exchange, std::map<std::string, PlatformRow> &rows)
	{
		const HttpRequest &request = exchange->request;
		auto found = rows.find(request.path);
		std::string etag = found == rows.end() ? "" : "\"" + std::to_string(found->second.version) + "\"";
		if (request.method == "GET") {
			if (found == rows.end()) return Answer(exchange, 404, {{"error", "no such row"}});
			return exchange->Respond(200, {{"etag", etag}}, found->second.value);
		}
		std::string match(FindHeader(request.headers, "If-Match"));
		bool insert = !FindHeader(request.headers, "If-None-Match").empty();
		if ((insert && found != rows.end()) || (!match.empty() && match != etag)) return this->AnswerWrite(exchange, 412, etag);
		if (request.method == "DELETE") {
			rows.erase(request.path);
			return this->AnswerWrite(exchange, 200, "");
		}
		PlatformRow &row = rows[request.path];
		row = {request.body, ++this->version};
		this->AnswerWrite(exchange, 200, "\"" + std::to_string(row.version) + "\"");
	}

	void AnswerWrite(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &etag)
	{
		if (this->lose_answers > 0) {
			this->lose_answers--;
			this->unanswered.push_back(exchange);
			return;
		}
		exchange->Respond(status, {{"etag", etag}}, "{}");
	}

	void HandleControl(const std::shared_ptr<HttpExchange> &exchange)
	{
		Json control = JsonBody(*exchange);
		this->down = control.value("down", this->down);
		this->slow_ms = control.value("slow_ms", this->slow_ms);
		this->lose_answers = control.value("lose_answers", this->lose_answers);
		if (control.contains("instances")) this->instances = control["instances"];
		Answer(exchange, 200, {{"ok", true}});
	}

	uv_loop_t *loop;                                       ///< Event loop.
	std::map<std::string, PlatformRow> table;              ///< Rows by path.
	std::map<std::string, PlatformRow> objects;            ///< Objects by path.
	Json instances = Json::array();                        ///< Instance list, set by scenarios.
	uint64_t version = 0;                                  ///< Last assigned version.
	bool down = false;                                     ///< Simulated outage: requests get no answer.
	uint64_t slow_ms = 0;                                  ///< Delay of each request, in milliseconds.
	int lose_answers = 0;                                  ///< Number of next writes that take effect without an answer.
	uint64_t reads = 0;                                    ///< Number of reads.
	uint64_t writes = 0;                                   ///< Number of writes.
	std::vector<std::shared_ptr<HttpExchange>> unanswered; ///< Requests kept open that never get an answer.
};

int RunPlatform(uv_loop_t *loop)
{
	PlatformStandin platform(loop);
	return Serve(loop, [&](const std::shared_ptr<HttpExchange> &exchange) { platform.Handle(exchange); });
}

} // namespace cottonspool
