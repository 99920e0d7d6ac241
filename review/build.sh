#!/bin/sh
# Builds the stand-ins of the review cases into review/build/. Needs g++ alone.
set -e
cd "$(dirname "$0")"
mkdir -p build
for source in standins/*.cpp; do
	g++ -std=c++20 -O1 -Wall -pthread -o "build/$(basename "$source" .cpp)" "$source"
done
