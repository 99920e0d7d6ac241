#!/usr/bin/env bash
# Coverage-guided fuzzing of the decoders with clang's libFuzzer (Debian: clang, libclang-rt-14-dev).
# Usage: scripts/fuzz.sh SECONDS [DECODER ...]   Inputs that crash one are written to build-fuzz/found/DECODER.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_EACH=$1
shift
cmake -S . -B build-fuzz -G Ninja -DCMAKE_CXX_COMPILER=clang++ -DCOTTONSPOOL_LIBFUZZER=ON >/dev/null
cmake --build build-fuzz --target cottonspool-libfuzzer | tail -1
NAMES=("$@")
[ $# -gt 0 ] || mapfile -t NAMES < <(sed -n 's/^\t *{"\([a-z-]*\)",.*/\1/p' tests/fuzz/decoders.cpp)
FAILED=0
for NAME in "${NAMES[@]}"; do
	mkdir -p "build-fuzz/inputs/$NAME" "build-fuzz/found/$NAME"
	[ -d "tests/fuzz/corpus/$NAME" ] && cp tests/fuzz/corpus/"$NAME"/* "build-fuzz/inputs/$NAME/"
	LOG=build-fuzz/found/$NAME.log
	if COTTONSPOOL_DECODER=$NAME build-fuzz/cottonspool-libfuzzer -seed=1 -max_total_time="$SECONDS_EACH" -artifact_prefix="build-fuzz/found/$NAME/" \
		-print_final_stats=1 "build-fuzz/inputs/$NAME" >"$LOG" 2>&1; then
		echo "$NAME: $(sed -n 's/stat::number_of_executed_units: *//p' "$LOG") inputs, no crash"
	else
		echo "$NAME: crashed, see $LOG"
		FAILED=1
	fi
done
exit $FAILED
