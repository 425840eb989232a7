#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
WORK=$(mktemp -d) || exit 2
export CASE ROOT WORK
trap 'rm -rf "$WORK"' EXIT
program=$ROOT/target/review/case-$(basename "$CASE")
[ -x "$program" ] && [ -x "$ROOT/target/release/cedarbridge" ] || exit 2
timeout -k 2 110 "$program"
code=$?
# Ended by the time limit, the program has not ended its forwarders.
[ "$code" -lt 124 ] || xargs -r kill -9 <"$WORK/pids" 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
