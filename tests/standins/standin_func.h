/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file standin_func.h What the stand-ins share: one loop, one server, JSON answers. */

#pragma once

#include "http/http_server.h"
#include <nlohmann/json.hpp>
#include <uv.h>

namespace cottonspool {

using Json = nlohmann::json;

/** Answer \a exchange with \a body. */
inline void Answer(const std::shared_ptr<HttpExchange> &exchange, int status, const Json &body, HttpHeaders headers = {})
{
	headers.push_back({"content-type", "application/json"});
	exchange->Respond(status, headers, body.dump());
}

/** @return The body as JSON, an empty object when it is none. */
inline Json JsonBody(const HttpExchange &exchange)
{
	Json body = Json::parse(exchange.request.body, nullptr, false);
	return body.is_object() ? body : Json::object();
}

/** @return Milliseconds of the monotonic clock. */
inline int64_t NowMs()
{
	return std::chrono::duration_cast<std::chrono::milliseconds>(MonotonicNow().time_since_epoch()).count();
}

/** @return Milliseconds since the epoch. */
inline int64_t WallMs()
{
	auto now = std::chrono::system_clock::now().time_since_epoch();
	return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/** Call \a run every \a period_ms on \a loop, for good. */
void Every(uv_loop_t *loop, uint64_t period_ms, std::function<void()> run);

/** Call \a run once after \a delay_ms on \a loop. */
void After(uv_loop_t *loop, uint64_t delay_ms, std::function<void()> run);

int RunEngine(uv_loop_t *loop);             ///< Model engine: continuous batching in limited memory.
int RunService(uv_loop_t *loop);            ///< Plain service.
int RunPlatform(uv_loop_t *loop);           ///< Table service, object store and instance list.
int RunRelay(uv_loop_t *loop);              ///< Links that can be cut, reset, silenced and delayed.
int RunPlatformSimulation(uv_loop_t *loop); ///< The users' platform in small: its store, engines and services.
int RunCallers(uv_loop_t *loop);            ///< Callers on the users' platform who check what they get.

/** Serve \a handler at --ip and --port until the process is killed. @return Exit code. */
int Serve(uv_loop_t *loop, HttpServer::Handler handler);

} // namespace cottonspool
