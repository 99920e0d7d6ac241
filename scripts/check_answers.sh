#!/usr/bin/env bash
# Checks that each header named in the platform and network code has a row in docs/design/answers.md.
set -euo pipefail
cd "$(dirname "$0")/.."
MISSING=0
NAMES=$(grep -ohE '"([A-Z][A-Za-z]*(-[A-Za-z]+)+|Authorization|Expect|Host)"' src/platform/*.cpp src/net/*.cpp | tr -d '"' | sort -u)
for NAME in $NAMES; do
	grep -qF -- "\`$NAME\`" docs/design/answers.md && continue
	echo "answers: header $NAME has no row in docs/design/answers.md" >&2
	MISSING=1
done
exit $MISSING
