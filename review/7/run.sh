#!/usr/bin/env bash
# Plays the case "skip". Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coriandershift-forward ] && [ -x target/review2 ] || exit 2
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
timeout -k 3 116 target/review2 -case skip -trouble=$trouble -record "${RECORD:-review/7/record.txt}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
