#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/withdrawn-key
[ -x "$program" ] && [ -x target/foxtailtrail ] || exit 2
"$program"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
