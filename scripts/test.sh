#!/usr/bin/env bash
# Builds all targets and runs all tests: unit and property tests, fuzzing, script tests and scenarios on real processes.
set -euo pipefail
cd "$(dirname "$0")/.."
[ "${CI:-}" = true ] || scripts/build.sh | tail -1
scripts/known_red.sh
cd build
ctest --output-on-failure -j "$(nproc)" "$@"
