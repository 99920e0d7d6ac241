/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file gateway_ends.cpp What a gateway does about targets that end under requests. */

#include "gateway/gateway.h"
#include "metrics/log.h"

namespace cottonspool {

void Gateway::OnSendBroken(const RelayRequest &request, TargetNumber number, bool begun, TimePoint now)
{
	const TargetRecord &record = this->records[number.value];
	const std::string &name = this->dispatcher.Targets().Get(number).name;
	const Pool *pool = this->routes.FindPool(record.pool);
	std::string path = record.engine || pool == nullptr ? REPORT_PATH : pool->health_path;
	this->end_watch.OnBroken({name, record.address, path, name}, {request.spec.print, request.info.attempt, begun}, now);
}

void Gateway::OnTargetChecked(const TargetCheck &check)
{
	for (const BrokenSend &send : check.sends) {
		Log(LogLevel::Info, "target-check",
		    {{"request", send.request},
		     {"print", PrintText(send.print)},
		     {"target", check.target.name},
		     {"sign", check.sign ? LifeSignName(*check.sign) : "none"},
		     {"ended", check.HasEnded() ? "yes" : "no"},
		     {"begun", send.begun ? "yes" : "no"},
		     {"suspects", std::to_string(check.sends.size())},
		     {"ms", FormatMilliseconds(check.took)}});
	}
}

} // namespace cottonspool
