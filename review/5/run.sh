#!/usr/bin/env bash
# Plays the case and checks its rule: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/review/sim ] || { echo "run review/build.sh first" >&2; exit 2; }
exec ../../target/review/sim -case pending -program ../../target/lycheehook -record record.txt
