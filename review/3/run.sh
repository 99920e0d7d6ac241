#!/bin/bash
# SIGTERM while clients read complete streams slowly: does each channel end with a complete answer?
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/build/slow_reader
[ -x "$program" ] && [ -x target/cottonspool ] || { echo "build target/ and run review/build.sh first" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
"$program" review/3 "$temporary" &
pid=$!
trap 'kill -KILL $pid 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
