#!/bin/bash
# A run goes on at another engine: does the engine that it left still work on it 400 ms later?
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
program=review/build/moved_run
[ -x "$program" ] && [ -x target/cottonspool ] || { echo "build target/ and run review/build.sh first" >&2; exit 2; }
temporary=$(mktemp -d) || exit 2
"$program" review/1 "$temporary" &
pid=$!
trap 'kill -KILL $pid 2>/dev/null; rm -rf "$temporary"' EXIT
trap 'exit 2' INT TERM
wait $pid
code=$?
[ $code -le 2 ] || code=2
exit $code
