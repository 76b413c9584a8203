#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 5 115 target/review-standins rollout-back review/2/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
