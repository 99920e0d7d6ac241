#!/usr/bin/env bash
# Mutation test: removes each guard of tests/guards.txt in turn, in a copy of the tree, and checks that its test then fails.
# Usage: scripts/prove_guards.sh [NAME ...]   Prints one line per guard, and "N passed, N failed".
set -uo pipefail
cd "$(dirname "$0")/.."
COPY=$(mktemp -d)
trap 'rm -rf "$COPY"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$COPY"
cd "$COPY" || exit 1
cmake --preset release >/dev/null && cmake --build build >/dev/null || { echo "the copy does not build" >&2; exit 1; }
PASSED=0
FAILED=0
trim() { sed 's/^ *//; s/ *$//' <<<"$1"; }
while IFS= read -r LINE; do
	[[ -z "$LINE" || "$LINE" == \#* ]] && continue
	NAME=$(trim "${LINE%% | *}") REST=${LINE#* | }
	FILE=$(trim "${REST%% | *}") REST=${REST#* | }
	TEST=$(trim "${REST##* | }") EDIT=$(trim "${REST% | *}")
	if [ $# -gt 0 ] && [[ " $* " != *" $NAME "* ]]; then continue; fi
	cp "$FILE" saved
	sed -i "$EDIT" "$FILE"
	RESULT="not caught"
	if cmp -s saved "$FILE"; then
		RESULT="the edit changes nothing"
	elif ! cmake --build build >build.log 2>&1; then
		RESULT="does not build"
	elif [[ "$TEST" == unit* ]]; then
		RC_PARAMS="seed=20261202 max_success=300 noshrink=1" timeout 120 build/cottonspool-tests -tc="${TEST#unit }" >/dev/null 2>&1 || RESULT=caught
	else
		timeout 180 build/cottonspool-scenario --bin build "tests/scenarios/${TEST#scenario }.lua" >/dev/null 2>&1 || RESULT=caught
	fi
	if [ "$RESULT" = caught ]; then PASSED=$((PASSED + 1)); else FAILED=$((FAILED + 1)); fi
	echo "$NAME: without it $TEST: $RESULT"
	cp saved "$FILE"
done <tests/guards.txt
echo "$PASSED passed, $FAILED failed"
[ $FAILED -eq 0 ]
