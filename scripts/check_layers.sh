#!/usr/bin/env bash
# Checks that the decision core includes no I/O library and reads no clock or random device.
set -euo pipefail
cd "$(dirname "$0")/.."
FORBIDDEN='#include *[<"](uv\.h|h2o|curl|websocketpp|boost/log|nlohmann|toml|http/http_server|http/http_client|peer/|platform/|instance/|metrics/|configuration/)'
if grep -nE "$FORBIDDEN" src/core/*.* src/decision/*.* src/generation/*.*; then
	echo "layers: the decision core must not include the headers above" >&2
	exit 1
fi
if grep -nE 'steady_clock::now|system_clock::now|MonotonicNow|random_device|std::rand' src/decision/*.* src/generation/*.*; then
	echo "layers: the decision core must not read a clock or a random device" >&2
	exit 1
fi
