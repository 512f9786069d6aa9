#!/bin/sh
# Exit code 1: the rule was broken, 0: it held, 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
here=review/3
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)" *#.*/\1/p' deploy/balancer.toml)
CASE_FOLDER=$(mktemp -d) || exit 2
export RUN_COMMAND CASE_FOLDER
# The router ends with the stand-ins' process, and that one with this script.
timeout -k 5 110 review/build/case_3 "$here/record.txt" &
stand_ins=$!
trap 'kill "$stand_ins" 2>/dev/null; wait "$stand_ins"; rm -rf "$CASE_FOLDER"; exit 2' HUP INT TERM
wait "$stand_ins"
code=$?
head -n 200 "$CASE_FOLDER/router.log" 2>/dev/null | sed 's/^/router log: /' >> "$here/record.txt"
rm -rf "$CASE_FOLDER"
[ "$code" -le 1 ] && exit "$code"
exit 2
