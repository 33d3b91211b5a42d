#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-2 ] || exit 2
timeout --signal=TERM --kill-after=4 112 target/review/case-2
code=$?
[ "$code" -le 2 ] && exit "$code"
exit 2
