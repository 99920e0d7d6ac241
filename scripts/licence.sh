#!/usr/bin/env bash
# Adds the licence notice to source files without it; with --check only lists them and fails if there are any.
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
