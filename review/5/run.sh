#!/usr/bin/env bash
# Plays the case with target/cottonspool. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)"
program="$here/../build-2/zone_reclaimed"
[ -x "$program" ] || exit 2
exec "$program" "$here/../../target/cottonspool" "$here"
