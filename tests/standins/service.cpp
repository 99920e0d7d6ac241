/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file service.cpp Stand-in for a service, which can delay and truncate its answers and records what it executed. */

#include "standin_func.h"
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_uint64(slots, 32, "concurrent calls, as reported in the load report");

namespace cottonspool {

/** A service that records the requests it executed. */
class ServiceStandin {
public:
	explicit ServiceStandin(uv_loop_t *loop) : loop(loop) {}

	/** Handle one request. */
	void Handle(const std::shared_ptr<HttpExchange> &exchange)
	{
		if (exchange->request.path == "/record")
			return Answer(exchange, 200, {{"runs", this->runs}, {"leaving_since", this->draining_since}});
		if (exchange->request.path == "/load") return Answer(exchange, 200, this->MakeReport());
		if (exchange->request.path == "/control") return this->Control(exchange);
		this->Run(exchange);
	}

private:
	Json MakeReport()
	{
		return {{"sequence", ++this->sequence},
		        {"incarnation", std::to_string(getpid())},
		        {"capacity_tokens", FLAGS_slots},
		        {"used_tokens", this->running},
		        {"running", this->running},
		        {"leaving", this->draining},
		        {"age_ms", 0}};
	}

	void Control(const std::shared_ptr<HttpExchange> &exchange)
	{
		Json control = JsonBody(*exchange);
		this->draining = control.value("leaving", this->draining);
		this->delay_ms = control.value("delay_ms", this->delay_ms);
		if (this->draining && this->draining_since == 0) this->draining_since = NowMs();
		Answer(exchange, 200, {{"ok", true}});
	}

	void Run(const std::shared_ptr<HttpExchange> &exchange)
	{
		const HttpRequest &request = exchange->request;
		std::string name(FindHeader(request.headers, "Cottonspool-Request"));
		std::string key(FindHeader(request.headers, "Idempotency-Key"));
		this->runs.push_back({{"request", name}, {"key", key}, {"path", request.path}, {"at", NowMs()}});
		this->running++;
		std::string delay = QueryValue(request.query, "delay_ms");
		uint64_t wait = this->delay_ms + (delay.empty() ? 1 : strtoull(delay.c_str(), nullptr, 10));
		bool truncate = !QueryValue(request.query, "truncate").empty();
		Json body{{"path", request.path}, {"echo", request.body}, {"key", key}, {"run", this->runs.size()}};
		After(this->loop, wait, [this, exchange, body, truncate] {
			this->running--;
			if (!truncate) return Answer(exchange, 200, body);
			std::string text = body.dump();
			exchange->Start(200, {{"x-standin", "truncated"}});
			exchange->Write(text.substr(0, text.size() / 2));
			After(this->loop, 50, [exchange] { exchange->Abort(); });
		});
	}

	uv_loop_t *loop;            ///< Event loop.
	Json runs = Json::array();  ///< Executed requests.
	uint64_t sequence = 0;      ///< Number of reports made.
	uint64_t running = 0;       ///< Number of running requests.
	uint64_t delay_ms = 0;      ///< Additional duration of each request.
	bool draining = false;      ///< The reports announce that the service drains.
	int64_t draining_since = 0; ///< When that was announced; 0 for never.
};

int RunService(uv_loop_t *loop)
{
	ServiceStandin service(loop);
	return Serve(loop, [&](const std::shared_ptr<HttpExchange> &exchange) { service.Handle(exchange); });
}

} // namespace cottonspool
