#!/usr/bin/env bash
# Measures the overhead of an entry instance: the same streams sent directly to four engine stand-ins and through one instance, in turn.
# Usage: bench/overhead.sh [STREAMS] [STEP_MS] [ROUNDS]
set -euo pipefail
cd "$(dirname "$0")/.."
STREAMS=${1:-400} STEP=${2:-25} ROUNDS=${3:-3}
ulimit -n 65536 2>/dev/null || ulimit -n "$(ulimit -Hn)"
source scripts/processes.sh
start platform build/cottonspool-standin platform
URLS="" CHANGE=""
for I in 1 2 3 4; do
	start "engine$I" build/cottonspool-standin engine --name "engine$I" --step_ms "$STEP" --step_us_per_call 0 --memory_tokens 10000000 --max_batch 4000
	URLS+="${URLS:+,}http://127.0.0.1:$(port "engine$I")"
	CHANGE+=$'\n'"[target.engine$I]"$'\n'"address = \"127.0.0.1:$(port "engine$I")\""$'\nhall = "hall-a"\nserves = ["small"]\n'
done
printf '[instance]\nname = "one"\nhall = "hall-a"\nhttp_port = 0\npeer_port = 0\n[platform]\nurl = "http://127.0.0.1:%s"\n[operator]\nkey_sha256 = "%s"\n' \
	"$(port platform)" "$(printf ops | sha256sum | cut -d' ' -f1)" >"$DIR/one.toml"
start one build/cottonspool serve --settings "$DIR/one.toml"
HTTP=$(address one)
printf 'author = "bench"\n[account.kiosk]\nkey_sha256 = "%s"\n[model.small]\n%s' "$(printf kiosk-key | sha256sum | cut -d' ' -f1)" "$CHANGE" >"$DIR/change.toml"
build/cottonspool apply "$DIR/change.toml" --server "http://$HTTP" --key ops --wait_s 10 >/dev/null
sleep 2
for _ in $(seq "$ROUNDS"); do
	echo "direct:  $(build/cottonspool-overhead --urls "$URLS" --streams "$STREAMS")"
	echo "through:  $(build/cottonspool-overhead --urls "http://$HTTP" --streams "$STREAMS" --pid "$PID")"
done
