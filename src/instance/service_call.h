/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file service_call.h One call of a plain service for one caller. */

#pragma once

#include "http/http_client.h"
#include "instance/call_base.h"

namespace cottonspool {

/** One service call: passed on whole, and never passed on cut short. */
class ServiceCall : public Call {
public:
	ServiceCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
	            std::string account_name, std::string path);

	void OnSend(const SendAction &action) override;

protected:
	void OnCallerDisconnected() override;

private:
	void OnEnd(const HttpCallResult &end);
	void OnOutcomeUnknown(const HttpCallResult &end);

	std::string path;           ///< Path and query at the service.
	std::string target_name;    ///< Target.
	uint64_t http_call = 0;     ///< HTTP call under way; 0 when none.
	HttpHeaders answer_headers; ///< Headers of the answer.
	std::string answer_body;    ///< Body of the answer so far.
	bool too_large = false;     ///< The answer is larger than allowed.
};

} // namespace cottonspool
