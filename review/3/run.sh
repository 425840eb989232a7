#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does the
# same without the disruption.
CASE=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$CASE/../.." && pwd)
WORK=$(mktemp -d) || exit 2
TROUBLE=${TROUBLE:-1}
export CASE ROOT WORK TROUBLE
trap 'rm -rf "$WORK"' EXIT
program=$ROOT/target/review/case-$(basename "$CASE")
if ! [ -x "$program" ] || ! [ -x "$ROOT/target/release/cedarbridge" ]; then
    echo "RESULT: the case could not run: something is not built" >"$CASE/record.txt"
    exit 2
fi
timeout -k 2 110 "$program"
code=$?
# Ended by the time limit, the program has not ended its forwarders.
[ "$code" -lt 124 ] || xargs -r kill -9 <"$WORK/pids" 2>/dev/null
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
