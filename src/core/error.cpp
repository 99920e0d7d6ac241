/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */

/** @file error.cpp Names of steps and formatting of errors. */

#include "core/error_type.h"

namespace cottonspool {

const char *StepName(Step step)
{
	switch (step) {
	case Step::Settings:
		return "settings";
	case Step::Listen:
		return "listen";
	case Step::Connect:
		return "connect";
	case Step::Send:
		return "send";
	case Step::FirstByte:
		return "first-byte";
	case Step::Stream:
		return "stream";
	case Step::Table:
		return "table";
	case Step::Object:
		return "object";
	case Step::Peer:
		return "peer";
	case Step::Configuration:
		return "configuration";
	case Step::Policy:
		return "policy";
	case Step::Operator:
		return "operator";
	}
	return "unknown";
}

std::string FormatError(const Error &error)
{
	return std::string("step=") + StepName(error.step) + " peer=" + error.peer + " error=\"" + error.message + "\"";
}

} // namespace cottonspool
