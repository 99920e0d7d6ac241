#!/usr/bin/env bash
# Builds the stand-ins of the cases 4 and 5 into review/build-2/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build-2
for source in standins-2/*.cpp; do
	g++ -std=c++20 -O1 -pthread -o "build-2/$(basename "$source" .cpp)" "$source"
done
