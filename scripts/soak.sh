#!/usr/bin/env bash
# Runs the fault soak of the gateway with a range of seeds: scripts/soak.sh [FIRST [COUNT [JOBS [SCALE]]]]. Keeps logs of failed seeds in build/soak/.
set -uo pipefail
cd "$(dirname "$0")/.."
FIRST=${1:-$(date +%s)}
COUNT=${2:-8}
JOBS=${3:-4}
SCALE=${4:-1}
mkdir -p build/soak
one() {
	local log="build/soak/seed-$1.log"
	if build/cottonspool-scenario --bin build --seed "$1" --scale "$2" tests/scenarios/platform_soak.lua > "$log" 2>&1; then
		echo "seed $1 passed: $(grep -m1 ended "$log")"
		rm "$log"
	else
		echo "seed $1 FAILED: $(grep -m1 -E 'BROKEN|FAILED' "$log")"
	fi
}
export -f one
RESULT=$(seq "$FIRST" $((FIRST + COUNT - 1)) | xargs -P "$JOBS" -I{} bash -c "one {} $SCALE" | tee /dev/stderr)
FAILED=$(echo "$RESULT" | grep -c FAILED)
echo "$((COUNT - FAILED)) passed, $FAILED failed"
[ "$FAILED" -eq 0 ]
