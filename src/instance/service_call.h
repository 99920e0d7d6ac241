/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file service_call.h Forwarding of a request to a service. */

#pragma once

#include "http/http_client.h"
#include "instance/call_base.h"

namespace cottonspool {

/** A request to a service. The answer is buffered, so the caller never gets a truncated one. */
class ServiceCall : public Call {
public:
	ServiceCall(Instance &instance, std::shared_ptr<HttpExchange> exchange, CallSpec spec, std::string request_name,
	            std::string account_name, std::string path);

	void OnSend(const SendAction &action) override;

protected:
	void OnCallerDisconnected() override;

private:
	void OnEnd(const HttpCallResult &end);
	/** The service may have executed the request: send again if it is repeatable, otherwise answer with an error. */
	void OnOutcomeUnknown(const HttpCallResult &end);

	std::string path;           ///< Path and query sent to the service.
	std::string target_name;    ///< Name of the target.
	uint64_t http_call = 0;     ///< Current HTTP call to the target; 0 for none.
	HttpHeaders answer_headers; ///< Headers of the answer.
	std::string answer_body;    ///< Body of the answer so far.
	bool too_large = false;     ///< The answer exceeds the size limit.
};

} // namespace cottonspool
