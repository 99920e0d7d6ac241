#!/usr/bin/env bash
# Checks layers, documented headers, licence notices, formatting and file lengths, and runs the linter. Needs a configured build/.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/check_layers.sh
scripts/check_answers.sh
scripts/licence.sh --check
FILES=$(git ls-files 'src/*.cpp' 'src/*.h' 'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h')
clang-format --dry-run --Werror $FILES
LONG=$(wc -l $FILES $(git ls-files '*.lua') | awk '$2 != "total" && $1 > 500 {print $2 " (" $1 ")"}')
if [ -n "$LONG" ]; then
	echo "files longer than 500 lines: $LONG" >&2
	exit 1
fi
echo "$FILES" | grep '\.cpp$' | grep -v websocket_session | xargs -P "$(nproc)" -n 4 clang-tidy --quiet -p build 2>/dev/null
echo "lint: clean"
