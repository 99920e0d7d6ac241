/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file request.cpp Names of service classes, execution states and rejection reasons. */

#include "decision/request_type.h"

namespace cottonspool {

static constexpr std::array<const char *, SERVICE_CLASS_COUNT> CLASS_NAMES{"interactive", "stream", "background"};
static constexpr std::array<const char *, 3> RAN_NAMES{"no", "yes", "unknown"};
static constexpr std::array<const char *, REJECT_REASON_COUNT> REASON_NAMES{
        "deadline-passed", "wait-too-long", "queue-full", "no-target", "retry-budget", "quarantined", "all-bound", "account-share"};

const char *ServiceClassName(ServiceClass service_class)
{
	return CLASS_NAMES[static_cast<size_t>(service_class)];
}

std::optional<ServiceClass> ParseServiceClass(std::string_view name)
{
	for (size_t i = 0; i < SERVICE_CLASS_COUNT; i++) {
		if (name == CLASS_NAMES[i]) return static_cast<ServiceClass>(i);
	}
	return std::nullopt;
}

const char *ExecutionStateName(ExecutionState ran)
{
	return RAN_NAMES[static_cast<size_t>(ran)];
}

const char *RejectReasonName(RejectReason reason)
{
	return REASON_NAMES[static_cast<size_t>(reason)];
}

} // namespace cottonspool
