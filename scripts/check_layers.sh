#!/usr/bin/env bash
# The decision core includes no library that does input or output, and reads no clock.
set -euo pipefail
cd "$(dirname "$0")/.."
FORBIDDEN='#include *[<"](uv\.h|h2o|curl|websocketpp|boost/log|nlohmann|toml|http/http_server|http/http_client|peer/|platform/|instance/|metrics/|configuration/)'
if grep -nE "$FORBIDDEN" src/core/*.* src/decision/*.* src/generation/*.*; then
	echo "layers: the decision core may not include the above" >&2
	exit 1
fi
if grep -nE 'steady_clock::now|system_clock::now|MonotonicNow|random_device|std::rand' src/decision/*.* src/generation/*.*; then
	echo "layers: the decision core may not read a clock or a random device" >&2
	exit 1
fi
