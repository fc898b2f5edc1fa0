#!/bin/sh
# See claim.txt. Exit code: 1 if the rule was broken, 0 if it held, 2 if the
# case couldn't run. Writes record.txt. TROUBLE=0 runs it without the
# disruption.
cd "$(dirname "$0")" || exit 2
REVIEW_ROOT=$(cd ../.. && pwd)
export REVIEW_ROOT
program=$REVIEW_ROOT/target/review-2/case-6
[ -x "$program" ] || { echo "Run review/build-2.sh first." >&2; exit 2; }
timeout -k 5 110 "$program"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
