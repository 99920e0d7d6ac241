/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file engine.cpp Stand-in for a model engine: batching, preemption, resume, cancellation, load reports and orders. */

#include "core/hash_func.h"
#include "engine_base.h"
#include <algorithm>
#include <gflags/gflags.h>
#include <unistd.h>

DEFINE_string(name, "engine", "name of the engine");
DEFINE_string(models, "small", "models loaded at the start, separated by commas");
DEFINE_uint64(memory_tokens, 20000, "memory size, in tokens");
DEFINE_uint64(max_batch, 64, "most generations decoded at once");
DEFINE_double(step_ms, 10, "duration of one decoding step, in milliseconds");
DEFINE_double(step_us_per_call, 50, "additional duration of a step for each generation in it, in microseconds");
DEFINE_int64(report_lag_ms, 300, "age of the reports given out, in milliseconds");
DEFINE_bool(check_fences, true, "reject orders with an outdated fencing token");
DEFINE_int64(orphan_ms, 10000, "time after which a generation without a listener is dropped, in milliseconds");
DEFINE_uint64(max_waiting, 100000, "most waiting generations; more are rejected");

namespace cottonspool {

static constexpr size_t MAX_PREFIXES = 64; ///< Most cached prefixes.

EngineStandin::EngineStandin(uv_loop_t *loop)
    : loop(loop), incarnation(FLAGS_name + "-" + std::to_string(getpid()) + "-" + std::to_string(NowMs()))
{
	std::string name;
	for (char c : FLAGS_models + ",") {
		if (c != ',') {
			name += c;
		} else if (!name.empty()) {
			this->models.insert(name);
			name.clear();
		}
	}
	Every(loop, 1, [this] { this->Step(); });
	Every(loop, 50, [this] { this->reports.emplace_back(NowMs(), this->MakeReport()); });
	Every(loop, 500, [this] { this->DropOrphans(); });
	this->reports.emplace_back(NowMs(), this->MakeReport());
}

uint64_t EngineStandin::UsedTokens() const
{
	uint64_t used = 0;
	for (const GenerationPtr &generation : this->running) used += generation->prompt + generation->tokens.size();
	return used;
}

Json EngineStandin::MakeReport()
{
	while (this->reports.size() > 1 && this->reports[1].first <= NowMs() - FLAGS_report_lag_ms) this->reports.pop_front();
	uint64_t waiting_tokens = 0;
	for (const GenerationPtr &generation : this->waiting) waiting_tokens += generation->prompt + generation->tokens.size();
	return Json{{"sequence", ++this->report_sequence},
	            {"incarnation", this->incarnation},
	            {"capacity_tokens", FLAGS_memory_tokens},
	            {"used_tokens", this->UsedTokens()},
	            {"running", this->running.size()},
	            {"waiting", this->waiting.size()},
	            {"waiting_tokens", waiting_tokens},
	            {"preemptions", this->preemptions},
	            {"leaving", this->draining},
	            {"role", this->role},
	            {"models", this->models},
	            {"prefixes", this->prefixes}};
}

void EngineStandin::Handle(const std::shared_ptr<HttpExchange> &exchange)
{
	const HttpRequest &request = exchange->request;
	const std::string generations = "/v1/generations/";
	if (request.path == "/v1/completions" || request.path == "/v1/chat/completions") return this->HandleCompletion(exchange);
	if (request.path.starts_with(generations)) return this->HandleGeneration(exchange, request.path.substr(generations.size()));
	if (request.path == "/orders") return this->HandleOrder(exchange);
	if (request.path == "/control") return this->HandleControl(exchange);
	if (request.path == "/record") return Answer(exchange, 200, this->Record());
	if (request.path != "/load") return Answer(exchange, 404, {{"error", "no such path"}});
	Json report = this->reports.front().second;
	report["age_ms"] = NowMs() - this->reports.front().first;
	Answer(exchange, 200, report);
}

Json EngineStandin::Record() const
{
	Json runs = this->record;
	for (Json &run : runs) {
		auto found = this->known_generations.find(run["generation"].get<std::string>());
		if (found == this->known_generations.end()) continue;
		run["began"] = found->second->began;
		run["tokens"] = found->second->tokens.size();
	}
	return Json{{"runs", runs},
	            {"leaving_since", this->draining_since},
	            {"preemptions", this->preemptions},
	            {"now", NowMs()},
	            {"orders", this->orders},
	            {"models", this->models},
	            {"role", this->role},
	            {"incarnation", this->incarnation}};
}

/** @return The number that follows \a key in \a text, or \a otherwise. */
static uint64_t NumberAfter(const std::string &text, const std::string &key, uint64_t otherwise)
{
	size_t found = text.find(key);
	if (found == std::string::npos) return otherwise;
	return strtoull(text.c_str() + found + key.size(), nullptr, 10);
}

void EngineStandin::HandleCompletion(const std::shared_ptr<HttpExchange> &exchange)
{
	Json body = JsonBody(*exchange);
	std::string id(FindHeader(exchange->request.headers, "Cottonspool-Generation"));
	if (auto found = this->known_generations.find(id); found != this->known_generations.end())
		return this->Attach(found->second, exchange, 0);
	HttpHeaders not_run{{"Cottonspool-Ran", "no"}};
	if (this->cancelled_ids.contains(id)) return Answer(exchange, 409, {{"error", "generation was cancelled"}}, not_run);
	if (!this->models.contains(body.value("model", ""))) return Answer(exchange, 404, {{"error", "model not loaded"}}, not_run);
	if (this->waiting.size() >= FLAGS_max_waiting) return Answer(exchange, 503, {{"error", "full"}}, not_run);
	auto generation = std::make_shared<EngineGeneration>();
	std::string prompt = body.contains("messages") ? body["messages"].dump() : body.value("prompt", "");
	generation->id = id;
	generation->request = FindHeader(exchange->request.headers, "Cottonspool-Request");
	generation->priority = body.value("priority", 0);
	generation->chat = body.contains("messages");
	generation->prompt = std::max<uint64_t>(1, prompt.size() / 4);
	generation->length = std::clamp<uint64_t>(NumberAfter(prompt, "tokens=", 16), 1, body.value("max_tokens", 1000000U));
	generation->prefix = HashText(prompt.substr(0, 256));
	this->known_generations[id] = generation;
	this->record.push_back(
	        {{"generation", id}, {"request", generation->request}, {"at", NowMs()}, {"began", false}, {"model", body["model"]}});
	auto place = std::find_if(this->waiting.begin(), this->waiting.end(),
	                          [&](const GenerationPtr &w) { return w->priority < generation->priority; });
	this->waiting.insert(place, generation);
	this->Attach(generation, exchange, 0);
}

void EngineStandin::HandleGeneration(const std::shared_ptr<HttpExchange> &exchange, const std::string &id)
{
	auto found = this->known_generations.find(id);
	if (exchange->request.method == "DELETE") {
		if (found == this->known_generations.end()) {
			this->cancelled_ids.insert(id);
			return Answer(exchange, 200, {{"began", false}, {"incarnation", this->incarnation}});
		}
		GenerationPtr generation = found->second;
		generation->cancelled = true;
		this->running.remove(generation);
		std::erase(this->waiting, generation);
		for (auto &[listener, sent] : generation->listeners) listener->Finish();
		generation->listeners.clear();
		return Answer(exchange, 200, {{"began", generation->began}, {"incarnation", this->incarnation}});
	}
	if (found == this->known_generations.end() || found->second->cancelled) return Answer(exchange, 404, {{"error", "no such generation"}});
	std::string last(FindHeader(exchange->request.headers, "Last-Event-ID"));
	this->Attach(found->second, exchange, strtoull(last.c_str(), nullptr, 10));
}

void EngineStandin::Attach(const GenerationPtr &generation, const std::shared_ptr<HttpExchange> &exchange, uint64_t from)
{
	exchange->Start(200, {{"content-type", "text/event-stream"}, {"cottonspool-generation", generation->id}});
	exchange->Write(": ok\n\n");
	generation->listeners.emplace_back(exchange, from);
	generation->orphan_since = 0;
	std::weak_ptr<EngineGeneration> weak = generation;
	HttpExchange *raw = exchange.get();
	exchange->on_closed = [weak, raw] {
		auto kept = weak.lock();
		if (!kept) return;
		std::erase_if(kept->listeners, [raw](const auto &listener) { return listener.first.get() == raw; });
		if (kept->listeners.empty()) kept->orphan_since = NowMs();
	};
	this->Flush(generation);
}

std::string EngineStandin::EventText(const EngineGeneration &generation, uint64_t index) const
{
	bool last = generation.finished && index == generation.tokens.size();
	Json choice{{"index", 0}, {"finish_reason", last ? Json("stop") : Json(nullptr)}};
	if (generation.chat) choice["delta"] = {{"content", generation.tokens[index - 1]}};
	if (!generation.chat) choice["text"] = generation.tokens[index - 1];
	Json chunk{{"id", generation.id}, {"object", generation.chat ? "chat.completion.chunk" : "text_completion"}, {"choices", {choice}}};
	return "id: " + std::to_string(index) + "\ndata: " + chunk.dump() + "\n\n" + (last ? "data: [DONE]\n\n" : "");
}

void EngineStandin::Flush(const GenerationPtr &generation)
{
	auto listeners = generation->listeners;
	for (auto &[listener, sent] : listeners) {
		uint64_t from = sent;
		std::string text;
		while (from < generation->tokens.size()) text += this->EventText(*generation, ++from);
		for (auto &kept : generation->listeners) {
			if (kept.first == listener) kept.second = from;
		}
		if (!text.empty()) listener->Write(text);
		if (generation->finished) listener->Finish();
	}
}

void EngineStandin::AdmitWaiting()
{
	while (!this->waiting.empty() && this->running.size() < FLAGS_max_batch) {
		GenerationPtr next = this->waiting.front();
		if (this->UsedTokens() + next->prompt + next->tokens.size() + 1 > FLAGS_memory_tokens && !this->running.empty()) return;
		this->waiting.pop_front();
		next->began = true;
		this->running.push_back(next);
		std::erase(this->prefixes, next->prefix);
		this->prefixes.push_back(next->prefix);
		if (this->prefixes.size() > MAX_PREFIXES) this->prefixes.pop_front();
	}
}

void EngineStandin::PreemptWhileFull()
{
	while (this->running.size() > 1 && this->UsedTokens() + this->running.size() > FLAGS_memory_tokens) {
		auto victim = this->running.begin();
		for (auto it = this->running.begin(); it != this->running.end(); ++it) {
			if ((*it)->priority <= (*victim)->priority) victim = it;
		}
		this->waiting.push_front(*victim);
		this->running.erase(victim);
		this->preemptions++;
	}
}

void EngineStandin::Step()
{
	if (NowMs() < this->next_step) return;
	double step = FLAGS_step_ms + FLAGS_step_us_per_call * static_cast<double>(this->running.size()) / 1000;
	this->next_step = NowMs() + static_cast<int64_t>(step * this->slow_factor);
	this->AdmitWaiting();
	this->PreemptWhileFull();
	std::vector<GenerationPtr> batch(this->running.begin(), this->running.end());
	for (const GenerationPtr &generation : batch) {
		generation->tokens.push_back(generation->id.substr(0, 24) + "." + std::to_string(generation->tokens.size() + 1) + " ");
		generation->finished = generation->tokens.size() >= generation->length;
		if (generation->finished) this->running.remove(generation);
		this->Flush(generation);
	}
}

void EngineStandin::DropOrphans()
{
	for (auto &[id, generation] : this->known_generations) {
		if (generation->finished || generation->orphan_since == 0 || NowMs() - generation->orphan_since < FLAGS_orphan_ms) continue;
		generation->cancelled = true;
		this->running.remove(generation);
		std::erase(this->waiting, generation);
	}
}

void EngineStandin::HandleOrder(const std::shared_ptr<HttpExchange> &exchange)
{
	Json order = JsonBody(*exchange);
	uint64_t epoch = order.value("epoch", 0ULL);
	if (FLAGS_check_fences && epoch < this->highest_epoch)
		return Answer(exchange, 409, {{"error", "outdated fencing token"}, {"epoch", this->highest_epoch}});
	this->highest_epoch = std::max(this->highest_epoch, epoch);
	order["at"] = NowMs();
	this->orders.push_back(order);
	if (order.contains("models")) this->models = order["models"].get<std::set<std::string>>();
	if (order.contains("role")) this->role = order["role"];
	Answer(exchange, 200, {{"models", this->models}, {"role", this->role}});
}

void EngineStandin::HandleControl(const std::shared_ptr<HttpExchange> &exchange)
{
	Json control = JsonBody(*exchange);
	this->slow_factor = control.value("slow_factor", this->slow_factor);
	this->draining = control.value("leaving", this->draining);
	if (this->draining && this->draining_since == 0) this->draining_since = NowMs();
	if (control.value("drop_streams", false)) {
		for (auto &[id, generation] : this->known_generations) {
			auto listeners = std::move(generation->listeners);
			generation->listeners.clear();
			for (auto &[listener, sent] : listeners) listener->Finish();
			if (!generation->finished) generation->orphan_since = NowMs();
		}
	}
	Answer(exchange, 200, {{"ok", true}});
}

int RunEngine(uv_loop_t *loop)
{
	EngineStandin engine(loop);
	return Serve(loop, [&](const std::shared_ptr<HttpExchange> &exchange) { engine.Handle(exchange); });
}

} // namespace cottonspool
