#!/usr/bin/env bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
# What was sent, answered and run is written to record.txt beside this script.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/platform/shallotwalk-platform ] || exit 2
PYTHONDONTWRITEBYTECODE=1 TROUBLE="${TROUBLE:-1}" timeout -k 5 100 python3 review/8/case.py
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit "$code"
