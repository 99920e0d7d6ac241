#!/usr/bin/env bash
# Puts the licence notice at the top of every source file that lacks it; with --check only names them and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
NOTICE='/* This file is part of cottonspool. It is under the MIT licence; see LICENSE. */'
FAILED=0
for FILE in $(git ls-files --cached --others --exclude-standard 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h'); do
	[ "$(head -1 "$FILE")" = "$NOTICE" ] && continue
	FAILED=1
	if [ "${1:-}" = --check ]; then echo "no licence notice: $FILE" >&2; else sed -i "1i $NOTICE\n" "$FILE"; fi
done
[ "${1:-}" != --check ] || exit $FAILED
