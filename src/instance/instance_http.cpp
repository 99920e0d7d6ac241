/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file instance_http.cpp An entry instance: HTTP requests of callers and probes. */

#include "core/hash_func.h"
#include "instance/completion_call.h"
#include "instance/instance.h"
#include "instance/service_call.h"
#include <algorithm>
#include <strings.h>

namespace cottonspool {

static constexpr std::string_view SERVICES_PATH = "/services/"; ///< Path prefix of service calls.
static constexpr std::string_view OPERATOR_PATH = "/operator/"; ///< Path prefix of operators' requests.
static constexpr size_t MAX_KEY_LENGTH = 256;                   ///< Longest Idempotency-Key, in bytes.
static constexpr int64_t MAX_WAIT_MS = 86400000;                ///< Longest wait limit that a caller may request.

void Instance::Reject(const std::shared_ptr<HttpExchange> &exchange, int status, const std::string &reason, const std::string &message)
{
	this->metrics.Count("cottonspool_rejected_total{reason=\"" + reason + "\"}");
	CallFailure failure{status, reason, message, ExecutionState::No, std::nullopt};
	HttpHeaders headers{{"content-type", "application/json"}, {"Cottonspool-Ran", "no"}};
	if (status == 401) headers.push_back({"www-authenticate", "Bearer"});
	exchange->Respond(status, headers, FormatFailureBody(failure, ""));
}

void Instance::Handle(const std::shared_ptr<HttpExchange> &exchange)
{
	const HttpRequest &request = exchange->request;
	bool completion = request.path == "/v1/completions" || request.path == "/v1/chat/completions";
	if (completion && request.method == "POST") return this->HandleCompletion(exchange);
	if (completion) return this->Reject(exchange, 405, "method", "method: must be POST");
	if (request.path.starts_with(SERVICES_PATH)) return this->HandleService(exchange);
	if (request.path == "/livez" || request.path == "/readyz") return this->HandleProbe(exchange);
	if (request.path == "/metrics" || request.path.starts_with(OPERATOR_PATH)) return this->HandleOperator(exchange);
	this->Reject(exchange, 404, "path", "path: not found; available are /v1/completions, /v1/chat/completions and /services/NAME/");
}

void Instance::HandleProbe(const std::shared_ptr<HttpExchange> &exchange)
{
	bool settled = this->configuration.State().Sequence() > 0 && this->poller.AllPolledOnce();
	bool ready = !this->stopping && (settled || this->ready_once);
	this->ready_once = this->ready_once || settled;
	if (exchange->request.path == "/livez" || ready) return exchange->Respond(200, {{"content-type", "text/plain"}}, "ok\n");
	exchange->Respond(503, {{"content-type", "text/plain"}},
	                  this->stopping ? "stopping\n" : "waiting for the configuration and the first load reports\n");
}

const std::pair<const std::string, Versioned<AccountRecord>> *Instance::Authenticate(const std::shared_ptr<HttpExchange> &exchange)
{
	std::string_view header = FindHeader(exchange->request.headers, "authorization");
	constexpr std::string_view bearer = "Bearer ";
	if (header.size() > bearer.size() && strncasecmp(header.data(), bearer.data(), bearer.size()) == 0) {
		const auto *account = this->configuration.State().FindAccount(DigestKey(header.substr(bearer.size())));
		if (account != nullptr) return account;
	}
	if (this->configuration.State().Sequence() == 0) {
		this->Reject(exchange, 503, "no-configuration", "this instance has not loaded a configuration yet");
	} else {
		this->Reject(exchange, 401, "key", "authorization: must be a Bearer token with the key of a client account");
	}
	return nullptr;
}

Duration Instance::WaitLimit(ServiceClass service_class) const
{
	if (service_class == ServiceClass::Interactive) return this->settings.interactive_wait;
	return service_class == ServiceClass::Stream ? this->settings.stream_wait : this->settings.background_wait;
}

bool Instance::FillCallSpec(const std::shared_ptr<HttpExchange> &exchange, const std::string &account, const AccountRecord &record,
                            CallSpec *spec)
{
	const HttpHeaders &headers = exchange->request.headers;
	spec->id = CallId{this->next_call++};
	spec->account = this->accounts.Intern(account);
	spec->account_weight = record.weight;
	spec->service_class = record.service_class;
	if (std::string_view name = FindHeader(headers, "Cottonspool-Class"); !name.empty()) {
		auto service_class = ParseServiceClass(name);
		if (!service_class) {
			this->Reject(exchange, 400, "class", "Cottonspool-Class: must be interactive, stream or background");
			return false;
		}
		spec->service_class = *service_class;
	}
	spec->arrived = MonotonicNow();
	Duration wait = this->WaitLimit(spec->service_class);
	if (std::string_view text = FindHeader(headers, "Cottonspool-Wait-Ms"); !text.empty()) {
		int64_t asked = std::strtoll(std::string(text).c_str(), nullptr, 10);
		if (asked < 1 || asked > MAX_WAIT_MS) {
			this->Reject(exchange, 400, "wait", "Cottonspool-Wait-Ms: must be from 1 to 86400000");
			return false;
		}
		wait = std::min<Duration>(wait, std::chrono::milliseconds(asked));
	}
	spec->deadline = spec->arrived + wait;
	std::string_view repeatable = FindHeader(headers, "Cottonspool-Repeatable");
	if (!repeatable.empty() && repeatable != "no" && repeatable != "yes") {
		this->Reject(exchange, 400, "repeatable", "Cottonspool-Repeatable: must be yes or no");
		return false;
	}
	if (!repeatable.empty()) spec->repeatable = repeatable == "yes";
	if (FindHeader(headers, "Idempotency-Key").size() > MAX_KEY_LENGTH) {
		this->Reject(exchange, 400, "key-length", "Idempotency-Key: must have at most 256 characters");
		return false;
	}
	return true;
}

void Instance::ChooseHalls(const std::string &account, const std::string &name, uint64_t draw, CallSpec *spec)
{
	const ShareRecord *share = this->configuration.State().FindShare(account, (spec->generated ? "model:" : "service:") + name);
	std::vector<HallPreference> halls;
	if (share != nullptr) {
		halls = share->halls;
		double total = 0;
		for (const HallPreference &hall : halls) total += hall.weight;
		double remaining_draw = static_cast<double>(draw % 1000000) / 1000000 * total;
		size_t first = 0;
		while (first + 1 < halls.size() && remaining_draw >= halls[first].weight) remaining_draw -= halls[first++].weight;
		if (!halls.empty())
			std::rotate(halls.begin(), halls.begin() + static_cast<long>(first), halls.begin() + static_cast<long>(first) + 1);
	} else {
		std::set<std::string> known;
		for (TargetNumber number : this->dispatcher.Targets().ForModel(spec->model))
			known.insert(this->dispatcher.Targets().Get(number).hall);
		for (const std::string &hall : known) halls.push_back({hall, 1});
		std::stable_partition(halls.begin(), halls.end(), [&](const HallPreference &hall) { return hall.hall == this->settings.hall; });
	}
	PolicyRequest request{account, name, spec->service_class, spec->prompt_tokens, spec->repeatable};
	if (auto routed = this->policy.Route(request, halls)) halls = std::move(*routed);
	spec->halls = std::move(halls);
	if (auto priority = this->policy.Priority(request)) spec->priority = *priority;
}

void Instance::Begin(const std::shared_ptr<Call> &call, const std::shared_ptr<HttpExchange> &exchange, const std::string &account)
{
	std::string_view key = FindHeader(exchange->request.headers, "Idempotency-Key");
	if (!call->Spec().repeatable && !key.empty()) {
		char name[24];
		snprintf(name, sizeof(name), "%016llx", static_cast<unsigned long long>(HashText(key)));
		call->idempotency_key = "claim/" + std::to_string(HashText(account)) + "/" + name + std::to_string(HashText(key, 1));
		const HttpRequest &request = exchange->request;
		call->request_hash = HashText(request.body, HashText(request.method + " " + request.path + "?" + request.query));
	}
	this->calls.emplace(call->Spec().id, call);
	this->metrics.Count(std::string("cottonspool_calls_total{class=\"") + ServiceClassName(call->Spec().service_class) + "\"}");
	call->Begin();
}

void Instance::HandleCompletion(const std::shared_ptr<HttpExchange> &exchange)
{
	const auto *account = this->Authenticate(exchange);
	if (account == nullptr) return;
	auto parsed = ParseCompletion(exchange->request);
	if (!parsed) return this->Reject(exchange, parsed.error().status, parsed.error().reason, parsed.error().message);
	CompletionRequest &request = parsed.value();
	auto model = this->configuration.State().Models().find(request.model);
	if (model == this->configuration.State().Models().end()) {
		return this->Reject(exchange, 404, "unknown-model", "model: unknown model " + request.model.substr(0, 64));
	}
	if (request.prompt_tokens > model->second.record.context_tokens) {
		return this->Reject(exchange, 400, "prompt-too-long", "prompt: exceeds the model's context length");
	}
	CallSpec spec;
	if (!this->FillCallSpec(exchange, account->first, account->second.record, &spec)) return;
	spec.model = this->models.Intern(request.model);
	spec.prompt_tokens = request.prompt_tokens;
	spec.max_tokens = request.max_tokens;
	spec.prefix = request.prefix;
	this->ChooseHalls(account->first, request.model, this->random(), &spec);
	std::string name = this->settings.name + "-" + this->NewNonce();
	auto call = std::make_shared<CompletionCall>(*this, exchange, std::move(spec), std::move(name), account->first, std::move(request));
	this->Begin(call, exchange, account->first);
}

void Instance::HandleService(const std::shared_ptr<HttpExchange> &exchange)
{
	const auto *account = this->Authenticate(exchange);
	if (account == nullptr) return;
	const HttpRequest &request = exchange->request;
	std::string rest = request.path.substr(SERVICES_PATH.size());
	size_t slash = rest.find('/');
	std::string service = rest.substr(0, slash);
	std::string path = slash == std::string::npos ? "/" : rest.substr(slash);
	if (!request.query.empty()) path += "?" + request.query;
	CallSpec spec;
	spec.generated = false;
	spec.repeatable = request.method == "GET" || request.method == "HEAD" || request.method == "OPTIONS";
	if (!this->FillCallSpec(exchange, account->first, account->second.record, &spec)) return;
	spec.model = this->models.Intern(ServiceModelName(service));
	if (this->dispatcher.Targets().ForModel(spec.model).empty()) {
		return this->Reject(exchange, 404, "unknown-service", "path: unknown service " + service.substr(0, 64));
	}
	this->ChooseHalls(account->first, service, this->random(), &spec);
	std::string name = this->settings.name + "-" + this->NewNonce();
	this->Begin(std::make_shared<ServiceCall>(*this, exchange, std::move(spec), std::move(name), account->first, std::move(path)), exchange,
	            account->first);
}

} // namespace cottonspool
