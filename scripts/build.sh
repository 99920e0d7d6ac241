#!/usr/bin/env bash
# Installs missing packages and builds all targets into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake --preset release >/dev/null
cmake --build build
