#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
cmake --preset release >/dev/null
cmake --build build
