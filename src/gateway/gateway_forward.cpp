/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_forward.cpp Pools that this instance cannot reach, and requests that instances pass on to each other. */

#include "gateway/forward_headers.h"
#include "gateway/gateway.h"
#include "metrics/log.h"
#include <random>

namespace cottonspool {

static constexpr Duration FORWARD_BUSY_RETRY_AFTER = std::chrono::milliseconds(200); ///< Retry-After while no further request is accepted.

ModelNumber Gateway::PoolOf(TargetNumber target)
{
	return this->pools.Intern(this->records[target.value].pool);
}

bool Gateway::IsPoolLost(const RelayRequest &request) const
{
	return this->limits.forward.use && this->reach.IsLost(request.spec.model);
}

bool Gateway::IsPoolDoubted(const RelayRequest &request) const
{
	return this->limits.forward.use && this->reach.IsDoubted(request.spec.model);
}

void Gateway::OnTargetUnreachable(TargetNumber target)
{
	if (this->limits.forward.use) this->reach.OnDoubt(this->PoolOf(target), ReachDoubt::NoConnection, MonotonicNow());
}

void Gateway::OnTargetSilent(TargetNumber target)
{
	if (this->limits.forward.use) this->reach.OnDoubt(this->PoolOf(target), ReachDoubt::NoAnswer, MonotonicNow());
}

std::vector<ReachTarget> Gateway::ReachTargets(ModelNumber pool) const
{
	std::vector<ReachTarget> found;
	for (TargetNumber number : this->dispatcher.Targets().ForModel(pool)) {
		const TargetState &target = this->dispatcher.Targets().Get(number);
		if (target.restrictions.known && !target.restrictions.draining)
			found.push_back({number, this->records[number.value].address, target.hall});
	}
	return found;
}

void Gateway::OnReachChanged(ModelNumber pool, bool lost, Duration lost_for)
{
	std::vector<std::shared_ptr<RelayCall>> affected;
	for (const auto &[id, call] : this->calls) {
		if (call->Spec().model == pool) affected.push_back(call);
	}
	Log(LogLevel::Warning, "pool-reach",
	    {{"pool", this->pools.Name(pool)},
	     {"state", lost ? "lost" : "reached"},
	     {"lost_ms", lost ? "" : FormatMilliseconds(lost_for)},
	     {"calls", std::to_string(affected.size())}});
	this->metrics.Count(std::string("cottonspool_pool_changes_total{state=\"") + (lost ? "lost" : "reached") + "\"}");
	TimePoint now = MonotonicNow();
	for (const ReachTarget &target : this->ReachTargets(pool)) {
		// Connections that were open when the pool was lost may hang without an end.
		this->upstream.CloseIdle(this->dispatcher.Targets().Get(target.number).name);
		if (!lost) this->dispatcher.Targets().OnReachable(target.number);
	}
	if (!lost) return this->Execute(this->dispatcher.OnPlacementChanged(now));
	for (const std::shared_ptr<RelayCall> &call : affected) call->OnPoolLost();
}

std::optional<InstanceAddress> Gateway::ChooseInstance(const RelayRequest &request, const std::vector<std::string> &refused_by,
                                                       TimePoint now)
{
	std::vector<std::string> halls;
	for (const HallPreference &hall : request.spec.halls) {
		if (hall.weight > 0 && !this->evacuated.contains(hall.hall)) halls.push_back(hall.hall);
	}
	std::optional<std::string> name =
	        this->forward_choice.Choose(this->peers.ForwardCandidates(halls), request.spec.model, refused_by, now);
	if (!name) return std::nullopt;
	this->forward_choice.OnPassed(*name);
	return InstanceAddress{*name, *this->peers.ForwardAddressOf(*name)};
}

void Gateway::OnPassEnded(const RelayRequest &request, const std::string &instance, ForwardResult result)
{
	this->forward_choice.OnEnded(instance, request.spec.model, result, MonotonicNow());
	this->metrics.Count(std::string("cottonspool_passed_on_total{result=\"") + ForwardResultName(result) + "\"}");
}

Duration Gateway::PoolLostRetryAfter(const RelayRequest &request)
{
	// An instance that is cut off from the others, too, says nothing of the pool: the caller's next try reaches another one.
	if (!this->forward_choice.IsLostElsewhere(request.spec.model, MonotonicNow())) return Duration(0);
	const ForwardLimits &forward = this->limits.forward;
	return forward.min_retry_after +
	       FromSeconds(std::uniform_real_distribution<double>(0, Seconds(forward.retry_after_jitter))(this->random));
}

void Gateway::HandleForwarded(const std::shared_ptr<FrontExchange> &exchange)
{
	RelayRequest request;
	HttpHeaders &headers = exchange->head.headers;
	request.passed_by = TakeHeader(headers, PASSED_BY_FIELD);
	std::optional<uint64_t> version = WholeNumber(TakeHeader(headers, CONFIGURATION_FIELD));
	std::optional<uint64_t> attempts = WholeNumber(TakeHeader(headers, ATTEMPTS_FIELD));
	request.spec.sent_elsewhere = WholeNumber(TakeHeader(headers, SENT_FIELD)).value_or(0) > 0;
	if (request.passed_by.empty() || !version || !attempts) return exchange->Respond(400, {}, {});
	request.info = ReadRequest(exchange->head);
	// Its caller may have seen the effect of a configuration that is not known here yet.
	if (this->routes.Configuration().version < *version)
		return this->Reject(exchange, request, 503, "older-configuration", FORWARD_BUSY_RETRY_AFTER);
	if (this->forwarded_calls >= this->limits.forward.max_accepted)
		return this->Reject(exchange, request, 503, "forward-limit", FORWARD_BUSY_RETRY_AFTER);
	request.spec.max_attempts = static_cast<uint32_t>(std::min<uint64_t>(*attempts, UINT32_MAX));
	this->HandleRequest(exchange, std::move(request));
}

} // namespace cottonspool
